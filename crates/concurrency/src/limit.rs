//! An adaptive limit on the calls in flight to one upstream.
//!
//! A call takes longer for one of two reasons: the upstream executes each call more slowly, or too
//! many calls queue there. Only queueing is a reason to lower the limit; if the upstream is merely
//! slow, a lower limit only loses throughput. Latency alone does not tell the two apart, so the
//! limit is lowered as a probe. If latency falls with the concurrency, calls were queueing and the
//! lower limit stays. Otherwise the limit is restored, and the observed latency becomes the new
//! minimum latency.
//!
//! [`AdaptiveLimit`](crate::limit::AdaptiveLimit) holds the limit, the count of calls in flight,
//! the current sample window, the minimum latency, the probe in progress and the circuit breaker.
//! Callers report the start and the end of each call with the current time. The limit never reads a
//! clock, performs no I/O, and never blocks or rejects a call: callers compare the number of calls
//! in flight with the number allowed.

mod change;
mod circuit_breaker;
mod in_flight;
mod latency;
mod probe;
mod window;

pub use change::{AdjustmentCause, Completion, LimitChange, LimitChanges};
pub use in_flight::Permit;

use circuit_breaker::{CircuitBreaker, CircuitState};
use in_flight::InFlightCalls;
use latency::MinimumLatency;
use madderbay::time::{Duration, Timestamp};
use probe::{ProbeController, ProbeOutcome, QueueEstimate};
use window::{LatencySummary, SampleWindow};

/// Fraction of the recent peak kept after each window; halves the peak in about fourteen windows.
const RECENT_PEAK_DECAY: f64 = 0.95;
/// Upper bound on a limit that no call reached, as a multiple of the recent peak of calls in
/// flight.
const MAX_UNUSED_LIMIT_FACTOR: f64 = 2.0;
/// Value, in calls, below which an unused limit is not reduced: one probe corrects an excess of a
/// dozen calls, but not one of many dozens.
const MIN_UNUSED_LIMIT: f64 = 12.0;
/// Concurrency, as a fraction of the limit or of the recent peak, up to which a call counts as
/// unaffected by other calls.
const LOW_CONCURRENCY_FRACTION: f64 = 0.5;

/// Factor by which the limit grows per window up to a limit that was sustained before.
const REGROWTH_FACTOR: f64 = 1.5;
/// Growth per window beyond the sustained limit, as a fraction of the limit.
const GROWTH_FRACTION: f64 = 0.06;
/// Growth per window beyond the sustained limit, as a fraction of the limit, while latency stays
/// within [`UNCONGESTED_LATENCY_FACTOR`] of the minimum.
const UNCONGESTED_GROWTH_FRACTION: f64 = 0.3;
/// Minimum growth per window beyond the sustained limit, in calls.
const MIN_GROWTH: f64 = 0.5;
/// Mean latency, as a multiple of the minimum latency, up to which calls are taken not to wait for
/// each other.
const UNCONGESTED_LATENCY_FACTOR: f64 = 1.05;

/// Fraction of the limit kept after a window in which most calls failed.
const FAILURE_DECREASE: f64 = 0.7;
/// Fraction of the limit kept after a window in which no call was answered.
const SILENCE_DECREASE: f64 = 0.5;
/// Consecutive windows without an answer after which the limit is decreased.
const MIN_SILENT_WINDOWS: u32 = 2;
/// Lower bound on a measured latency, in seconds; avoids a division by zero on a coarse clock.
const MIN_MEASURED_LATENCY_SECS: f64 = 1e-6;

/// A limit on calls in flight that adapts to the concurrency that the upstream sustains.
pub struct AdaptiveLimit {
    max: f64,
    current: f64,
    /// The largest limit that the upstream is known to sustain.
    sustained: f64,
    /// Decaying peak of calls in flight.
    recent_peak: f64,
    in_flight: InFlightCalls,
    window: SampleWindow,
    minimum_latency: MinimumLatency,
    probes: ProbeController,
    /// Consecutive windows in which the limit was reached without a noticeable queue.
    uncongested_windows: u32,
    /// Consecutive windows without an answer.
    silent_windows: u32,
    circuit: CircuitBreaker,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `max` calls, at least 1, and never exceeds it.
    ///
    /// A call that timed out or was cancelled occupies the upstream for another
    /// `abandoned_call_lifetime`. `seed` determines the jitter of the circuit breaker's backoff.
    pub fn new(
        now: Timestamp,
        seed: u64,
        max: f64,
        abandoned_call_lifetime: Duration,
    ) -> AdaptiveLimit {
        let max = max.max(1.0);
        AdaptiveLimit {
            max,
            current: max,
            sustained: max,
            recent_peak: 1.0,
            in_flight: InFlightCalls::new(now, abandoned_call_lifetime),
            window: SampleWindow::new(now),
            minimum_latency: MinimumLatency::default(),
            probes: ProbeController::new(now),
            uncongested_windows: 0,
            silent_windows: 0,
            circuit: CircuitBreaker::new(seed),
        }
    }

