//! Tests of the limits on calls, by upstream.

use crate::support::{
    BOOK, SEARCH, at, call_requirements, limiter, limiter_with_equal_pools, pool_ceiling,
    queue_requests, three_pools,
};
use madderbay::interface::HandlerId;
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{ConcurrencyConfig, ConcurrencyLimiter, RequestStage, UpstreamGroup};

/// Returns the group of an upstream that only this handler calls, with half of the quota.
fn half_quota_group(handler: HandlerId) -> UpstreamGroup {
    UpstreamGroup {
        handlers: vec![handler],
        quota_fraction: 0.5,
    }
}

/// With a quota below one call, short calls may overlap; the decision module keeps their mean
/// number within the quota.
#[test]
fn allows_four_calls_for_quota_below_one() {
    let config = ConcurrencyConfig {
        pools: three_pools([1.0; 3]),
        call_quota: Some(0.4),
        cores: 4,
        ..ConcurrencyConfig::default()
    };
    let mut limiter = ConcurrencyLimiter::new(at(0), 1, config, &call_requirements());
    queue_requests(&mut limiter, 0..20, BOOK);
    assert_eq!(pool_ceiling(&mut limiter, 1, 12.0, BOOK).calls, 4);
}

/// A run that waits for a core is no evidence about the upstream.
#[test]
fn keeps_limit_while_runs_wait_for_cores() {
    let mut limiter = limiter_with_equal_pools();
    for id in 0..200u64 {
        let now = id * 50;
        limiter.set_stage(at(now), id, BOOK, RequestStage::Running);
        limiter.set_stage(at(now + 10), id, BOOK, RequestStage::AwaitingCall);
        limiter.set_stage(at(now + 10), id, BOOK, RequestStage::Calling);
        limiter.call_finished(at(now + 30), id, Completion::Success);
        // Each run continues for two seconds because the cores are overloaded.
        if id >= 40 {
            limiter.request_finished(at(now), id - 40);
        }
        limiter.ceilings(at(now + 40), 8.0);
    }
    assert_eq!(limiter.call_usage().map(|calls| calls.limit), Some(8.0));
    assert_eq!(limiter.change_count(), 0);
}

/// When one of two upstreams does not answer, the handlers of the other keep their calls.
#[test]
fn isolates_upstreams_from_each_other() {
    let mut limiter = limiter(ConcurrencyConfig {
        pools: three_pools([1.0; 3]),
        upstream_groups: [SEARCH, BOOK].map(half_quota_group).to_vec(),
        ..ConcurrencyConfig::default()
    });
    let initial: Vec<_> = limiter
        .upstream_usage()
        .map(|u| (u.handlers, u.calls.limit))
        .collect();
    assert_eq!(initial, [(vec![SEARCH], 4.0), (vec![BOOK], 4.0)]);
    // All calls to the first upstream time out.
    let mut id = 0;
    for ms in (0..6_000u64).step_by(50) {
        for (handler, completion) in [(SEARCH, Completion::TimedOut), (BOOK, Completion::Success)] {
            id += 1;
            limiter.set_stage(at(ms), id, handler, RequestStage::Queued);
            limiter.set_stage(at(ms), id, handler, RequestStage::Running);
            limiter.set_stage(at(ms), id, handler, RequestStage::AwaitingCall);
            limiter.set_stage(at(ms), id, handler, RequestStage::Calling);
            limiter.call_finished(at(ms + 20), id, completion);
            limiter.request_finished(at(ms + 21), id);
        }
        limiter.ceilings(at(ms + 25), 20.0);
    }
    let limits: Vec<f64> = limiter.upstream_usage().map(|u| u.calls.limit).collect();
    assert!(limits[0] < 2.0 && limits[1] > 3.0, "{limits:?}");
    let ceilings = limiter.ceilings(at(6_100), 20.0).to_vec();
    let calls_of = |handler| {
        let binding = ceilings.iter().filter(|c| c.handlers.contains(&handler));
        binding.map(|c| c.calls).min().unwrap_or(usize::MAX)
    };
    let (search, booking) = (calls_of(SEARCH), calls_of(BOOK));
    assert!(
        search < booking && booking >= 4,
        "search {search}, book {booking}"
    );
}
