//! The progress of drains that are checked at given times.

use super::{CHECK_INTERVAL, DrainActions, DrainOutcome, DrainProgress, DrainStatus};
use madderbay::time::{Duration, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Time between the notice to drain and the kill.
const STOP_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Time for which requests are accepted after the notice.
const GRACE: Duration = Duration::from_millis(2_500);
/// A request is open.
const OPEN: DrainStatus = DrainStatus {
    is_listening: false,
    is_quiescent: false,
    has_no_connections: false,
};
/// All requests are answered, and connections are open.
const ANSWERED: DrainStatus = DrainStatus {
    is_listening: false,
    is_quiescent: true,
    has_no_connections: false,
};
/// No connection is left.
const NO_CONNECTIONS: DrainStatus = DrainStatus {
    is_listening: false,
    is_quiescent: true,
    has_no_connections: true,
};

/// A drain that began at the start of its clock.
struct Drain {
    progress: DrainProgress,
    now: Timestamp,
}

impl Drain {
    fn start() -> Drain {
        let now = Timestamp::default();
        Drain {
            progress: DrainProgress::start(now, STOP_TIMEOUT, GRACE),
            now,
        }
    }

    /// Lets time pass and makes one check.
    fn check_after(&mut self, gap: Duration, status: DrainStatus) -> DrainActions {
        self.now = self.now + gap;
        self.progress.check(self.now, status)
    }

    /// Makes checks at the usual interval until `is_wanted`. Returns the time of that check in milliseconds.
    fn check_until(
        &mut self,
        status: DrainStatus,
        is_wanted: impl Fn(DrainActions) -> bool,
    ) -> u64 {
        while !is_wanted(self.check_after(CHECK_INTERVAL, status)) {
            assert!(self.elapsed_ms() < 60_000, "it never happens");
        }
        self.elapsed_ms()
    }

    fn elapsed_ms(&self) -> u64 {
        self.progress.elapsed().as_millis()
    }
}

/// Whether the drain has ended with this outcome.
fn ended(outcome: DrainOutcome) -> impl Fn(DrainActions) -> bool {
    move |actions| actions.outcome == Some(outcome)
}

#[test]
fn listens_until_grace_period_is_over() {
    let mut drain = Drain::start();
    assert_eq!(
        drain.check_until(ANSWERED, |actions| actions.stop_listening),
        2_510
    );
}

#[test]
fn closes_connections_once_quiescent_then_waits_for_peers() {
    let mut drain = Drain::start();
    let closing_at = drain.check_until(ANSWERED, |actions| actions.close_connections);
    assert_eq!(closing_at, 2_560);
    assert_eq!(
        drain.check_until(ANSWERED, ended(DrainOutcome::Answered)),
        2_800
    );
}

#[test]
fn open_request_postpones_closing() {
    let mut drain = Drain::start();
    drain.check_until(OPEN, |actions| actions.stop_listening);
    for _ in 0..20 {
        assert!(!drain.check_after(CHECK_INTERVAL, OPEN).close_connections);
    }
    let open_until = drain.elapsed_ms();
    let closing_at = drain.check_until(ANSWERED, |actions| actions.close_connections);
    assert_eq!(closing_at - open_until, 60);
}

#[test]
fn ends_once_no_connection_is_left() {
    let mut drain = Drain::start();
    drain.check_until(ANSWERED, |actions| actions.close_connections);
    let actions = drain.check_after(CHECK_INTERVAL, NO_CONNECTIONS);
    assert_eq!(actions.outcome, Some(DrainOutcome::Answered));
}

#[test]
fn ends_before_kill_although_a_request_is_open() {
    let mut drain = Drain::start();
    assert_eq!(
        drain.check_until(OPEN, ended(DrainOutcome::TimedOut)),
        3_110
    );
}

/// Guards against a drain that takes the time of a pause for time in which requests could be answered, and ends with
/// open requests at the first check after the pause.
#[test]
fn pause_over_the_time_limit_leaves_time_to_answer() {
    let mut drain = Drain::start();
    drain.check_until(OPEN, |actions| actions.stop_listening);
    let actions = drain.check_after(Duration::from_millis(800), OPEN);
    assert_eq!(actions.outcome, None);
    for _ in 0..10 {
        assert_eq!(drain.check_after(CHECK_INTERVAL, OPEN).outcome, None);
    }
    drain.check_until(ANSWERED, ended(DrainOutcome::Answered));
}

/// Guards against a drain that ends for lack of time before the process has run for that time.
#[test]
fn time_limit_counts_only_the_time_between_pauses() {
    let pause = Duration::from_millis(600);
    let run_ms_between_pauses = 800;
    let mut drain = Drain::start();
    let mut run_ms = 0;
    let mut outcome = None;
    while outcome.is_none() {
        let is_pause = run_ms % run_ms_between_pauses == 0;
        let gap = if is_pause { pause } else { CHECK_INTERVAL };
        outcome = drain.check_after(gap, OPEN).outcome;
        run_ms += CHECK_INTERVAL.as_millis();
    }
    assert_eq!(outcome, Some(DrainOutcome::TimedOut));
    // The decision module answers the last requests 160 ms before the kill.
    assert!((3_040..3_200).contains(&run_ms), "ended after {run_ms} ms");
}

/// Guards against a drain that no check ends, because each of them is late.
#[test]
fn ends_although_every_check_is_late() {
    let mut drain = Drain::start();
    let late = Duration::from_millis(70);
    while drain.check_after(late, OPEN).outcome.is_none() {
        assert!(drain.elapsed_ms() < 60_000, "it never ends");
    }
}

/// Guards against a drain that ends because no connection is open, although some wait in the backlog.
#[test]
fn without_connections_waits_until_the_backlog_is_accepted() {
    let backlog_unread = DrainStatus {
        is_listening: true,
        ..NO_CONNECTIONS
    };
    let mut drain = Drain::start();
    drain.check_until(backlog_unread, |actions| actions.stop_listening);
    for _ in 0..5 {
        assert_eq!(
            drain.check_after(CHECK_INTERVAL, backlog_unread).outcome,
            None
        );
    }
    assert_eq!(drain.check_after(CHECK_INTERVAL, OPEN).outcome, None);
    let actions = drain.check_after(CHECK_INTERVAL, NO_CONNECTIONS);
    assert_eq!(actions.outcome, Some(DrainOutcome::Answered));
}

/// A gap between two checks: usual, delayed by a busy machine, or a pause.
fn any_gap_ms() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 9..13_u64, 1 => 13..50_u64, 1 => 50..600_u64]
}

