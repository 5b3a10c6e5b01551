//! The retry budget of a group of backends: retries are a fraction of first attempts, with a few saved up, so that an
//! overloaded upstream is not buried under retries.
//!
//! [`RetryBudget`] owns the credit and the recent numbers of attempts. It is given the attempts of this server and the
//! sums of the fleet; it never decides which backend is called.

use madderbay::time::{Duration, Timestamp};

/// Retries that can be saved up: when one backend of many crashes, a few calls in flight there want one each.
const MAX_TOKENS: f64 = 10.0;
/// Attempts count as recent for about this long: the time constant of their decay.
const RECENT_ATTEMPTS_DECAY: Duration = Duration::from_millis(10_000);
/// Fraction of its allowed retries at which the fleet is crowded. Each server then earns half as many.
const FLEET_RETRY_LIMIT_FRACTION: f64 = 0.7;
/// What a first attempt earns in a crowded fleet, as a fraction of what it earns otherwise.
const NEAR_LIMIT_EARNING_FACTOR: f64 = 0.5;

/// Recent first attempts and retries; older ones count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AttemptCounts {
    pub(crate) first_attempts: f64,
    pub(crate) retries: f64,
}

impl AttemptCounts {
    /// The sums of both.
    pub(crate) fn plus(self, other: AttemptCounts) -> AttemptCounts {
        AttemptCounts {
            first_attempts: self.first_attempts + other.first_attempts,
            retries: self.retries + other.retries,
        }
    }
}

/// The retry budget of one group.
pub(crate) struct RetryBudget {
    /// Retries allowed for each first attempt.
    ratio: f64,
    /// Retries that may be made now.
    tokens: f64,
    recent: AttemptCounts,
    recent_at: Timestamp,
    /// Recent attempts of the fleet, this server's included; nothing where no peer reports any.
    fleet: Option<AttemptCounts>,
}

impl RetryBudget {
    /// A budget without savings; `ratio` is the number of retries for each first attempt.
    pub(crate) fn new(now: Timestamp, ratio: f64) -> RetryBudget {
        RetryBudget {
            ratio,
            tokens: 0.0,
            recent: AttemptCounts::default(),
            recent_at: now,
            fleet: None,
        }
    }

    /// Sets another ratio; savings stay.
    pub(crate) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Sets the recent attempts of the fleet, where any peer reports them.
    pub(crate) fn set_fleet(&mut self, fleet: Option<AttemptCounts>) {
        self.fleet = fleet;
    }

    /// Counts a first attempt, which earns a fraction of a retry.
    pub(crate) fn record_first_attempt(&mut self, now: Timestamp) {
        self.decay(now);
        self.recent.first_attempts += 1.0;
        let earned = if self.fleet_is_near_retry_limit() {
            self.ratio * NEAR_LIMIT_EARNING_FACTOR
        } else {
            self.ratio
        };
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
    }

    /// Spends one retry. False where the budget does not allow it.
    pub(crate) fn try_spend(&mut self, now: Timestamp) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.decay(now);
        self.tokens -= 1.0;
        self.recent.retries += 1.0;
        true
    }

    /// This server's recent attempts.
    pub(crate) fn recent_attempts(&mut self, now: Timestamp) -> AttemptCounts {
        self.decay(now);
        self.recent
    }

    fn fleet_is_near_retry_limit(&self) -> bool {
        self.fleet.is_some_and(|fleet| {
            fleet.retries > FLEET_RETRY_LIMIT_FRACTION * self.ratio * fleet.first_attempts
        })
    }

    fn decay(&mut self, now: Timestamp) {
        let elapsed = now - self.recent_at;
        let decay_factor = (-elapsed.as_secs_f64() / RECENT_ATTEMPTS_DECAY.as_secs_f64()).exp();
        self.recent.first_attempts *= decay_factor;
        self.recent.retries *= decay_factor;
        self.recent_at = self.recent_at.max(now);
    }
}

#[cfg(test)]
mod tests;
