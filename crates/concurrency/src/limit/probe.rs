//! Probes: reductions of the limit that test whether calls queue at the upstream.
//!
//! [`ProbeController`] holds the probe in progress, the evidence collected for the next one, and
//! the pause between probes. It is given the latency of each window, and returns the limit that
//! [`AdaptiveLimit`](super::AdaptiveLimit) then sets.

use super::window::LatencySummary;
use madderbay::time::{Duration, Timestamp};

/// Queued calls, as a fraction of the limit, below which the limit may grow.
const SHORT_QUEUE_FRACTION: f64 = 0.12;
/// Queued calls, as a fraction of the limit or of the calls in flight, whichever is lower, above
/// which a probe is considered. A limit that is a third too high adds a third to the latency; a
/// limit that is too low costs throughput.
const LONG_QUEUE_FRACTION: f64 = 0.40;
/// Lower bounds, in calls, on the thresholds of a short and a long queue: half a call is not a
/// queue.
const MIN_SHORT_QUEUE: f64 = 0.8;
const MIN_LONG_QUEUE: f64 = 1.6;

/// Limit during a probe, as a multiple of the concurrency that the upstream seems to sustain.
const PROBE_HEADROOM: f64 = 1.15;
/// Bounds on the limit during a probe, as fractions of the limit before it: a smaller reduction
/// shows nothing, a larger one costs throughput.
const MIN_PROBE_FRACTION: f64 = 0.6;
const MAX_PROBE_FRACTION: f64 = 0.8;
/// Decrease of latency that confirms a queue, as a fraction of the decrease expected if all the
/// added latency came from queueing.
const CONFIRMING_FRACTION: f64 = 0.5;

/// Minimum evidence required to start a probe; a single window may be noise.
const MIN_REQUIRED_EVIDENCE: u32 = 2;
/// Multiple of the threshold of a long queue above which a window counts twice.
const STRONG_EVIDENCE_FACTOR: f64 = 1.25;
/// Factor by which the required evidence grows after a reverted probe, so that a stable limit does
/// not oscillate. The number of windows without a queue that are required to raise the limit is the
/// required evidence divided by this factor.
const REQUIRED_EVIDENCE_FACTOR: u32 = 4;
/// Maximum of the required evidence.
const MAX_REQUIRED_EVIDENCE: u32 = 32;
/// Change of latency, as a factor, that resets the required evidence.
const LATENCY_SHIFT_FACTOR: f64 = 2.0;
/// Time after a shift of latency during which little evidence is enough to start a probe. Later,
/// the fact that the limit has been sustained since the shift is evidence against a queue, and more
/// is required.
const PROMPT_PROBE_PERIOD: Duration = Duration::from_millis(1_200);
/// Pause after a reverted probe; each further one is twice as long, up to [`MAX_PROBE_PAUSE`].
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(2_000);
/// Maximum pause after a reverted probe.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(32_000);

/// Estimated number of calls that queue at the upstream, with the thresholds that apply at the
/// current limit.
pub(super) struct QueueEstimate {
    queued: f64,
    /// Lower bound on the number of queued calls, given the error of the latency.
    confident_queued: f64,
    short_threshold: f64,
    long_threshold: f64,
}

impl QueueEstimate {
    pub(super) fn new(sample: &LatencySummary, minimum_secs: f64, limit: f64) -> QueueEstimate {
        let in_flight = sample.mean_in_flight;
        let lower_bound_secs = (sample.mean_secs - sample.error_secs).max(minimum_secs);
        QueueEstimate {
            queued: (in_flight * (1.0 - minimum_secs / sample.mean_secs)).max(0.0),
            confident_queued: in_flight * (1.0 - minimum_secs / lower_bound_secs),
            short_threshold: (SHORT_QUEUE_FRACTION * limit).max(MIN_SHORT_QUEUE),
            long_threshold: (LONG_QUEUE_FRACTION * limit.min(in_flight)).max(MIN_LONG_QUEUE),
        }
    }

    pub(super) fn is_short(&self) -> bool {
        self.queued < self.short_threshold
    }

    fn is_long(&self) -> bool {
        self.confident_queued > self.long_threshold
    }

    fn is_very_long(&self) -> bool {
        self.confident_queued > STRONG_EVIDENCE_FACTOR * self.long_threshold
    }
}

/// Result of a probe.
pub(super) enum ProbeOutcome {
    /// Latency fell: calls were queueing.
    QueueConfirmed,
    /// Latency did not fall: the upstream has become slower.
    UpstreamSlower { previous_limit: f64 },
}

/// A probe in progress: the limit and the latency before it started.
struct Probe {
    previous_limit: f64,
    before: LatencySummary,
}

