//! The scenario of the examples `pools`, `shares` and `shared`: a catalogue with few slots that is
//! 20 times slower for some seconds, while more requests arrive for the first of these.

use super::loads::{LoadTarget, request_kind};
use crate::catalogue::{Behavior, Catalogue};
use crate::engine::{Engine, HandlerWork};
use crate::load_balancer::{Load, Rates, RequestKind, RequestRecord};
use crate::registry::Registry;
use crate::server::{Dependencies, Server, configuration};
use std::ops::Range;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// When the fault begins.
pub const CALM: Duration = Duration::from_secs(5);
/// When the fault is over.
pub const OVER: Duration = Duration::from_secs(13);
/// The length of the load.
pub const LENGTH: Duration = Duration::from_secs(20);
/// What clients wait for an answer, in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 8_000;
/// The slots of the catalogue.
pub const SLOTS: usize = 8;
/// What a call takes.
pub const CALL: Duration = Duration::from_millis(25);

/// Requests a second without the fault, and at its beginning.
const RATE: f64 = 90.0;
const PEAK_RATE: f64 = 144.0;
/// How long the peak lasts.
const PEAK: Duration = Duration::from_secs(5);
/// How much slower the catalogue is.
const SLOW_DOWN: f64 = 20.0;
/// The time between two samples of the calls in flight, in milliseconds.
const SAMPLE_MS: usize = 10;
/// What is waited for a server's first report, and for each line of its log.
const SERVER_TIMEOUT: Duration = Duration::from_secs(10);
/// The time that a server's shutdown may take, in milliseconds.
const SHUTDOWN_MS: u64 = 3_000;
/// Connections that a server may have.
const MAX_SOCKETS: usize = 256;
/// The cores of the engine.
const ENGINE_CORES: f64 = 4.0;

/// Trip searches, fare quotes and seat bookings.
pub fn kinds() -> Vec<RequestKind> {
    let ms = Duration::from_millis;
    vec![
        request_kind("trip-search", 30.0, ms(2_000), false),
        request_kind("fare-quote", 40.0, ms(1_500), false),
        request_kind("seat-book", 20.0, ms(3_000), true),
    ]
}

/// What the engine does for these.
pub fn works() -> Vec<HandlerWork> {
    vec![
        HandlerWork::new("trip-search", (40.0, 40.0), true),
        HandlerWork::new("fare-quote", (20.0, 20.0), false),
        HandlerWork::new("seat-book", (40.0, 40.0), true),
    ]
}

/// The rates of the load; without the fault there is no peak.
pub fn rates(fault: bool) -> Rates {
    if fault {
        vec![
            (Duration::ZERO, RATE),
            (CALM, PEAK_RATE),
            (CALM + PEAK, RATE),
        ]
    } else {
        vec![(Duration::ZERO, RATE)]
    }
}

/// Slows the catalogue down from [`CALM`] to [`OVER`].
pub struct SlowDown<'a> {
    catalogue: &'a Catalogue,
    slow: bool,
}

impl SlowDown<'_> {
    /// Begins with a healthy catalogue.
    pub fn of(catalogue: &Catalogue) -> SlowDown<'_> {
        SlowDown {
            catalogue,
            slow: false,
        }
    }

    /// To be called with the time since the beginning, often.
    pub fn tick(&mut self, now: Duration) {
        let slow = (CALM..OVER).contains(&now);
        if std::mem::replace(&mut self.slow, slow) != slow {
            let times = if slow { SLOW_DOWN } else { 1.0 };
            self.catalogue.set_behavior(Behavior::Slow(times));
        }
    }
}

/// What a run against one server has shown.
pub struct ServerRun {
    /// All requests.
    pub records: Vec<RequestRecord>,
    /// The violated rules, a line each.
    pub violations: Vec<String>,
    /// The log of the server, each line with the time since the beginning.
    pub log: Vec<(Duration, String)>,
    /// The processor time of the server for each request, in milliseconds.
    pub cpu_ms: f64,
    /// Calls in flight at the catalogue, sampled since the beginning.
    in_flight: Vec<usize>,
}

impl ServerRun {
    /// The most calls in flight at the catalogue in a time since the beginning.
    pub fn peak(&self, time: Range<Duration>) -> usize {
        let sample = |at: Duration| (at.as_millis() as usize / SAMPLE_MS).min(self.in_flight.len());
        let samples = &self.in_flight[sample(time.start)..sample(time.end)];
        samples.iter().copied().max().unwrap_or(0)
    }
}

/// One server between fakes of its own.
pub struct SingleServer {
    server: Server,
    engine: Engine,
    catalogue: Catalogue,
    log: Receiver<(Instant, String)>,
    _registry: Registry,
}

impl SingleServer {
    /// Starts a server with the platform's settings and an operator file, if one is given, and
    /// waits until it has reported itself and is connected with the engine.
    ///
    /// # Panics
    ///
    /// If that fails.
    pub fn start(
        binary: &Path,
        settings: &str,
        operator: Option<&str>,
        works: Vec<HandlerWork>,
        seed: u64,
    ) -> SingleServer {
        let engine = Engine::start(ENGINE_CORES, works, seed);
        let catalogue = Catalogue::start(SLOTS, CALL);
        let registry = Registry::start();
        let dependencies = Dependencies {
            engine: engine.address,
            registry: registry.address,
            catalogue: catalogue.address,
        };
        let listen = "127.0.0.1:0";
        let text = configuration(listen, dependencies, MAX_SOCKETS, SHUTDOWN_MS, settings);
        let mut server = Server::start(binary, &text, operator);
        let report = registry.reports.recv_timeout(SERVER_TIMEOUT);
        report.expect("a report");
        server.log_at("engine: up");
        let log = server.follow();
        SingleServer {
            server,
            engine,
            catalogue,
            log,
            _registry: registry,
        }
    }

    /// Sends a load, with the fault or without it, and ends the server.
    pub fn run(self, load: &Load, fault: bool) -> ServerRun {
        let target = LoadTarget {
            server: self.server.address,
            engine: self.engine.clone(),
        };
        let (began, first_sample) = (Instant::now(), self.catalogue.stats().in_flight.len());
        let cpu_before = self.server.cpu();
        let mut slow_down = SlowDown::of(&self.catalogue);
        let records = target.send(load, |now| {
            if fault {
                slow_down.tick(now);
            }
        });
        let cpu_ms = (self.server.cpu() - cpu_before) * 1e3 / records.len() as f64;
        let violations = target.violations(load, &records);
        self.server.signal("-TERM");
        let mut log = vec![];
        while let Ok((at, line)) = self.log.recv_timeout(SERVER_TIMEOUT) {
            log.push((at.saturating_duration_since(began), line));
        }
        ServerRun {
            records,
            violations,
            log,
            cpu_ms,
            in_flight: self.catalogue.stats().in_flight.split_off(first_sample),
        }
    }
}
