//! The scenario of the examples `pools` and `quotas`: a catalogue with few slots becomes 20 times
//! slower for 8 s, and during the first 5 s of this fault more requests arrive.
//!
//! [`Scenario`](crate::measurement::trips::Scenario) runs the whole scenario against one server,
//! and owns that server and its fakes while it runs. Measurements of fleets use the parts that they
//! need.

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

/// Time before the fault, since the start of the load.
pub const BEFORE_FAULT: Range<Duration> = Duration::ZERO..FAULT_START;
/// Time of the fault, since the start of the load.
pub const FAULT: Range<Duration> = FAULT_START..FAULT_END;
/// Time from the end of the fault to the end of the load, since the start of the load.
pub const AFTER_FAULT: Range<Duration> = FAULT_END..LOAD_LENGTH;
/// Length of the load.
pub const LOAD_LENGTH: Duration = Duration::from_secs(20);
/// Time that clients wait for an answer, in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 8_000;
/// Number of slots of the catalogue.
pub const CATALOGUE_SLOTS: usize = 8;
/// Time that a call takes in the healthy catalogue.
pub const CALL_DURATION: Duration = Duration::from_millis(25);

const FAULT_START: Duration = Duration::from_secs(5);
const FAULT_END: Duration = Duration::from_secs(13);
/// Requests per second outside the peak.
const RATE: f64 = 90.0;
/// Requests per second during the peak at the beginning of the fault.
const PEAK_RATE: f64 = 144.0;
/// Time for which requests arrive at the peak rate.
const PEAK_DURATION: Duration = Duration::from_secs(5);
/// Multiple of the usual call time during the fault.
const SLOWDOWN_FACTOR: f64 = 20.0;
/// Interval between samples of the calls in flight, in milliseconds.
const SAMPLE_INTERVAL_MS: usize = 10;
/// Upper bound on the wait for a server's first report, and for each line of its log.
const SERVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time of a server's shutdown, in milliseconds.
const SHUTDOWN_MS: u64 = 3_000;
/// Maximum number of connections of a server.
const MAX_SOCKETS: usize = 256;
/// Number of cores of the engine.
const ENGINE_CORES: f64 = 4.0;

/// Returns the kinds of requests of the scenario: trip searches, fare quotes and seat bookings.
pub fn kinds() -> Vec<RequestKind> {
    let ms = Duration::from_millis;
    vec![
        request_kind("trip-search", 30.0, ms(2_000), false),
        request_kind("fare-quote", 40.0, ms(1_500), false),
        request_kind("seat-book", 20.0, ms(3_000), true),
    ]
}

/// Returns the work of the engine for these kinds of requests.
pub fn works() -> Vec<HandlerWork> {
    vec![
        HandlerWork::new("trip-search", (40.0, 40.0), true),
        HandlerWork::new("fare-quote", (20.0, 20.0), false),
        HandlerWork::new("seat-book", (40.0, 40.0), true),
    ]
}

/// Returns the send rates of the load; without the fault there is no peak.
pub fn rates(fault: bool) -> Rates {
    if fault {
        vec![
            (Duration::ZERO, RATE),
            (FAULT_START, PEAK_RATE),
            (FAULT_START + PEAK_DURATION, RATE),
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
    /// Creates the fault for a catalogue that is healthy at first.
    pub fn of(catalogue: &Catalogue) -> SlowDown<'_> {
        SlowDown {
            catalogue,
            slow: false,
        }
    }

    /// Sets the catalogue's behavior for the time since the start of the load. Has to be called
    /// often.
    pub fn tick(&mut self, now: Duration) {
        let slow = FAULT.contains(&now);
        if std::mem::replace(&mut self.slow, slow) != slow {
            let factor = if slow { SLOWDOWN_FACTOR } else { 1.0 };
            self.catalogue.set_behavior(Behavior::Slow(factor));
        }
    }
}

/// Results of a run against one server.
pub struct ServerRun {
    /// Records of all requests.
    pub records: Vec<RequestRecord>,
    /// Rule violations, one line each.
    pub violations: Vec<String>,
    /// Log of the server, each line with the time since the start of the load.
    pub log: Vec<(Duration, String)>,
    /// Processor time of the server per request, in milliseconds.
    pub cpu_ms: f64,
    /// Number of calls in flight at the catalogue, sampled since the start of the load.
    in_flight: Vec<usize>,
}

impl ServerRun {
    /// Returns the largest number of calls in flight at the catalogue during a time range since the
    /// start of the load.
    pub fn peak(&self, time: Range<Duration>) -> usize {
        let sample =
            |at: Duration| (at.as_millis() as usize / SAMPLE_INTERVAL_MS).min(self.in_flight.len());
        let samples = &self.in_flight[sample(time.start)..sample(time.end)];
        samples.iter().copied().max().unwrap_or(0)
    }
}

/// Parameters of the scenario against one server.
pub struct Scenario<'a> {
    /// Platform settings of the server.
    pub settings: &'a str,
    /// Operator file of the server, if it has one.
    pub operator: Option<&'a str>,
    /// Kinds of requests that arrive.
    pub kinds: Vec<RequestKind>,
    /// Work of the engine for the requests.
    pub works: Vec<HandlerWork>,
    /// Whether the catalogue has its fault.
    pub fault: bool,
    /// Seed that determines the load and the fakes.
    pub seed: u64,
}

impl Scenario<'_> {
    /// Starts a server, sends the load and shuts the server down.
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

/// A server with fakes of its own.
struct SingleServer {
    server: Server,
    engine: Engine,
    catalogue: Catalogue,
    log: Receiver<(Instant, String)>,
    _registry: Registry,
}

impl SingleServer {
    /// Starts a server, and waits until it has reported to the registry and is connected to the
    /// engine.
    fn start(
        settings: &str,
        operator: Option<&str>,
        works: Vec<HandlerWork>,
        seed: u64,
    ) -> SingleServer {
        let engine = Engine::start(ENGINE_CORES, works, seed);
        let catalogue = Catalogue::start(CATALOGUE_SLOTS, CALL_DURATION);
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
        report.expect("the server reports to the registry");
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

    /// Sends a load with or without the fault, and shuts the server down.
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
