//! Local health: whether, and for how long, this process was recently paused or starved of CPU
//! time.
//!
//! The module maintains a clock that excludes the time in which the process did not run, so that a
//! pause never makes a timeout expire before the process had a chance to see the answer. It also
//! derives the health score that is sent to peers (as in Lifeguard). The caller passes in the
//! monotonic time and the deadline of the next timer.

use madderbay::time::{Duration, Timestamp};

/// A timer that fires later than this indicates a pause of the process rather than ordinary jitter.
const MAX_TIMER_JITTER: Duration = Duration::from_millis(100);
/// Time after a pause during which this server suspects no member, so that it first reads the
/// datagrams queued in its socket.
const RECOVERY_TIME: Duration = Duration::from_millis(1_000);
/// Lateness that one step of the health score represents. The score decays by one step in the same
/// time.
const SCORE_STEP: Duration = Duration::from_millis(500);
/// Highest health score; 0 means healthy.
const MAX_HEALTH_SCORE: u64 = 8;

/// Measures pauses of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalHealth {
    /// Sum of all pauses.
    paused: Duration,
    latest: Timestamp,
    degraded_until: Timestamp,
    pause_count: u64,
}

impl LocalHealth {
    /// Advances the clock. `deadline` is the time for which the process had set its timer. Returns
    /// the lateness if it indicates a pause.
    pub(crate) fn observe(
        &mut self,
        now: Timestamp,
        deadline: Option<Timestamp>,
    ) -> Option<Duration> {
        self.latest = self.latest.max(now);
        let late = deadline.map_or(Duration::ZERO, |deadline| self.latest - deadline);
        if late <= MAX_TIMER_JITTER {
            return None;
        }
        self.paused = self.paused + late;
        let max_decay = Duration::from_micros(SCORE_STEP.as_micros() * MAX_HEALTH_SCORE);
        let decay = late.saturating_sub(RECOVERY_TIME).min(max_decay);
        self.degraded_until = self.degraded_until.max(self.latest + RECOVERY_TIME + decay);
        self.pause_count += 1;
        Some(late)
    }

    /// Returns the current time of the clock that excludes pauses.
    pub(crate) fn now(&self) -> Timestamp {
        self.latest.saturating_sub(self.paused)
    }

    /// Converts a time of the clock that excludes pauses to the machine's clock. A later pause
    /// shifts the result.
    pub(crate) fn to_machine_clock(&self, time: Timestamp) -> Timestamp {
        time + self.paused
    }

    /// Reports whether a pause of this process may be the reason for a missing answer.
    pub(crate) fn is_degraded(&self) -> bool {
        self.latest < self.degraded_until
    }

    /// Returns the score sent to peers: 0 if healthy, otherwise 1 to [`MAX_HEALTH_SCORE`].
    pub(crate) fn score(&self) -> u8 {
        let remaining = self.degraded_until - self.latest;
        remaining
            .as_micros()
            .div_ceil(SCORE_STEP.as_micros())
            .min(MAX_HEALTH_SCORE) as u8
    }

    /// Returns the number of pauses so far.
    pub(crate) fn pause_count(&self) -> u64 {
        self.pause_count
    }
}

#[cfg(test)]
mod tests;
