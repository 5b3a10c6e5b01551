//! Tests of the weighted max-min fair division.

use crate::support::property_test_config;
use madderbay_concurrency::fair_share::{Demand, allocate, ceilings};
use proptest::prelude::*;

#[test]
fn divides_permits_by_weight() {
    let demand = |weight, wanted| Demand {
        weight,
        wanted,
        max: usize::MAX,
    };
    assert_eq!(
        allocate(12, &[demand(1.0, 99), demand(2.0, 99), demand(3.0, 99)]),
        [2, 4, 6]
    );
    // Permits that one pool does not want go to the others, and no pool gets more than it wants or
    // may have.
    assert_eq!(
        allocate(12, &[demand(1.0, 99), demand(2.0, 1), demand(3.0, 99)]),
        [3, 1, 8]
    );
    assert_eq!(
        allocate(
            12,
            &[
                Demand {
                    max: 1,
                    ..demand(1.0, 99)
                },
                demand(1.0, 99)
            ]
        ),
        [1, 11]
    );
    // Each pool gets its first permit before any gets a second; pools of weight 0 get what the
    // others do not want.
    assert_eq!(
        allocate(3, &[demand(1.0, 9), demand(100.0, 9), demand(0.0, 9)]),
        [1, 2, 0]
    );
    assert_eq!(
        allocate(3, &[demand(1.0, 1), demand(1.0, 1), demand(0.0, 9)]),
        [1, 1, 1]
    );
    assert_eq!(ceilings(5, &[demand(1.0, 1), demand(1.0, 0)]), [5, 4]);
}

proptest! {
    #![proptest_config(property_test_config(256))]

    /// No permit is allocated twice, and none stays free while a pool wants it. If a pool got less
    /// than another relative to its weight, then it wanted no more, or one more permit would have
    /// given it at least as much relative to its weight as the other has.
    #[test]
    fn allocation_is_max_min_fair(
        total in 0usize..40,
        pools in prop::collection::vec((0u8..4, 0usize..30, 0usize..30), 1..6),
    ) {
        let demand = |(weight, wanted, max): &(u8, usize, usize)| {
            Demand { weight: f64::from(*weight), wanted: *wanted, max: *max }
        };
        let pools: Vec<Demand> = pools.iter().map(demand).collect();
        let allocated = allocate(total, &pools);
        let attainable = |p: &Demand| p.wanted.min(p.max);
        let expected = total.min(pools.iter().map(attainable).sum());
        prop_assert_eq!(allocated.iter().sum::<usize>(), expected);
        for (i, p) in pools.iter().enumerate() {
            prop_assert!(allocated[i] <= attainable(p));
            if allocated[i] == attainable(p) {
                continue;
            }
            for (j, q) in pools.iter().enumerate() {
                if p.weight > 0.0 && q.weight > 0.0 && allocated[j] > 1 {
                    let (own, other) = ((allocated[i] + 1) as f64, allocated[j] as f64);
                    prop_assert!(own / p.weight >= other / q.weight);
                }
                prop_assert!(p.weight == 0.0 || q.weight > 0.0 || allocated[j] == 0);
            }
        }
    }
}
