//! The account of upstream calls: how many this server may have in flight, and how long calls take.
//!
//! Owns the calls in flight, those that were abandoned and may still run, and the credit that is left over from this
//! server's quota, in call seconds. Is given the start and end of each call, and the time. Makes no call.

use super::best_mean::BestMean;
use crate::abandoned_calls::AbandonedCalls;
use crate::estimators::Average;
use crate::interface::{Outcome, Upstream, UpstreamKind};
use crate::time::{Duration, Timestamp};

/// Fraction of the quota that calls may hold while they are slow.
const MIN_QUOTA_FRACTION: f64 = 0.27;
/// Largest fraction of the quota that calls may hold. A dependency slows well before its limit.
const MAX_QUOTA_FRACTION: f64 = 0.9;
/// Ratio of the mean to the best call time above which the usable fraction of the quota shrinks.
const SLOWDOWN_THRESHOLD: f64 = 1.2;
/// Weight of the newest call in the averages over calls.
const CALL_WEIGHT: f64 = 0.1;
/// First guess of the best call time, in first guesses of the mean: the first calls count as slow.
const INITIAL_BEST_IN_MEANS: f64 = 0.5;
/// Least mean call time, in seconds; avoids a division by zero.
const MIN_MEAN_SECS: f64 = 1e-6;
/// Mean call times after which a call is stuck.
const STUCK_TIMEOUT_IN_MEANS: f64 = 8.0;
/// Time beyond these means before a call is stuck: calls that take next to no time are not given up for a short pause.
const STUCK_TIMEOUT_MARGIN: Duration = Duration::from_millis(40);

/// The account of one server's upstream calls.
pub(super) struct CallAccount {
    upstream: Upstream,
    in_flight: usize,
    abandoned: AbandonedCalls<()>,
    /// Call seconds left over from the quota of late, as of `updated`; negative in debt.
    credit_secs: f64,
    updated: Timestamp,
    mean: Average,
    best: BestMean,
    rejected_fraction: Average,
    /// External ceilings tell a slow upstream from an overloaded one: the capacity shrinks no more by itself.
    has_ceilings: bool,
}

impl CallAccount {
    /// Begins in debt by a part, 0 to 1, of a guessed call time. Servers that start together with random parts make
    /// their first calls at different times, the smaller their quota the later.
    pub(super) fn new(
        now: Timestamp,
        initial_estimate_secs: f64,
        initial_debt_fraction: f64,
    ) -> CallAccount {
        let upstream = Upstream::default();
        CallAccount {
            in_flight: 0,
            abandoned: AbandonedCalls::new(upstream.abandoned_call_lifetime),
            credit_secs: -initial_debt_fraction * initial_estimate_secs,
            updated: now,
            mean: Average::new(initial_estimate_secs, CALL_WEIGHT),
            best: BestMean::new(initial_estimate_secs * INITIAL_BEST_IN_MEANS),
            rejected_fraction: Average::new(0.0, CALL_WEIGHT),
            has_ceilings: false,
            upstream,
        }
    }

    /// Sets what this server calls, before its first call.
    pub(super) fn set_upstream(&mut self, upstream: &Upstream) {
        self.upstream = upstream.clone();
        self.abandoned = AbandonedCalls::new(upstream.abandoned_call_lifetime);
    }

    /// Sets how many calls may be in flight. Whoever divides them among servers stays below the limit, so the reserve
    /// that the account keeps of its quota is added to them.
    pub(super) fn set_usable_calls(&mut self, now: Timestamp, calls: f64) {
        self.update(now);
        self.upstream.quota = calls / MAX_QUOTA_FRACTION;
    }

    /// Sets whether external ceilings bind the calls.
    pub(super) fn set_has_ceilings(&mut self, has_ceilings: bool) {
        self.has_ceilings = has_ceilings;
    }

    /// Whether a call is in flight that was not abandoned.
    pub(super) fn has_calls_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Fraction of the latest calls that the upstream rejected, 0 to 1.
    pub(super) fn rejected_fraction(&self) -> f64 {
        self.rejected_fraction.value()
    }