    /// Replaces the maximum, in calls. A limit that is at its maximum moves with it, since no
    /// evidence has lowered it.
    pub fn set_max(&mut self, max: f64) {
        let max = max.max(1.0);
        if self.current >= self.max {
            self.current = max;
            self.sustained = max;
        }
        self.max = max;
        self.current = self.current.min(max);
        self.sustained = self.sustained.min(max);
    }

    /// Returns the current limit in calls, possibly fractional; at least 1, even while the circuit
    /// breaker is open.
    pub fn limit(&self) -> f64 {
        self.current
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.count()
    }

    /// Returns the estimated latency, in seconds, of a call that does not wait for another call;
    /// `None` until a sample window has yielded a latency.
    pub fn minimum_latency_secs(&self) -> Option<f64> {
        self.minimum_latency.secs()
    }

    /// Returns the number of calls that may be in flight now, including those that already are.
    pub fn allowed_in_flight(&self) -> usize {
        let extra = self.in_flight.extra_permits();
        match self.circuit.state() {
            CircuitState::Open { .. } => 0,
            CircuitState::HalfOpen { .. } => 1 + extra,
            CircuitState::Closed => {
                let abandoned = self.in_flight.abandoned();
                (self.current as usize).saturating_sub(abandoned).max(1) + extra
            }
        }
    }

    /// Registers the start of a call. The permit must be passed to [`AdaptiveLimit::release`] when
    /// the call ends.
    pub fn acquire(&mut self, now: Timestamp) -> Permit {
        let permit = self.in_flight.start(now);
        self.recent_peak = self.recent_peak.max(self.in_flight.count() as f64);
        permit
    }

    /// Registers that the limit prevented a call.
    pub fn record_saturation(&mut self) {
        self.window.record_saturation();
    }

    /// Registers the end of a call. `process_stalled` tells that this process paused during the
    /// call, so that its latency is no evidence about the upstream.
    pub fn release(
        &mut self,
        now: Timestamp,
        permit: Permit,
        completion: Completion,
        process_stalled: bool,
    ) {
        self.in_flight.finish(now, completion);
        if completion == Completion::Success {
            self.silent_windows = 0;
            self.circuit.record_success();
        }
        let latency_secs = (now - permit.started_at())
            .as_secs_f64()
            .max(MIN_MEASURED_LATENCY_SECS);
        if process_stalled {
            return;
        }
        if completion == Completion::Success && self.is_low_concurrency(&permit) {
            self.minimum_latency
                .record_low_concurrency(now, latency_secs);
        }
        self.window.record(&permit, completion, latency_secs);
    }

    /// Advances the time without evaluating samples. A limit on which only this function is called,
    /// and never [`AdaptiveLimit::tick`], stays at its maximum.
    pub fn expire_abandoned_calls(&mut self, now: Timestamp) {
        self.in_flight.expire_abandoned(now);
    }

    /// Advances the time, and adjusts the limit when the current sample window is complete. Returns
    /// the change of the limit, if any.
    pub fn tick(&mut self, now: Timestamp) -> Option<LimitChange> {
        self.in_flight.expire_abandoned(now);
        self.handle_clock_step_back(now);
        if self.circuit.try_half_open(now) {
            self.window = SampleWindow::new(now);
            return Some(self.change_from(0.0, AdjustmentCause::CircuitHalfOpen));
        }
        self.in_flight
            .grant_extra_permit_if_stuck(now, self.allowed_in_flight());
        if !self
            .window
            .is_complete(now, self.current, self.circuit.is_half_open())
        {
            return None;
        }
        let window = std::mem::replace(&mut self.window, SampleWindow::new(now));
        self.recent_peak =
            (self.recent_peak * RECENT_PEAK_DECAY).max(self.in_flight.count() as f64);
        if !window.is_saturated() && !self.probes.is_active() {
            self.reduce_unused_limit();
        }
        let before = self.current;
        let cause = self.evaluate(now, &window)?;
        self.current = self.current.clamp(1.0, self.max);
        let always_reported = matches!(
            cause,
            AdjustmentCause::CircuitOpened | AdjustmentCause::ProbeReverted
        );
        (self.current != before || always_reported).then(|| self.change_from(before, cause))
    }

    fn change_from(&self, from: f64, cause: AdjustmentCause) -> LimitChange {
        let to = if cause == AdjustmentCause::CircuitOpened {
            0.0
        } else {
            self.current
        };
        LimitChange { from, to, cause }
    }

