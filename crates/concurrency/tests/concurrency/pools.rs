//! Pools: who gets what, who borrows and gives back, and what the reserve keeps.

use madderbay::interface::Ceiling;
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{
    CallRequirement, ConcurrencyConfig, ConcurrencyLimiter, HandlerProfile, PoolConfig,
    RequestStage, Reserve,
};
use proptest::prelude::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(50_000_000 + ms * 1_000)
}

/// `search` may skip its call, `quote` makes none, `book` must.
const SEARCH: usize = 0;
const QUOTE: usize = 1;
const BOOK: usize = 2;

fn kinds() -> [HandlerProfile; 3] {
    [
        CallRequirement::Optional,
        CallRequirement::Never,
        CallRequirement::Required,
    ]
    .map(|calls| HandlerProfile { calls })
}

fn pool(name: &str, handlers: &[usize], weight: f64) -> PoolConfig {
    PoolConfig {
        name: name.into(),
        handlers: handlers.to_vec(),
        weight,
        call_weight: weight,
        ..PoolConfig::default()
    }
}

fn pools(plan: ConcurrencyConfig) -> ConcurrencyLimiter {
    ConcurrencyLimiter::new(
        at(0),
        1,
        ConcurrencyConfig {
            call_quota: Some(8.0),
            cores: 4,
            ..plan
        },
        &kinds(),
    )
}

fn three(weights: [f64; 3]) -> Vec<PoolConfig> {
    vec![
        pool("search", &[SEARCH], weights[0]),
        pool("quote", &[QUOTE], weights[1]),
        pool("book", &[BOOK], weights[2]),
    ]
}

/// The ceiling over a pool, by its place among the pools.
fn of(pools: &mut ConcurrencyLimiter, ms: u64, workers: f64, n: usize) -> Ceiling {
    pools.ceilings(at(ms), workers)[1 + n].clone()
}

fn held(pools: &mut ConcurrencyLimiter, ids: std::ops::Range<u64>, handler: usize) {
    ids.for_each(|id| pools.set_stage(at(1), id, handler, RequestStage::Queued));
}

fn running(pools: &mut ConcurrencyLimiter, ms: u64, ids: std::ops::Range<u64>, handler: usize) {
    ids.for_each(|id| pools.set_stage(at(ms), id, handler, RequestStage::Running));
}

/// Runs of so long, one after the other, so that the pools know what a run of the handler takes.
fn measured(pools: &mut ConcurrencyLimiter, handler: usize, ms: u64) {
    for n in 0..40 {
        pools.set_stage(at(n), 900_000, handler, RequestStage::Running);
        pools.request_finished(at(n + ms), 900_000);
    }
}

/// An engine that never ends a run at a call, whose req is long answered, keeps no place of a pool for good.
#[test]
fn a_place_has_a_term() {
    let mut pools = pools(ConcurrencyConfig {
        pools: three([1.0; 3]),
        ..ConcurrencyConfig::default()
    });
    running(&mut pools, 0, 1..11, BOOK);
    (1..11).for_each(|id| pools.set_stage(at(10), id, BOOK, RequestStage::AwaitingCall));
    held(&mut pools, 20..60, SEARCH);
    assert_eq!(of(&mut pools, 20, 12.0, 0).runs, 2);
    (1..11).for_each(|id| pools.request_answered(at(1_000), id));
    assert_eq!(of(&mut pools, 2_999, 12.0, 0).runs, 2);
    assert_eq!(
        (of(&mut pools, 3_000, 12.0, 0).runs, pools.hung()),
        (12, 10)
    );
    // Those that end after all were counted before.
    (1..11).for_each(|id| pools.request_finished(at(4_000), id));
    assert_eq!((of(&mut pools, 4_000, 12.0, 0).runs, pools.hung()), (12, 0));
}

