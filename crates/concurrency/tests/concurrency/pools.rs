//! Tests of pools: their ceilings on runs and calls, borrowing, and hung runs.

use crate::support::{
    BOOK, QUOTE, SEARCH, at, complete_runs, limiter, limiter_with_equal_pools, pool, pool_ceiling,
    pool_ceiling_at, queue_requests, start_runs, three_pools,
};
use madderbay::time::Duration;
use madderbay_concurrency::{ConcurrencyConfig, RequestStage};

/// Runs that wait for a call long after their requests were answered do not occupy their pool
/// forever, even if the engine never ends them.
#[test]
fn frees_permits_of_hung_runs_after_two_seconds() {
    let mut limiter = limiter_with_equal_pools();
    start_runs(&mut limiter, 0, 1..11, BOOK);
    (1..11).for_each(|id| limiter.set_stage(at(10), id, BOOK, RequestStage::AwaitingCall));
    queue_requests(&mut limiter, 20..60, SEARCH);
    assert_eq!(pool_ceiling(&mut limiter, 20, 12.0, SEARCH).runs, 2);
    (1..11).for_each(|id| limiter.request_answered(at(1_000), id));
    assert_eq!(pool_ceiling(&mut limiter, 2_999, 12.0, SEARCH).runs, 2);
    assert_eq!(pool_ceiling(&mut limiter, 3_000, 12.0, SEARCH).runs, 12);
    assert_eq!(limiter.hung(), 10);
    // Runs that end after all are not counted twice.
    (1..11).for_each(|id| limiter.request_finished(at(4_000), id));
    assert_eq!(pool_ceiling(&mut limiter, 4_000, 12.0, SEARCH).runs, 12);
    assert_eq!(limiter.hung(), 0);
}

/// A pool borrows the permits that another leaves idle, until their owner has requests.
#[test]
fn lends_idle_permits_until_owner_needs_them() {
    let mut limiter = limiter_with_equal_pools();
    queue_requests(&mut limiter, 0..30, QUOTE);
    assert_eq!(pool_ceiling(&mut limiter, 1, 12.0, QUOTE).runs, 12);
    start_runs(&mut limiter, 1, 0..12, QUOTE);
    assert_eq!(pool_ceiling(&mut limiter, 2, 12.0, QUOTE).runs, 12);
    queue_requests(&mut limiter, 100..130, SEARCH);
    // From now on, each quote run that ends makes room for a search run, until each pool has half
    // of the permits.
    assert_eq!(pool_ceiling(&mut limiter, 3, 12.0, SEARCH).runs, 6);
    assert_eq!(pool_ceiling(&mut limiter, 3, 12.0, QUOTE).runs, 6);
}

/// A pool may use all permits while it is the only one with requests, and its part by weight
/// otherwise.
#[test]
fn adjusts_ceilings_as_pools_empty_and_fill() {
    let pools = three_pools([1.0, 3.0, 0.0]);
    let mut limiter = limiter(ConcurrencyConfig {
        pools,
        ..ConcurrencyConfig::default()
    });
    for round in 0..20u64 {
        let searches = round * 1_000..round * 1_000 + 40;
        let quotes = round * 1_000 + 500..round * 1_000 + 540;
        queue_requests(&mut limiter, searches.clone(), SEARCH);
        assert_eq!(pool_ceiling(&mut limiter, round, 16.0, SEARCH).runs, 16);
        queue_requests(&mut limiter, quotes.clone(), QUOTE);
        assert_eq!(pool_ceiling(&mut limiter, round, 16.0, SEARCH).runs, 4);
        assert_eq!(pool_ceiling(&mut limiter, round, 16.0, QUOTE).runs, 12);
        searches.for_each(|id| limiter.request_finished(at(round), id));
        assert_eq!(pool_ceiling(&mut limiter, round, 16.0, QUOTE).runs, 16);
        quotes.for_each(|id| limiter.request_finished(at(round), id));
        assert!(limiter.is_empty());
    }
}

/// Runs that wait for a call take no part in the division of the cores, and their number is bounded
/// by the allowed calls.
#[test]
fn runs_blocked_on_calls_leave_cores_to_other_pools() {
    let mut limiter = limiter_with_equal_pools();
    queue_requests(&mut limiter, 0..50, BOOK);
    queue_requests(&mut limiter, 100..150, QUOTE);
    for id in 0..8 {
        limiter.set_stage(at(1), id, BOOK, RequestStage::Running);
        limiter.set_stage(at(1), id, BOOK, RequestStage::AwaitingCall);
        limiter.set_stage(at(1), id, BOOK, RequestStage::Calling);
    }
    let booking = pool_ceiling(&mut limiter, 2, 14.0, BOOK);
    let quote = pool_ceiling(&mut limiter, 2, 14.0, QUOTE);
    // The book pool may have eight calls and at most two runs on the cores (its third of four
    // cores, rounded up). The quote pool gets the remaining workers.
    assert_eq!((booking.runs, booking.calls), (10, 8));
    assert_eq!((quote.runs, quote.calls), (4, 0));
}

