//! Tests of the adaptive limit, call by call: hanging calls, process stalls, clock steps, and
//! arbitrary events.

use crate::support::property_test_config;
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::{AdaptiveLimit, Completion};
use proptest::prelude::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1_000)
}

fn adaptive(max: f64) -> AdaptiveLimit {
    AdaptiveLimit::new(at(0), 7, max, Duration::from_millis(200))
}

#[test]
fn allows_at_most_two_extra_calls_while_the_only_call_hangs() {
    let mut limit = adaptive(1.0);
    let first = limit.acquire(at(0));
    for ms in (10..990).step_by(10) {
        limit.tick(at(ms));
        assert_eq!(limit.allowed_in_flight(), 1, "at {ms} ms");
    }
    limit.tick(at(1_000));
    assert_eq!(limit.allowed_in_flight(), 2);
    limit.acquire(at(1_000));
    for ms in (1_010..10_000).step_by(10) {
        limit.tick(at(ms));
        if ms == 2_500 {
            limit.acquire(at(ms));
        }
        assert!(limit.allowed_in_flight() <= 3);
    }
    // A success withdraws the extra permits.
    limit.release(at(10_000), first, Completion::Success, false);
    assert_eq!(limit.allowed_in_flight(), 1);
}

#[test]
fn ignores_latency_of_calls_during_process_stalls() {
    let mut limit = adaptive(8.0);
    for n in 0..400u64 {
        let now = n * 20;
        let permit = limit.acquire(at(now));
        // Every call seems to take a second, because this process is stalled and reads the answers
        // late.
        let stalled = n >= 100;
        let latency_ms = if stalled { 1_000 } else { 15 };
        limit.release(at(now + latency_ms), permit, Completion::Success, stalled);
        limit.record_saturation();
        limit.tick(at(now + 19));
    }
    assert_eq!(limit.limit(), 8.0);
    assert!(limit.minimum_latency_secs().expect("there were samples") < 0.016);
}

#[test]
fn keeps_adjusting_when_the_clock_stands_still_or_steps_back() {
    let mut limit = adaptive(8.0);
    for _ in 0..200 {
        let permit = limit.acquire(at(5_000));
        limit.release(at(5_000), permit, Completion::Success, false);
        limit.tick(at(5_000));
    }
    assert_eq!(limit.limit(), 8.0);
    // The clock steps back by five seconds, and the limit continues from the new time.
    for ms in 0..4_000u64 {
        let permit = limit.acquire(at(ms));
        limit.release(at(ms + 1), permit, Completion::Failure, false);
        limit.tick(at(ms + 1));
    }
    assert!(limit.limit() < 8.0);
}

#[derive(Clone, Debug)]
enum Step {
    Start,
    End {
        selector: u8,
        completion: Completion,
    },
    Advance {
        by_ms: i64,
    },
    Saturate,
}

fn step() -> impl Strategy<Value = Step> {
    let completion = prop_oneof![
        Just(Completion::Success),
        Just(Completion::Failure),
        Just(Completion::TimedOut),
        Just(Completion::Cancelled)
    ];
    prop_oneof![
        3 => Just(Step::Start),
        3 => (any::<u8>(), completion)
            .prop_map(|(selector, completion)| Step::End { selector, completion }),
        4 => (-200i64..2_000).prop_map(|by_ms| Step::Advance { by_ms }),
        1 => Just(Step::Saturate),
    ]
}

proptest! {
    #![proptest_config(property_test_config(200))]

    /// After arbitrary events and clock steps, the limit is within its bounds, a circuit breaker
    /// that opened half-opens again, and the number of allowed calls exceeds the maximum by at most
    /// two, which are allowed while calls hang.
    #[test]
    fn stays_within_bounds_after_arbitrary_events(
        steps in prop::collection::vec(step(), 1..400),
        max in 0.2f64..50.0,
    ) {
        let mut limit = adaptive(max);
        let mut open = vec![];
        let mut ms = 10_000i64;
        for step in steps {
            match step {
                Step::Start if limit.in_flight() < limit.allowed_in_flight() => {
                    open.push(limit.acquire(at(ms as u64)));
                }
                Step::Start | Step::Saturate => limit.record_saturation(),
                Step::End { selector, completion } if !open.is_empty() => {
                    let permit = open.swap_remove(usize::from(selector) % open.len());
                    limit.release(at(ms as u64), permit, completion, false);
                }
                Step::End { .. } => {}
                Step::Advance { by_ms } => {
                    ms = (ms + by_ms).max(0);
                    limit.tick(at(ms as u64));
                }
            }
            prop_assert_eq!(limit.in_flight(), open.len());
            prop_assert!(limit.limit() >= 1.0 && limit.limit() <= max.max(1.0));
            prop_assert!(limit.allowed_in_flight() <= max.max(1.0) as usize + 2);
        }
        // Without further events, a call is allowed within two seconds.
        for permit in open {
            limit.release(at(ms as u64), permit, Completion::Cancelled, false);
        }
        for more in (0..2_000).step_by(10) {
            limit.tick(at((ms + more) as u64));
        }
        prop_assert!(limit.allowed_in_flight() >= 1);
    }
}
