//! The fraction of arrivals admitted, cut by an integral latency loop, and the rate of failures. Owns both.

use super::*;

const CUT_RATE: f64 = 0.5; // Cut of the fraction per second, for a latency one objective over (ours).
const RECOVERY_RATE: f64 = 0.2; // Its slower recovery per second (ours).
const MIN_ADMITTED: f64 = 0.3; // The loop needs completions to see that it may recover (ours).
const RECENT_ARRIVALS: usize = 64; // Weights that rank a new one: a few seconds of a server's traffic (ours).
const FAILURE_WEIGHT: f64 = 0.08; // Of the newest run in the failure rate (ours).
pub(super) const FAILURE_DECAY: f64 = 0.999; // Per tick: in 7 s a server without runs tries again (ours).
const MAX_FAILURE_RATE: f64 = 0.25; // Over which arrivals are sent to other servers (ours).

/// Decides how many arrivals are admitted. Other parts only read the fraction admitted.
pub(super) struct AdmissionControl {
    pub(super) admitted: f64,
    pub(super) failures: Average,
    pub(super) recent_weights: Ranking,
}

impl AdmissionControl {
    pub(super) fn new() -> AdmissionControl {
        let (failures, recent_weights) =
            (Average::new(FAILURE_WEIGHT), Ranking::new(RECENT_ARRIVALS));
        AdmissionControl {
            admitted: 1.0,
            failures,
            recent_weights,
        }
    }

    pub(super) fn is_failing(&self) -> bool {
        self.failures.value() > MAX_FAILURE_RATE
    }

    /// One integral step. `excess`: the worst latency over its setpoint, as a ratio.
    pub(super) fn update(&mut self, elapsed: Duration, excess: f64, cut_helps: bool) {
        let cut = cut_helps && excess > 0.0;
        let change = if cut {
            -CUT_RATE * excess.min(MAX_ERROR)
        } else {
            RECOVERY_RATE
        };
        self.admitted = (self.admitted + elapsed.as_secs_f64() * change).clamp(MIN_ADMITTED, 1.0);
    }
}

impl Decider {
    /// Rejects what is beyond the admitted fraction, the least weight first. A server that fails its runs
    /// attracts traffic: it rejects as large a fraction as fails, and probes only with idempotent requests.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        r: RequestSlot,
        out: &mut dyn Actions,
    ) -> ControlFlow<()> {
        let (weight, chance) = (self.requests[r].weight, self.rng.rand_float());
        let idempotent =
            self.handlers[self.requests[r].handler.index()].retry_safety == RetrySafety::Idempotent;
        let failure_rate = self.admission.failures.value();
        let probe =
            idempotent && (self.rng.rand_float() > failure_rate || self.requests.running() == 0);
        if probe || !self.admission.is_failing() {
            self.admission.recent_weights.push(weight);
            if self.admission.recent_weights.rank(weight, chance) >= 1.0 - self.admission.admitted {
                return Continue(());
            }
        }
        self.reject(now, r, out);
        Break(())
    }
}
