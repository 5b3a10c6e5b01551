//! A fake engine: cores shared evenly by the runs on them, in real time.
//!
//! # What is simulated
//!
//! The engine accepts connections on loopback and speaks the engine's line protocol. Only the
//! newest connection is served; lines of former ones are ignored. A run works for a drawn time on
//! one core. A run of a handler that makes calls asks for its call (`NEED`) at half of its work and
//! waits until it gets `FEED` or `SKIP`. A run ends (`DONE`) as `good` when its work is done, and
//! as `cut` when it is halted. A run that is to begin when its request is over already ends as `gone`. Notices are numbered and retained, so that a server that attaches
//! again receives those that it has missed.
//!
//! # Faults
//!
//! [`Engine::break_link`](crate::engine::Engine::break_link) closes the connection in use, and
//! [`Engine::stop_reading`](crate::engine::Engine::stop_reading) leaves unread what comes on it from
//! then on. [`Engine::hang_runs`](crate::engine::Engine::hang_runs) makes the runs that go on hang for good. A run whose handler the engine doesn't know is rejected with `NO`. A `HALT` of a run that
//! it doesn't have is passed over in silence.

mod core_pool;

use self::core_pool::CorePool;
use crate::peer::loopback_listener;
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

/// What the runs of one handler do.
#[derive(Clone, Debug)]
pub struct HandlerWork {
    /// The handler's name, as `RUN` has it.
    pub handler: String,
    /// The least and the most work of a run on one core, in milliseconds; drawn evenly between
    /// them.
    pub ms: (f64, f64),
    /// Whether a run makes a call.
    pub calls: bool,
}

impl HandlerWork {
    /// Runs of a handler with the least and the most work in milliseconds.
    pub fn new(handler: &str, ms: (f64, f64), calls: bool) -> HandlerWork {
        HandlerWork {
            handler: handler.into(),
            ms,
            calls,
        }
    }
}

/// What the engine has seen since its start.
#[derive(Clone, Debug, Default)]
pub struct EngineStats {
    /// The number of runs by the body that they were started with, in base64.
    pub bodies: HashMap<String, u32>,
    /// The most runs at any time.
    pub peak_runs: usize,
    /// What happened to each run, by its name, in order.
    pub runs: HashMap<String, Vec<RunEvent>>,
}

/// What happened to a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEvent {
    /// The time since the engine's start.
    pub at: Duration,
    /// The kind of the command that was read, or of the notice that was sent.
    pub kind: String,
}

enum Event {
    Connected(TcpStream),
    Line {
        connection: u64,
        line: String,
    },
    /// A request is answered: its run ends when it waits for a call, or is not begun.
    RequestAnswered(String),
    Stats(Sender<EngineStats>),
    StopReading,
    BreakLink,
    HangRuns,
}

/// A handle on a fake engine. It may be cloned; the engine's thread ends with the last handle and
/// connection.
#[derive(Clone)]
pub struct Engine {
    /// Where the engine listens.
    pub address: SocketAddr,
    events: Sender<Event>,
}

impl Engine {
    /// Starts an engine with a number of cores on a free loopback port. The seed determines the
    /// work of the runs.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(cores: f64, works: Vec<HandlerWork>, seed: u64) -> Engine {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("an address");
        let (events, received) = channel();
        let accepted = events.clone();
        std::thread::spawn(move || accept(&listener, &accepted));
        let lines = events.clone();
        std::thread::spawn(move || CorePool::new(cores, works, seed).run(&received, &lines));
        Engine { address, events }
    }

    /// Reports that the request with this name is answered: its run ends when it waits for a call, and does not begin
    /// if it has not begun yet.
    pub fn answered(&self, name: &str) {
        let _ = self.events.send(Event::RequestAnswered(name.into()));
    }

    /// Fault: closes the connection in use.
    pub fn break_link(&self) {
        let _ = self.events.send(Event::BreakLink);
    }

    /// Fault: the runs that go on never end, whatever is commanded, and leave the cores.
    pub fn hang_runs(&self) {
        let _ = self.events.send(Event::HangRuns);
    }

    /// Fault: reads nothing more on the connection in use; its notices are still sent.
    pub fn stop_reading(&self) {
        let _ = self.events.send(Event::StopReading);
    }

    /// What the engine has seen since its start; empty when it doesn't answer in time.
    pub fn stats(&self) -> EngineStats {
        let (reply, received) = channel();
        let _ = self.events.send(Event::Stats(reply));
        received
            .recv_timeout(crate::WAIT_TIMEOUT)
            .unwrap_or_default()
    }
}

/// Passes on each connection until the engine is gone.
fn accept(listener: &TcpListener, events: &Sender<Event>) {
    for stream in listener.incoming().map_while(Result::ok) {
        if events.send(Event::Connected(stream)).is_err() {
            return;
        }
    }
}

/// Passes on each line of a connection until either end is gone.
fn read_lines(connection: u64, stream: TcpStream, events: &Sender<Event>) {
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if events.send(Event::Line { connection, line }).is_err() {
            return;
        }
    }
}
