//! Figures and checks computed from the outcomes of requests.

use super::{Answer, KindId, RequestKind, RequestRecord};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

/// Returns the goodput of a kind of request: the fraction of the requests sent in a time range
/// since the start of the load that got a result within their latency objective; 0 if none was
/// sent.
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

/// Returns the histogram of the response times of a kind's completed requests, in milliseconds.
pub fn latencies(records: &[RequestRecord], kind: KindId) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("3 significant digits are valid");
    for record in records.iter().filter(|record| record.kind == kind) {
        if let [(Answer::Completed, at)] = record.answers[..] {
            let _ = latencies.record(at.saturating_sub(record.sent).as_millis() as u64);
        }
    }
    latencies
}

/// Checks the rules that can be checked from the clients and the engine: each request gets exactly
/// one answer, no request with an idempotency key runs twice, and none of these is rejected after
/// it has run. `bodies` is [`EngineStats::bodies`](crate::engine::EngineStats::bodies). Returns one
/// line for each violation.
pub fn rule_violations(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    bodies: &HashMap<String, u32>,
) -> Vec<String> {
    let mut violations = vec![];
    for record in records {
        let name = &record.name;
        if record.answers.len() != 1 {
            violations.push(format!(
                "request {name} got {} answers",
                record.answers.len()
            ));
        }
        if !kinds[record.kind.index()].idempotency_key {
            continue;
        }
        let runs = bodies.get(&record.body).copied().unwrap_or(0);
        if runs > 1 {
            violations.push(format!("request {name} ran {runs} times"));
        }
        if runs > 0 && matches!(record.answers[..], [(Answer::Rejected(_), _)]) {
            violations.push(format!("request {name} was rejected although it ran"));
        }
    }
    violations
}
