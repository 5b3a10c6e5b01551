//! `[pools]`, `[pool NAME]` and `[reserve]`.

use crate::support::{error_lines, read_valid};

const POOLS: &str = "[pools]\nenabled = on\nlimits = fixed\n\n[pool seat-book]\n\
                     handlers = seat-book, seat-hold\nweight = 2.5\ncalls_weight = 0\nruns = 8\ncalls = 6\n\
                     [reserve]\nhandlers = fare-quote\npart = 0.2\n";

#[test]
fn pools_that_are_off_are_none() {
    let operator = read_valid("[pools]\nenabled = off\n[pool a]\nhandlers = x\n");
    assert_eq!(operator.concurrency, None);
}

#[test]
fn reads_pools_and_the_reserve() {
    let pools = read_valid(POOLS).concurrency.expect("on");
    assert!(!pools.adaptive);
    let pool = &pools.pools[0];
    assert_eq!(pool.call_weight, 0.0);
    assert_eq!(
        (
            pool.name.as_str(),
            pool.weight,
            pool.max_runs,
            pool.max_calls
        ),
        ("seat-book", 2.5, Some(8), Some(6))
    );
    assert_eq!(pools.reserve.expect("a reserve").fraction, 0.2);
}

#[test]
fn names_of_handlers_become_indices_or_an_error_with_their_place() {
    let pools = read_valid(POOLS).concurrency.expect("on");
    let reserve = pools.reserve.expect("a reserve");
    let known = [
        "fare-quote".to_string(),
        "seat-hold".into(),
        "seat-book".into(),
    ];
    let handlers = &pools.pools[0].handlers;
    assert_eq!(handlers.indices(&known, "handler"), Ok(vec![2, 1]));
    let error = reserve.handlers.indices(&known[1..], "handler");
    assert_eq!(
        error.expect_err("one is not known").to_string(),
        "o.ini:12: [reserve] handlers: 'fare-quote' is no handler; known are seat-hold, seat-book"
    );
}

#[test]
fn a_reserve_needs_pools() {
    assert_eq!(
        error_lines("[reserve]\npart = 0.1\n"),
        ["o.ini:1: [reserve]: requires a section [pools]"]
    );
}

#[test]
fn rejects_the_name_of_the_pool_of_all_other_handlers() {
    assert_eq!(
        error_lines("[pools]\n[pool rest]\nhandlers = x\n"),
        [
            "o.ini:2: [pool rest]: 'rest' is reserved for the pool of all handlers that are in no other pool"
        ]
    );
}
