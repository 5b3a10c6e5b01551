//! The catalogue, or trip book: so many slots, calls waiting for one in the order in which they came. A
//! script tells how it behaves from when on.

use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

const SLICE: Duration = Duration::from_millis(1);

/// How calls fare.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// They take so many times as long as usual.
    Slow(f64),
    /// Answered `FAULT` at once.
    Fails,
    /// Answered `LATER` at once.
    TurnsAway,
    /// Never answered.
    Silent,
    /// The connection is reset in place of the reply.
    Resets,
    /// Replies leave byte by byte.
    Dribbles,
}

/// What it saw, a row each 10 ms of its life: calls in hand.
#[derive(Clone, Debug, Default)]
pub struct CatalogueStats {
    pub in_hand: Vec<usize>,
    /// The most in hand at any moment since that was last asked for.
    pub peak: usize,
    pub done: u32,
    /// All calls that came, however they fared.
    pub came: u32,
    /// Calls done by the req that they were made for.
    pub names: HashMap<String, u32>,
}

enum Event {
    Call { conn: u64, name: String },
    Quit { conn: u64 },
    Opened(u64, TcpStream),
    Behavior(Behavior),
    RequestKind(Sender<CatalogueStats>),
    Peak(Sender<usize>),
}

#[derive(Clone)]
pub struct Catalogue {
    pub address: SocketAddr,
    to: Sender<Event>,
}

impl Catalogue {
    pub fn start(slots: usize, call: Duration) -> Catalogue {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (to, from) = channel();
        let accepting = to.clone();
        std::thread::spawn(move || {
            for (conn, stream) in (0u64..).zip(listener.incoming().map_while(Result::ok)) {
                let _ = stream.set_nodelay(true);
                let reader = stream.try_clone().expect("a second handle");
                if accepting.send(Event::Opened(conn, stream)).is_err() {
                    return;
                }
                let to = accepting.clone();
                std::thread::spawn(move || {
                    let _ = read(conn, reader, &to);
                    let _ = to.send(Event::Quit { conn });
                });
            }
        });
        std::thread::spawn(move || Slots::new(slots, call).run(&from));
        Catalogue { address, to }
    }

    pub fn set_behavior(&self, mood: Behavior) {
        let _ = self.to.send(Event::Behavior(mood));
    }

    /// The most calls that were in hand at any moment since this was last asked.
    pub fn peak(&self) -> usize {
        let (to, from) = channel();
        let _ = self.to.send(Event::Peak(to));
        from.recv_timeout(crate::WAIT_TIMEOUT).unwrap_or(usize::MAX)
    }

    pub fn stats(&self) -> CatalogueStats {
        let (to, from) = channel();
        let _ = self.to.send(Event::RequestKind(to));
        from.recv_timeout(crate::WAIT_TIMEOUT).unwrap_or_default()
    }
}

fn read(conn: u64, stream: TcpStream, to: &Sender<Event>) -> std::io::Result<()> {
    let mut from = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["FETCH", name, _, len] = words[..] {
            let mut body = vec![0; len.parse::<usize>().unwrap_or(0) + 2];
            from.read_exact(&mut body)?;
            if to
                .send(Event::Call {
                    conn,
                    name: name.into(),
                })
                .is_err()
            {
                return Ok(());
            }
        }
    }
}

struct Call {
    conn: u64,
    name: String,
    left: f64,
}

struct Slots {
    slots: usize,
    call: Duration,
    mood: Behavior,
    calls: VecDeque<Call>,
    conns: HashMap<u64, TcpStream>,
    seen: CatalogueStats,
}

impl Slots {
    fn new(slots: usize, call: Duration) -> Slots {
        let (calls, conns) = (VecDeque::new(), HashMap::new());
        Slots {
            slots,
            call,
            mood: Behavior::Slow(1.0),
            calls,
            conns,
            seen: CatalogueStats::default(),
        }
    }

    fn run(mut self, from: &Receiver<Event>) {
        let began = Instant::now();
        let mut worked = began;
        loop {
            match from.recv_timeout(SLICE) {
                Ok(event) => self.event(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let passed = worked.elapsed();
            if passed >= SLICE {
                worked = Instant::now();
                self.work(passed.as_secs_f64());
            }
            while self.seen.in_hand.len() < (began.elapsed().as_millis() / 10) as usize {
                self.seen.in_hand.push(self.calls.len());
            }
        }
    }

    fn work(&mut self, secs: f64) {
        let times = match self.mood {
            Behavior::Slow(times) => times,
            Behavior::Dribbles => 1.0,
            Behavior::Silent => return,
            Behavior::Fails | Behavior::TurnsAway | Behavior::Resets => {
                for call in std::mem::take(&mut self.calls) {
                    match self.mood {
                        Behavior::Resets => {
                            if let Some(conn) = self.conns.remove(&call.conn) {
                                let _ = conn.shutdown(Shutdown::Both);
                            }
                        }
                        Behavior::Fails => self.say(call.conn, &format!("{} FAULT\r\n", call.name)),
                        _ => self.say(call.conn, &format!("{} LATER\r\n", call.name)),
                    }
                }
                return;
            }
        };
        let part = secs / (self.call.as_secs_f64() * times);
        self.calls
            .iter_mut()
            .take(self.slots)
            .for_each(|c| c.left -= part);
        let (over, stay): (Vec<Call>, Vec<Call>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|c| c.left <= 0.0);
        self.calls = stay.into();
        for call in over {
            self.seen.done += 1;
            *self.seen.names.entry(call.name.clone()).or_default() += 1;
            self.say(call.conn, &format!("{} DATA 2\r\nok\r\n", call.name));
        }
    }

    fn say(&mut self, conn: u64, text: &str) {
        let Some(stream) = self.conns.get_mut(&conn) else {
            return;
        };
        let piece = if self.mood == Behavior::Dribbles {
            1
        } else {
            text.len()
        };
        for bytes in text.as_bytes().chunks(piece) {
            let _ = stream.write_all(bytes);
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Call { conn, name } => {
                self.calls.push_back(Call {
                    conn,
                    name,
                    left: 1.0,
                });
                self.seen.came += 1;
                self.seen.peak = self.seen.peak.max(self.calls.len());
            }
            Event::Quit { conn } => {
                self.conns.remove(&conn);
                self.calls.retain(|c| c.conn != conn);
            }
            Event::Opened(conn, stream) => {
                self.conns.insert(conn, stream);
            }
            Event::Behavior(mood) => self.mood = mood,
            Event::Peak(to) => {
                let _ = to.send(std::mem::replace(&mut self.seen.peak, self.calls.len()));
            }
            Event::RequestKind(to) => {
                let _ = to.send(self.seen.clone());
            }
        }
    }
}