    /// When a call that is made at that time is expected back.
    pub(super) fn expected_end(&self, start: Timestamp) -> Timestamp {
        start + Duration::from_secs_f64(self.mean.value())
    }

    /// Brings the account up to now. Returns the calls in flight, with those that were abandoned.
    pub(super) fn update(&mut self, now: Timestamp) -> f64 {
        self.abandoned.remove_ended(now);
        let in_flight = (self.in_flight + self.abandoned.len()) as f64;
        let elapsed_secs = (now - self.updated).as_secs_f64();
        let earned_secs = (self.capacity() - in_flight) * elapsed_secs;
        self.credit_secs = (self.credit_secs + earned_secs).min(self.max_credit_secs());
        self.updated = now;
        in_flight
    }

    /// The calls that may be in flight on average: a part of the quota that shrinks as calls slow.
    fn capacity(&self) -> f64 {
        let min_fraction = if self.has_ceilings {
            MAX_QUOTA_FRACTION
        } else {
            MIN_QUOTA_FRACTION
        };
        let slowed_fraction =
            MAX_QUOTA_FRACTION * SLOWDOWN_THRESHOLD * self.best.secs() / self.mean.value();
        self.upstream.quota * slowed_fraction.clamp(min_fraction, MAX_QUOTA_FRACTION)
    }

    /// What the account leaves of the quota in one window, in call seconds.
    fn max_credit_secs(&self) -> f64 {
        let window_secs = self.upstream.averaging_window.as_secs_f64();
        self.upstream.quota * (1.0 - MAX_QUOTA_FRACTION) * window_secs
    }

    /// Whether one more call keeps the mean in flight within a fraction of the capacity, 0 to 1: by the number in
    /// flight, or by the credit that earlier calls left over, so that quick calls go together.
    pub(super) fn allows_call(&mut self, now: Timestamp, fraction: f64) -> bool {
        let in_flight = self.update(now);
        self.upstream.kind != UpstreamKind::Shared
            || in_flight + 1.0 <= self.capacity() * fraction
            || self.credit_after(in_flight) > self.max_credit_secs() * (1.0 - fraction)
    }

    /// The credit that is left once the calls in flight have taken a mean call time each, in call seconds.
    fn credit_after(&self, in_flight: f64) -> f64 {
        self.credit_secs - in_flight * self.mean.value()
    }

    /// A call is made.
    pub(super) fn start_call(&mut self) {
        self.in_flight += 1;
    }

    /// A call ended, or was abandoned, after the time spent.
    pub(super) fn finish_call(&mut self, now: Timestamp, outcome: Outcome, spent: Duration) {
        self.update(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.rejected_fraction
            .record(f64::from(outcome == Outcome::Rejected));
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            self.abandoned.abandon(now, ());
        }
        if self.counts_as_call_time(outcome) {
            self.mean.record(spent.as_secs_f64());
            self.mean.raise_to(MIN_MEAN_SECS);
            self.best.record(self.mean.value());
        }
    }

    /// A call in flight is given up by this server. How long it took says nothing.
    pub(super) fn abandon_call(&mut self, now: Timestamp) {
        self.finish_call(now, Outcome::Cancelled, Duration::ZERO);
    }

    /// Whether the time of a call with this outcome counts. A timeout bounds the call time from below, except at a
    /// tier, where a machine may have gone silent.
    fn counts_as_call_time(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Completed => true,
            Outcome::TimedOut => self.upstream.kind == UpstreamKind::Shared,
            _ => false,
        }
    }

    /// Time after which a call is stuck and only holds up its run. At a shared dependency no call may last longer than
    /// the quota of a window pays for.
    pub(super) fn stuck_timeout(&self) -> Duration {
        let timeout = Duration::from_secs_f64(STUCK_TIMEOUT_IN_MEANS * self.mean.value());
        let timeout = timeout + STUCK_TIMEOUT_MARGIN;
        if self.upstream.kind != UpstreamKind::Shared {
            return timeout;
        }
        let window = self.upstream.averaging_window;
        timeout.min(window.mul_f64(self.upstream.quota * MAX_QUOTA_FRACTION))
    }
}