/// The same cases each time.
pub(crate) fn seeded(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(7);
    ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// What one leaves idle another borrows, and the loan ends as soon as the owner comes.
#[test]
fn idle_places_are_lent_and_given_back() {
    let mut p = pools(ConcurrencyConfig {
        pools: three([1.0; 3]),
        ..ConcurrencyConfig::default()
    });
    held(&mut p, 0..30, QUOTE);
    assert_eq!(of(&mut p, 1, 12.0, 1).runs, 12);
    running(&mut p, 1, 0..12, QUOTE);
    assert_eq!(of(&mut p, 2, 12.0, 1).runs, 12);
    held(&mut p, 100..130, SEARCH);
    // From now on every run that ends makes room for a search until each has its half.
    assert_eq!(
        (of(&mut p, 3, 12.0, 0).runs, of(&mut p, 3, 12.0, 1).runs),
        (6, 6)
    );
}

/// Pools that empty and fill in turn: each has all there is while it is alone, and its weight's part when
/// not.
#[test]
fn pools_empty_and_fill_in_turn() {
    let mut p = pools(ConcurrencyConfig {
        pools: three([1.0, 3.0, 0.0]),
        ..ConcurrencyConfig::default()
    });
    for turn in 0..20u64 {
        let (ids, more) = (
            turn * 1_000..turn * 1_000 + 40,
            turn * 1_000 + 500..turn * 1_000 + 540,
        );
        held(&mut p, ids.clone(), SEARCH);
        assert_eq!(of(&mut p, turn, 16.0, 0).runs, 16);
        held(&mut p, more.clone(), QUOTE);
        assert_eq!(
            (
                of(&mut p, turn, 16.0, 0).runs,
                of(&mut p, turn, 16.0, 1).runs
            ),
            (4, 12)
        );
        ids.clone().for_each(|id| p.request_finished(at(turn), id));
        assert_eq!(of(&mut p, turn, 16.0, 1).runs, 16);
        more.for_each(|id| p.request_finished(at(turn), id));
        assert!(p.is_empty());
    }
}

/// Runs that stand at calls take no part in the division of the cores, and are no more than the calls allow.
#[test]
fn runs_at_calls_leave_the_cores_to_the_others() {
    let mut p = pools(ConcurrencyConfig {
        pools: three([1.0; 3]),
        ..ConcurrencyConfig::default()
    });
    held(&mut p, 0..50, BOOK);
    held(&mut p, 100..150, QUOTE);
    for id in 0..8 {
        p.set_stage(at(1), id, BOOK, RequestStage::Running);
        p.set_stage(at(1), id, BOOK, RequestStage::AwaitingCall);
        p.set_stage(at(1), id, BOOK, RequestStage::Calling);
    }
    let (book, quote) = (of(&mut p, 2, 14.0, 2), of(&mut p, 2, 14.0, 1));
    // Eight calls and at most two on the cores, of a third of four; the rest is the quotes'.
    assert_eq!(
        (book.runs, book.calls, quote.runs, quote.calls),
        (10, 8, 4, 0)
    );
}

/// Calls that may be left out yield to those that must be made, weight for weight.
#[test]
fn calls_are_divided_by_their_own_weights() {
    let mut plan = three([1.0; 3]);
    plan[0].call_weight = 0.0;
    let mut p = pools(ConcurrencyConfig {
        pools: plan,
        ..ConcurrencyConfig::default()
    });
    running(&mut p, 1, 0..4, SEARCH);
    assert_eq!(of(&mut p, 1, 8.0, 0).calls, 8);
    held(&mut p, 100..104, BOOK);
    assert_eq!(of(&mut p, 1, 8.0, 0).calls, 4);
    held(&mut p, 104..120, BOOK);
    assert_eq!(
        (of(&mut p, 1, 8.0, 0).calls, of(&mut p, 1, 8.0, 2).calls),
        (0, 8)
    );
}

#[test]
fn a_handler_in_no_pool_and_a_pool_of_one() {
    let mut p = pools(ConcurrencyConfig {
        pools: vec![pool("book", &[BOOK], 1.0)],
        ..ConcurrencyConfig::default()
    });
    // Search and quote are in a pool of their own by the name of rest.
    held(&mut p, 0..20, SEARCH);
    held(&mut p, 100..120, QUOTE);
    held(&mut p, 200..220, BOOK);
    let rest = of(&mut p, 1, 8.0, 1);
    assert_eq!((rest.handlers, rest.runs), (vec![SEARCH, QUOTE], 4));
    assert_eq!(
        p.pool_usage().map(|u| u.name).collect::<Vec<_>>(),
        ["book", "rest"]
    );
    // One worker: each pool may have it, and the module's own limit tells which.
    assert!((0..2).all(|n| of(&mut p, 1, 1.0, n).runs <= 1));
    let mut one = pools(ConcurrencyConfig {
        pools: vec![pool("all", &[SEARCH, QUOTE, BOOK], 1.0)],
        ..ConcurrencyConfig::default()
    });
    held(&mut one, 0..20, QUOTE);
    assert_eq!(of(&mut one, 1, 8.0, 0).runs, 8);
}

#[test]
fn the_operators_own_bounds_hold() {
    let mut plan = three([1.0; 3]);
    (plan[1].max_runs, plan[2].max_calls) = (Some(2), Some(3));
    let mut p = pools(ConcurrencyConfig {
        pools: plan,
        ..ConcurrencyConfig::default()
    });
    held(&mut p, 0..20, QUOTE);
    held(&mut p, 100..120, BOOK);
    assert_eq!(
        (of(&mut p, 1, 12.0, 1).runs, of(&mut p, 1, 12.0, 2).calls),
        (2, 3)
    );
}

/// The share of what lies below is under one call: quick calls may still go together, and the module's
/// account keeps their mean within it.
#[test]
fn a_share_under_one_call() {
    let plan = ConcurrencyConfig {
        pools: three([1.0; 3]),
        call_quota: Some(0.4),
        cores: 4,
        ..ConcurrencyConfig::default()
    };
    let mut p = ConcurrencyLimiter::new(at(0), 1, plan, &kinds());
    held(&mut p, 0..20, BOOK);
    assert_eq!(of(&mut p, 1, 12.0, 2).calls, 4);
}

/// A req that waits for a core is no sign of what lies below.
#[test]
fn waiting_for_a_core_does_not_shrink_the_calls() {
    let mut p = pools(ConcurrencyConfig {
        pools: three([1.0; 3]),
        ..ConcurrencyConfig::default()
    });
    for n in 0..200u64 {
        let now = n * 50;
        p.set_stage(at(now), n, BOOK, RequestStage::Running);
        p.set_stage(at(now + 10), n, BOOK, RequestStage::AwaitingCall);
        p.set_stage(at(now + 10), n, BOOK, RequestStage::Calling);
        p.call_finished(at(now + 30), n, Completion::Success);
        // Each run goes on for two seconds on crowded cores.
        if n >= 40 {
            p.request_finished(at(now), n - 40);
        }
        p.ceilings(at(now + 40), 8.0);
    }
    assert_eq!(p.call_usage().map(|c| c.limit), Some(8.0));
    assert_eq!(p.change_count(), 0);
}

fn reserve(handlers: &[usize], part: f64) -> Option<Reserve> {
    Some(Reserve {
        handlers: handlers.to_vec(),
        fraction: part,
    })
}

/// What does not belong to it, by the last ceiling: who, and how many runs.
fn outside(p: &mut ConcurrencyLimiter, ms: u64, workers: f64) -> Ceiling {
    p.ceilings(at(ms), workers)
        .last()
        .expect("one over what is outside")
        .clone()
}

#[test]
fn the_reserve_is_kept_from_what_is_long() {
    let mut p = pools(ConcurrencyConfig {
        pools: three([1.0; 3]),
        reserve: reserve(&[QUOTE], 0.2),
        ..ConcurrencyConfig::default()
    });
    measured(&mut p, QUOTE, 30);
    let found = outside(&mut p, 1, 10.0);
    assert_eq!((found.handlers, found.runs), (vec![SEARCH, BOOK], 8));
    // At least one, but never the last worker.
    assert_eq!(
        (outside(&mut p, 1, 2.0).runs, outside(&mut p, 1, 1.0).runs),
        (1, 1)
    );
}

/// Runs as short as the reserve's own may borrow it: wanted back, it is free within one run's time, since
/// each place that ends goes to its owner before the borrower.
#[test]
fn a_borrowed_reserve_is_had_back_within_a_run() {
    let never = [HandlerProfile {
        calls: CallRequirement::Never,
    }; 2];
    let plan = ConcurrencyConfig {
        pools: vec![pool("own", &[0], 1.0), pool("short", &[1], 1.0)],
        reserve: reserve(&[0], 0.5),
        cores: 4,
        ..ConcurrencyConfig::default()
    };
    let mut p = ConcurrencyLimiter::new(at(0), 1, plan, &never);
    measured(&mut p, 0, 30);
    // Unknown yet, it may not borrow; long, it may not either; as short as the own, it may.
    assert_eq!(outside(&mut p, 100, 4.0).handlers, [1]);
    measured(&mut p, 1, 90);
    assert_eq!(outside(&mut p, 100, 4.0).handlers, [1]);
    measured(&mut p, 1, 30);
    assert_eq!(outside(&mut p, 100, 4.0).handlers, Vec::<usize>::new());
    held(&mut p, 10..30, 1);
    running(&mut p, 100, 10..14, 1);
    assert_eq!(of(&mut p, 101, 4.0, 1).runs, 4);
    // The owner comes: of four places two are its own as soon as the borrower's runs end.
    held(&mut p, 50..60, 0);
    assert_eq!(
        (of(&mut p, 102, 4.0, 0).runs, of(&mut p, 102, 4.0, 1).runs),
        (2, 2)
    );
}

/// None named, the one whose runs are shortest has it, and keeps it against one hardly shorter.
#[test]
fn the_cheapest_has_the_reserve() {
    let mut p = pools(ConcurrencyConfig {
        pools: three([1.0; 3]),
        reserve: reserve(&[], 0.1),
        ..ConcurrencyConfig::default()
    });
    assert!(p.reserved().is_empty());
    measured(&mut p, SEARCH, 50);
    measured(&mut p, QUOTE, 20);
    p.ceilings(at(2_000), 8.0);
    assert_eq!(p.reserved(), [QUOTE]);
    measured(&mut p, SEARCH, 18);
    p.ceilings(at(4_000), 8.0);
    assert_eq!(p.reserved(), [QUOTE]);
    measured(&mut p, SEARCH, 10);
    p.ceilings(at(6_000), 8.0);
    assert_eq!(p.reserved(), [SEARCH]);
}

/// A pool held up by its ceilings tells the time between two of its starts; one that is not tells none.
#[test]
fn turns_are_told_where_ceilings_hold_up() {
    let mut p = pools(ConcurrencyConfig {
        pools: three([1.0; 3]),
        ..ConcurrencyConfig::default()
    });
    measured(&mut p, BOOK, 800);
    held(&mut p, 0..20, BOOK);
    for id in 0..8 {
        p.set_stage(at(1), id, BOOK, RequestStage::Running);
        p.set_stage(at(1), id, BOOK, RequestStage::Calling);
    }
    for ms in (10..3_000).step_by(10) {
        p.ceilings(at(ms), 12.0);
    }
    let turn = of(&mut p, 3_000, 12.0, 2).start_interval;
    assert!(
        turn > Duration::from_millis(95) && turn < Duration::from_millis(105),
        "{turn:?}"
    );
    assert_eq!(of(&mut p, 3_000, 12.0, 1).start_interval, Duration::ZERO);
    // All workers busy: it is the cores that hold it up.
    assert_eq!(of(&mut p, 3_000, 8.0, 2).start_interval, Duration::ZERO);
}

#[derive(Clone, Debug)]
enum Did {
    Stage(u64, u8, u8),
    CallOver(u64, u8),
    Skipped(u64),
    Over(u64),
    Pass(i64),
}

proptest! {
    #![proptest_config(seeded(256))]

    /// Whatever is told, in whatever order and time: figures stay those of the reqs that are known, and
    /// nothing is left once all are over.
    #[test]
    fn any_order_of_events(did in prop::collection::vec(prop_oneof![
        6 => (0u64..12, 0u8..3, 0u8..4).prop_map(|(i, h, s)| Did::Stage(i, h, s)),
        2 => (0u64..12, 0u8..4).prop_map(|(i, e)| Did::CallOver(i, e)),
        1 => (0u64..12).prop_map(Did::Skipped),
        3 => (0u64..12).prop_map(Did::Over),
        3 => (-500i64..1_500).prop_map(Did::Pass),
    ], 1..300)) {
        let reserve = reserve(&[], 0.3);
        let mut p = pools(ConcurrencyConfig { pools: three([1.0, 0.0, 2.0]), reserve, ..ConcurrencyConfig::default() });
        let mut now = 10_000i64;
        for event in did {
            let time = at(now as u64);
            match event {
                Did::Stage(id, h, s) => {
                    let stage = [RequestStage::Queued, RequestStage::Running, RequestStage::AwaitingCall, RequestStage::Calling][usize::from(s)];
                    p.set_stage(time, id, usize::from(h), stage);
                }
                Did::CallOver(id, e) => {
                    let end = [Completion::Success, Completion::Failure, Completion::TimedOut, Completion::Cancelled][usize::from(e)];
                    p.call_finished(time, id, end);
                }
                Did::Skipped(id) => p.call_skipped(time, id),
                Did::Over(id) => p.request_finished(time, id),
                Did::Pass(by) => now = (now + by).max(0),
            }
            let all = p.ceilings(at(now as u64), 8.0).to_vec();
            for (c, has) in all[1..4].iter().zip(p.pool_usage()) {
                // Two more calls than the share while calls hang; a handler that makes none has none.
                let most = if c.handlers == [QUOTE] { 0 } else { 10 };
                prop_assert!(c.calls <= most);
                // Beyond what it has already, no pool may start more than there are workers.
                prop_assert!(c.runs <= has.runs + 8);
            }
            let counted: usize = p.pool_usage().map(|u| u.queued + u.runs).sum();
            prop_assert_eq!(counted, p.len());
        }
        (0..12).for_each(|id| p.request_finished(at(now as u64), id));
        prop_assert!(p.is_empty());
        prop_assert_eq!(p.call_usage().map(|c| c.in_flight), Some(0));
    }
}

/// What lies below is two: one that is silent takes no calls from the other's handlers.
#[test]
fn a_limit_for_each_of_what_lies_below() {
    let groups = vec![(vec![0], 0.5), (vec![2], 0.5)];
    let mut p = pools(ConcurrencyConfig {
        pools: three([1.0; 3]),
        upstream_groups: groups,
        ..ConcurrencyConfig::default()
    });
    assert_eq!(
        p.upstream_usage()
            .map(|u| (u.handlers, u.calls.limit))
            .collect::<Vec<_>>(),
        [(vec![0], 4.0), (vec![2], 4.0)]
    );
    // All calls of the first hang, and are given up on.
    let mut id = 0;
    for ms in (0..6_000u64).step_by(50) {
        for handler in [0, 2] {
            id += 1;
            p.set_stage(at(ms), id, handler, RequestStage::Queued);
            p.set_stage(at(ms), id, handler, RequestStage::Running);
            p.set_stage(at(ms), id, handler, RequestStage::AwaitingCall);
            p.set_stage(at(ms), id, handler, RequestStage::Calling);
            let end = if handler == 0 {
                Completion::TimedOut
            } else {
                Completion::Success
            };
            p.call_finished(at(ms + 20), id, end);
            p.request_finished(at(ms + 21), id);
        }
        p.ceilings(at(ms + 25), 20.0);
    }
    let levels: Vec<f64> = p.upstream_usage().map(|u| u.calls.limit).collect();
    assert!(levels[0] < 2.0 && levels[1] > 3.0, "{levels:?}");
    let ceilings = p.ceilings(at(6_100), 20.0).to_vec();
    let of = |handler| {
        let over = ceilings
            .iter()
            .filter(|c| c.handlers.contains(&handler))
            .map(|c| c.calls);
        over.min().unwrap_or(usize::MAX)
    };
    assert!(of(0) < of(2) && of(2) >= 4, "{} and {}", of(0), of(2));
}
