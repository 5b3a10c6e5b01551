//! Accounting of upstream calls: how many this server may have in flight, and how long calls take.
//!
//! [`CallAccount`] tracks the calls in flight, the abandoned calls that may still run, and the unused credit of this
//! server's quota, in call-seconds. It is updated at the start and end of each call and as time passes. It makes no
//! calls itself.

use super::best_mean::BestMean;
use crate::abandoned_calls::AbandonedCalls;
use crate::estimators::Average;
use crate::interface::{Outcome, Upstream, UpstreamKind};
use crate::time::{Duration, Timestamp};

/// Smallest usable fraction of the quota, which applies while calls are slow.
const MIN_QUOTA_FRACTION: f64 = 0.27;
/// Largest usable fraction of the quota. A dependency slows down well before it reaches its limit.
const MAX_QUOTA_FRACTION: f64 = 0.9;
/// Ratio of the mean call time to the best one above which the usable fraction of the quota shrinks.
const SLOWDOWN_THRESHOLD: f64 = 1.2;
/// Weight of the newest call in the moving averages over calls.
const CALL_WEIGHT: f64 = 0.1;
/// Initial estimate of the best call time, as a fraction of that of the mean, so that the first calls count as slow.
const INITIAL_BEST_IN_MEANS: f64 = 0.5;
/// Lower bound of the mean call time, in seconds; avoids a division by zero.
const MIN_MEAN_SECS: f64 = 1e-6;
/// Time after which a call counts as stuck, in mean call times.
const STUCK_TIMEOUT_IN_MEANS: f64 = 8.0;
/// Time added to the mean call times before a call counts as stuck, so that calls that take almost no time are not
/// given up because of a short pause.
const STUCK_TIMEOUT_MARGIN: Duration = Duration::from_millis(40);

/// Accounts for the upstream calls of one server.
pub(super) struct CallAccount {
    upstream: Upstream,
    in_flight: usize,
    abandoned: AbandonedCalls<()>,
    /// Recently unused call-seconds of the quota, as of `updated`; negative if the quota was overdrawn.
    credit_secs: f64,
    updated: Timestamp,
    mean: Average,
    best: BestMean,
    rejected_fraction: Average,
    /// Whether external ceilings are set. They tell a slow upstream from an overloaded one, so the capacity no longer
    /// shrinks by itself.
    has_ceilings: bool,
}

impl CallAccount {
    /// Starts overdrawn by a fraction, 0 to 1, of an estimated call time. Servers that start together with random
    /// fractions make their first calls at different times; the smaller the quota, the later.
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

    /// Sets the upstream that this server calls, before the first call is made.
    pub(super) fn set_upstream(&mut self, upstream: &Upstream) {
        self.upstream = upstream.clone();
        self.abandoned = AbandonedCalls::new(upstream.abandoned_call_lifetime);
    }

    /// Sets how many calls may be in flight. The component that divides the calls among the servers stays below the
    /// limit of the upstream, so the reserve that this account keeps of its quota is added to them.
    pub(super) fn set_usable_calls(&mut self, now: Timestamp, calls: f64) {
        self.update(now);
        self.upstream.quota = calls / MAX_QUOTA_FRACTION;
    }

    /// Sets whether external ceilings limit the calls.
    pub(super) fn set_has_ceilings(&mut self, has_ceilings: bool) {
        self.has_ceilings = has_ceilings;
    }

    /// Reports whether a call is in flight that was not abandoned.
    pub(super) fn has_calls_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns the fraction of the latest calls that the upstream rejected, 0 to 1.
    pub(super) fn rejected_fraction(&self) -> f64 {
        self.rejected_fraction.value()
    }

    /// Returns when a call that is made at `start` is expected to end.
    pub(super) fn expected_end(&self, start: Timestamp) -> Timestamp {
        start + Duration::from_secs_f64(self.mean.value())
    }

    /// Updates the credit to `now`. Returns the number of calls in flight, including abandoned calls that may still
    /// run.
    pub(super) fn update(&mut self, now: Timestamp) -> f64 {
        self.abandoned.remove_ended(now);
        let in_flight = (self.in_flight + self.abandoned.len()) as f64;
        let elapsed_secs = (now - self.updated).as_secs_f64();
        let earned_secs = (self.capacity() - in_flight) * elapsed_secs;
        self.credit_secs = (self.credit_secs + earned_secs).min(self.max_credit_secs());
        self.updated = now;
        in_flight
    }

    /// Returns how many calls may be in flight on average: a fraction of the quota that shrinks as calls slow down.
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

    /// Returns the largest credit: the part of the quota that stays unused in one averaging window, in call-seconds.
    fn max_credit_secs(&self) -> f64 {
        let window_secs = self.upstream.averaging_window.as_secs_f64();
        self.upstream.quota * (1.0 - MAX_QUOTA_FRACTION) * window_secs
    }

    /// Reports whether one more call keeps the mean number in flight within `fraction`, 0 to 1, of the capacity: judged
    /// by the number in flight, or by the credit that earlier calls left unused, so that short calls may be made at the
    /// same time. Only calls to a shared dependency are limited.
    pub(super) fn allows_call(&mut self, now: Timestamp, fraction: f64) -> bool {
        let in_flight = self.update(now);
        self.upstream.kind != UpstreamKind::Shared
            || in_flight + 1.0 <= self.capacity() * fraction
            || self.credit_after(in_flight) > self.max_credit_secs() * (1.0 - fraction)
    }

    /// Returns the credit that is left once each call in flight has used a mean call time, in call-seconds.
    fn credit_after(&self, in_flight: f64) -> f64 {
        self.credit_secs - in_flight * self.mean.value()
    }

    /// Records that a call is made.
    pub(super) fn start_call(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a call ended, or was abandoned, after the time `spent`.
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

    /// Records that this server gives up a call in flight. The time that it took is not counted.
    pub(super) fn abandon_call(&mut self, now: Timestamp) {
        self.finish_call(now, Outcome::Cancelled, Duration::ZERO);
    }

    /// Reports whether the time of a call with this outcome counts. A timeout is a lower bound of the call time, except
    /// in a tier, where a machine may have stopped responding.
    fn counts_as_call_time(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Completed => true,
            Outcome::TimedOut => self.upstream.kind == UpstreamKind::Shared,
            _ => false,
        }
    }

    /// Returns the time after which a call counts as stuck and only delays its run. At a shared dependency, no call may
    /// last longer than the quota of one averaging window allows.
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
