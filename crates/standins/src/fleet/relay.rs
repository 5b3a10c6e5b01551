//! All datagrams of a stand pass here: one relay socket a server, whose address is what that server is told as.
//! A datagram that reaches the relay of one server goes on to it from the relay of the sender, so that every
//! directed pair can be meddled with and no server can tell.

use super::script::Act;
use madderbay::time::Span;
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Datagrams to each that may be sent again.
const KEPT: usize = 200;
/// How often the carrier looks up where nothing comes.
const IDLE: Duration = Duration::from_millis(200);

enum Event {
    Came {
        at: usize,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A server hears at that address and sends from it.
    Hears(usize, SocketAddr),
    Act(Act),
}

/// The relays of all servers, and the thread that carries between them.
pub struct Relays {
    to: Sender<Event>,
    /// What each server is told as.
    pub addresses: Vec<SocketAddr>,
}

impl Relays {
    pub fn start(servers: usize, seed: u64) -> Relays {
        let (to, from) = channel();
        let mut sockets = vec![];
        for at in 0..servers {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
            let (hears, to) = (socket.try_clone().expect("a second handle"), to.clone());
            std::thread::spawn(move || {
                let mut buffer = [0; 2_048];
                loop {
                    // An error is told for something sent to one that is gone.
                    let Ok((length, from)) = hears.recv_from(&mut buffer) else { continue };
                    if to.send(Event::Came { at, from, bytes: buffer[..length].to_vec() }).is_err() {
                        return;
                    }
                }
            });
            sockets.push(socket);
        }
        let addresses = sockets.iter().map(|s| s.local_addr().expect("an address")).collect();
        std::thread::spawn(move || Carrier::new(sockets, seed).run(&from));
        Relays { to, addresses }
    }

    /// A server, started anew, hears at this address.
    pub fn hears(&self, server: usize, at: SocketAddr) {
        let _ = self.to.send(Event::Hears(server, at));
    }

    /// Meddles from here on with what is carried.
    pub fn act(&self, act: &Act) {
        let _ = self.to.send(Event::Act(act.clone()));
    }
}

struct Carrier {
    sockets: Vec<UdpSocket>,
    servers: Vec<Option<SocketAddr>>,
    by_address: HashMap<SocketAddr, usize>,
    chance: Rand64,
    group: Vec<usize>,
    one_way: HashSet<(usize, usize)>,
    loss: f64,
    double: f64,
    spoil: f64,
    delay: (Span, Span),
    kept: Vec<Vec<(usize, Vec<u8>)>>,
    late: BinaryHeap<Reverse<(Instant, u64)>>,
    waiting: HashMap<u64, (usize, usize, Vec<u8>)>,
    numbered: u64,
}

impl Carrier {
    fn new(sockets: Vec<UdpSocket>, seed: u64) -> Carrier {
        let n = sockets.len();
        Carrier {
            servers: vec![None; n],
            by_address: HashMap::new(),
            chance: Rand64::new(u128::from(seed)),
            group: vec![0; n],
            one_way: HashSet::new(),
            loss: 0.0,
            double: 0.0,
            spoil: 0.0,
            delay: (Span::ZERO, Span::ZERO),
            kept: vec![vec![]; n],
            late: BinaryHeap::new(),
            waiting: HashMap::new(),
            numbered: 0,
            sockets,
        }
    }

    fn run(mut self, from: &Receiver<Event>) {
        loop {
            let due = self.late.peek().map_or(IDLE, |l| l.0.0.saturating_duration_since(Instant::now()));
            match from.recv_timeout(due.min(IDLE)) {
                Ok(Event::Came { at, from, bytes }) => self.came(at, from, &bytes),
                Ok(Event::Hears(server, at)) => {
                    self.by_address.retain(|_, s| *s != server);
                    self.by_address.insert(at, server);
                    self.servers[server] = Some(at);
                }
                Ok(Event::Act(act)) => self.act(&act),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Some(Reverse((_, no))) = self.late.peek().copied().filter(|l| l.0.0 <= Instant::now()) {
                self.late.pop();
                if let Some((from, to, bytes)) = self.waiting.remove(&no) {
                    self.pass_on(from, to, &bytes);
                }
            }
        }
    }

    fn came(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let Some(from) = self.by_address.get(&from).copied() else { return };
        let cut = self.group[from] != self.group[to] || self.one_way.contains(&(from, to));
        if cut || self.chance.rand_float() < self.loss {
            return;
        }
        for _ in 0..1 + usize::from(self.chance.rand_float() < self.double) {
            let mut bytes = bytes.to_vec();
            if self.chance.rand_float() < self.spoil && !bytes.is_empty() {
                let at = (self.chance.rand_float() * bytes.len() as f64) as usize;
                bytes[at] ^= 1 << (self.chance.rand_u64() % 8);
            }
            if self.kept[to].len() < KEPT {
                self.kept[to].push((from, bytes.clone()));
            }
            let spread = self.delay.1.less(self.delay.0).times(self.chance.rand_float());
            let wait = Duration::from_micros((self.delay.0 + spread).as_micros());
            if wait.is_zero() {
                self.pass_on(from, to, &bytes);
            } else {
                self.numbered += 1;
                self.late.push(Reverse((Instant::now() + wait, self.numbered)));
                self.waiting.insert(self.numbered, (from, to, bytes));
            }
        }
    }

    fn pass_on(&self, from: usize, to: usize, bytes: &[u8]) {
        if let Some(address) = self.servers[to] {
            let _ = self.sockets[from].send_to(bytes, address);
        }
    }

    fn act(&mut self, act: &Act) {
        match act {
            Act::Cut(groups) => {
                for (no, group) in (1..).zip(groups) {
                    group.iter().for_each(|s| self.group[*s] = no);
                }
            }
            Act::OneWay(from, to) => self.one_way.extend(to.iter().map(|t| (*from, *t))),
            Act::Heal => {
                self.group.fill(0);
                self.one_way.clear();
            }
            Act::Net { loss: None, double: None, spoil: None, delay: None } => {
                (self.loss, self.double, self.spoil) = (0.0, 0.0, 0.0);
                self.delay = (Span::ZERO, Span::ZERO);
            }
            Act::Net { loss, double, spoil, delay } => {
                self.loss = loss.unwrap_or(self.loss);
                self.double = double.unwrap_or(self.double);
                self.spoil = spoil.unwrap_or(self.spoil);
                self.delay = delay.unwrap_or(self.delay);
            }
            Act::Replay(to) => {
                for (from, bytes) in &self.kept[*to] {
                    self.pass_on(*from, *to, bytes);
                }
            }
            _ => {}
        }
    }
}
