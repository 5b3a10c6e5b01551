//! A fake catalogue with a fixed number of slots: each call occupies one slot, in the order of
//! arrival.
//!
//! # What is simulated
//!
//! The catalogue accepts connections on loopback and reads `FETCH` commands. The oldest calls in
//! flight, one per slot, progress in real time; the others wait. A finished call is answered with
//! `DATA`. A call whose connection closes is dropped.
//!
//! # Faults
//!
//! [`Catalogue::set_behavior`](crate::catalogue::Catalogue::set_behavior) sets one
//! [`Behavior`](crate::catalogue::Behavior) for all calls, including those in flight: slow,
//! failing, rejecting, silent, closing connections, or sending replies byte by byte.

use crate::peer::loopback_listener;
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// Minimum step of time in which calls are advanced.
const TIME_SLICE: Duration = Duration::from_millis(1);
/// Maximum wait for an event.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Interval between samples of the calls in flight, in milliseconds.
const SAMPLE_INTERVAL_MS: u128 = 10;

/// How the catalogue handles its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Calls take this multiple of the usual time; 1 is healthy.
    Slow(f64),
    /// Calls are answered with `FAULT` at once.
    Fails,
    /// Calls are answered with `LATER` at once.
    Rejects,
    /// Calls are never answered.
    Silent,
    /// The connection is closed instead of sending a reply.
    Resets,
    /// Replies are written byte by byte.
    ByteByByte,
}

/// Statistics of the catalogue since its start.
#[derive(Clone, Debug, Default)]
pub struct CatalogueStats {
    /// Number of calls in flight, sampled every 10 ms.
    pub in_flight: Vec<usize>,
    /// Largest number of calls in flight since [`Catalogue::peak`] was last called.
    pub peak: usize,
    /// Number of calls that were finished.
    pub done: u32,
    /// Number of calls that arrived, whatever their outcome.
    pub received: u32,
    /// Number of finished calls by the name of the request that they were made for.
    pub done_by_name: HashMap<String, u32>,
}

enum Event {
    Connected { connection: u64, stream: TcpStream },
    Disconnected { connection: u64 },
    Call { connection: u64, name: String },
    SetBehavior(Behavior),
    Stats(Sender<CatalogueStats>),
    Peak(Sender<usize>),
}

/// Handle to a fake catalogue. Clones refer to the same catalogue; the catalogue's thread ends with
/// the last handle and connection.
#[derive(Clone)]
pub struct Catalogue {
    /// Address that the catalogue listens on.
    pub address: SocketAddr,
    events: Sender<Event>,
}

impl Catalogue {
    /// Starts a catalogue with `slots` slots on a free loopback port. A call occupies its slot for
    /// `call_duration`.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(slots: usize, call_duration: Duration) -> Catalogue {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("listener has a local address");
        let (events, received) = channel();
        let accepted = events.clone();
        std::thread::spawn(move || accept(&listener, &accepted));
        std::thread::spawn(move || Slots::new(slots, call_duration).run(&received));
        Catalogue { address, events }
    }

    /// Fault: sets how all calls are handled from now on, including those in flight.
    pub fn set_behavior(&self, behavior: Behavior) {
        let _ = self.events.send(Event::SetBehavior(behavior));
    }

    /// Returns the largest number of calls in flight since this method was last called;
    /// `usize::MAX` if the catalogue does not answer within [`WAIT_TIMEOUT`](crate::WAIT_TIMEOUT).
    pub fn peak(&self) -> usize {
        let (reply, received) = channel();
        let _ = self.events.send(Event::Peak(reply));
        received
            .recv_timeout(crate::WAIT_TIMEOUT)
            .unwrap_or(usize::MAX)
    }

    /// Returns the statistics since the catalogue's start; empty if the catalogue does not answer
    /// within [`WAIT_TIMEOUT`](crate::WAIT_TIMEOUT).
    pub fn stats(&self) -> CatalogueStats {
        let (reply, received) = channel();
        let _ = self.events.send(Event::Stats(reply));
        received
            .recv_timeout(crate::WAIT_TIMEOUT)
            .unwrap_or_default()
    }
}

/// Sends each accepted connection to the catalogue's thread and starts a thread that reads it,
/// until the catalogue's thread has ended.
fn accept(listener: &TcpListener, events: &Sender<Event>) {
    for (connection, stream) in (0u64..).zip(listener.incoming().map_while(Result::ok)) {
        let _ = stream.set_nodelay(true);
        let reader = stream.try_clone().expect("stream can be cloned");
        if events
            .send(Event::Connected { connection, stream })
            .is_err()
        {
            return;
        }
        let events = events.clone();
        std::thread::spawn(move || {
            let _ = read_calls(connection, reader, &events);
            let _ = events.send(Event::Disconnected { connection });
        });
    }
}

/// Sends each call of a connection to the catalogue's thread until the connection or that thread
/// has ended.
fn read_calls(connection: u64, stream: TcpStream, events: &Sender<Event>) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["FETCH", name, _, length] = words[..] else {
            continue;
        };
        // The body ends with CR and LF.
        let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
        reader.read_exact(&mut body)?;
        let name = name.into();
        if events.send(Event::Call { connection, name }).is_err() {
            return Ok(());
        }
    }
}

struct Call {
    connection: u64,
    name: String,
    /// Fraction of the call's work that is not done yet, from 1 to 0.
    remaining: f64,
}