/// Optional calls yield to required ones, according to the pools' weights for calls.
#[test]
fn divides_calls_by_call_weights() {
    let mut pools = three_pools([1.0; 3]);
    pools[SEARCH.index()].call_weight = 0.0;
    let mut limiter = limiter(ConcurrencyConfig {
        pools,
        ..ConcurrencyConfig::default()
    });
    start_runs(&mut limiter, 1, 0..4, SEARCH);
    assert_eq!(pool_ceiling(&mut limiter, 1, 8.0, SEARCH).calls, 8);
    queue_requests(&mut limiter, 100..104, BOOK);
    assert_eq!(pool_ceiling(&mut limiter, 1, 8.0, SEARCH).calls, 4);
    queue_requests(&mut limiter, 104..120, BOOK);
    assert_eq!(pool_ceiling(&mut limiter, 1, 8.0, SEARCH).calls, 0);
    assert_eq!(pool_ceiling(&mut limiter, 1, 8.0, BOOK).calls, 8);
}

#[test]
fn puts_unassigned_handlers_into_default_pool() {
    let config = |pools| ConcurrencyConfig {
        pools,
        ..ConcurrencyConfig::default()
    };
    let mut two = limiter(config(vec![pool("book", &[BOOK], 1.0)]));
    queue_requests(&mut two, 0..20, SEARCH);
    queue_requests(&mut two, 100..120, QUOTE);
    queue_requests(&mut two, 200..220, BOOK);
    let remaining = pool_ceiling_at(&mut two, 1, 8.0, 1);
    assert_eq!(
        (remaining.handlers, remaining.runs),
        (vec![SEARCH, QUOTE], 4)
    );
    let names: Vec<&str> = two.pool_usage().map(|usage| usage.name).collect();
    assert_eq!(names, ["book", "rest"]);
    // With one worker, each pool may use it, and the limit of the decision module decides which one
    // does.
    assert!((0..2).all(|pool| pool_ceiling_at(&mut two, 1, 1.0, pool).runs <= 1));
    let mut one = limiter(config(vec![pool("all", &[SEARCH, QUOTE, BOOK], 1.0)]));
    queue_requests(&mut one, 0..20, QUOTE);
    assert_eq!(pool_ceiling_at(&mut one, 1, 8.0, 0).runs, 8);
}

#[test]
fn obeys_configured_bounds() {
    let mut pools = three_pools([1.0; 3]);
    pools[QUOTE.index()].max_runs = Some(2);
    pools[BOOK.index()].max_calls = Some(3);
    let mut limiter = limiter(ConcurrencyConfig {
        pools,
        ..ConcurrencyConfig::default()
    });
    queue_requests(&mut limiter, 0..20, QUOTE);
    queue_requests(&mut limiter, 100..120, BOOK);
    assert_eq!(pool_ceiling(&mut limiter, 1, 12.0, QUOTE).runs, 2);
    assert_eq!(pool_ceiling(&mut limiter, 1, 12.0, BOOK).calls, 3);
}

/// A pool that is delayed by its ceilings reports the interval between two starts; any other pool
/// reports none.
#[test]
fn reports_start_interval_of_pool_delayed_by_ceilings() {
    let mut limiter = limiter_with_equal_pools();
    complete_runs(&mut limiter, BOOK, 800);
    queue_requests(&mut limiter, 0..20, BOOK);
    for id in 0..8 {
        limiter.set_stage(at(1), id, BOOK, RequestStage::Running);
        limiter.set_stage(at(1), id, BOOK, RequestStage::Calling);
    }
    for ms in (10..3_000).step_by(10) {
        limiter.ceilings(at(ms), 12.0);
    }
    let interval = pool_ceiling(&mut limiter, 3_000, 12.0, BOOK).start_interval;
    assert!(interval > Duration::from_millis(95), "{interval:?}");
    assert!(interval < Duration::from_millis(105), "{interval:?}");
    let idle = pool_ceiling(&mut limiter, 3_000, 12.0, QUOTE);
    assert_eq!(idle.start_interval, Duration::ZERO);
    // With all workers busy, the cores delay the pool, not its ceilings.
    let busy = pool_ceiling(&mut limiter, 3_000, 8.0, BOOK);
    assert_eq!(busy.start_interval, Duration::ZERO);
}