    /// Restarts the sample window, the hang timeout and the probe times if the clock stepped back
    /// before the start of the window.
    fn handle_clock_step_back(&mut self, now: Timestamp) {
        if now < self.window.started_at() {
            self.window = SampleWindow::new(now);
            self.in_flight.reset_last_activity(now);
            self.probes.reset_clock(now);
        }
    }

    /// Keeps the limit near the recent peak of calls in flight: a concurrency that was never
    /// reached was never sustained.
    fn reduce_unused_limit(&mut self) {
        let bound = (MAX_UNUSED_LIMIT_FACTOR * self.recent_peak).max(MIN_UNUSED_LIMIT);
        self.current = self.current.min(bound);
        self.sustained = self.sustained.min(self.current);
    }

    /// Reports whether a call started at low concurrency. If such calls take long, concurrency is
    /// not the cause.
    fn is_low_concurrency(&self, permit: &Permit) -> bool {
        let reference = self.current.min(self.recent_peak);
        permit.in_flight() as f64 <= (reference * LOW_CONCURRENCY_FRACTION).max(1.0)
    }

    /// Adjusts the limit to the samples of a complete window. Returns the cause of the adjustment,
    /// or `None` if there was none; the limit may be unchanged after it is bounded.
    fn evaluate(&mut self, now: Timestamp, window: &SampleWindow) -> Option<AdjustmentCause> {
        if window.mostly_failed() {
            return Some(self.decrease_for_failures(now, window));
        }
        self.circuit.clear_failures();
        let Some(sample) = window.latency() else {
            return self.decrease_for_silence();
        };
        self.silent_windows = 0;
        let minimum_secs = self.minimum_latency.update(&sample);
        if let Some(outcome) = self.probes.conclude(now, &sample) {
            return self.apply_probe_outcome(outcome, &sample);
        }
        let queue = QueueEstimate::new(&sample, minimum_secs, self.current);
        if self.probes.record_window(now, &sample, &queue) && self.current > 1.0 {
            self.current = self.probes.start(&sample, minimum_secs, self.current);
            return Some(AdjustmentCause::Queueing);
        }
        self.grow(window.is_saturated(), &sample, &queue, minimum_secs)
    }

    fn decrease_for_failures(&mut self, now: Timestamp, window: &SampleWindow) -> AdjustmentCause {
        self.probes.abort();
        self.current = (self.current * FAILURE_DECREASE).max(1.0);
        if self
            .circuit
            .record_failing_window(now, window.has_successes())
        {
            AdjustmentCause::CircuitOpened
        } else {
            AdjustmentCause::Failures
        }
    }

    fn decrease_for_silence(&mut self) -> Option<AdjustmentCause> {
        self.silent_windows += 1;
        self.probes.abort();
        if self.silent_windows < MIN_SILENT_WINDOWS {
            return None;
        }
        self.current *= SILENCE_DECREASE;
        Some(AdjustmentCause::Silence)
    }

    fn apply_probe_outcome(
        &mut self,
        outcome: ProbeOutcome,
        sample: &LatencySummary,
    ) -> Option<AdjustmentCause> {
        match outcome {
            ProbeOutcome::QueueConfirmed => {
                self.sustained = self.current;
                None
            }
            ProbeOutcome::UpstreamSlower { previous_limit } => {
                self.current = previous_limit;
                self.minimum_latency.set(sample.mean_secs);
                Some(AdjustmentCause::ProbeReverted)
            }
        }
    }

    /// Raises the limit if demand reaches it and the upstream has capacity.
    fn grow(
        &mut self,
        saturated: bool,
        sample: &LatencySummary,
        queue: &QueueEstimate,
        minimum_secs: f64,
    ) -> Option<AdjustmentCause> {
        if saturated && self.current < self.sustained {
            self.current = (self.current * REGROWTH_FACTOR).min(self.sustained);
            return Some(AdjustmentCause::Demand);
        }
        if saturated && queue.is_short() {
            self.uncongested_windows += 1;
        } else {
            self.uncongested_windows = 0;
        }
        if self.uncongested_windows == 0
            || self.uncongested_windows < self.probes.windows_required_to_grow()
        {
            return None;
        }
        let fraction = if sample.mean_secs < UNCONGESTED_LATENCY_FACTOR * minimum_secs {
            UNCONGESTED_GROWTH_FRACTION
        } else {
            GROWTH_FRACTION
        };
        self.current += (self.current * fraction).max(MIN_GROWTH);
        self.sustained = self.sustained.max(self.current.min(self.max));
        Some(AdjustmentCause::Demand)
    }
}