/// State of the catalogue, owned by its thread.
struct Slots {
    slots: usize,
    call_duration: Duration,
    behavior: Behavior,
    /// Calls in flight in the order of arrival; the first `slots` of them have a slot each.
    calls: VecDeque<Call>,
    connections: HashMap<u64, TcpStream>,
    stats: CatalogueStats,
}

impl Slots {
    fn new(slots: usize, call_duration: Duration) -> Slots {
        Slots {
            slots,
            call_duration,
            behavior: Behavior::Slow(1.0),
            calls: VecDeque::new(),
            connections: HashMap::new(),
            stats: CatalogueStats::default(),
        }
    }

    /// Handles events and advances the calls in between, until all handles and connections are
    /// gone.
    fn run(mut self, received: &Receiver<Event>) {
        let started = Instant::now();
        let mut worked = started;
        loop {
            let event = received.recv_timeout(self.time_to_next_completion());
            self.sample(started);
            // Advances the calls up to the time of the event before the event changes them.
            let passed = worked.elapsed();
            if passed >= TIME_SLICE || self.calls.is_empty() {
                worked = Instant::now();
                self.apply_behavior(passed.as_secs_f64());
            }
            match event {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Returns the time until the next call is finished, if no event comes before. The thread
    /// sleeps until then, so that many catalogues leave the machine's cores to the servers.
    fn time_to_next_completion(&self) -> Duration {
        let slowdown = match self.behavior {
            _ if self.calls.is_empty() => return IDLE_WAIT,
            Behavior::Silent => return IDLE_WAIT,
            Behavior::Fails | Behavior::Rejects | Behavior::Resets => return TIME_SLICE,
            Behavior::Slow(slowdown) => slowdown,
            Behavior::ByteByByte => 1.0,
        };
        let in_slots = self.calls.iter().take(self.slots);
        let remaining = in_slots.map(|call| call.remaining).fold(1.0, f64::min);
        let wait = self.call_duration.mul_f64(remaining.max(0.0) * slowdown);
        wait.clamp(TIME_SLICE, IDLE_WAIT)
    }

    /// Adds the samples of the calls in flight that are due by now.
    fn sample(&mut self, started: Instant) {
        let samples = (started.elapsed().as_millis() / SAMPLE_INTERVAL_MS) as usize;
        if self.stats.in_flight.len() < samples {
            self.stats.in_flight.resize(samples, self.calls.len());
        }
    }

    fn apply_behavior(&mut self, secs: f64) {
        match self.behavior {
            Behavior::Slow(slowdown) => self.advance_calls(secs, slowdown),
            Behavior::ByteByByte => self.advance_calls(secs, 1.0),
            Behavior::Silent => {}
            Behavior::Fails => self.reject_all("FAULT"),
            Behavior::Rejects => self.reject_all("LATER"),
            Behavior::Resets => self.reset_all(),
        }
    }

    /// Advances the calls that have a slot, and answers those that are finished.
    fn advance_calls(&mut self, secs: f64, slowdown: f64) {
        let done = secs / (self.call_duration.as_secs_f64() * slowdown);
        for call in self.calls.iter_mut().take(self.slots) {
            call.remaining -= done;
        }
        let (finished, waiting): (Vec<Call>, Vec<Call>) = std::mem::take(&mut self.calls)
            .into_iter()
            .partition(|call| call.remaining <= 0.0);
        self.calls = waiting.into();
        for call in finished {
            self.stats.done += 1;
            *self
                .stats
                .done_by_name
                .entry(call.name.clone())
                .or_default() += 1;
            self.reply(call.connection, &format!("{} DATA 2\r\nok\r\n", call.name));
        }
    }

    /// Answers all calls in flight with `word`, the protocol's word for a failure.
    fn reject_all(&mut self, word: &str) {
        for call in std::mem::take(&mut self.calls) {
            self.reply(call.connection, &format!("{} {word}\r\n", call.name));
        }
    }

    /// Closes the connections of all calls in flight.
    fn reset_all(&mut self) {
        for call in std::mem::take(&mut self.calls) {
            if let Some(stream) = self.connections.remove(&call.connection) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Writes to a connection, if it is still open.
    fn reply(&mut self, connection: u64, text: &str) {
        let Some(stream) = self.connections.get_mut(&connection) else {
            return;
        };
        let chunk_bytes = if self.behavior == Behavior::ByteByByte {
            1
        } else {
            text.len()
        };
        for bytes in text.as_bytes().chunks(chunk_bytes) {
            let _ = stream.write_all(bytes);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { connection, name } => {
                self.calls.push_back(Call {
                    connection,
                    name,
                    remaining: 1.0,
                });
                self.stats.received += 1;
                self.stats.peak = self.stats.peak.max(self.calls.len());
            }
            Event::Disconnected { connection } => {
                self.connections.remove(&connection);
                self.calls.retain(|call| call.connection != connection);
            }
            Event::Connected { connection, stream } => {
                self.connections.insert(connection, stream);
            }
            Event::SetBehavior(behavior) => self.behavior = behavior,
            Event::Peak(reply) => {
                let _ = reply.send(std::mem::replace(&mut self.stats.peak, self.calls.len()));
            }
            Event::Stats(reply) => {
                let _ = reply.send(self.stats.clone());
            }
        }
    }
}
