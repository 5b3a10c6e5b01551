//! The settings of a scenario, from the words of its file.

use madderbay::interface::{
    Cancellation, Downstream, FleetPosition, Handler, LoadReport, Machine, Outcome, RetrySafety,
    Rules, Tenant, Upstream, UpstreamKind,
};
use madderbay::time::Duration;

/// The words of a line after its first: `key=value` pairs and bare flags.
pub(crate) struct Words<'a>(pub(crate) Vec<&'a str>);

impl<'a> Words<'a> {
    pub(crate) fn get(&self, key: &str) -> Option<&'a str> {
        let value = |word: &&'a str| word.strip_prefix(key)?.strip_prefix('=');
        self.0.iter().find_map(value)
    }

    pub(crate) fn number(&self, key: &str, default: f64) -> f64 {
        self.get(key)
            .map_or(default, |v| v.parse().expect("a number"))
    }

    pub(crate) fn duration(&self, key: &str, default: &str) -> Duration {
        duration(self.get(key).unwrap_or(default))
    }

    pub(crate) fn has(&self, flag: &str) -> bool {
        self.0.contains(&flag)
    }
}

/// A duration such as `250ms` or `1.5s`.
pub(crate) fn duration(text: &str) -> Duration {
    let unit_start = text.find(|c: char| c.is_alphabetic());
    let (number, unit) = text.split_at(unit_start.expect("a unit of time"));
    let unit_seconds = if unit == "ms" { 1e-3 } else { 1.0 };
    Duration::from_secs_f64(number.parse::<f64>().expect("a number") * unit_seconds)
}

pub(crate) fn machine(w: &Words) -> Machine {
    Machine {
        cores: w.number("cores", 2.0) as u32,
        memory_kb: w.number("memory", 1000.0),
        running_memory_factor: w.number("factor", 4.0),
        key_memory_kb: w.number("key", 1.0),
        cancellation: match (w.has("unstoppable"), w.has("discards")) {
            (true, _) => Cancellation::Unsupported,
            (_, true) => Cancellation::Discards,
            _ => Cancellation::Pauses,
        },
        max_concurrency_per_core: w.number("survives", 5.0),
        starts_cold: w.has("cold"),
        cold_speed: w.number("cold_from", 0.2),
        warm_up: w.duration("cold_for", "10s"),
    }
}

pub(crate) fn handler(w: &Words) -> Handler {
    Handler {
        latency_objective: w.duration("target", "1s"),
        objective_stretch: 0.0,
        timeout: w.duration("timeout", "4s"),
        weight: w.number("value", 1.0),
        late_weight: w.number("late", 0.0),
        retry_safety: match (w.has("keyed"), w.has("nonreplayable")) {
            (true, _) => RetrySafety::Keyed,
            (_, true) => RetrySafety::NonIdempotent,
            _ => RetrySafety::Idempotent,
        },
        idempotency_window: w.duration("window", "10s"),
        makes_calls: w.has("calls"),
        partial_weight: w.number("partial", 0.0),
    }
}

pub(crate) fn tenant(w: &Words) -> Tenant {
    Tenant {
        requests_per_second: w.number("per_second", 1.0),
    }
}

pub(crate) fn upstream(w: &Words) -> Upstream {
    Upstream {
        kind: match (w.0.is_empty(), w.has("shared")) {
            (true, _) => UpstreamKind::None,
            (_, true) => UpstreamKind::Shared,
            _ => UpstreamKind::Tier,
        },
        quota: w.number("share", 1.0),
        abandoned_call_lifetime: w.duration("linger", "200ms"),
        averaging_window: w.duration("span", "5s"),
    }
}

pub(crate) fn downstream(w: &Words) -> Downstream {
    let meanings = [
        ("allowance", LoadReport::Allowance),
        ("weight", LoadReport::Weight),
        ("floor", LoadReport::Floor),
    ];
    let meaning = meanings.iter().find(|m| w.has(m.0));
    Downstream {
        clients: w.number("count", 1.0) as u32,
        load_report: meaning.map_or(LoadReport::Unused, |m| m.1),
        max_retry_after: w.duration("come_back", "0s"),
        marks_retries: w.has("marks"),
        max_idle: w.duration("idle", "0s"),
    }
}

pub(crate) fn position(w: &Words) -> FleetPosition {
    FleetPosition {
        servers: w.number("servers", 1.0) as u32,
        tier: w.number("tier", 0.0) as u32,
        weight_by_work: false,
        over_quota_weight: w.number("over", 0.05),
    }
}

pub(crate) fn rules(w: &Words) -> Rules {
    Rules {
        drain_grace: w.duration("grace", "0s"),
        requests_carry_timeout: !w.has("silent"),
    }
}

/// The outcome of a call.
pub(crate) fn call_outcome(word: &str) -> Outcome {
    match word {
        "done" => Outcome::Completed,
        "errored" => Outcome::Failed,
        "shed" => Outcome::Rejected,
        "timeout" => Outcome::TimedOut,
        "unreached" => Outcome::Unreachable,
        other => panic!("outcome '{other}'"),
    }
}
