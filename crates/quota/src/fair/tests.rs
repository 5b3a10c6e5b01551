use super::*;

fn wish(base: u32, wants: u32, weight: f64, has: u32) -> Wish {
    Wish {
        base,
        wants,
        weight,
        has,
    }
}

#[test]
fn whoever_has_least_for_its_weight_comes_first() {
    assert_eq!(
        divide(10, &[wish(0, 20, 1.0, 0), wish(0, 20, 1.0, 0)]),
        [5, 5]
    );
    assert_eq!(
        divide(10, &[wish(8, 20, 1.0, 0), wish(2, 20, 1.0, 0)]),
        [2, 8]
    );
    assert_eq!(
        divide(9, &[wish(0, 20, 2.0, 0), wish(0, 20, 1.0, 0)]),
        [6, 3]
    );
    assert_eq!(
        divide(10, &[wish(0, 3, 1.0, 0), wish(4, 6, 1.0, 0)]),
        [3, 2],
        "no more than is wanted"
    );
    assert_eq!(
        divide(1, &[wish(3, 9, 1.0, 0), wish(3, 9, 1.0, 1)]),
        [0, 1],
        "a tie moves nothing"
    );
    assert_eq!(divide(4, &[]), [0u32; 0]);
}

#[test]
fn it_moves_half_of_the_way_and_not_for_a_unit() {
    // One has all; another comes, with as much to do.
    assert_eq!(
        step(12, &[wish(0, 20, 1.0, 12), wish(0, 20, 1.0, 0)]),
        [9, 6]
    );
    assert_eq!(
        step(12, &[wish(0, 20, 1.0, 7), wish(0, 20, 1.0, 5)]),
        [7, 6]
    );
    // The lender has work itself: it has that back at once.
    assert_eq!(step(2, &[wish(0, 20, 1.0, 12)]), [2]);
    // Nobody else wants it.
    assert_eq!(step(12, &[wish(0, 4, 1.0, 6)]), [6]);
}
