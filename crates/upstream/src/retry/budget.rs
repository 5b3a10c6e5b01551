//! The retry budget of a group of backends: a token bucket that limits retries to a fraction of first attempts, so that
//! an overloaded upstream does not collapse under retries.
//!
//! [`RetryBudget`] holds the tokens and the recent numbers of attempts. It is given the attempts of this server and the
//! sums of the fleet. It does not decide which backend is called.

use madderbay::time::{Duration, Timestamp};

/// Upper bound on the tokens. It allows for the crash of one backend of many: each of the few calls in flight there
/// needs a retry.
const MAX_TOKENS: f64 = 10.0;
/// Time constant of the decay of the recent attempts: they count for about this long.
const RECENT_ATTEMPTS_DECAY: Duration = Duration::from_millis(10_000);
/// Fraction of the retries allowed to the whole fleet above which the fleet is near its limit. Each server then earns
/// tokens at a reduced rate.
const FLEET_RETRY_LIMIT_FRACTION: f64 = 0.7;
/// Tokens that a first attempt earns while the fleet is near its limit, as a fraction of what it earns otherwise: half.
const NEAR_LIMIT_EARNING_FACTOR: f64 = 0.5;

/// Recent first attempts and retries. The counts decay with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AttemptCounts {
    pub(crate) first_attempts: f64,
    pub(crate) retries: f64,
}

impl AttemptCounts {
    /// Returns the sums of both counts.
    pub(crate) fn plus(self, other: AttemptCounts) -> AttemptCounts {
        AttemptCounts {
            first_attempts: self.first_attempts + other.first_attempts,
            retries: self.retries + other.retries,
        }
    }
}

/// The retry budget of one group.
pub(crate) struct RetryBudget {
    /// Retries allowed per first attempt, that is, the tokens that each first attempt earns.
    ratio: f64,
    /// Number of retries that may be made now. Each retry takes one token.
    tokens: f64,
    recent: AttemptCounts,
    recent_at: Timestamp,
    /// Recent attempts of the fleet, including this server's own. `None` if no peer has reported any.
    fleet: Option<AttemptCounts>,
}

impl RetryBudget {
    /// Creates a budget without tokens. `ratio` is the number of retries allowed per first attempt.
    pub(crate) fn new(now: Timestamp, ratio: f64) -> RetryBudget {
        RetryBudget {
            ratio,
            tokens: 0.0,
            recent: AttemptCounts::default(),
            recent_at: now,
            fleet: None,
        }
    }

    /// Sets another ratio. The tokens earned so far are kept.
    pub(crate) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Sets the recent attempts of the fleet, or `None` if no peer has reported any.
    pub(crate) fn set_fleet(&mut self, fleet: Option<AttemptCounts>) {
        self.fleet = fleet;
    }

    /// Counts a first attempt, which earns a fraction of a token.
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

    /// Spends one token for a retry. Returns `false` if the budget does not allow a retry.
    pub(crate) fn try_spend(&mut self, now: Timestamp) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.decay(now);
        self.tokens -= 1.0;
        self.recent.retries += 1.0;
        true
    }

    /// Returns this server's recent attempts.
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
