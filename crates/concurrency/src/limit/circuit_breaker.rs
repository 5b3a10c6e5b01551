//! The circuit breaker of a limit: blocks all calls while every call fails, then allows one trial
//! call after a backoff.
//!
//! It is given each window in which most calls failed and each success. The limit itself is
//! adjusted by [`AdaptiveLimit`](super::AdaptiveLimit).

use madderbay::time::{Duration, Timestamp};

/// First backoff; each further one is twice as long, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff, without jitter. With its jitter it stays below two seconds, the time within
/// which a recovery must be noticed.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Width of the jitter, as a fraction of the backoff.
const BACKOFF_JITTER: f64 = 0.5;
/// Number of consecutive failing windows that open the circuit breaker, if the last one had no
/// success.
const FAILING_WINDOWS_TO_OPEN: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub(super) enum CircuitState {
    /// Calls are allowed up to the limit.
    Closed,
    /// No calls are allowed.
    Open {
        until: Timestamp,
        next_backoff: Duration,
    },
    /// One trial call is allowed.
    HalfOpen { next_backoff: Duration },
}

pub(super) struct CircuitBreaker {
    state: CircuitState,
    failing_windows: u32,
    random: oorandom::Rand64,
}

impl CircuitBreaker {
    pub(super) fn new(seed: u64) -> CircuitBreaker {
        CircuitBreaker {
            state: CircuitState::Closed,
            failing_windows: 0,
            random: oorandom::Rand64::new(u128::from(seed)),
        }
    }

    pub(super) fn state(&self) -> CircuitState {
        self.state
    }

    pub(super) fn is_half_open(&self) -> bool {
        matches!(self.state, CircuitState::HalfOpen { .. })
    }

    /// Registers a success, which closes a half-open circuit breaker.
    pub(super) fn record_success(&mut self) {
        if self.is_half_open() {
            self.state = CircuitState::Closed;
        }
    }

    pub(super) fn clear_failures(&mut self) {
        self.failing_windows = 0;
    }

    /// Half-opens the circuit breaker once its backoff is over; returns whether it did so.
    pub(super) fn try_half_open(&mut self, now: Timestamp) -> bool {
        let CircuitState::Open {
            until,
            next_backoff,
        } = self.state
        else {
            return false;
        };
        // Bounds the remaining backoff after the clock stepped back.
        let latest = now + MAX_BACKOFF.mul_f64(1.0 + BACKOFF_JITTER);
        if now < until.min(latest) {
            return false;
        }
        self.state = CircuitState::HalfOpen { next_backoff };
        true
    }

    /// Registers a window in which most calls failed; returns whether the circuit breaker opened.
    pub(super) fn record_failing_window(&mut self, now: Timestamp, any_success: bool) -> bool {
        self.failing_windows += 1;
        let backoff = match self.state {
            CircuitState::HalfOpen { next_backoff } => next_backoff,
            _ if !any_success && self.failing_windows >= FAILING_WINDOWS_TO_OPEN => MIN_BACKOFF,
            _ => return false,
        };
        // The jitter keeps servers that saw the same failure from sending their trial calls at the
        // same time.
        let jitter = 1.0 - BACKOFF_JITTER * 0.5 + BACKOFF_JITTER * self.random.rand_float();
        self.state = CircuitState::Open {
            until: now + backoff.mul_f64(jitter),
            next_backoff: (backoff + backoff).min(MAX_BACKOFF),
        };
        true
    }
}
