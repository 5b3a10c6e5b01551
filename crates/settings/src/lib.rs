//! The settings that an instance starts with: JSON in, the module's own records out.

use madderbay::decide::Decider;
use madderbay::interface::*;
use madderbay::time::{Duration, Timestamp};
use serde::Deserialize;
use std::collections::HashSet;

#[derive(Deserialize)]
struct Raw {
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    family_info: RawInfo,
    permissions: RawPermissions,
    rules: RawRules,
    #[serde(default)]
    callers: RawCallers,
    servers: u32,
    #[serde(default)]
    tier: u32,
    #[serde(default)]
    value_by: String,
    #[serde(default)]
    over_share_worth: f64,
}

#[derive(Deserialize)]
struct RawClass {
    #[serde(default)]
    name: String,
    aim_us: u64,
    #[serde(default)]
    aim_stretch: f64,
    hard_limit_us: u64,
    importance: f64,
    #[serde(default)]
    late_worth: f64,
    effect: String,
    #[serde(default)]
    repeat_window_us: u64,
}

#[derive(Deserialize)]
struct RawTenant {
    #[serde(default)]
    name: String,
    allowance_per_s: f64,
}

#[derive(Deserialize, Default)]
struct RawCallers {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
struct RawPermissions {
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: u64,
}

#[derive(Deserialize)]
struct RawRules {
    tip_multiple: f64,
    #[serde(default)]
    drain_grace_us: u64,
    #[serde(default)]
    cold_from: f64,
    #[serde(default)]
    cold_us: u64,
}

#[derive(Deserialize)]
struct RawInfo {
    n_cores: u32,
    memory_kb: f64,
    blowup: f64,
    #[serde(default)]
    key_kb: f64,
    #[serde(default)]
    preemption: String,
    #[serde(default)]
    cold: bool,
    #[serde(default)]
    below: String,
    #[serde(default)]
    dep_share: f64,
    #[serde(default)]
    linger_us: u64,
    #[serde(default)]
    share_span_us: u64,
    #[serde(default)]
    keepalive_max_us: u64,
    #[serde(default)]
    class_calls: Vec<bool>,
    #[serde(default)]
    class_skip_worth: Vec<f64>,
    #[serde(default)]
    say: String,
    #[serde(default)]
    upstreams: u32,
    #[serde(default)]
    passes_deadline: bool,
    #[serde(default)]
    meters: Vec<String>,
    #[serde(default)]
    readiness: bool,
}

/// Everything one instance is started with.
#[derive(Clone)]
pub struct Settings {
    pub machine: Machine,
    pub handlers: Vec<Handler>,
    pub tenants: Vec<Tenant>,
    pub below: Upstream,
    pub callers: Downstream,
    pub place: FleetPosition,
    pub rules: Rules,
    pub meters: Vec<String>,
    pub handler_names: Vec<String>,
    pub tenant_names: Vec<String>,
    /// The callers' lists take a server that reports ill for one that takes no work.
    pub lists_follow_health: bool,
}

impl Settings {
    /// The module of one server life that begins now.
    pub fn decider(&self, now: Timestamp, seed: u64) -> Decider {
        Decider::builder(
            now,
            seed,
            &self.machine,
            &self.handlers,
            &self.place,
            &self.rules,
        )
        .tenants(&self.tenants, &self.place)
        .upstream(&self.below)
        .downstream(&self.callers)
        .build()
    }

    /// Where a gauge stands among those that are sent.
    pub fn meter(&self, name: &str) -> Option<usize> {
        self.meters.iter().position(|m| m == name)
    }
}

fn need(ok: bool, what: &str) -> Result<(), String> {
    if ok {
        Ok(())
    } else {
        Err(format!("settings: {what}"))
    }
}

/// A list by class is absent or has a place for each.
fn by_class(found: usize, classes: usize, what: &str) -> Result<(), String> {
    need(
        found == 0 || found == classes,
        &format!("{what} has {found} places for {classes} classes"),
    )
}

/// Of two by one name neither could be told.
fn all_unlike<'a>(names: impl Iterator<Item = &'a str>, what: &str) -> Result<(), String> {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate().filter(|n| !n.1.is_empty()) {
        need(
            seen.insert(name),
            &format!("{what}[{i}].name '{name}' is that of another"),
        )?;
    }
    Ok(())
}

fn word<T: Copy>(found: &str, known: &[(&str, T)], what: &str) -> Result<T, String> {
    let hit = known.iter().find(|k| k.0 == found);
    hit.map(|k| k.1)
        .ok_or_else(|| format!("settings: {what} is '{found}', which is none of those known"))
}

