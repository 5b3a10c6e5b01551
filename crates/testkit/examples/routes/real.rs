//! Real processes over ten fake backends, one of which has a fault for some seconds: with the whole
//! machine, without gossip, and without ejections and retries.

use crate::cases::FAULTY;
use madderbay_testkit::catalogue::{Behavior, Catalogue};
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Condition, Fleet, FleetSetup};
use madderbay_testkit::load_balancer::{Load, RequestKind, RequestRecord, latencies};
use madderbay_testkit::measurement::fleets::{release_binary, start_all};
use madderbay_testkit::measurement::loads::{LoadResult, LoadTarget, join_loads, request_kind};
use madderbay_testkit::measurement::report::table_head;
use std::ops::Range;
use std::time::{Duration, Instant};

const BACKENDS: usize = 10;
const BACKEND_SLOTS: usize = 100;
const BACKEND_CALL: Duration = Duration::from_millis(20);
/// Requests a second at each server.
const RATE: f64 = 10.0;
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(2);
/// When the fault begins, when it is over, and the end of the load, in milliseconds.
const CALM_MS: u64 = 5_000;
const OVER_MS: u64 = 13_000;
const END_MS: u64 = 25_000;
/// The time between two samples of the faulty backend's calls, in milliseconds.
const SAMPLE_MS: u64 = 100;
/// The time over which its traffic is averaged, in milliseconds.
const SECOND_MS: u64 = 1_000;
/// Of its traffic without the fault: with less it is avoided, with more it is back.
const AVOIDED_PART: f64 = 0.4;
const BACK_PART: f64 = 0.5;

/// Prints the table of all faults and ways.
pub(crate) fn measure() {
    let heads = [
        "processes, trouble",
        "way",
        "kept: search, book",
        "99% of searches within, ms",
        "off after, s",
        "back after, s",
        "CPU a req, ms",
        "rules broken",
    ];
    println!("{}", table_head(&heads));
    for servers in [5, 12] {
        for (fault, behavior) in [
            ("10 times slower", Behavior::Slow(10.0)),
            ("fails at once", Behavior::Fails),
            ("never answers", Behavior::Silent),
        ] {
            for (way, keys) in [
                ("shared", ""),
                ("own alone", "shares = off\n"),
                (
                    "nobody left out, no repeats",
                    "shares = off\nout_most = 0\nrepeats = 0\nhedges = off\n",
                ),
            ] {
                let row = Measured::run(servers, behavior, keys).row();
                println!("| {servers}, {fault} | {way} | {row} |");
            }
        }
    }
}

/// The platform's settings, wide enough that no server sheds load.
fn settings() -> String {
    include_str!("../settings.json")
        .replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0")
        .replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
        .replace("\"dep_share\": 8.0", "\"dep_share\": 60.0")
}

fn kinds() -> Vec<RequestKind> {
    vec![
        request_kind("search", 3.0, LATENCY_OBJECTIVE, false),
        request_kind("book", 1.0, LATENCY_OBJECTIVE, true),
    ]
}

/// Starts servers that have these backends, and these keys for them in the operator file.
fn start_fleet(servers: usize, backends: &[Catalogue], keys: &str) -> ProcessFleet {
    let work = |handler| HandlerWork::new(handler, (1.0, 2.0), true);
    let works = [work("search"), work("book")];
    let setup = FleetSetup::of(servers);
    let mut fleet = ProcessFleet::new(setup, release_binary(), &settings(), &works, 1);
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

/// What one run has shown.
struct Measured {
    load: LoadResult,
    /// Calls that have reached the faulty backend, sampled every [`SAMPLE_MS`].
    calls: Vec<u32>,
    /// The processor time for each request, in milliseconds.
    cpu_ms: f64,
}

impl Measured {
    fn run(servers: usize, fault: Behavior, keys: &str) -> Measured {
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
        let cpu_ms = (fleet.cpu() - cpu_before) * 1e3 / load.records.len() as f64;
        Measured {
            load,
            calls,
            cpu_ms,
        }
    }

    /// The row of the table from the third column on.
    fn row(&self) -> String {
        let fair = f64::from(self.calls_until(CALM_MS - SAMPLE_MS) - self.calls_until(SECOND_MS))
            / ((CALM_MS - SECOND_MS) as f64 / 1e3);
        let off = self.first_second(CALM_MS..OVER_MS - 1_000, |calls| {
            calls < AVOIDED_PART * fair
        });
        let back = self.first_second(OVER_MS..END_MS - 1_500, |calls| calls > BACK_PART * fair);
        let secs =
            |ms: Option<u64>| ms.map_or("never".into(), |ms| format!("{:.1}", ms as f64 / 1e3));
        format!(
            "{:.3}, {:.3} | {} | {} | {} | {:.2} | {}",
            self.kept(0),
            self.kept(1),
            self.slowest_search(),
            secs(off),
            secs(back),
            self.cpu_ms,
            self.load.violations
        )
    }

    /// The requests of a handler that were sent during the fault.
    fn during_fault(&self, handler: usize) -> impl Iterator<Item = &RequestRecord> {
        let fault = Duration::from_millis(CALM_MS)..Duration::from_millis(OVER_MS);
        self.load
            .records
            .iter()
            .filter(move |record| record.handler == handler && fault.contains(&record.sent))
    }

    /// The part of these that were answered in time.
    fn kept(&self, handler: usize) -> f64 {
        let all = self.during_fault(handler).count();
        let kept = self
            .during_fault(handler)
            .filter(|record| record.in_time(LATENCY_OBJECTIVE));
        kept.count() as f64 / all.max(1) as f64
    }

    /// The time within which 99% of the searches during the fault were done, in milliseconds.
    fn slowest_search(&self) -> u64 {
        let searches: Vec<RequestRecord> = self.during_fault(0).cloned().collect();
        latencies(&searches, 0).value_at_quantile(0.99)
    }

    /// Calls that have reached the faulty backend by a time.
    fn calls_until(&self, ms: u64) -> u32 {
        let sample = self.calls.get((ms / SAMPLE_MS) as usize);
        sample.or(self.calls.last()).copied().unwrap_or(0)
    }

    /// After how many milliseconds of a time the calls of one second are as wanted.
    fn first_second(&self, time: Range<u64>, wanted: impl Fn(f64) -> bool) -> Option<u64> {
        let begin = time.start;
        let mut starts = time.step_by(SAMPLE_MS as usize);
        let found = starts.find(|ms| {
            let calls = self.calls_until(ms + SECOND_MS) - self.calls_until(*ms);
            wanted(f64::from(calls))
        });
        found.map(|ms| ms - begin)
    }
}

fn load_of(server: usize) -> Load {
    Load {
        kinds: kinds(),
        rates: vec![(Duration::ZERO, RATE)],
        length: Duration::from_millis(END_MS),
        seed: server as u64,
        timeout_ms: 3_000,
    }
}

/// Sets the fault of a backend while it is time, and samples the calls that have reached it.
fn play_fault(backend: &Catalogue, fault: Behavior) -> Vec<u32> {
    let began = Instant::now();
    let mut calls = vec![];
    let mut faulty = false;
    while began.elapsed() < Duration::from_millis(END_MS) {
        let now_ms = began.elapsed().as_millis() as u64;
        if (CALM_MS..OVER_MS).contains(&now_ms) != faulty {
            faulty = !faulty;
            backend.set_behavior(if faulty { fault } else { Behavior::Slow(1.0) });
        }
        calls.push(backend.stats().received);
        std::thread::sleep(Duration::from_millis(SAMPLE_MS - now_ms % SAMPLE_MS));
    }
    calls
}
