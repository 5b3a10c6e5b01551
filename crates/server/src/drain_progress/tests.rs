//! The progress of drains that are checked at given times.

use super::{CHECK_INTERVAL, DrainActions, DrainOutcome, DrainProgress, DrainStatus};
use madderbay::time::{Duration, Timestamp};

/// Time between the notice to drain and the kill.
const STOP_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Time for which requests are accepted after the notice.
const GRACE: Duration = Duration::from_millis(2_500);
/// A request is open.
const OPEN: DrainStatus = DrainStatus {
    is_quiescent: false,
    has_no_connections: false,
};
/// All requests are answered, and connections are open.
const ANSWERED: DrainStatus = DrainStatus {
    is_quiescent: true,
    has_no_connections: false,
};
/// No connection is left.
const NO_CONNECTIONS: DrainStatus = DrainStatus {
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
        self.progress.elapsed(self.now).as_micros() / 1_000
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