/// Reads the settings; says in one line what is missing or can't be.
pub fn read(json: &[u8]) -> Result<Settings, String> {
    let raw: Raw = serde_json::from_slice(json).map_err(|e| format!("settings: {e}"))?;
    let info = &raw.family_info;
    need(!raw.classes.is_empty(), "classes is empty")?;
    need(info.n_cores >= 1, "family_info.n_cores is 0")?;
    need(info.memory_kb > 0.0, "family_info.memory_kb is not above 0")?;
    need(info.blowup >= 1.0, "family_info.blowup is under 1")?;
    need(info.key_kb >= 0.0, "family_info.key_kb is under 0")?;
    need(info.dep_share >= 0.0, "family_info.dep_share is under 0")?;
    need(
        raw.rules.tip_multiple >= 1.0,
        "rules.tip_multiple is under 1",
    )?;
    need(
        (0.0..=1.0).contains(&raw.rules.cold_from),
        "rules.cold_from is not within 0 to 1",
    )?;
    by_class(
        info.class_calls.len(),
        raw.classes.len(),
        "family_info.class_calls",
    )?;
    by_class(
        info.class_skip_worth.len(),
        raw.classes.len(),
        "family_info.class_skip_worth",
    )?;
    all_unlike(raw.classes.iter().map(|c| &*c.name), "classes")?;
    all_unlike(raw.tenants.iter().map(|t| &*t.name), "tenants")?;
    let below_none = info.below.is_empty() || info.below == "none";
    if let Some(i) = info.class_calls.iter().position(|c| *c && below_none) {
        return Err(format!(
            "settings: family_info.class_calls[{i}] is true, but family_info.below is none"
        ));
    }
    let mut handlers = vec![];
    for (i, c) in raw.classes.iter().enumerate() {
        need(c.aim_us > 0, &format!("classes[{i}].aim_us is 0"))?;
        need(
            c.hard_limit_us > 0,
            &format!("classes[{i}].hard_limit_us is 0"),
        )?;
        need(
            c.importance >= 0.0,
            &format!("classes[{i}].importance is under 0"),
        )?;
        need(
            c.aim_stretch >= 0.0,
            &format!("classes[{i}].aim_stretch is under 0"),
        )?;
        let effects = [
            ("read_like", RetrySafety::Idempotent),
            ("idempotency_key", RetrySafety::Keyed),
            ("non_idempotent", RetrySafety::NonIdempotent),
        ];
        let keyed_for_nothing = c.effect == "idempotency_key" && c.repeat_window_us == 0;
        need(
            !keyed_for_nothing,
            &format!("classes[{i}].repeat_window_us is 0, but its effect is idempotency_key"),
        )?;
        let partial = info.class_skip_worth.get(i).copied().unwrap_or(0.0);
        need(
            (0.0..=1.0).contains(&partial),
            &format!("family_info.class_skip_worth[{i}] is not within 0 to 1"),
        )?;
        handlers.push(Handler {
            latency_objective: Duration::from_micros(c.aim_us),
            objective_stretch: c.aim_stretch,
            timeout: Duration::from_micros(c.hard_limit_us),
            weight: c.importance,
            late_weight: c.late_worth,
            retry_safety: word(&c.effect, &effects, &format!("classes[{i}].effect"))?,
            idempotency_window: Duration::from_micros(c.repeat_window_us),
            makes_calls: info.class_calls.get(i).copied().unwrap_or(false),
            partial_weight: partial,
        });
    }
    if raw.permissions.retry_after {
        need(
            raw.permissions.max_retry_after_us > 0,
            "permissions.max_retry_after_us is 0, but retry_after is true",
        )?;
    }
    for (i, t) in raw.tenants.iter().enumerate() {
        need(
            t.allowance_per_s >= 0.0,
            &format!("tenants[{i}].allowance_per_s is under 0"),
        )?;
    }
    let stops = [
        ("none", Cancellation::Unsupported),
        ("", Cancellation::Unsupported),
        ("discard", Cancellation::Discards),
        ("freeze", Cancellation::Pauses),
    ];
    let belows = [
        ("none", UpstreamKind::None),
        ("", UpstreamKind::None),
        ("one_for_all", UpstreamKind::Shared),
        ("tier", UpstreamKind::Tier),
    ];
    let frees = [
        ("none", LoadReport::Unused),
        ("", LoadReport::Unused),
        ("floor", LoadReport::Floor),
        ("allowance", LoadReport::Allowance),
        ("weight", LoadReport::Weight),
    ];
    let longest = if raw.permissions.retry_after {
        raw.permissions.max_retry_after_us
    } else {
        0
    };
    Ok(Settings {
        machine: Machine {
            cores: info.n_cores,
            memory_kb: info.memory_kb,
            running_memory_factor: info.blowup,
            key_memory_kb: info.key_kb,
            cancellation: word(&info.preemption, &stops, "family_info.preemption")?,
            max_concurrency_per_core: raw.rules.tip_multiple,
            starts_cold: info.cold,
            cold_speed: raw.rules.cold_from,
            warm_up: Duration::from_micros(raw.rules.cold_us),
        },
        handlers,
        tenants: raw
            .tenants
            .iter()
            .map(|t| Tenant {
                requests_per_second: t.allowance_per_s,
            })
            .collect(),
        below: Upstream {
            kind: word(&info.below, &belows, "family_info.below")?,
            quota: info.dep_share,
            abandoned_call_lifetime: Duration::from_micros(info.linger_us),
            averaging_window: Duration::from_micros(info.share_span_us),
        },
        callers: Downstream {
            clients: info.upstreams,
            load_report: word(&info.say, &frees, "family_info.say")?,
            max_retry_after: Duration::from_micros(longest),
            marks_retries: raw.callers.marks_retry,
            max_idle: Duration::from_micros(info.keepalive_max_us),
        },
        place: FleetPosition {
            servers: raw.servers,
            tier: raw.tier,
            weight_by_work: raw.value_by == "work",
            over_quota_weight: raw.over_share_worth,
        },
        rules: Rules {
            drain_grace: Duration::from_micros(raw.rules.drain_grace_us),
            requests_carry_timeout: info.passes_deadline,
        },
        meters: info.meters.clone(),
        handler_names: raw.classes.iter().map(|c| c.name.clone()).collect(),
        tenant_names: raw.tenants.iter().map(|t| t.name.clone()).collect(),
        lists_follow_health: info.readiness,
    })
}
