//! Relays between real servers: one UDP socket for each server, whose address is the one that the
//! server advertises.
//!
//! A datagram that reaches the relay of one server is forwarded to it from the relay of the sender.
//! Thus every directed pair of servers can have faults, and no server can tell that there are
//! relays.

use super::network::SimulatedNetwork;
use super::script::Action;
use crate::event_queue::EventQueue;
use madderbay::time::Duration;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration as StdDuration, Instant};

/// The longest wait for an event.
const MAX_WAIT: StdDuration = StdDuration::from_millis(200);
/// The largest datagram that is forwarded whole; larger ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;

enum Event {
    Datagram {
        /// The server whose relay received it.
        to: usize,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A server receives at that address and sends from it.
    ServerAddress {
        server: usize,
        address: SocketAddr,
    },
    Action(Action),
}

/// The relays of all servers, served by threads that end with this handle.
pub struct DatagramRelays {
    events: Sender<Event>,
    /// The address that each server advertises.
    pub addresses: Vec<SocketAddr>,
}

impl DatagramRelays {
    /// Starts relays on free loopback ports. The seed determines the faults.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(servers: usize, seed: u64) -> DatagramRelays {
        let (events, received) = channel();
        let mut sockets = vec![];
        for server in 0..servers {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
            let reader = socket.try_clone().expect("a second handle");
            let events = events.clone();
            std::thread::spawn(move || read_datagrams(server, &reader, &events));
            sockets.push(socket);
        }
        let addresses = sockets
            .iter()
            .map(|socket| socket.local_addr().expect("an address"))
            .collect();
        std::thread::spawn(move || Forwarder::new(sockets, seed).run(&received));
        DatagramRelays { events, addresses }
    }

    /// A server was started and receives at this address.
    pub fn set_server_address(&self, server: usize, address: SocketAddr) {
        let _ = self.events.send(Event::ServerAddress { server, address });
    }

    /// Carries out an action on the network from here on; all other actions are ignored.
    pub fn act(&self, action: &Action) {
        let _ = self.events.send(Event::Action(action.clone()));
    }
}

/// Hands on what the relay of a server receives, until the carrier is gone.
fn read_datagrams(to: usize, socket: &UdpSocket, events: &Sender<Event>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An error is about a datagram that was sent to a server that is gone.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let bytes = buffer[..length].to_vec();
        if events.send(Event::Datagram { to, from, bytes }).is_err() {
            return;
        }
    }
}

/// A datagram that is delayed.
struct DelayedDatagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Carries datagrams between the relays, in a thread of its own.
struct Forwarder {
    /// The relay of each server.
    sockets: Vec<UdpSocket>,
    /// Where each server receives, once it was started.
    addresses: Vec<Option<SocketAddr>>,
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

    /// Handles events and sends delayed datagrams in between, until all handles are gone.
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

    /// Forwards a datagram at once or later. One from an unknown address is dropped.
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
