//! A fake engine: cores shared evenly by the runs on them, in real time.
//!
//! # What is simulated
//!
//! The engine accepts connections on loopback and speaks the engine's line protocol. Only the
//! newest connection is served; lines from earlier connections are ignored.
//!
//! Each run needs an amount of work on one core that is drawn at random. A run of a handler that
//! makes calls asks for its call (`NEED`) at half of its work and waits for `FEED` or `SKIP`. A run
//! ends (`DONE`) as `good` when its work is done, and as `cut` when it is halted. A run that is
//! started after its request was answered ends at once as `gone`.
//!
//! Notices are numbered and retained, so that a server that attaches again receives those that it
//! has missed.
//!
//! # Faults
//!
//! [`Engine::break_link`](crate::engine::Engine::break_link) closes the current connection.
//! [`Engine::stop_reading`](crate::engine::Engine::stop_reading) makes the engine read nothing more
//! from it. [`Engine::hang_runs`](crate::engine::Engine::hang_runs) makes the runs in progress hang
//! forever. A run whose handler the engine does not know is rejected with `NO`. A `HALT` of a run
//! that the engine does not have is silently ignored.

mod core_pool;

use self::core_pool::CorePool;
use crate::peer::loopback_listener;
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

/// Describes the work of the runs of one handler.
#[derive(Clone, Debug)]
pub struct HandlerWork {
    /// Name of the handler, as given in `RUN`.
    pub handler: String,
    /// Minimum and maximum work of a run on one core, in milliseconds; the work is drawn uniformly
    /// from this range.
    pub ms: (f64, f64),
    /// Whether a run makes an upstream call.
    pub calls: bool,
}

impl HandlerWork {
    /// Creates the description of a handler's runs; `ms` is their minimum and maximum work in
    /// milliseconds.
    pub fn new(handler: &str, ms: (f64, f64), calls: bool) -> HandlerWork {
        HandlerWork {
            handler: handler.into(),
            ms,
            calls,
        }
    }
}

/// Statistics of the engine since its start.
#[derive(Clone, Debug, Default)]
pub struct EngineStats {
    /// Number of runs for each request body, in base64, that runs were started with.
    pub bodies: HashMap<String, u32>,
    /// Largest number of runs that existed at the same time.
    pub peak_runs: usize,
    /// Events of each run in order, by the run's name.
    pub runs: HashMap<String, Vec<RunEvent>>,
}

/// One event of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEvent {
    /// Time since the engine's start.
    pub at: Duration,
    /// Kind of the command that was read, or of the notice that was sent.
    pub kind: String,
}

enum Event {
    Connected(TcpStream),
    Line {
        connection: u64,
        line: String,
    },
    /// A request was answered: its run ends once it waits for a call, and does not begin if it has
    /// not begun yet.
    RequestAnswered(String),
    Stats(Sender<EngineStats>),
    StopReading,
    BreakLink,
    HangRuns,
}

/// Handle to a fake engine. Clones refer to the same engine; the engine's thread ends with the last
/// handle and connection.
#[derive(Clone)]
pub struct Engine {
    /// Address that the engine listens on.
    pub address: SocketAddr,
    events: Sender<Event>,
}

impl Engine {
    /// Starts an engine with `cores` cores on a free loopback port. `seed` determines the work of
    /// the runs.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(cores: f64, works: Vec<HandlerWork>, seed: u64) -> Engine {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("listener has a local address");
        let (events, received) = channel();
        let accepted = events.clone();
        std::thread::spawn(move || accept(&listener, &accepted));
        let lines = events.clone();
        std::thread::spawn(move || CorePool::new(cores, works, seed).run(&received, &lines));
        Engine { address, events }
    }

    /// Tells the engine that the request `name` was answered: its run ends once it waits for a
    /// call, and does not begin if it has not begun yet.
    pub fn answered(&self, name: &str) {
        let _ = self.events.send(Event::RequestAnswered(name.into()));
    }

    /// Fault: closes the current connection.
    pub fn break_link(&self) {
        let _ = self.events.send(Event::BreakLink);
    }

    /// Fault: the runs in progress never end, whatever is commanded, and no longer use the cores.
    pub fn hang_runs(&self) {
        let _ = self.events.send(Event::HangRuns);
    }

    /// Fault: reads nothing more from the current connection; notices are still sent on it.
    pub fn stop_reading(&self) {
        let _ = self.events.send(Event::StopReading);
    }

    /// Returns the statistics since the engine's start; empty if the engine does not answer within
    /// [`WAIT_TIMEOUT`](crate::WAIT_TIMEOUT).
    pub fn stats(&self) -> EngineStats {
        let (reply, received) = channel();
        let _ = self.events.send(Event::Stats(reply));
        received
            .recv_timeout(crate::WAIT_TIMEOUT)
            .unwrap_or_default()
    }
}

/// Sends each accepted connection to the engine's thread until that thread has ended.
fn accept(listener: &TcpListener, events: &Sender<Event>) {
    for stream in listener.incoming().map_while(Result::ok) {
        if events.send(Event::Connected(stream)).is_err() {
            return;
        }
    }
}

/// Sends each line of a connection to the engine's thread until the connection or the thread has
/// ended.
fn read_lines(connection: u64, stream: TcpStream, events: &Sender<Event>) {
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if events.send(Event::Line { connection, line }).is_err() {
            return;
        }
    }
}
