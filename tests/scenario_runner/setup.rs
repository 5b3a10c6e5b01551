//! Parses the set-up lines of a scenario: the settings of the server.

use super::error::{Problem, WordError};
use super::words::Words;
use madderbay::decide::Decider;
use madderbay::interface::{
    Cancellation, Downstream, FleetPosition, Handler, HandlerId, LoadReport, Machine, RetrySafety,
    Rules, Tenant, Upstream, UpstreamKind,
};
use madderbay::time::{Duration, Timestamp};

/// Seed of the decision module's random numbers, the same for all scenarios.
const SEED: u64 = 7;

/// Settings of the decision module.
pub(crate) struct Setup {
    machine: Machine,
    handlers: Vec<NamedHandler>,
    tenants: Vec<Tenant>,
    upstream: Upstream,
    downstream: Downstream,
    position: FleetPosition,
    rules: Rules,
}

struct NamedHandler {
    name: String,
    handler: Handler,
}

impl Setup {
    /// Returns the defaults of all set-up lines: one server with warm caches, one client, no
    /// handlers, no tenants and no upstream.
    pub(crate) fn new() -> Result<Setup, WordError> {
        Ok(Setup {
            machine: machine(&mut Words::new(""))?,
            handlers: vec![],
            tenants: vec![],
            upstream: Upstream {
                kind: UpstreamKind::None,
                ..upstream(&mut Words::new("tier"))?
            },
            downstream: downstream(&mut Words::new(""))?,
            position: position(&mut Words::new(""))?,
            rules: Rules::default(),
        })
    }

    /// Applies one set-up line, given its first word and the remaining words.
    pub(crate) fn apply(&mut self, keyword: &str, mut words: Words) -> Result<(), WordError> {
        let line = &mut words;
        match keyword {
            "machine" => self.machine = machine(line)?,
            "handler" => self.handlers.push(named_handler(line)?),
            "tenant" => self.tenants.push(tenant(line)?),
            "upstream" => self.upstream = upstream(line)?,
            "clients" => self.downstream = downstream(line)?,
            "position" => self.position = position(line)?,
            "rules" => self.rules = rules(line)?,
            _ => return Err(WordError::new(keyword, Problem::UnknownLine)),
        }
        words.finish()
    }

    /// Returns the handler of this name; `word` is the word that an error names.
    pub(crate) fn handler(&self, name: &str, word: &str) -> Result<HandlerId, WordError> {
        let index = self.handlers.iter().position(|h| h.name == name);
        index
            .map(HandlerId::new)
            .ok_or_else(|| WordError::new(word, Problem::UnknownHandler))
    }

    /// Returns a decision module that has not started.
    pub(crate) fn decider(&self, now: Timestamp) -> Decider {
        let handlers: Vec<Handler> = self.handlers.iter().map(|h| h.handler.clone()).collect();
        let builder = Decider::builder(
            now,
            SEED,
            &self.machine,
            &handlers,
            &self.position,
            &self.rules,
        );
        builder
            .tenants(&self.tenants, &self.position)
            .upstream(&self.upstream)
            .downstream(&self.downstream)
            .build()
    }
}

fn machine(words: &mut Words) -> Result<Machine, WordError> {
    let cancellations = [
        ("unsupported", Cancellation::Unsupported),
        ("discards", Cancellation::Discards),
        ("pauses", Cancellation::Pauses),
    ];
    Ok(Machine {
        cores: words.number("cores", 2)?,
        memory_kb: words.number("memory_kb", 1000.0)?,
        running_memory_factor: words.number("running_memory_factor", 4.0)?,
        key_memory_kb: words.number("key_memory_kb", 1.0)?,
        cancellation: words.choice("cancellation", &cancellations, Cancellation::Pauses)?,
        max_concurrency_per_core: words.number("max_concurrency_per_core", 5.0)?,
        starts_cold: words.flag("starts_cold"),
        cold_speed: words.number("cold_speed", 0.2)?,
        warm_up: words.duration("warm_up", Duration::from_millis(10_000))?,
    })
}

fn named_handler(words: &mut Words) -> Result<NamedHandler, WordError> {
    let name = words.next("handler's name")?.to_string();
    let keyed = words.flag("keyed");
    let non_idempotent = words.flag("non_idempotent");
    let handler = Handler {
        latency_objective: words.duration("objective", Duration::from_millis(1_000))?,
        objective_stretch: 0.0,
        timeout: words.duration("timeout", Duration::from_millis(4_000))?,
        weight: words.number("weight", 1.0)?,
        late_weight: words.number("late_weight", 0.0)?,
        retry_safety: match (keyed, non_idempotent) {
            (true, _) => RetrySafety::Keyed,
            (false, true) => RetrySafety::NonIdempotent,
            (false, false) => RetrySafety::Idempotent,
        },
        idempotency_window: words.duration("idempotency_window", Duration::from_millis(10_000))?,
        makes_calls: words.flag("calls"),
        partial_weight: words.number("partial_weight", 0.0)?,
    };
    Ok(NamedHandler { name, handler })
}

fn tenant(words: &mut Words) -> Result<Tenant, WordError> {
    Ok(Tenant {
        requests_per_second: words.number("requests_per_second", 1.0)?,
    })
}

fn upstream(words: &mut Words) -> Result<Upstream, WordError> {
    let kind = match words.next("kind of upstream")? {
        "shared" => UpstreamKind::Shared,
        "tier" => UpstreamKind::Tier,
        other => return Err(WordError::new(other, Problem::UnknownValue)),
    };
    Ok(Upstream {
        kind,
        quota: words.number("quota", 1.0)?,
        abandoned_call_lifetime: words
            .duration("abandoned_call_lifetime", Duration::from_millis(200))?,
        averaging_window: words.duration("averaging_window", Duration::from_millis(5_000))?,
    })
}

fn downstream(words: &mut Words) -> Result<Downstream, WordError> {
    let load_reports = [
        ("unused", LoadReport::Unused),
        ("floor", LoadReport::Floor),
        ("allowance", LoadReport::Allowance),
        ("weight", LoadReport::Weight),
    ];
    Ok(Downstream {
        clients: words.number("count", 1)?,
        load_report: words.choice("load_report", &load_reports, LoadReport::Unused)?,
        max_retry_after: words.duration("max_retry_after", Duration::ZERO)?,
        marks_retries: words.flag("marks_retries"),
        max_idle: words.duration("max_idle", Duration::ZERO)?,
    })
}

fn position(words: &mut Words) -> Result<FleetPosition, WordError> {
    Ok(FleetPosition {
        servers: words.number("servers", 1)?,
        tier: words.number("tier", 0)?,
        weight_by_work: false,
        over_quota_weight: words.number("over_quota_weight", 0.05)?,
    })
}

fn rules(words: &mut Words) -> Result<Rules, WordError> {
    let yes_or_no = [("yes", true), ("no", false)];
    Ok(Rules {
        drain_grace: words.duration("drain_grace", Duration::ZERO)?,
        requests_carry_timeout: words.choice("requests_carry_timeout", &yes_or_no, true)?,
    })
}