fn any_status() -> impl Strategy<Value = DrainStatus> {
    let status = |(is_listening, is_quiescent, has_no_connections)| DrainStatus {
        is_listening,
        is_quiescent,
        has_no_connections: has_no_connections && is_quiescent,
    };
    any::<(bool, bool, bool)>().prop_map(status)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever pauses there are, a drain ends with everything answered, or after it has run for its time. It does end.
    #[test]
    fn ends_with_everything_answered_or_after_its_running_time(
        checks in prop::collection::vec((any_gap_ms(), any_status()), 1..40),
    ) {
        let mut drain = Drain::start();
        let mut run_ms = 0;
        // The status changes seldom, so that the drain comes to its later steps.
        for (gap_ms, status) in checks.iter().cycle().flat_map(|check| [check; 12]) {
            let outcome = drain.check_after(Duration::from_millis(*gap_ms), *status).outcome;
            // A gap of up to 20 ms may be running time.
            run_ms += gap_ms.min(&20);
            prop_assert!(run_ms <= 3_200, "runs on until it would be killed");
            match outcome {
                None => continue,
                Some(DrainOutcome::Answered) => {
                    prop_assert!(status.is_quiescent && !status.is_listening);
                }
                Some(DrainOutcome::TimedOut) => prop_assert!(run_ms >= 3_040, "ran {run_ms} ms"),
            }
            return Ok(());
        }
    }
}
