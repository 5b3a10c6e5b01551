//! The scenario of the examples `pools` and `quotas`: a catalogue with few slots that is 20 times
//! slower for some seconds, while more requests arrive for the first of these.
//!
//! [`Scenario`](crate::measurement::trips::Scenario) is the whole of it against one server, and
//! owns that server with its fakes while it runs. Fleets take the parts that they need.

use super::fleets::release_binary;
use super::loads::{LoadTarget, request_kind};
use super::report::cpu_ms_per_request;
use crate::catalogue::{Behavior, Catalogue};
use crate::engine::{Engine, HandlerWork};
use crate::load_balancer::{Load, Rates, RequestKind, RequestRecord};
use crate::registry::Registry;
use crate::server::{Dependencies, Server, configuration};
use std::ops::Range;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// The time before the fault, since the beginning of the load.
pub const BEFORE_FAULT: Range<Duration> = Duration::ZERO..FAULT_START;
/// The time of the fault since the beginning of the load.
pub const FAULT: Range<Duration> = FAULT_START..FAULT_END;
/// The time from the end of the fault to the end of the load.
pub const AFTER_FAULT: Range<Duration> = FAULT_END..LOAD_LENGTH;
/// The length of the load.
pub const LOAD_LENGTH: Duration = Duration::from_secs(20);
/// The time that clients wait for an answer, in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 8_000;
/// The slots of the catalogue.
pub const SLOTS: usize = 8;
/// The time of a call.
pub const CALL: Duration = Duration::from_millis(25);

const FAULT_START: Duration = Duration::from_secs(5);
const FAULT_END: Duration = Duration::from_secs(13);
/// Requests a second without the fault.
const RATE: f64 = 90.0;
/// Requests a second at the beginning of the fault.
const PEAK_RATE: f64 = 144.0;
/// The time for which requests arrive at the peak rate.
const PEAK: Duration = Duration::from_secs(5);
/// How many times slower the catalogue is.
const SLOWDOWN_FACTOR: f64 = 20.0;
/// The time between two samples of the calls in flight, in milliseconds.
const SAMPLE_MS: usize = 10;
/// Upper bound on the wait for a server's first report, and for each line of its log.
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
            (FAULT_START, PEAK_RATE),
            (FAULT_START + PEAK, RATE),
        ]
    } else {
        vec![(Duration::ZERO, RATE)]
    }
}

/// Slows the catalogue down during [`FAULT`].
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
        let slow = FAULT.contains(&now);
        if std::mem::replace(&mut self.slow, slow) != slow {
            let factor = if slow { SLOWDOWN_FACTOR } else { 1.0 };
            self.catalogue.set_behavior(Behavior::Slow(factor));
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
    /// The most calls in flight at the catalogue during a time since the beginning of the load.
    pub fn peak(&self, time: Range<Duration>) -> usize {
        let sample = |at: Duration| (at.as_millis() as usize / SAMPLE_MS).min(self.in_flight.len());
        let samples = &self.in_flight[sample(time.start)..sample(time.end)];
        samples.iter().copied().max().unwrap_or(0)
    }
}

/// The scenario against one server.
pub struct Scenario<'a> {
    /// The platform's settings of the server.
    pub settings: &'a str,
    /// Its operator file, if it has one.
    pub operator: Option<&'a str>,
    /// What arrives.
    pub kinds: Vec<RequestKind>,
    /// What the engine does for it.
    pub works: Vec<HandlerWork>,
    /// Whether the catalogue has its fault.
    pub fault: bool,
    /// Determines the load and the fakes.
    pub seed: u64,
}

impl Scenario<'_> {
    /// Starts a server, sends the load and ends the server.
    ///
    /// # Panics
    ///
    /// If the server or a fake does not start.
    pub fn run(self) -> ServerRun {
        let load = Load {
            kinds: self.kinds,
            rates: rates(self.fault),
            length: LOAD_LENGTH,
            seed: self.seed,
            timeout_ms: REQUEST_TIMEOUT_MS,
        };
        let server = SingleServer::start(self.settings, self.operator, self.works, self.seed);
        server.run(&load, self.fault)
    }
}

/// One server between fakes of its own.
struct SingleServer {
    server: Server,
    engine: Engine,
    catalogue: Catalogue,
    log: Receiver<(Instant, String)>,
    _registry: Registry,
}

impl SingleServer {
    /// Starts a server, and waits until it has reported itself and is connected with the engine.
    fn start(
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
        let mut server = Server::start(&release_binary(), &text, operator);
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
    fn run(self, load: &Load, fault: bool) -> ServerRun {
        let target = LoadTarget {
            server: self.server.address,
            engine: self.engine.clone(),
        };
        let first_sample = self.catalogue.stats().in_flight.len();
        let began = Instant::now();
        let cpu_before = self.server.cpu();
        let mut slow_down = SlowDown::of(&self.catalogue);
        let records = target.send(load, |now| {
            if fault {
                slow_down.tick(now);
            }
        });
        let cpu_ms = cpu_ms_per_request(self.server.cpu() - cpu_before, records.len());
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
