//! Concurrency limits: pools of handlers and the reserve (`[pools]`, `[pool NAME]`, `[reserve]`).

use crate::error::Problem;
use crate::file::OperatorFile;
use crate::handler_groups::{self, HANDLERS};
use crate::keys::{ENABLED, NumberKey, WordKey};
use crate::names::Names;
use crate::section::Section;

const LIMITS: WordKey<bool> = WordKey {
    name: "limits",
    words: &[("adaptive", true), ("fixed", false)],
    default: true,
};
const POOLS_KEYS: &[&str] = &[ENABLED.name, LIMITS.name];

const CALLS: NumberKey<usize> = NumberKey {
    name: "calls",
    range: 1..=MAX_IN_FLIGHT,
    default: MAX_IN_FLIGHT,
};
/// Defaults to the pool's weight.
const CALLS_WEIGHT: NumberKey<f64> = NumberKey {
    name: "calls_weight",
    range: 0.0..=MAX_WEIGHT,
    default: 1.0,
};
const RUNS: NumberKey<usize> = NumberKey {
    name: "runs",
    range: 1..=MAX_IN_FLIGHT,
    default: MAX_IN_FLIGHT,
};
const WEIGHT: NumberKey<f64> = NumberKey {
    name: "weight",
    range: 0.0..=MAX_WEIGHT,
    default: 1.0,
};
const POOL_KEYS: &[&str] = &[
    CALLS.name,
    CALLS_WEIGHT.name,
    HANDLERS,
    RUNS.name,
    WEIGHT.name,
];

/// Defaults to a tenth of the capacity: one of the first ten units.
const RESERVE_FRACTION: NumberKey<f64> = NumberKey {
    name: "part",
    range: 0.0..=MAX_RESERVE_FRACTION,
    default: 0.1,
};
const RESERVE_KEYS: &[&str] = &[HANDLERS, RESERVE_FRACTION.name];

/// Upper bound on a pool's runs or calls in flight, more than any server has.
const MAX_IN_FLIGHT: usize = 100_000;
/// Upper bound on weights.
const MAX_WEIGHT: f64 = 1_000_000.0;
/// Upper bound on the reserve. A larger reserve would be the rule and not the exception.
const MAX_RESERVE_FRACTION: f64 = 0.5;
/// Reserved name of the pool of all handlers that are in no other pool.
const REST_POOL: &str = "rest";

/// Concurrency limits by pool of handlers.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolsConfig {
    /// Whether the limit on calls adapts to the upstream; otherwise it equals this server's quota.
    pub adaptive: bool,
    /// The pools in the order of the file.
    pub pools: Vec<Pool>,
    /// The reserve, if it is set.
    pub reserve: Option<Reserve>,
}

/// A pool: handlers with a concurrency limit of their own.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool, unique in the file.
    pub name: String,
    /// Its handlers; each handler is in at most one pool.
    pub handlers: Names,
    /// Weight of the pool when runs are divided among pools that demand them, 0 to 1,000,000.
    pub weight: f64,
    /// Weight of the pool when calls are divided among pools that demand them, 0 to 1,000,000.
    pub call_weight: f64,
    /// Upper bound on its runs in flight.
    pub max_runs: Option<usize>,
    /// Upper bound on its calls in flight.
    pub max_calls: Option<usize>,
}

/// Capacity that is set aside for some handlers.
#[derive(Clone, Debug, PartialEq)]
pub struct Reserve {
    /// The handlers that may use it. If there are none, the server selects the handler with the shortest runs.
    pub handlers: Names,
    /// Fraction of all runs, and of all calls if the handlers make calls, 0 to 0.5.
    pub fraction: f64,
}

/// Reads `[pools]`, all `[pool NAME]` and `[reserve]`.
pub(crate) fn read(file: &mut OperatorFile) -> Option<PoolsConfig> {
    let head = file.take_one("pools", POOLS_KEYS);
    let sections = file.take("pool", POOL_KEYS);
    let reserve = file.take_one("reserve", RESERVE_KEYS);
    let (enabled, adaptive) = match &head {
        Some(head) => (file.word(head, &ENABLED), file.word(head, &LIMITS)),
        None => (ENABLED.default, LIMITS.default),
    };
    if head.is_none() {
        file.require_section(sections.iter().chain(&reserve), "pools");
    }
    let pools = handler_groups::read_each(file, &sections, read_pool);
    let reserve = reserve.map(|section| Reserve {
        handlers: file.names(&section, HANDLERS),
        fraction: file.number(&section, RESERVE_FRACTION),
    });
    enabled.then_some(PoolsConfig {
        adaptive,
        pools,
        reserve,
    })
}

fn read_pool(file: &mut OperatorFile, section: &Section, earlier: &[Pool]) -> Pool {
    if section.name.is_empty() {
        file.section_error(section, Problem::UnnamedPool);
    } else if section.name == REST_POOL {
        file.section_error(section, Problem::ReservedPoolName);
    }
    let earlier = earlier.iter().map(|pool| (&pool.name, &pool.handlers));
    let handlers = handler_groups::read_disjoint(file, section, "pool", earlier);
    let weight = file.number(section, WEIGHT);
    Pool {
        name: section.name.clone(),
        handlers,
        weight,
        call_weight: file.number(section, CALLS_WEIGHT.with_default(weight)),
        max_runs: file.optional_number(section, RUNS),
        max_calls: file.optional_number(section, CALLS),
    }
}
