//! The progress of a graceful shutdown, as a state machine without I/O.
//!
//! [`DrainProgress`] is given the time of each check and what the server reports at it, and answers what is to be done
//! next. It reads no clock and closes nothing itself: [`shutdown`](crate::shutdown) does.

use madderbay::time::{Duration, Timestamp};

/// Interval between two checks of the drain's progress.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest gap between two checks that counts in full as time for which the process ran. After a longer one, the process
/// was stopped or had no core, and neither read nor answered anything meanwhile.
const MAX_RUNNING_GAP: Duration = Duration::from_millis(20);
/// The process ends this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(100);
/// Time for which the server has to be quiescent, after it has stopped listening, before the connections are closed.
const QUIESCENCE_BEFORE_CLOSE: Duration = Duration::from_millis(60);
/// Minimum time between the end of listening and the kill, in which connections that are still open receive their last
/// answers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(500);
/// Time that peers have to close their connections after this server has closed its side and is quiescent.
const PEER_CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// What the server reports at a check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainStatus {
    /// Connections may still be accepted, from those that have arrived at the machine.
    pub(crate) is_listening: bool,
    /// No request is open and no bytes wait to be written on any connection.
    pub(crate) is_quiescent: bool,
    /// No connection is open.
    pub(crate) has_no_connections: bool,
}

impl DrainStatus {
    /// Reports whether everything that has arrived at the machine is answered.
    fn is_everything_answered(self) -> bool {
        self.is_quiescent && !self.is_listening
    }
}

/// Why a drain has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainOutcome {
    /// All requests are answered and the answers are written.
    Answered,
    /// No time is left before the process would be killed, and requests are open, answers not written or the backlog of
    /// the listener not taken.
    TimedOut,
}

/// What is to be done after a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DrainActions {
    /// Stop listening.
    pub(crate) stop_listening: bool,
    /// Close each connection once its requests are answered.
    pub(crate) close_connections: bool,
    /// The drain has ended.
    pub(crate) outcome: Option<DrainOutcome>,
}

/// The time since a start, and the part of it for which the process ran.
struct RunningTime {
    started_at: Timestamp,
    last_check: Timestamp,
    /// Sum of the gaps between checks, each counted up to [`MAX_RUNNING_GAP`].
    running: Duration,
}

impl RunningTime {
    fn start(now: Timestamp) -> RunningTime {
        RunningTime {
            started_at: now,
            last_check: now,
            running: Duration::ZERO,
        }
    }

    /// Counts the gap since the last check.
    fn check(&mut self, now: Timestamp) {
        let gap = now - self.last_check;
        self.last_check = now;
        self.running = self.running + gap.min(MAX_RUNNING_GAP);
    }

    /// Returns the time since the start, pauses included.
    fn elapsed(&self) -> Duration {
        self.last_check - self.started_at
    }

    /// Returns the time for which the process was stopped.
    fn paused(&self) -> Duration {
        self.elapsed().saturating_sub(self.running)
    }
}

/// The progress of a drain.
///
/// Invariant: a drain that ends with open requests has run until its time limit. Until then every request can be
/// answered: the decision module's last deadlines are earlier. A pause may be longer than the time that is left, so time
/// on a clock is not time in which answers could be sent.
pub(crate) struct DrainProgress {
    time: RunningTime,
    /// Time for which new connections are accepted.
    accept_for: Duration,
    /// Running time after which the drain ends even if requests are open.
    time_limit: Duration,
    /// Time for which the server has been quiescent without listening, in steps of [`CHECK_INTERVAL`].
    quiescent_for: Duration,
    /// Whether closing the connections has begun.
    is_closing: bool,
}

impl DrainProgress {
    /// Begins a drain now, on a monotonic clock. The process would be killed once it has run for `stop_timeout`; `grace`
    /// is the time for which requests are still accepted, if the kill comes late enough.
    pub(crate) fn start(now: Timestamp, stop_timeout: Duration, grace: Duration) -> DrainProgress {
        DrainProgress {
            time: RunningTime::start(now),
            accept_for: grace.min(stop_timeout.saturating_sub(LAST_ANSWERS_TIME)),
            time_limit: stop_timeout.saturating_sub(KILL_MARGIN),
            quiescent_for: Duration::ZERO,
            is_closing: false,
        }
    }

    /// Returns the time within which the last answers have to be sent, counted from the start.
    pub(crate) fn time_limit(&self) -> Duration {
        self.time_limit
    }

    /// Returns the time from the start to the last check.
    pub(crate) fn elapsed(&self) -> Duration {
        self.time.elapsed()
    }

    /// Returns the part of that time for which the process was stopped.
    pub(crate) fn paused(&self) -> Duration {
        self.time.paused()
    }

    /// Checks the server's status. New connections are accepted during the grace period, in which requests may still
    /// arrive. Then, once those in the backlog are accepted and the server is quiescent, all connections are closed. A
    /// request that is sent while its connection is being closed is retried by its load balancer.
    pub(crate) fn check(&mut self, now: Timestamp, status: DrainStatus) -> DrainActions {
        self.time.check(now);
        let is_grace_over = self.time.elapsed() > self.accept_for;
        if is_grace_over && status.is_everything_answered() {
            self.quiescent_for = self.quiescent_for + CHECK_INTERVAL;
        } else {
            self.quiescent_for = Duration::ZERO;
        }
        DrainActions {
            stop_listening: is_grace_over,
            close_connections: self.begin_closing_once_quiescent(),
            outcome: self.outcome(status),
        }
    }

    /// Reports whether closing the connections begins now: the server has been quiescent for long enough. The
    /// measurement is then restarted.
    fn begin_closing_once_quiescent(&mut self) -> bool {
        if self.is_closing || self.quiescent_for < QUIESCENCE_BEFORE_CLOSE {
            return false;
        }
        self.is_closing = true;
        self.quiescent_for = CHECK_INTERVAL;
        true
    }

    /// Returns the outcome if the drain has ended.
    fn outcome(&self, status: DrainStatus) -> Option<DrainOutcome> {
        let is_time_over = self.time.running > self.time_limit;
        if !self.is_complete(status) && !is_time_over {
            None
        } else if status.is_everything_answered() {
            Some(DrainOutcome::Answered)
        } else {
            Some(DrainOutcome::TimedOut)
        }
    }

    /// Reports whether the server is quiescent and either has no connections left, or has waited long enough for its
    /// peers to close theirs.
    fn is_complete(&self, status: DrainStatus) -> bool {
        let is_quiescent = self.quiescent_for > Duration::ZERO;
        let has_waited_for_peers = self.is_closing && self.quiescent_for >= PEER_CLOSE_TIMEOUT;
        is_quiescent && status.has_no_connections || has_waited_for_peers
    }
}

#[cfg(test)]
mod tests;
