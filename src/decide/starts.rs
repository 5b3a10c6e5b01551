//! The steps from the queue to a run: freeing memory, rejecting requests that cannot be in time, and starting the
//! others.

use super::Decider;
use super::feasibility::{PlannedRequest, ServerLoad, infeasible_requests};
use crate::interface::{Actions, CallRequirement, Ceiling};
use crate::request::Request;
use crate::slots::RequestSlot;
use crate::time::Timestamp;

impl Decider {
    /// Rejects queued requests, the lowest weight first, before the machine needs more memory than it has.
    pub(super) fn free_memory(&mut self, now: Timestamp, out: &mut dyn Actions) {
        while !self.memory.may_keep_queue(self.used_memory_kb()) {
            let Some(slot) = self.lowest_weight_queued() else {
                return;
            };
            self.reject(now, slot, out);
        }
    }

    fn lowest_weight_queued(&self) -> Option<RequestSlot> {
        let weight = |slot: &RequestSlot| self.requests[*slot].weight;
        let queued = self.queue.by_latest_start().into_iter();
        queued.min_by(|a, b| weight(a).total_cmp(&weight(b)))
    }

    /// Rejects queued requests that cannot meet their objectives, or that keep more useful ones from doing so.
    pub(super) fn reject_infeasible(&mut self, now: Timestamp, out: &mut dyn Actions) {
        let load = ServerLoad {
            now,
            remaining_run_secs: self.remaining_run_secs(),
            concurrency_limit: self.concurrency.limit(),
            is_idle: self.requests.is_idle_except_overdue(),
        };
        let queue = self.queue.by_latest_start().into_iter();
        let planned = queue.map(|slot| self.planned_request(slot));
        let infeasible = infeasible_requests(load, planned, &self.ceilings);
        for slot in infeasible {
            self.reject(now, slot, out);
        }
    }

    fn planned_request(&self, slot: RequestSlot) -> PlannedRequest {
        let Request {
            handler,
            objective,
            weight,
            ..
        } = self.requests[slot];
        PlannedRequest {
            slot,
            handler,
            objective,
            weight,
            run_secs: self.expected_run(slot).as_secs_f64(),
        }
    }

    /// Starts queued requests with their allowances while there is capacity.
    pub(super) fn start_queued(&mut self, now: Timestamp, out: &mut dyn Actions) {
        let max_runs = self.concurrency.max_runs(now);
        while let Some(slot) = self.next_start(max_runs) {
            self.start(now, slot, out);
        }
    }

    /// Returns the first queued request that may start, if it fits the limit on runs and the memory. Requests behind it
    /// do not overtake it because they are smaller.
    fn next_start(&self, max_runs: f64) -> Option<RequestSlot> {
        let slot = self.queue.first(|slot| self.may_start(slot))?;
        // If all runs are overdue, one more run shows whether the engine still ends runs.
        let fits_limit = (self.requests.running() + 1) as f64 <= max_runs
            || self.requests.is_idle_except_overdue();
        let growth_kb = self.requests.growth_kb(slot);
        let fits_memory = self.memory.may_start(self.used_memory_kb(), growth_kb);
        (fits_limit && fits_memory).then_some(slot)
    }

    /// Reports whether the ceilings and the waiting calls leave room for a run of the request's handler.
    ///
    /// While a call waits for capacity, a run that requires a call would only have to wait as well. If ceilings are
    /// set, they already allow for that.
    fn may_start(&self, slot: RequestSlot) -> bool {
        let handler = self.handler_of(slot);
        let requires_call = handler.call_requirement() == CallRequirement::Required;
        let would_wait_at_call = requires_call && !self.waiting_calls.is_empty();
        if would_wait_at_call && self.ceilings.is_empty() {
            return false;
        }
        let has_room =
            |ceiling: &Ceiling| self.requests.load(&ceiling.handlers).runs < ceiling.runs;
        let mut ceilings = self.ceilings.over(self.requests[slot].handler);
        ceilings.all(has_room)
    }

    fn start(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        let allowance = self.budget.allowance(self.queue.len(), &self.run_times);
        self.rejections.on_start();
        self.queue.remove(slot);
        self.requests.start(slot, now, allowance);
        out.start(self.requests[slot].id);
        if let Some(key) = self.requests[slot].key {
            for attempt in self.keys.start_run(key) {
                self.join(now, attempt, out);
            }
        }
    }
}
