use super::*;
use madderbay::time::Duration;

mod lease_model;

const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_millis(1_000),
    max_call: Duration::from_millis(2_000),
    guard: Duration::from_millis(50),
};
const LESSOR: IncarnationId = IncarnationId(1);
const LESSEE: IncarnationId = IncarnationId(2);
const OTHER_LESSEE: IncarnationId = IncarnationId(3);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn ledger(base_quota: u32) -> Ledger {
    Ledger::new(TERMS, base_quota, at(0))
}

#[test]
fn lease_starts_at_the_request_and_lessor_holds_units_until_the_longest_call_has_ended() {
    let (mut a, mut b) = (ledger(4), ledger(2));
    let request = b.new_request(at(0), LESSOR);
    // The request is answered late, and the answer arrives late.
    assert_eq!(a.answer_request(at(400), LESSEE, request, 3), Some(3));
    assert_eq!((a.usable(at(400)), a.granted(at(400))), (1, 3));
    assert_eq!(b.accept_grant(at(700), LESSOR, request, 3), Ok(()));
    let again = b.accept_grant(at(701), LESSOR, request, 3);
    assert_eq!(
        again,
        Err(RejectedGrant::UnknownRequest),
        "a grant is accepted only once"
    );
    assert_eq!((b.usable(at(949)), b.usable(at(950))), (5, 2));
    let over = at(400) + TERMS.lessor_hold();
    let before = over.saturating_sub(Duration::from_micros(1));
    assert_eq!((a.usable(before), a.usable(over)), (1, 4));
    assert!(at(949) + TERMS.max_call < over);
}

#[test]
fn repeated_and_outdated_requests_grant_no_additional_units() {
    let mut a = ledger(4);
    assert_eq!(a.answer_request(at(0), LESSEE, 1, 3), Some(3));
    assert_eq!(a.answer_request(at(10), LESSEE, 1, 3), Some(3));
    assert_eq!(a.granted(at(10)), 3);
    assert_eq!(a.answer_request(at(20), LESSEE, 2, 2), Some(2));
    assert_eq!(
        a.granted(at(20)),
        3,
        "calls on the former grant may be in flight"
    );
    assert_eq!(a.answer_request(at(30), LESSEE, 1, 3), None);
    let other = a.answer_request(at(40), OTHER_LESSEE, 1, 4);
    assert_eq!(other, Some(1), "no more than the idle units");
}

/// Every request of a lessee within one lease is answered, whether it asks for more or fewer units,
/// and units that may still be in use are held back.
#[test]
fn many_requests_within_one_lease_are_answered() {
    let mut a = ledger(40);
    for n in 1..=40u32 {
        let granted = a.answer_request(at(u64::from(n)), LESSEE, n, n);
        assert_eq!(granted, Some(n), "more each time");
    }
    for n in 1..=40u32 {
        let now = at(40 + u64::from(n));
        let granted = a.answer_request(now, LESSEE, 40 + n, 40 - n);
        assert_eq!(granted, Some(40 - n), "less each time");
        assert_eq!(
            a.granted(now),
            40,
            "calls on the largest grant may be in flight"
        );
    }
    assert_eq!(a.granted(at(80) + TERMS.lessor_hold()), 0);
    a.handle_return(LESSEE, 40, 0);
    assert!(a.granted(at(81)) >= 39, "later grants are not returned");
    a.handle_return(LESSEE, 80, 0);
    assert_eq!(a.granted(at(81)), 0);
}

#[test]
fn units_in_use_are_not_granted() {
    let mut a = ledger(4);
    (0..3).for_each(|_| a.call_started());
    assert_eq!(a.max_grant(at(0), LESSEE), 1);
    a.call_ended();
    assert_eq!(a.answer_request(at(0), LESSEE, 1, 9), Some(2));
    assert!(!a.may_start(at(0)));
    // A smaller base quota reduces the grants beyond it at the next request.
    a.set_base_quota(1, None);
    assert_eq!(a.max_grant(at(1), LESSEE), 1);
    assert_eq!(a.usable(at(1)), 0);
}

#[test]
fn return_waits_for_calls_in_flight_and_tolerates_duplicates_and_delay() {
    let (mut a, mut b) = (ledger(4), ledger(0));
    let first = b.new_request(at(0), LESSOR);
    let units = a
        .answer_request(at(0), LESSEE, first, 4)
        .expect("request is answered");
    assert_eq!(b.accept_grant(at(1), LESSOR, first, units), Ok(()));
    (0..3).for_each(|_| b.call_started());
    b.release(LESSOR, 1);
    let state = (b.usable(at(2)), b.take_returns(at(2)));
    assert_eq!(
        state,
        (1, vec![]),
        "two calls beyond the kept unit are in flight"
    );
    (0..2).for_each(|_| b.call_ended());
    let returns = b.take_returns(at(3));
    let expected = LeaseReturn {
        lessor: LESSOR,
        request_id: first,
        kept_units: 1,
    };
    assert_eq!(returns, vec![expected]);
    a.handle_return(LESSEE, first, 1);
    assert_eq!(a.usable(at(4)), 3);
    // A later grant is larger. A duplicate return of the former grant does not reduce it.
    let second = b.new_request(at(5), LESSOR);
    assert_eq!(a.answer_request(at(5), LESSEE, second, 4), Some(4));
    a.handle_return(LESSEE, first, 1);
    assert_eq!(a.granted(at(6)), 4);
    assert_eq!(b.accept_grant(at(6), LESSOR, second, 4), Ok(()));
    assert_eq!(b.take_returns(at(7)), vec![]);
}

#[test]
fn base_quota_is_unusable_until_grants_of_a_former_incarnation_have_expired() {
    let mut a = Ledger::new(TERMS, 4, at(0) + TERMS.lessor_hold());
    assert_eq!((a.usable(at(3_059)), a.usable(at(3_060))), (0, 4));
    assert_eq!(a.answer_request(at(100), LESSEE, 1, 4), Some(0));
    // A removed server is deleted from the ledger once it has no outstanding grants.
    a.forget(at(100), |_| true);
    assert!(a.is_empty());
}
