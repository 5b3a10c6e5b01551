//! Converts the JSON to the records of the decision module, section by section.
//!
//! Checks run in a fixed order, and the first that fails is reported: the ranges of `family_info`
//! and `rules`, lists and names, then each class, `permissions`, each tenant, and the remaining words.

use crate::error::{InvalidValue, NumberRange, SettingsError};
use crate::raw::{Raw, RawInfo, RawPermissions, RawRules, RawTenant};
use crate::section::{Section, Words, check_distinct_names};
use crate::settings::Settings;
use madderbay::interface::{
    Cancellation, Downstream, FleetPosition, Handler, LoadReport, Machine, RetrySafety, Rules,
    Tenant, Upstream, UpstreamKind,
};
use madderbay::time::Duration;

/// Key of the list of handlers.
const CLASSES: &str = "classes";
/// Key of the list of tenants.
const TENANTS: &str = "tenants";
/// Key of the object that describes the machine, its upstream and its clients.
const FAMILY_INFO: &str = "family_info";

/// Words for `effect` of a class.
const EFFECTS: &Words<RetrySafety> = &[
    ("read_like", RetrySafety::Idempotent),
    ("idempotency_key", RetrySafety::Keyed),
    ("non_idempotent", RetrySafety::NonIdempotent),
];

/// Words for `family_info.preemption`.
const CANCELLATIONS: &Words<Cancellation> = &[
    ("none", Cancellation::Unsupported),
    ("", Cancellation::Unsupported),
    ("discard", Cancellation::Discards),
    ("freeze", Cancellation::Pauses),
];

/// Words for `family_info.below`.
const UPSTREAM_KINDS: &Words<UpstreamKind> = &[
    ("none", UpstreamKind::None),
    ("", UpstreamKind::None),
    ("one_for_all", UpstreamKind::Shared),
    ("tier", UpstreamKind::Tier),
];

/// Words for `family_info.say`.
const LOAD_REPORTS: &Words<LoadReport> = &[
    ("none", LoadReport::Unused),
    ("", LoadReport::Unused),
    ("floor", LoadReport::Floor),
    ("allowance", LoadReport::Allowance),
    ("weight", LoadReport::Weight),
];

/// Checks the settings and creates the records. The order of the steps determines which error is reported.
pub(crate) fn settings(raw: &Raw) -> Result<Settings, SettingsError> {
    check_classes_exist(raw)?;
    check_ranges(&raw.family_info, &raw.rules)?;
    check_lists_by_class(raw)?;
    check_distinct_names(CLASSES, raw.classes.iter().map(|c| c.name.as_str()))?;
    check_distinct_names(TENANTS, raw.tenants.iter().map(|t| t.name.as_str()))?;
    check_calls_have_upstream(&raw.family_info)?;
    let handlers = (0..raw.classes.len()).map(|index| handler(raw, index));
    let handlers = handlers.collect::<Result<_, _>>()?;
    let max_retry_after = max_retry_after(&raw.permissions)?;
    let tenants = raw.tenants.iter().enumerate();
    let tenants = tenants.map(|(index, raw)| tenant(raw, index));
    let tenants = tenants.collect::<Result<_, _>>()?;
    let machine = machine(&raw.family_info, &raw.rules)?;
    let upstream = upstream(&raw.family_info)?;
    let downstream = downstream(raw, max_retry_after)?;
    Ok(Settings {
        machine,
        handlers,
        tenants,
        upstream,
        downstream,
        fleet_position: fleet_position(raw),
        rules: rules(raw),
        gauges: raw.family_info.meters.clone(),
        handler_names: raw.classes.iter().map(|c| c.name.clone()).collect(),
        tenant_names: raw.tenants.iter().map(|t| t.name.clone()).collect(),
        endpoint_lists_follow_health: raw.family_info.readiness,
    })
}

fn check_classes_exist(raw: &Raw) -> Result<(), SettingsError> {
    if raw.classes.is_empty() {
        return Err(SettingsError::Invalid {
            key: CLASSES.into(),
            reason: InvalidValue::Empty,
        });
    }
    Ok(())
}

fn check_ranges(info: &RawInfo, rules: &RawRules) -> Result<(), SettingsError> {
    let section = Section::of(FAMILY_INFO);
    section.positive("n_cores", info.n_cores)?;
    section.number("memory_kb", info.memory_kb, NumberRange::Above(0.0))?;
    section.number("blowup", info.blowup, NumberRange::AtLeast(1.0))?;
    section.number("key_kb", info.key_kb, NumberRange::AtLeast(0.0))?;
    section.number("dep_share", info.dep_share, NumberRange::AtLeast(0.0))?;
    let section = Section::of("rules");
    section.number(
        "tip_multiple",
        rules.tip_multiple,
        NumberRange::AtLeast(1.0),
    )?;
    section.number("cold_from", rules.cold_from, NumberRange::Fraction)?;
    Ok(())
}

fn check_lists_by_class(raw: &Raw) -> Result<(), SettingsError> {
    let section = Section::of(FAMILY_INFO);
    let info = &raw.family_info;
    let classes = raw.classes.len();
    section.list_by_class("class_calls", &info.class_calls, classes)?;
    section.list_by_class("class_skip_worth", &info.class_skip_worth, classes)
}

