//! Measurements of real processes with ten fake backends, one of which is faulty for some seconds:
//! with the complete selection of backends, without gossip, and without ejections and retries.

use crate::cases::FAULTY;
use madderbay_testkit::catalogue::{Behavior, Catalogue};
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Condition, Fleet, FleetSetup};
use madderbay_testkit::load_balancer::{
    KindId, Load, RequestKind, RequestRecord, goodput, latencies,
};
use madderbay_testkit::measurement::fleets::{release_binary, start_all};
use madderbay_testkit::measurement::loads::{LoadResult, LoadTarget, join_loads, request_kind};
use madderbay_testkit::measurement::report::{cpu_ms_per_request, table_head};
use madderbay_testkit::measurement::settings;
use std::ops::Range;
use std::time::{Duration, Instant};

const BACKENDS: usize = 10;
const BACKEND_SLOTS: usize = 100;
const BACKEND_CALL: Duration = Duration::from_millis(20);
/// Requests per second at each server.
const RATE: f64 = 10.0;
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(2);
/// Start of the fault, in milliseconds since the start of the load.
const FAULT_START_MS: u64 = 5_000;
/// End of the fault, in milliseconds since the start of the load.
const FAULT_END_MS: u64 = 13_000;
/// End of the load, in milliseconds since its start.
const LOAD_END_MS: u64 = 25_000;
const FAULT: Range<Duration> =
    Duration::from_millis(FAULT_START_MS)..Duration::from_millis(FAULT_END_MS);
/// Interval between samples of the faulty backend's calls, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 100;
/// Window over which the faulty backend's traffic is averaged, in milliseconds.
const TRAFFIC_WINDOW_MS: u64 = 1_000;
/// Below this fraction of its traffic without the fault, a backend counts as avoided.
const AVOIDED_FRACTION: f64 = 0.4;
/// Above this fraction of its traffic without the fault, a backend counts as returned.
const RETURNED_FRACTION: f64 = 0.5;
/// Upstream quota of a server, in calls; so large that it never limits the calls.
const QUOTA: f64 = 60.0;
/// Time that clients wait for an answer, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// Faults with their names in the table.
const FAULTS: [(&str, Behavior); 3] = [
    ("10 times slower", Behavior::Slow(10.0)),
    ("fails at once", Behavior::Fails),
    ("never answers", Behavior::Silent),
];
/// Variants with their keys in the operator file.
const VARIANTS: [(&str, &str); 3] = [
    ("shared observations", ""),
    ("own observations", "shares = off\n"),
    (
        "no ejection, no retries",
        "shares = off\nout_most = 0\nrepeats = 0\nhedges = off\n",
    ),
];

/// Measures each fault with each variant, and prints the table.
pub(crate) fn measure() {
    let headings = [
        "processes, fault",
        "variant",
        "success: search, book",
        "p99 of searches, ms",
        "ejected after, s",
        "returned after, s",
        "CPU a request, ms",
        "invariants violated",
    ];
    println!("{}", table_head(&headings));
    for servers in [5, 12] {
        for (fault, behavior) in FAULTS {
            for (variant, keys) in VARIANTS {
                let row = Measurement::run(servers, behavior, keys).row();
                println!("| {servers}, {fault} | {variant} | {row} |");
            }
        }
    }
}

fn kinds() -> Vec<RequestKind> {
    vec![
        request_kind("search", 3.0, LATENCY_OBJECTIVE, false),
        request_kind("book", 1.0, LATENCY_OBJECTIVE, true),
    ]
}

/// Starts servers with these backends and these additional keys in the operator file.
fn start_fleet(servers: usize, backends: &[Catalogue], keys: &str) -> ProcessFleet {
    let work = |handler| HandlerWork::new(handler, (1.0, 2.0), true);
    let works = [work("search"), work("book")];
    let setup = FleetSetup::of(servers);
    let settings = settings::fleet_without_load_shedding();
    let settings = settings::with_quota(&settings, QUOTA);
    let mut fleet = ProcessFleet::new(setup, &release_binary(), &settings, &works, 1);
    let sections: String = backends
        .iter()
        .enumerate()
        .map(|(number, backend)| {
            let address = backend.address;
            format!("[backend b{number}]\naddress = {address}\nhandlers = search, book\n")
        })
        .collect();
    fleet.operator = format!("[routes]\nenabled = on\n{keys}{sections}");
    start_all(&mut fleet, 0..servers);
    while fleet.unmet(&Condition::Settled).is_some() {
        fleet.pass();
    }
    fleet
}

/// Results of one run.
struct Measurement {
    load: LoadResult,
    /// Number of calls that have reached the faulty backend, sampled every [`SAMPLE_INTERVAL_MS`].
    calls: Vec<u32>,
    /// Processor time per request, in milliseconds.
    cpu_ms: f64,
}

