//! UDP relays that inject network faults between real servers. Each server has a relay socket and
//! advertises the address of that socket instead of its own.
//!
//! A datagram that arrives at a server's relay is forwarded to the server from the relay socket of
//! the sender. Faults can therefore be set for each direction between two servers, and the servers
//! cannot detect the relays.

use super::network::SimulatedNetwork;
use super::script::Action;
use crate::event_queue::EventQueue;
use madderbay::time::Duration;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration as StdDuration, Instant};

/// Maximum wait for an event.
const MAX_WAIT: StdDuration = StdDuration::from_millis(200);
/// Maximum length of a datagram, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;

enum Event {
    Datagram {
        /// The server whose relay received the datagram.
        to: usize,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    /// The address at which a server receives datagrams and from which it sends them.
    ServerAddress {
        server: usize,
        address: SocketAddr,
    },
    Action(Action),
}

/// A handle to the relays of all servers. The threads that serve them end once it is dropped.
pub struct DatagramRelays {
    events: Sender<Event>,
    /// The relay address that each server advertises.
    pub addresses: Vec<SocketAddr>,
}

impl DatagramRelays {
    /// Starts one relay per server on free loopback ports. The seed determines the faults.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(servers: usize, seed: u64) -> DatagramRelays {
        let (events, received) = channel();
        let mut sockets = vec![];
        for server in 0..servers {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
            let reader = socket.try_clone().expect("a second handle of the socket");
            let events = events.clone();
            std::thread::spawn(move || read_datagrams(server, &reader, &events));
            sockets.push(socket);
        }
        let addresses = sockets
            .iter()
            .map(|socket| socket.local_addr().expect("the address of the socket"))
            .collect();
        std::thread::spawn(move || Forwarder::new(sockets, seed).run(&received));
        DatagramRelays { events, addresses }
    }

    /// Sets the address at which a started server receives datagrams.
    pub fn set_server_address(&self, server: usize, address: SocketAddr) {
        let _ = self.events.send(Event::ServerAddress { server, address });
    }

    /// Applies an action to the datagrams from now on. Actions that do not concern the network are
    /// ignored.
    pub fn act(&self, action: &Action) {
        let _ = self.events.send(Event::Action(action.clone()));
    }
}

/// Passes each datagram that a server's relay receives to the forwarder, until the forwarder has
/// ended.
fn read_datagrams(to: usize, socket: &UdpSocket, events: &Sender<Event>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // The operating system reports an error here after a datagram was sent to a server that no
        // longer runs. The socket stays usable.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let bytes = buffer[..length].to_vec();
        if events.send(Event::Datagram { to, from, bytes }).is_err() {
            return;
        }
    }
}

/// A datagram that is sent once its delay has passed.
struct DelayedDatagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Forwards datagrams between the relays in a thread of its own.
struct Forwarder {
    /// The relay socket of each server.
    sockets: Vec<UdpSocket>,
    /// The address at which each server receives; `None` before its first start.
    addresses: Vec<Option<SocketAddr>>,
    /// The server that receives at and sends from each address.
    server_by_address: HashMap<SocketAddr, usize>,
    network: SimulatedNetwork,
    delayed: EventQueue<Instant, DelayedDatagram>,
}

impl Forwarder {
    fn new(sockets: Vec<UdpSocket>, seed: u64) -> Forwarder {
        let no_delay = (Duration::ZERO, Duration::ZERO);
        Forwarder {
            addresses: vec![None; sockets.len()],
            server_by_address: HashMap::new(),
            network: SimulatedNetwork::new(sockets.len(), seed, no_delay),
            delayed: EventQueue::new(),
            sockets,
        }
    }

    /// Handles events and sends delayed datagrams when they are due, until all senders of events
    /// are gone.
    fn run(mut self, received: &Receiver<Event>) {
        loop {
            let until_next = self
                .delayed
                .next_time()
                .map_or(MAX_WAIT, |at| at.saturating_duration_since(Instant::now()));
            match received.recv_timeout(until_next.min(MAX_WAIT)) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Some((_, datagram)) = self.delayed.pop_until(Instant::now()) {
                self.send(datagram.from, datagram.to, &datagram.bytes);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Datagram { to, from, bytes } => self.forward(to, from, &bytes),
            Event::ServerAddress { server, address } => {
                self.server_by_address.retain(|_, other| *other != server);
                self.server_by_address.insert(address, server);
                self.addresses[server] = Some(address);
            }
            Event::Action(Action::Replay(to)) => {
                for (from, bytes) in self.network.retained(to) {
                    self.send(from, to, &bytes);
                }
            }
            Event::Action(action) => self.network.act(&action),
        }
    }

    /// Forwards a datagram, immediately or after its delay. Datagrams from unknown addresses are
    /// dropped.
    fn forward(&mut self, to: usize, from: SocketAddr, bytes: &[u8]) {
        let Some(from) = self.server_by_address.get(&from).copied() else {
            return;
        };
        for (delay, bytes) in self.network.carry(from, to, bytes) {
            if delay == Duration::ZERO {
                self.send(from, to, &bytes);
            } else {
                let at = Instant::now() + StdDuration::from_micros(delay.as_micros());
                self.delayed.push(at, DelayedDatagram { from, to, bytes });
            }
        }
    }

    fn send(&self, from: usize, to: usize, bytes: &[u8]) {
        if let Some(address) = self.addresses[to] {
            let _ = self.sockets[from].send_to(bytes, address);
        }
    }
}