/// Checks that no class makes calls if there is no upstream.
fn check_calls_have_upstream(info: &RawInfo) -> Result<(), SettingsError> {
    if !matches!(info.upstream_kind.as_str(), "" | "none") {
        return Ok(());
    }
    match info.class_calls.iter().position(|makes_calls| *makes_calls) {
        None => Ok(()),
        Some(index) => {
            let section = Section::of(FAMILY_INFO);
            let key = format!("class_calls[{index}]");
            Err(section.invalid(&key, InvalidValue::CallsWithoutUpstream))
        }
    }
}

/// Creates the handler that one class describes.
fn handler(raw: &Raw, index: usize) -> Result<Handler, SettingsError> {
    let class = &raw.classes[index];
    let section = Section::entry(CLASSES, index);
    let at_least_zero = NumberRange::AtLeast(0.0);
    section.positive("aim_us", class.aim_us)?;
    section.positive("hard_limit_us", class.hard_limit_us)?;
    section.number("importance", class.importance, at_least_zero)?;
    section.number("aim_stretch", class.aim_stretch, at_least_zero)?;
    if class.effect == "idempotency_key" && class.repeat_window_us == 0 {
        return Err(section.invalid("repeat_window_us", InvalidValue::NoIdempotencyWindow));
    }
    let partial_weight = partial_weight(&raw.family_info, index)?;
    let makes_calls = raw.family_info.class_calls.get(index);
    Ok(Handler {
        latency_objective: Duration::from_micros(class.aim_us),
        objective_stretch: class.aim_stretch,
        timeout: Duration::from_micros(class.hard_limit_us),
        weight: class.importance,
        late_weight: class.late_worth,
        retry_safety: section.word("effect", &class.effect, EFFECTS)?,
        idempotency_window: Duration::from_micros(class.repeat_window_us),
        makes_calls: makes_calls.copied().unwrap_or(false),
        partial_weight,
    })
}

/// Returns the fraction of a handler's weight that a partial answer is worth; 0 if the list is absent.
fn partial_weight(info: &RawInfo, index: usize) -> Result<f64, SettingsError> {
    let weight = info.class_skip_worth.get(index).copied().unwrap_or(0.0);
    let key = format!("class_skip_worth[{index}]");
    Section::of(FAMILY_INFO).number(&key, weight, NumberRange::Fraction)
}

/// Returns the longest Retry-After that may be advertised; zero if none may be.
fn max_retry_after(permissions: &RawPermissions) -> Result<Duration, SettingsError> {
    if !permissions.retry_after {
        return Ok(Duration::ZERO);
    }
    if permissions.max_retry_after_us == 0 {
        let section = Section::of("permissions");
        return Err(section.invalid("max_retry_after_us", InvalidValue::NoMaxRetryAfter));
    }
    Ok(Duration::from_micros(permissions.max_retry_after_us))
}

fn tenant(raw: &RawTenant, index: usize) -> Result<Tenant, SettingsError> {
    let section = Section::entry(TENANTS, index);
    let at_least_zero = NumberRange::AtLeast(0.0);
    let rate = section.number("allowance_per_s", raw.allowance_per_s, at_least_zero)?;
    Ok(Tenant {
        requests_per_second: rate,
    })
}

fn machine(info: &RawInfo, rules: &RawRules) -> Result<Machine, SettingsError> {
    let section = Section::of(FAMILY_INFO);
    Ok(Machine {
        cores: info.n_cores,
        memory_kb: info.memory_kb,
        running_memory_factor: info.blowup,
        key_memory_kb: info.key_kb,
        cancellation: section.word("preemption", &info.preemption, CANCELLATIONS)?,
        max_concurrency_per_core: rules.tip_multiple,
        starts_cold: info.cold,
        cold_speed: rules.cold_from,
        warm_up: Duration::from_micros(rules.cold_us),
    })
}

fn upstream(info: &RawInfo) -> Result<Upstream, SettingsError> {
    let section = Section::of(FAMILY_INFO);
    Ok(Upstream {
        kind: section.word("below", &info.upstream_kind, UPSTREAM_KINDS)?,
        quota: info.dep_share,
        abandoned_call_lifetime: Duration::from_micros(info.linger_us),
        averaging_window: Duration::from_micros(info.share_span_us),
    })
}

fn downstream(raw: &Raw, max_retry_after: Duration) -> Result<Downstream, SettingsError> {
    let info = &raw.family_info;
    let section = Section::of(FAMILY_INFO);
    Ok(Downstream {
        clients: info.upstreams,
        load_report: section.word("say", &info.say, LOAD_REPORTS)?,
        max_retry_after,
        marks_retries: raw.callers.marks_retry,
        max_idle: Duration::from_micros(info.keepalive_max_us),
    })
}

fn fleet_position(raw: &Raw) -> FleetPosition {
    FleetPosition {
        servers: raw.servers,
        tier: raw.tier,
        weight_by_work: raw.value_by == "work",
        over_quota_weight: raw.over_share_worth,
    }
}

fn rules(raw: &Raw) -> Rules {
    Rules {
        drain_grace: Duration::from_micros(raw.rules.drain_grace_us),
        requests_carry_timeout: raw.family_info.passes_deadline,
    }
}
