//! Helpers shared by the tests of the limiter: three handlers, three pools, and functions that
//! report events of many requests.

use madderbay::interface::{CallRequirement, Ceiling, HandlerId};
use madderbay::time::Timestamp;
use madderbay_concurrency::{
    ConcurrencyConfig, ConcurrencyLimiter, PoolConfig, RequestStage, Reserve,
};
use proptest::test_runner::{Config, RngSeed};
use std::ops::Range;

/// A handler whose runs may skip their call. The index of a handler is also that of its pool in
/// [`three_pools`].
pub(crate) const SEARCH: HandlerId = HandlerId::new(0);
/// A handler whose runs make no call.
pub(crate) const QUOTE: HandlerId = HandlerId::new(1);
/// A handler whose runs require a call.
pub(crate) const BOOK: HandlerId = HandlerId::new(2);

pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(50_000_000 + ms * 1_000)
}

pub(crate) fn call_requirements() -> [CallRequirement; 3] {
    [
        CallRequirement::Optional,
        CallRequirement::Never,
        CallRequirement::Required,
    ]
}

/// Returns a pool with the same weight for runs and calls.
pub(crate) fn pool(name: &str, handlers: &[HandlerId], weight: f64) -> PoolConfig {
    PoolConfig {
        name: name.into(),
        handlers: handlers.to_vec(),
        weight,
        call_weight: weight,
        ..PoolConfig::default()
    }
}

/// Returns one pool for each handler, in the order of the handlers.
pub(crate) fn three_pools(weights: [f64; 3]) -> Vec<PoolConfig> {
    vec![
        pool("search", &[SEARCH], weights[SEARCH.index()]),
        pool("quote", &[QUOTE], weights[QUOTE.index()]),
        pool("book", &[BOOK], weights[BOOK.index()]),
    ]
}

pub(crate) fn reserve(handlers: &[HandlerId], fraction: f64) -> Option<Reserve> {
    Some(Reserve {
        handlers: handlers.to_vec(),
        fraction,
    })
}

/// Creates a limiter with a quota of eight calls and four cores.
pub(crate) fn limiter(config: ConcurrencyConfig) -> ConcurrencyLimiter {
    let config = ConcurrencyConfig {
        call_quota: Some(8.0),
        cores: 4,
        ..config
    };
    ConcurrencyLimiter::new(at(0), 1, config, &call_requirements())
}

/// Creates a limiter with [`three_pools`] of equal weight.
pub(crate) fn limiter_with_equal_pools() -> ConcurrencyLimiter {
    limiter(ConcurrencyConfig {
        pools: three_pools([1.0; 3]),
        ..ConcurrencyConfig::default()
    })
}

/// Returns the ceiling of the pool of a handler; requires [`three_pools`].
pub(crate) fn pool_ceiling(
    limiter: &mut ConcurrencyLimiter,
    ms: u64,
    workers: f64,
    handler: HandlerId,
) -> Ceiling {
    pool_ceiling_at(limiter, ms, workers, handler.index())
}

/// Returns the ceiling of a pool, by its index.
pub(crate) fn pool_ceiling_at(
    limiter: &mut ConcurrencyLimiter,
    ms: u64,
    workers: f64,
    pool: usize,
) -> Ceiling {
    limiter.ceilings(at(ms), workers)[1 + pool].clone()
}

/// Returns the ceiling of the handlers outside the reserve, which is the last one if there is a
/// single upstream.
pub(crate) fn ceiling_outside_reserve(
    limiter: &mut ConcurrencyLimiter,
    ms: u64,
    workers: f64,
) -> Ceiling {
    let ceilings = limiter.ceilings(at(ms), workers);
    ceilings.last().expect("there is a reserve").clone()
}

pub(crate) fn queue_requests(
    limiter: &mut ConcurrencyLimiter,
    ids: Range<u64>,
    handler: HandlerId,
) {
    ids.for_each(|id| limiter.set_stage(at(1), id, handler, RequestStage::Queued));
}

pub(crate) fn start_runs(
    limiter: &mut ConcurrencyLimiter,
    ms: u64,
    ids: Range<u64>,
    handler: HandlerId,
) {
    ids.for_each(|id| limiter.set_stage(at(ms), id, handler, RequestStage::Running));
}

/// Completes forty runs of this duration, started 1 ms apart, so that the limiter knows the mean
/// run duration of the handler.
pub(crate) fn complete_runs(
    limiter: &mut ConcurrencyLimiter,
    handler: HandlerId,
    duration_ms: u64,
) {
    for n in 0..40 {
        limiter.set_stage(at(n), 900_000, handler, RequestStage::Running);
        limiter.request_finished(at(n + duration_ms), 900_000);
    }
}

/// Returns the settings of a property test with this number of cases. The fixed seed generates the
/// same cases in each run.
pub(crate) fn property_test_config(cases: u32) -> Config {
    let rng_seed = RngSeed::Fixed(7);
    Config {
        cases,
        rng_seed,
        failure_persistence: None,
        ..Config::default()
    }
}
