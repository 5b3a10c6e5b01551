//! Quotas and counters of the whole fleet (`[shared]`, `[budget NAME]`, `[count NAME]`).

use crate::error::Problem;
use crate::file::OperatorFile;
use crate::handler_groups::{self, HANDLERS};
use crate::keys::{ENABLED, NumberKey, WordKey};
use crate::names::Names;
use crate::section::Section;

const SLOT: NumberKey<u32> = NumberKey {
    name: "seat",
    range: 1..=MAX_SERVERS,
    default: 1,
};
/// The upper bound keeps one server from taking nearly all capacity from the others.
const WEIGHT: NumberKey<f64> = NumberKey {
    name: "weight",
    range: 0.01..=100.0,
    default: 1.0,
};
const SHARED_KEYS: &[&str] = &[ENABLED.name, SLOT.name, WEIGHT.name];

/// A required key; the default is used only after its absence has been reported.
const CALLS: NumberKey<u32> = NumberKey {
    name: "calls",
    range: 1..=MAX_CALLS,
    default: 1,
};
/// A required key; the default is used only after its absence has been reported.
const SERVERS: NumberKey<u32> = NumberKey {
    name: "servers",
    range: 1..=MAX_SERVERS,
    default: 1,
};
const LEASE_MS: NumberKey<u64> = NumberKey {
    name: "lease_ms",
    range: 200..=60_000,
    default: 1_000,
};
const MAX_CALL_MS: NumberKey<u64> = NumberKey {
    name: "longest_ms",
    range: 50..=600_000,
    default: 2_000,
};
const BUDGET_KEYS: &[&str] = &[
    CALLS.name,
    HANDLERS,
    LEASE_MS.name,
    MAX_CALL_MS.name,
    SERVERS.name,
];

/// A required key; the default is used only after its absence has been reported.
const BY: WordKey<CounterKind> = WordKey {
    name: "by",
    words: &[
        ("tenant", CounterKind::Tenant),
        ("handler", CounterKind::Handler),
    ],
    default: CounterKind::Tenant,
};
const MAX_PER_SECOND: NumberKey<f64> = NumberKey {
    name: "most",
    range: 1.0..=1_000_000.0,
    default: 1_000.0,
};
const WINDOW_S: NumberKey<u64> = NumberKey {
    name: "window_s",
    range: 1..=3_600,
    default: 10,
};
const COUNT_KEYS: &[&str] = &[BY.name, MAX_PER_SECOND.name, WINDOW_S.name];

/// Upper bound on the number of servers in a fleet.
const MAX_SERVERS: u32 = 10_000;
/// Upper bound on the number of calls that a fleet may have in flight.
const MAX_CALLS: u32 = 1_000_000;

/// Quotas and counters of the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Slot of this server, from 1, unique in the fleet; `None` if it has no fixed slot.
    pub slot: Option<u32>,
    /// Weight of this server when capacity is divided among servers that demand more than there is,
    /// 0.01 to 100.
    pub weight: f64,
    /// The budgets in the order of the file.
    pub budgets: Vec<Budget>,
    /// The replicated counters in the order of the file.
    pub counters: Vec<Counter>,
}

/// A budget: a quota of the whole fleet for calls in flight.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Name of the budget, the same on all servers.
    pub name: String,
    /// Handlers whose calls it limits; each handler is in at most one budget.
    pub handlers: Names,
    /// Number of calls that the whole fleet may have in flight.
    pub capacity: u32,
    /// Upper bound on the number of servers in the fleet.
    pub max_servers: u32,
    /// Time for which a lessee may start calls on a lease, in milliseconds.
    pub lease_ms: u64,
    /// Maximum time to wait for a call, in milliseconds.
    pub max_call_ms: u64,
}

/// The kind of keys of a counter, each of which has a count of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CounterKind {
    /// One count for each tenant.
    Tenant,
    /// One count for each handler.
    Handler,
}

/// A replicated counter of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Counter {
    /// Name of the counter, the same on all servers.
    pub name: String,
    /// The kind of its keys.
    pub by: CounterKind,
    /// Length of the time window in which requests are counted, in seconds.
    pub window_s: u64,
    /// Upper bound on the requests of one tenant or handler that a server receives, in requests per
    /// second. The error bound of the counter depends on it.
    pub max_per_second: f64,
}

/// Reads `[shared]`, all `[budget NAME]` and all `[count NAME]`. `has_members` says whether
/// `[members]` is enabled.
pub(crate) fn read(file: &mut OperatorFile, has_members: bool) -> Option<QuotaConfig> {
    let head = file.take_one("shared", SHARED_KEYS);
    let budget_sections = file.take("budget", BUDGET_KEYS);
    let count_sections = file.take("count", COUNT_KEYS);
    let Some(head) = head else {
        file.require_section(budget_sections.iter().chain(&count_sections), "shared");
        return None;
    };
    let enabled = file.word(&head, &ENABLED);
    if enabled && !has_members {
        file.key_error(&head, ENABLED.name, Problem::QuotasWithoutMembership);
    }
    let slot = file.optional_number(&head, SLOT);
    let budgets = handler_groups::read_each(file, &budget_sections, |file, section, earlier| {
        let budget = read_budget(file, section, earlier);
        check_base_quota(file, section, &budget, slot);
        budget
    });
    let counters: Vec<Counter> = count_sections
        .iter()
        .map(|section| read_count(file, section))
        .collect();
    let by_tenant = counters.iter().filter(|c| c.by == CounterKind::Tenant);
    if by_tenant.count() > 1 {
        file.section_error(&head, Problem::SeveralTenantCounters);
    }
    let shared = QuotaConfig {
        slot,
        weight: file.number(&head, WEIGHT),
        budgets,
        counters,
    };
    enabled.then_some(shared)
}

fn read_budget(file: &mut OperatorFile, section: &Section, earlier: &[Budget]) -> Budget {
    file.require_section_name(section);
    file.require_key(section, CALLS.name);
    file.require_key(section, SERVERS.name);
    let earlier = earlier
        .iter()
        .map(|budget| (&budget.name, &budget.handlers));
    let handlers = handler_groups::read_disjoint(file, section, "budget", earlier);
    Budget {
        name: section.name.clone(),
        handlers,
        capacity: file.number(section, CALLS),
        max_servers: file.number(section, SERVERS),
        lease_ms: file.number(section, LEASE_MS),
        max_call_ms: file.number(section, MAX_CALL_MS),
    }
}

/// Reports a missing slot if a budget has fewer calls than servers: then the slots determine which
/// servers have a base quota.
fn check_base_quota(
    file: &mut OperatorFile,
    section: &Section,
    budget: &Budget,
    slot: Option<u32>,
) {
    if budget.capacity < budget.max_servers && slot.is_none() {
        let problem = Problem::NoBaseQuota {
            calls: budget.capacity,
            servers: budget.max_servers,
        };
        file.key_error(section, CALLS.name, problem);
    }
}

fn read_count(file: &mut OperatorFile, section: &Section) -> Counter {
    file.require_section_name(section);
    if section.get(BY.name).is_none() {
        file.key_error(section, BY.name, Problem::NoCounterKind);
    }
    Counter {
        name: section.name.clone(),
        by: file.word(section, &BY),
        window_s: file.number(section, WINDOW_S),
        max_per_second: file.number(section, MAX_PER_SECOND),
    }
}