impl Probe {
    fn confirms_queue(&self, after: &LatencySummary) -> bool {
        let before = &self.before;
        let ratio = (after.mean_in_flight / before.mean_in_flight).min(1.0);
        let expected_secs = before.mean_secs * ratio;
        let error_secs =
            (after.error_secs * after.error_secs + before.error_secs * before.error_secs).sqrt();
        let fall_secs = before.mean_secs - after.mean_secs - error_secs;
        fall_secs >= CONFIRMING_FRACTION * (before.mean_secs - expected_secs)
            && after.mean_in_flight < before.mean_in_flight
    }
}

pub(super) struct ProbeController {
    active: Option<Probe>,
    /// Evidence of a queue from consecutive windows: 1 for each window with a long queue, 2 for
    /// each with a very long one.
    evidence: u32,
    required_evidence: u32,
    /// Mean latency at the time when the required evidence was last set.
    reference_latency_secs: f64,
    latency_shifted_at: Timestamp,
    paused_until: Timestamp,
    next_pause: Duration,
}

impl ProbeController {
    pub(super) fn new(now: Timestamp) -> ProbeController {
        ProbeController {
            active: None,
            evidence: 0,
            required_evidence: MIN_REQUIRED_EVIDENCE,
            reference_latency_secs: 0.0,
            latency_shifted_at: now,
            paused_until: now,
            next_pause: MIN_PROBE_PAUSE,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// Discards the probe in progress without a result.
    pub(super) fn abort(&mut self) {
        self.active = None;
    }

    /// Sets to `now` the times that a step back of the clock may have left in the future.
    pub(super) fn reset_clock(&mut self, now: Timestamp) {
        self.paused_until = now;
        self.latency_shifted_at = now;
    }

    /// Returns the number of windows without a queue after which the limit may grow.
    pub(super) fn windows_required_to_grow(&self) -> u32 {
        self.required_evidence / REQUIRED_EVIDENCE_FACTOR
    }

    /// Ends the probe in progress, if there is one, and returns its result. `after` is the latency
    /// since the start of the probe.
    pub(super) fn conclude(
        &mut self,
        now: Timestamp,
        after: &LatencySummary,
    ) -> Option<ProbeOutcome> {
        let probe = self.active.take()?;
        if probe.confirms_queue(after) {
            // If another probe is needed, it requires no more evidence than this one did.
            self.paused_until = now;
            self.next_pause = MIN_PROBE_PAUSE;
            self.reset_required_evidence(now, after.mean_secs);
            return Some(ProbeOutcome::QueueConfirmed);
        }
        self.required_evidence =
            (self.required_evidence * REQUIRED_EVIDENCE_FACTOR).min(MAX_REQUIRED_EVIDENCE);
        self.reference_latency_secs = after.mean_secs;
        self.paused_until = now + self.next_pause;
        self.next_pause = (self.next_pause + self.next_pause).min(MAX_PROBE_PAUSE);
        Some(ProbeOutcome::UpstreamSlower {
            previous_limit: probe.previous_limit,
        })
    }

    fn reset_required_evidence(&mut self, now: Timestamp, latency_secs: f64) {
        self.required_evidence = MIN_REQUIRED_EVIDENCE;
        self.reference_latency_secs = latency_secs;
        self.latency_shifted_at = now;
    }

    /// Adds the evidence of a window; returns whether there is now enough to start a probe.
    pub(super) fn record_window(
        &mut self,
        now: Timestamp,
        sample: &LatencySummary,
        queue: &QueueEstimate,
    ) -> bool {
        self.adjust_required_evidence(now, sample.mean_secs);
        if queue.is_long() && now >= self.paused_until {
            self.evidence += 1 + u32::from(queue.is_very_long());
        } else {
            self.evidence = 0;
        }
        self.evidence >= self.required_evidence
    }

    /// Resets the required evidence after a shift of latency, and raises it once the shift is older
    /// than [`PROMPT_PROBE_PERIOD`].
    fn adjust_required_evidence(&mut self, now: Timestamp, mean_secs: f64) {
        let reference = self.reference_latency_secs;
        let rose = mean_secs > LATENCY_SHIFT_FACTOR * reference;
        let fell = mean_secs * LATENCY_SHIFT_FACTOR < reference;
        if rose || fell {
            self.reset_required_evidence(now, mean_secs);
        }
        if now - self.latency_shifted_at > PROMPT_PROBE_PERIOD {
            self.required_evidence = self
                .required_evidence
                .max(MIN_REQUIRED_EVIDENCE * REQUIRED_EVIDENCE_FACTOR);
        }
    }

    /// Starts a probe and returns the reduced limit, in calls.
    pub(super) fn start(&mut self, sample: &LatencySummary, minimum_secs: f64, limit: f64) -> f64 {
        self.evidence = 0;
        self.active = Some(Probe {
            previous_limit: limit,
            before: *sample,
        });
        let fraction = (PROBE_HEADROOM * minimum_secs / sample.mean_secs)
            .clamp(MIN_PROBE_FRACTION, MAX_PROBE_FRACTION);
        (limit.min(sample.mean_in_flight.max(1.0)) * fraction).max(1.0)
    }
}
