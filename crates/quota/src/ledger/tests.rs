use super::*;

const TERMS: LeaseTerms = LeaseTerms {
    lease: Duration::from_millis(1_000),
    max_call: Duration::from_millis(2_000),
    guard: Duration::from_millis(50),
};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn ledger(own: u32) -> Ledger {
    Ledger::new(TERMS, own, at(0))
}

#[test]
fn a_lease_counts_from_the_question_and_its_units_come_back_after_the_longest_call() {
    let (mut a, mut b) = (ledger(4), ledger(2));
    let number = b.ask(at(0), 1);
    // The answer is made late and comes late.
    assert_eq!(a.grant(at(400), 2, number, 3), Some(3));
    assert_eq!((a.usable(at(400)), a.lent(at(400))), (1, 3));
    assert!(b.granted(at(700), 1, number, 3));
    assert!(!b.granted(at(701), 1, number, 3), "once");
    assert_eq!((b.usable(at(949)), b.usable(at(950))), (5, 2));
    let over = at(400) + TERMS.held();
    assert_eq!(
        (
            a.usable(over.saturating_sub(Duration::from_micros(1))),
            a.usable(over)
        ),
        (1, 4)
    );
    assert!(at(949) + TERMS.max_call < over);
}

#[test]
fn doubled_and_old_questions_lend_nothing_more() {
    let mut a = ledger(4);
    assert_eq!(a.grant(at(0), 2, 1, 3), Some(3));
    assert_eq!(a.grant(at(10), 2, 1, 3), Some(3));
    assert_eq!(a.lent(at(10)), 3);
    assert_eq!(a.grant(at(20), 2, 2, 2), Some(2));
    assert_eq!(
        a.lent(at(20)),
        3,
        "calls on the former grant may be in hand"
    );
    assert_eq!(a.grant(at(30), 2, 1, 3), None);
    assert_eq!(a.grant(at(40), 3, 1, 4), Some(1), "no more than there is");
}

/// However often one asks, within a lease, for more or for less: it is answered, and what may still be in use
/// stays held back.
#[test]
fn many_questions_within_a_lease_are_answered() {
    let mut a = ledger(40);
    for n in 1..=40u32 {
        assert_eq!(
            a.grant(at(u64::from(n)), 2, n, n),
            Some(n),
            "more each time"
        );
    }
    for n in 1..=40u32 {
        assert_eq!(
            a.grant(at(40 + u64::from(n)), 2, 40 + n, 40 - n),
            Some(40 - n),
            "less each time"
        );
        assert_eq!(
            a.lent(at(40 + u64::from(n))),
            40,
            "calls on the largest may be in hand"
        );
    }
    assert_eq!(a.lent(at(80) + TERMS.held()), 0);
    a.returned(2, 40, 0);
    assert!(a.lent(at(81)) >= 39, "those after it are not given back");
    a.returned(2, 80, 0);
    assert_eq!(a.lent(at(81)), 0);
}

#[test]
fn what_is_in_hand_is_not_lent() {
    let mut a = ledger(4);
    (0..3).for_each(|_| a.started());
    assert_eq!(a.could_grant(at(0), 2), 1);
    a.ended();
    assert_eq!(a.grant(at(0), 2, 1, 9), Some(2));
    assert!(!a.may_start(at(0)));
    // A smaller birthright calls in what is lent beyond it, at the next question.
    a.set_own(1, None);
    assert_eq!(a.could_grant(at(1), 2), 1);
    assert_eq!(a.usable(at(1)), 0);
}

#[test]
fn a_return_waits_for_the_calls_and_may_come_twice_or_late() {
    let (mut a, mut b) = (ledger(4), ledger(0));
    let first = b.ask(at(0), 1);
    let units = a.grant(at(0), 2, first, 4).expect("answered");
    assert!(b.granted(at(1), 1, first, units));
    (0..3).for_each(|_| b.started());
    b.give_back(1, 1);
    assert_eq!(
        (b.usable(at(2)), b.backs(at(2))),
        (1, vec![]),
        "two calls too many are in hand"
    );
    (0..2).for_each(|_| b.ended());
    let back = b.backs(at(3));
    assert_eq!(
        back,
        vec![Back {
            lender: 1,
            number: first,
            keep: 1
        }]
    );
    a.returned(2, first, 1);
    assert_eq!(a.usable(at(4)), 3);
    // A later grant is larger; the return of the former, which comes again, takes nothing of it.
    let second = b.ask(at(5), 1);
    assert_eq!(a.grant(at(5), 2, second, 4), Some(4));
    a.returned(2, first, 1);
    assert_eq!(a.lent(at(6)), 4);
    assert!(b.granted(at(6), 1, second, 4));
    assert_eq!(b.backs(at(7)), vec![]);
}

#[test]
fn a_birthright_waits_until_what_a_former_life_lent_is_over() {
    let mut a = Ledger::new(TERMS, 4, at(0) + TERMS.held());
    assert_eq!((a.usable(at(3_059)), a.usable(at(3_060))), (0, 4));
    assert_eq!(a.grant(at(100), 2, 1, 4), Some(0));
    // Nothing is kept of those who are gone, once nothing is open with them.
    a.tidy(at(100), |_| true);
    assert!(a.is_empty());
}
