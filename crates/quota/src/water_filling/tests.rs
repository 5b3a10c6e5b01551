use super::*;

fn claim(other_units: u32, demand: u32, weight: f64, granted: u32) -> Claim {
    Claim {
        other_units,
        demand,
        weight,
        granted,
    }
}

#[test]
fn lowest_weighted_level_is_filled_first() {
    assert_eq!(
        max_min_shares(10, &[claim(0, 20, 1.0, 0), claim(0, 20, 1.0, 0)]),
        [5, 5]
    );
    assert_eq!(
        max_min_shares(10, &[claim(8, 20, 1.0, 0), claim(2, 20, 1.0, 0)]),
        [2, 8]
    );
    assert_eq!(
        max_min_shares(9, &[claim(0, 20, 2.0, 0), claim(0, 20, 1.0, 0)]),
        [6, 3]
    );
    let small = [claim(0, 3, 1.0, 0), claim(4, 6, 1.0, 0)];
    assert_eq!(
        max_min_shares(10, &small),
        [3, 2],
        "no more than the demand"
    );
    let tie = [claim(3, 9, 1.0, 0), claim(3, 9, 1.0, 1)];
    assert_eq!(
        max_min_shares(1, &tie),
        [0, 1],
        "at a tie the unit stays with its lessee"
    );
    assert_eq!(max_min_shares(4, &[]), [0u32; 0]);
}

#[test]
fn excess_grants_are_halved_and_one_excess_unit_is_tolerated() {
    // One lessee has all units; another lessee with the same demand is added.
    assert_eq!(
        next_grants(12, &[claim(0, 20, 1.0, 12), claim(0, 20, 1.0, 0)]),
        [9, 6]
    );
    assert_eq!(
        next_grants(12, &[claim(0, 20, 1.0, 7), claim(0, 20, 1.0, 5)]),
        [7, 6]
    );
    // The lessor needs units itself and takes them back at once.
    assert_eq!(next_grants(2, &[claim(0, 20, 1.0, 12)]), [2]);
    // No other lessee has demand for the excess.
    assert_eq!(next_grants(12, &[claim(0, 4, 1.0, 6)]), [6]);
}
