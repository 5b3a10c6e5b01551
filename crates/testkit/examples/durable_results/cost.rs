//! Cost of durable results at several request rates: response times, writes and processor time.

use crate::site::Site;
use madderbay_testkit::load_balancer::{Answer, KindId, Load, RequestRecord, latencies};
use madderbay_testkit::measurement::loads::{LoadTarget, request_kind};
use madderbay_testkit::measurement::report::cpu_ms_per_request;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Requests per second.
const RATES: [f64; 3] = [50.0, 200.0, 1_000.0];
/// Minimum and maximum work of a booking, in milliseconds.
const WORK_MS: (f64, f64) = (0.5, 1.0);
const LOAD_LENGTH: Duration = Duration::from_secs(4);
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(3);
/// Time that clients wait for an answer, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 8_000;
/// Upper bound on the wait for a line of the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
/// Beginning of the log line in which the server reports its writes at the end.
const WRITES_LINE: &str = "counter kept.writes ";

/// Prints a line for each rate and each `sync` setting, which determines when records are synced to
/// disk.
pub(crate) fn measure() {
    for rate in RATES {
        for sync in [None, Some("grouped"), Some("each")] {
            measure_one(sync, rate);
        }
    }
}

fn measure_one(sync: Option<&str>, rate: f64) {
    let site = Site::new(sync, WORK_MS, 1);
    let mut server = site.start_server();
    let log = server.follow();
    let load = load(rate);
    let target = LoadTarget {
        server: server.address,
        engine: site.engine.clone(),
    };
    let cpu_before = server.cpu();
    let began = Instant::now();
    let records = target.send(&load, |_| ());
    let cpu_ms = cpu_ms_per_request(server.cpu() - cpu_before, records.len());
    let secs = began.elapsed().as_secs_f64();
    let violations = target.violations(&load, &records);
    server.signal("-TERM");
    let times = latencies(&records, KindId::new(0));
    println!(
        "{:8} {rate:5} a second: {} of {} completed; p50, p95, p99 {}, {}, {} ms; {:.0} writes a second; \
         CPU a request {cpu_ms:.2} ms; invariants violated {}",
        sync.unwrap_or("off"),
        completed(&records),
        records.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.95),
        times.value_at_quantile(0.99),
        writes(&log) / secs,
        violations.len()
    );
}

fn load(rate: f64) -> Load {
    Load {
        kinds: vec![request_kind("book", 1.0, LATENCY_OBJECTIVE, true)],
        rates: vec![(Duration::ZERO, rate)],
        length: LOAD_LENGTH,
        seed: 7,
        timeout_ms: REQUEST_TIMEOUT_MS,
    }
}

fn completed(records: &[RequestRecord]) -> usize {
    let completed = records
        .iter()
        .filter(|record| matches!(record.answers[..], [(Answer::Completed, _)]));
    completed.count()
}

/// Returns the number of writes that is reported in the rest of a server's log.
fn writes(log: &Receiver<(Instant, String)>) -> f64 {
    let mut writes = 0.0;
    while let Ok((_, line)) = log.recv_timeout(LOG_TIMEOUT) {
        if let Some(number) = line.strip_prefix(WRITES_LINE) {
            writes = number.parse().unwrap_or(0.0);
        }
    }
    writes
}
