//! Calls to the upstream: when one is made, postponed, skipped or repeated. Owns the account of those in
//! flight, or abandoned and perhaps still running, and the runs that wait for capacity.

use super::*;

const MIN_QUOTA_FRACTION: f64 = 0.27; // Of the quota, held by calls that are slow (ours).
const MAX_QUOTA_FRACTION: f64 = 0.9; // Of the quota: a dependency slows well before its limit (ours).
const SLOW_CALLS: f64 = 1.2; // Mean call time, in best means, from which the fraction shrinks (ours).
const CALL_WEIGHT: f64 = 0.1; // Of the newest call in means over calls (ours).
const BACKOFF_UNIT: Duration = Duration::from_millis(40); // Doubled per failed call of a request (ours).
const STUCK_CALL: f64 = 8.0; // Mean call times after which a call is stuck (ours).
const OVERLOADED: f64 = 0.25; // Fraction of rejected calls from which repetitions only add load (ours).

/// The account of upstream calls, in seconds. Other parts only set the upstream and read what waits.
#[derive(Default)]
pub(super) struct UpstreamCalls {
    pub(super) upstream: Upstream,
    in_flight: usize,
    abandoned: ExpiringCount,
    /// Seconds in flight left over from this server's quota of late, as of `settled`.
    credit: f64,
    settled: Timestamp,
    mean_time: f64,
    best_time: f64,
    rejected_fraction: f64,
    pub(super) waiting: Vec<RequestSlot>,
    /// External ceilings tell a slow upstream from an overloaded one: the capacity shrinks no more by itself.
    pub(super) has_ceilings: bool,
}

impl UpstreamCalls {
    /// Begins in debt by a random part of a guessed call time: servers started together earn their first call
    /// at different times, the smaller their quota the later.
    pub(super) fn new(now: Timestamp, guess: f64, part: f64) -> UpstreamCalls {
        let (credit, best_time) = (-part * guess, guess * 0.5);
        UpstreamCalls {
            credit,
            settled: now,
            mean_time: guess,
            best_time,
            ..UpstreamCalls::default()
        }
    }

    /// The calls that may be in flight on average: a part of the quota that shrinks as they slow.
    fn capacity(&self) -> f64 {
        let min = if self.has_ceilings {
            MAX_QUOTA_FRACTION
        } else {
            MIN_QUOTA_FRACTION
        };
        let fraction = MAX_QUOTA_FRACTION * SLOW_CALLS * self.best_time / self.mean_time;
        self.upstream.quota * fraction.clamp(min, MAX_QUOTA_FRACTION)
    }

    fn max_credit(&self) -> f64 {
        self.upstream.quota
            * (1.0 - MAX_QUOTA_FRACTION)
            * self.upstream.averaging_window.as_secs_f64()
    }

    /// Brings the account up to now; returns the number of calls in flight.
    pub(super) fn settle(&mut self, now: Timestamp) -> f64 {
        let in_flight = (self.in_flight + self.abandoned.count(now)) as f64;
        self.credit += (self.capacity() - in_flight) * (now - self.settled).as_secs_f64();
        (self.credit, self.settled) = (self.credit.min(self.max_credit()), now);
        in_flight
    }

    /// Whether one more call keeps the mean in flight within that fraction of the capacity: by the number in
    /// flight, or by what earlier calls left over, so that quick calls go together.
    fn allows(&mut self, now: Timestamp, fraction: f64) -> bool {
        let in_flight = self.settle(now);
        self.upstream.kind != UpstreamKind::Shared
            || in_flight + 1.0 <= self.capacity() * fraction
            || self.credit - in_flight * self.mean_time > self.max_credit() * (1.0 - fraction)
    }

    fn finish(&mut self, now: Timestamp, outcome: Outcome, spent: Duration) {
        self.settle(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        let rejected = f64::from(outcome == Outcome::Rejected);
        self.rejected_fraction += CALL_WEIGHT * (rejected - self.rejected_fraction);
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            self.abandoned
                .add(now + self.upstream.abandoned_call_lifetime);
        }
        // A timeout bounds the call time from below, except at a tier, where a machine may have gone silent.
        let is_bound = outcome == Outcome::TimedOut && self.upstream.kind == UpstreamKind::Shared;
        if outcome == Outcome::Completed || is_bound {
            self.mean_time =
                (self.mean_time + CALL_WEIGHT * (spent.as_secs_f64() - self.mean_time)).max(1e-6);
            self.best_time = (self.best_time * BEST_DRIFT).min(self.mean_time);
        }
    }

    /// Time after which a call is stuck and only holds a run; no call may hold more than a window's quota.
    fn stuck_after(&self) -> Duration {
        let usual = Duration::from_secs_f64(STUCK_CALL * self.mean_time) + BACKOFF_UNIT;
        let affordable = self
            .upstream
            .averaging_window
            .mul_f64(self.upstream.quota * MAX_QUOTA_FRACTION);
        if self.upstream.kind == UpstreamKind::Shared {
            usual.min(affordable)
        } else {
            usual
        }
    }
}

