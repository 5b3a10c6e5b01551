//! Simulated calls under a quota. A server with demand starts as many calls as its quota allows.

use super::{Event, SimulatedFleet};
use madderbay::time::Timestamp;

/// Minimum duration of a call as a multiple of the mean duration. The maximum is this factor plus
/// one.
const MIN_CALL_FACTOR: f64 = 0.5;

/// Measures the calls in flight of all servers together.
pub(super) struct CallMeter {
    in_flight: u32,
    /// Integral of the calls in flight over time until `updated`, in call seconds.
    call_seconds: f64,
    updated: Timestamp,
}

impl CallMeter {
    pub(super) fn new(now: Timestamp) -> CallMeter {
        CallMeter {
            in_flight: 0,
            call_seconds: 0.0,
            updated: now,
        }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the integral of the calls in flight over time until now, in call seconds.
    fn call_seconds(&self, now: Timestamp) -> f64 {
        self.call_seconds + f64::from(self.in_flight) * (now - self.updated).as_secs_f64()
    }

    /// Brings the integral up to now. Called before the number of calls in flight changes.
    fn update(&mut self, now: Timestamp) {
        self.call_seconds = self.call_seconds(now);
        self.updated = now;
    }

    fn call_started(&mut self, now: Timestamp) {
        self.update(now);
        self.in_flight += 1;
    }

    fn call_ended(&mut self, now: Timestamp) {
        self.update(now);
        self.in_flight -= 1;
    }
}

impl SimulatedFleet {
    /// Returns the integral over time of the calls in flight of all servers together, in call
    /// seconds.
    pub fn used(&self) -> f64 {
        self.calls.call_seconds(self.now)
    }

    /// Starts calls of a server until its demand is met or its quota is used up. Reports demand
    /// that is not met as waiting calls.
    pub(super) fn start_calls(&mut self, server: usize) {
        let Some(setup) = &self.setup.budget else {
            return;
        };
        let mean_call = setup.call;
        let max_call = setup.max_call;
        loop {
            let node = &mut self.nodes[server];
            let now = node.clock(self.now);
            let demand = node.work.demand;
            let incarnation = node.incarnation;
            let quotas = node.active_stack().and_then(|stack| stack.quotas_mut());
            let Some(quotas) = quotas else {
                return;
            };
            let budget = &mut quotas.budgets_mut()[0];
            let in_use = budget.in_use();
            let may_start = budget.may_start(now);
            if in_use >= demand || !may_start {
                return budget.set_waiting(now, demand.saturating_sub(in_use));
            }
            budget.call_started(now);
            let factor = MIN_CALL_FACTOR + self.random.rand_float();
            let took = mean_call.mul_f64(factor).min(max_call);
            let ended = Event::CallEnded {
                server,
                incarnation,
            };
            self.push(self.now + took, ended);
            self.calls.call_started(self.now);
            self.peak = self.peak.max(self.calls.in_flight());
        }
    }

    /// Handles the end of a call, also if the incarnation that made it no longer runs.
    pub(super) fn call_ended(&mut self, server: usize, incarnation: u32) {
        self.calls.call_ended(self.now);
        self.peak = self.peak.max(self.calls.in_flight());
        let node = &mut self.nodes[server];
        if node.incarnation != incarnation || node.stack.is_none() {
            return;
        }
        if node.stopped {
            node.work.calls_ended_while_stopped += 1;
            return;
        }
        let now = node.clock(self.now);
        if let Some(quotas) = node.stack.as_mut().and_then(|stack| stack.quotas_mut()) {
            quotas.budgets_mut()[0].call_ended(now);
        }
        self.start_calls(server);
    }
}
