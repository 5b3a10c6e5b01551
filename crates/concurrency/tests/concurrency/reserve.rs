//! Tests of reserved capacity: its owners and its borrowers.

use crate::support::{
    BOOK, QUOTE, SEARCH, at, ceiling_outside_reserve, complete_runs, limiter, pool, pool_ceiling,
    queue_requests, reserve, start_runs, three_pools,
};
use madderbay::interface::{CallRequirement, HandlerId};
use madderbay_concurrency::{ConcurrencyConfig, ConcurrencyLimiter, Reserve};

fn limiter_with(reserve: Option<Reserve>) -> ConcurrencyLimiter {
    let pools = three_pools([1.0; 3]);
    limiter(ConcurrencyConfig {
        pools,
        reserve,
        ..ConcurrencyConfig::default()
    })
}

#[test]
fn keeps_reserve_free_of_other_handlers() {
    let mut limiter = limiter_with(reserve(&[QUOTE], 0.2));
    complete_runs(&mut limiter, QUOTE, 30);
    let found = ceiling_outside_reserve(&mut limiter, 1, 10.0);
    assert_eq!((found.handlers, found.runs), (vec![SEARCH, BOOK], 8));
    // At least one worker is reserved, but never the last one.
    assert_eq!(ceiling_outside_reserve(&mut limiter, 1, 2.0).runs, 1);
    assert_eq!(ceiling_outside_reserve(&mut limiter, 1, 1.0).runs, 1);
}

/// Handlers whose runs are about as short as the owner's may borrow the reserve. The owner gets it
/// back within one run, since each released permit goes to the owner first.
#[test]
fn returns_borrowed_reserve_within_one_run() {
    let (owner, borrower) = (HandlerId::new(0), HandlerId::new(1));
    let calls = [CallRequirement::Never; 2];
    let config = ConcurrencyConfig {
        pools: vec![pool("own", &[owner], 1.0), pool("short", &[borrower], 1.0)],
        reserve: reserve(&[owner], 0.5),
        cores: 4,
        ..ConcurrencyConfig::default()
    };
    let mut limiter = ConcurrencyLimiter::new(at(0), 1, config, &calls);
    complete_runs(&mut limiter, owner, 30);
    // A handler whose runs are longer than the owner's or not yet measured may not borrow; a
    // handler whose runs are as short as the owner's may.
    assert_eq!(
        ceiling_outside_reserve(&mut limiter, 100, 4.0).handlers,
        [borrower]
    );
    complete_runs(&mut limiter, borrower, 90);
    assert_eq!(
        ceiling_outside_reserve(&mut limiter, 100, 4.0).handlers,
        [borrower]
    );
    complete_runs(&mut limiter, borrower, 30);
    assert!(
        ceiling_outside_reserve(&mut limiter, 100, 4.0)
            .handlers
            .is_empty()
    );
    queue_requests(&mut limiter, 10..30, borrower);
    start_runs(&mut limiter, 100, 10..14, borrower);
    assert_eq!(pool_ceiling(&mut limiter, 101, 4.0, borrower).runs, 4);
    // The owner has requests: two of the four permits are its own as soon as the runs of the
    // borrower end.
    queue_requests(&mut limiter, 50..60, owner);
    assert_eq!(pool_ceiling(&mut limiter, 102, 4.0, owner).runs, 2);
    assert_eq!(pool_ceiling(&mut limiter, 102, 4.0, borrower).runs, 2);
}

/// Without configured owners, the handler with the shortest runs owns the reserve. It stays the
/// owner if another handler is only slightly faster.
#[test]
fn handler_with_shortest_runs_owns_reserve_by_default() {
    let mut limiter = limiter_with(reserve(&[], 0.1));
    assert!(limiter.reserved().is_empty());
    complete_runs(&mut limiter, SEARCH, 50);
    complete_runs(&mut limiter, QUOTE, 20);
    limiter.ceilings(at(2_000), 8.0);
    assert_eq!(limiter.reserved(), [QUOTE]);
    complete_runs(&mut limiter, SEARCH, 18);
    limiter.ceilings(at(4_000), 8.0);
    assert_eq!(limiter.reserved(), [QUOTE]);
    complete_runs(&mut limiter, SEARCH, 10);
    limiter.ceilings(at(6_000), 8.0);
    assert_eq!(limiter.reserved(), [SEARCH]);
}