impl Decider {
    /// Sets how many upstream calls may be in flight; whoever distributes them stays under the limit.
    pub fn set_upstream_quota(&mut self, now: Timestamp, calls: f64) {
        self.calls.settle(now);
        self.calls.upstream.quota = calls / MAX_QUOTA_FRACTION;
    }

    /// A run waits at an upstream call.
    pub fn on_call_needed(&mut self, now: Timestamp, id: u64, out: &mut dyn Actions) {
        let Some(r) = self
            .requests
            .find(id, |q| q.stage() == Stage::Running && !q.answered)
        else {
            return;
        };
        self.requests.set_run_stage(r, Stage::AtCall);
        self.attempt_call(now, r, out);
    }

    /// Makes the call that a run waits at, skips it or lets it wait. An optional call is skipped once the
    /// allowance is spent while a handler exceeds its setpoint, and where it is late or has no capacity.
    pub(super) fn attempt_call(&mut self, now: Timestamp, r: RequestSlot, out: &mut dyn Actions) {
        let (request, handler) = (
            &self.requests[r],
            &self.handlers[self.requests[r].handler.index()],
        );
        let rank = self.admission.recent_weights.rank(request.weight, 1.0);
        let within =
            |ceiling: &Ceiling| self.requests.load(&ceiling.handlers).calls < ceiling.calls;
        let in_ceilings = self.ceilings.over(request.handler).all(within);
        // Under ceilings, required calls go first where capacity is scarce.
        let yields = !self.ceilings.is_empty() && !self.calls.waiting.is_empty();
        let optional = handler.partial_weight > 0.0;
        let spent = now - request.started > request.allowance && self.budget.worst_latency() > 1.0;
        let late = now + Duration::from_secs_f64(self.calls.mean_time) > request.objective;
        let late_is_useless = handler.late_weight == 0.0;
        if late && !optional && late_is_useless && self.calls.in_flight > 0 {
            self.fail(r, out); // Another run makes better use of the capacity.
        } else if optional
            && (spent || late || yields || !in_ceilings || !self.calls.allows(now, rank))
        {
            self.requests.skip_call(r, out);
        } else if !in_ceilings || !self.calls.allows(now, 1.0) {
            self.calls.waiting.push(r);
        } else {
            let answer_by = request.deadline.saturating_sub(ANSWER_MARGIN);
            let useful_until = if optional || late_is_useless {
                request.objective
            } else {
                answer_by
            };
            let until = useful_until.min(now + self.calls.stuck_after());
            out.call(request.id, (until - now).max(Duration::from_millis(1)));
            self.calls.in_flight += 1;
            self.requests.set_run_stage(r, Stage::Calling);
        }
    }

    /// Attempts the calls that wait, the latest first: it is in time, and so are those after it.
    pub(super) fn attempt_waiting_calls(&mut self, now: Timestamp, out: &mut dyn Actions) {
        for r in std::mem::take(&mut self.calls.waiting).into_iter().rev() {
            self.fire(now, Timer::RetryCall(r), out);
        }
        self.calls.waiting.reverse();
    }

    /// An upstream call ended after the time spent. A failed one is skipped, repeated, or fails its request.
    pub fn on_call_finished(
        &mut self,
        now: Timestamp,
        id: u64,
        outcome: Outcome,
        spent: Duration,
        out: &mut dyn Actions,
    ) {
        let Some(r) = self.requests.find(id, |q| q.stage() == Stage::Calling) else {
            return;
        };
        self.calls.finish(now, outcome, spent);
        self.requests.finish_call(r, outcome == Outcome::Completed);
        let request = &self.requests[r];
        if outcome == Outcome::Completed || request.answered {
            return;
        }
        let Handler {
            partial_weight,
            retry_safety,
            ..
        } = self.handlers[request.handler.index()];
        let may_have_run = !matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
        let backoff = BACKOFF_UNIT.mul_f64(f64::from(1u32 << request.failed_calls.min(6)));
        let late =
            now + backoff + Duration::from_secs_f64(self.calls.mean_time) > request.objective;
        let hopeless =
            late || request.failed_calls > 1 || self.calls.rejected_fraction > OVERLOADED;
        if partial_weight > 0.0 && hopeless {
            self.requests.skip_call(r, out);
        } else if (may_have_run && retry_safety != RetrySafety::Idempotent) || late {
            self.fail(r, out);
        } else {
            self.timers.set(now + backoff, Timer::RetryCall(r));
        }
    }

    /// Takes a request off the account; its call, if one is in flight, counts as abandoned.
    pub(super) fn abandon_call(&mut self, now: Timestamp, r: RequestSlot) {
        if self.requests[r].stage() == Stage::Calling {
            self.calls
                .finish(now, Outcome::Cancelled, now - self.requests[r].started);
        }
        self.calls.waiting.retain(|waiting| *waiting != r);
    }
}
