//! Figures and checks of what became of requests.

use super::{Answer, RequestKind, RequestRecord};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::time::Duration;

/// Of the requests of a handler that were sent in a time: how many, and the part that got a result
/// within the latency objective.
pub fn kept(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    handler: usize,
    from: Duration,
    to: Duration,
) -> (usize, f64) {
    let target = kinds[handler].latency_objective;
    let sent = || {
        records
            .iter()
            .filter(|record| record.handler == handler && (from..to).contains(&record.sent))
    };
    let count = sent().count();
    let kept = sent().filter(|record| record.in_time(target)).count();
    (count, kept as f64 / count.max(1) as f64)
}

/// The times, in milliseconds, after which requests of a handler had their results.
pub fn latencies(records: &[RequestRecord], handler: usize) -> Histogram<u64> {
    let mut found = Histogram::new(3).expect("three digits");
    for record in records.iter().filter(|record| record.handler == handler) {
        if let [(Answer::Completed, at)] = record.answers[..] {
            let _ = found.record(at.saturating_sub(record.sent).as_millis() as u64);
        }
    }
    found
}

/// Checks the rules as far as clients and the engine can tell: exactly one answer each, nothing
/// with an idempotency key run twice, nothing rejected that was run. `bodies` is
/// [`EngineStats::bodies`](crate::engine::EngineStats::bodies). Gives a line for each violation.
pub fn rule_violations(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    bodies: &HashMap<String, u32>,
) -> Vec<String> {
    let mut found = vec![];
    for record in records {
        let name = &record.name;
        if record.answers.len() != 1 {
            found.push(format!("{name} got {} answers", record.answers.len()));
        }
        if !kinds[record.handler].idempotency_key {
            continue;
        }
        let runs = bodies.get(&record.body).copied().unwrap_or(0);
        if runs > 1 {
            found.push(format!("{name} ran {runs} times"));
        }
        if runs > 0 && matches!(record.answers[..], [(Answer::Rejected(_), _)]) {
            found.push(format!("{name} was shed although it ran"));
        }
    }
    found
}
