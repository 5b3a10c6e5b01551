//! Figures and checks of what became of requests.

use super::{Answer, KindId, RequestKind, RequestRecord};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

/// The goodput of a kind of request: the fraction of those sent in a time since the beginning of the load that got a
/// result within their latency objective; 0 if none was sent.
pub fn goodput(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    kind: KindId,
    time: Range<Duration>,
) -> f64 {
    let objective = kinds[kind.index()].latency_objective;
    let is_sent = |record: &&RequestRecord| record.kind == kind && time.contains(&record.sent);
    let sent: Vec<&RequestRecord> = records.iter().filter(is_sent).collect();
    let in_time = sent
        .iter()
        .filter(|record| record.in_time(objective))
        .count();
    in_time as f64 / sent.len().max(1) as f64
}

/// The times, in milliseconds, after which requests of a kind had their results.
pub fn latencies(records: &[RequestRecord], kind: KindId) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("three digits");
    for record in records.iter().filter(|record| record.kind == kind) {
        if let [(Answer::Completed, at)] = record.answers[..] {
            let _ = latencies.record(at.saturating_sub(record.sent).as_millis() as u64);
        }
    }
    latencies
}

/// Checks the rules as far as clients and the engine can tell: exactly one answer each, nothing
/// with an idempotency key run twice, nothing rejected that was run. `bodies` is
/// [`EngineStats::bodies`](crate::engine::EngineStats::bodies). Gives a line for each violation.
pub fn rule_violations(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    bodies: &HashMap<String, u32>,
) -> Vec<String> {
    let mut violations = vec![];
    for record in records {
        let name = &record.name;
        if record.answers.len() != 1 {
            violations.push(format!("{name} got {} answers", record.answers.len()));
        }
        if !kinds[record.kind.index()].idempotency_key {
            continue;
        }
        let runs = bodies.get(&record.body).copied().unwrap_or(0);
        if runs > 1 {
            violations.push(format!("{name} ran {runs} times"));
        }
        if runs > 0 && matches!(record.answers[..], [(Answer::Rejected(_), _)]) {
            violations.push(format!("{name} was shed although it ran"));
        }
    }
    violations
}
