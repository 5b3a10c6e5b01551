//! All datagrams of a stand pass here: one relay socket a server, whose address is what that server is told as.
//! A datagram that reaches the relay of one server goes on to it from the relay of the sender, so that every
//! directed pair can be meddled with and no server can tell.

use super::network::SimulatedNetwork;
use super::script::Action;
use madderbay::time::Duration;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration as StdDuration, Instant};

/// How often the carrier looks up where nothing comes.
const IDLE: StdDuration = StdDuration::from_millis(200);

enum Event {
    Came {
        at: usize,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A server hears at that address and sends from it.
    Hears(usize, SocketAddr),
    Action(Action),
}

/// The relays of all servers, and the thread that carries between them.
pub struct DatagramRelays {
    to: Sender<Event>,
    /// What each server is told as.
    pub addresses: Vec<SocketAddr>,
}

impl DatagramRelays {
    pub fn start(servers: usize, seed: u64) -> DatagramRelays {
        let (to, from) = channel();
        let mut sockets = vec![];
        for at in 0..servers {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
            let (hears, to) = (socket.try_clone().expect("a second handle"), to.clone());
            std::thread::spawn(move || {
                let mut buffer = [0; 2_048];
                loop {
                    // An error is told for something sent to one that is gone.
                    let Ok((length, from)) = hears.recv_from(&mut buffer) else {
                        continue;
                    };
                    if to
                        .send(Event::Came {
                            at,
                            from,
                            bytes: buffer[..length].to_vec(),
                        })
                        .is_err()
                    {
                        return;
                    }
                }
            });
            sockets.push(socket);
        }
        let addresses = sockets
            .iter()
            .map(|s| s.local_addr().expect("an address"))
            .collect();
        std::thread::spawn(move || Carrier::new(sockets, seed).run(&from));
        DatagramRelays { to, addresses }
    }

    /// A server, started anew, hears at this address.
    pub fn hears(&self, server: usize, at: SocketAddr) {
        let _ = self.to.send(Event::Hears(server, at));
    }

    /// Meddles from here on with what is carried.
    pub fn act(&self, act: &Action) {
        let _ = self.to.send(Event::Action(act.clone()));
    }
}

struct Carrier {
    sockets: Vec<UdpSocket>,
    servers: Vec<Option<SocketAddr>>,
    by_address: HashMap<SocketAddr, usize>,
    net: SimulatedNetwork,
    late: BinaryHeap<Reverse<(Instant, u64)>>,
    waiting: HashMap<u64, (usize, usize, Vec<u8>)>,
    numbered: u64,
}

impl Carrier {
    fn new(sockets: Vec<UdpSocket>, seed: u64) -> Carrier {
        Carrier {
            servers: vec![None; sockets.len()],
            by_address: HashMap::new(),
            net: SimulatedNetwork::new(sockets.len(), seed, (Duration::ZERO, Duration::ZERO)),
            late: BinaryHeap::new(),
            waiting: HashMap::new(),
            numbered: 0,
            sockets,
        }
    }

    fn run(mut self, from: &Receiver<Event>) {
        loop {
            let due = self
                .late
                .peek()
                .map_or(IDLE, |l| l.0.0.saturating_duration_since(Instant::now()));
            match from.recv_timeout(due.min(IDLE)) {
                Ok(Event::Came { at, from, bytes }) => self.came(at, from, &bytes),
                Ok(Event::Hears(server, at)) => {
                    self.by_address.retain(|_, s| *s != server);
                    self.by_address.insert(at, server);
                    self.servers[server] = Some(at);
                }
                Ok(Event::Action(act)) => self.act(&act),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Some(Reverse((_, no))) = self
                .late
                .peek()
                .copied()
                .filter(|l| l.0.0 <= Instant::now())
            {
                self.late.pop();
                if let Some((from, to, bytes)) = self.waiting.remove(&no) {
                    self.pass_on(from, to, &bytes);
                }
            }
        }
    }

    fn came(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let Some(from) = self.by_address.get(&from).copied() else {
            return;
        };
        for (after, bytes) in self.net.carry(from, to, bytes) {
            if after == Duration::ZERO {
                self.pass_on(from, to, &bytes);
            } else {
                self.numbered += 1;
                let at = Instant::now() + StdDuration::from_micros(after.as_micros());
                self.late.push(Reverse((at, self.numbered)));
                self.waiting.insert(self.numbered, (from, to, bytes));
            }
        }
    }

    fn pass_on(&self, from: usize, to: usize, bytes: &[u8]) {
        if let Some(address) = self.servers[to] {
            let _ = self.sockets[from].send_to(bytes, address);
        }
    }

    fn act(&mut self, act: &Action) {
        if let Action::Replay(to) = act {
            self.net
                .kept(*to)
                .iter()
                .for_each(|(from, bytes)| self.pass_on(*from, *to, bytes));
        }
        self.net.act(act);
    }
}