impl Measurement {
    fn run(servers: usize, fault: Behavior, keys: &str) -> Measurement {
        let backends: Vec<Catalogue> = (0..BACKENDS)
            .map(|_| Catalogue::start(BACKEND_SLOTS, BACKEND_CALL))
            .collect();
        let fleet = start_fleet(servers, &backends, keys);
        let cpu_before = fleet.cpu();
        let (load, calls) = std::thread::scope(|scope| {
            let loads = (0..servers).map(|server| {
                let target = LoadTarget::of(&fleet, server);
                scope.spawn(move || target.measure(&load_of(server), |_| ()))
            });
            let loads: Vec<_> = loads.collect();
            let calls = play_fault(&backends[FAULTY.index()], fault);
            (join_loads(loads), calls)
        });
        let cpu_ms = cpu_ms_per_request(fleet.cpu() - cpu_before, load.records.len());
        Measurement {
            load,
            calls,
            cpu_ms,
        }
    }

    /// Returns the row of the table from the third column on.
    fn row(&self) -> String {
        let normal_rate = f64::from(
            self.calls_until(FAULT_START_MS - SAMPLE_INTERVAL_MS)
                - self.calls_until(TRAFFIC_WINDOW_MS),
        ) / ((FAULT_START_MS - TRAFFIC_WINDOW_MS) as f64 / 1e3);
        let avoided_after = self.first_window(FAULT_START_MS..FAULT_END_MS - 1_000, |calls| {
            calls < AVOIDED_FRACTION * normal_rate
        });
        let returned_after = self.first_window(FAULT_END_MS..LOAD_END_MS - 1_500, |calls| {
            calls > RETURNED_FRACTION * normal_rate
        });
        let secs =
            |ms: Option<u64>| ms.map_or("never".into(), |ms| format!("{:.1}", ms as f64 / 1e3));
        format!(
            "{:.3}, {:.3} | {} | {} | {} | {:.2} | {}",
            goodput(&self.load.records, &kinds(), KindId::new(0), FAULT),
            goodput(&self.load.records, &kinds(), KindId::new(1), FAULT),
            self.p99_of_searches_ms(),
            secs(avoided_after),
            secs(returned_after),
            self.cpu_ms,
            self.load.violations
        )
    }

    /// Returns the 99th percentile of the response times of searches during the fault, in
    /// milliseconds.
    fn p99_of_searches_ms(&self) -> u64 {
        let during_fault = self.load.records.iter();
        let during_fault = during_fault.filter(|record| FAULT.contains(&record.sent));
        let records: Vec<RequestRecord> = during_fault.cloned().collect();
        latencies(&records, KindId::new(0)).value_at_quantile(0.99)
    }

    /// Returns the number of calls that have reached the faulty backend by a time.
    fn calls_until(&self, ms: u64) -> u32 {
        let sample = self.calls.get((ms / SAMPLE_INTERVAL_MS) as usize);
        sample.or(self.calls.last()).copied().unwrap_or(0)
    }

    /// Returns the time in milliseconds from the start of `time` until the start of the first
    /// one-second window whose number of calls satisfies `is_reached`; `None` if there is none.
    fn first_window(&self, time: Range<u64>, is_reached: impl Fn(f64) -> bool) -> Option<u64> {
        let window_start = time.start;
        let mut starts = time.step_by(SAMPLE_INTERVAL_MS as usize);
        let found = starts.find(|ms| {
            let calls = self.calls_until(ms + TRAFFIC_WINDOW_MS) - self.calls_until(*ms);
            is_reached(f64::from(calls))
        });
        found.map(|ms| ms - window_start)
    }
}

fn load_of(server: usize) -> Load {
    Load {
        kinds: kinds(),
        rates: vec![(Duration::ZERO, RATE)],
        length: Duration::from_millis(LOAD_END_MS),
        seed: server as u64,
        timeout_ms: REQUEST_TIMEOUT_MS,
    }
}

/// Makes a backend faulty during the time of the fault, and returns samples of the number of calls
/// that have reached it.
fn play_fault(backend: &Catalogue, fault: Behavior) -> Vec<u32> {
    let began = Instant::now();
    let mut calls = vec![];
    let mut faulty = false;
    while began.elapsed() < Duration::from_millis(LOAD_END_MS) {
        let now_ms = began.elapsed().as_millis() as u64;
        if (FAULT_START_MS..FAULT_END_MS).contains(&now_ms) != faulty {
            faulty = !faulty;
            backend.set_behavior(if faulty { fault } else { Behavior::Slow(1.0) });
        }
        calls.push(backend.stats().received);
        std::thread::sleep(Duration::from_millis(
            SAMPLE_INTERVAL_MS - now_ms % SAMPLE_INTERVAL_MS,
        ));
    }
    calls
}
