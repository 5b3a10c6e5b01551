//! Which queued requests cannot meet their objectives, and which of those around them to give up instead.
//!
//! Owns nothing: [`infeasible_requests`] schedules the queue tentatively, from estimates, and returns what does not
//! fit. After Moore and Hodgson, but by weight: where a request would be late, the least useful one up to it is given
//! up, and those that remain are on time.

use crate::ceilings::{CeilingId, CeilingTable, QueuedCounts};
use crate::interface::HandlerId;
use crate::slots::RequestSlot;
use crate::time::{Duration, Timestamp};
use std::cmp::Ordering;

/// A queued request in the tentative schedule.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedRequest {
    pub(super) slot: RequestSlot,
    pub(super) handler: HandlerId,
    /// When its answer has to leave to be in time.
    pub(super) objective: Timestamp,
    /// Priority weight.
    pub(super) weight: f64,
    /// Expected run time, in seconds.
    pub(super) run_secs: f64,
}

impl PlannedRequest {
    /// The lower weight is less useful, then the longer run.
    fn compare_usefulness(&self, other: &PlannedRequest) -> Ordering {
        let own = (self.weight, -self.run_secs);
        let others = (other.weight, -other.run_secs);
        own.partial_cmp(&others).unwrap_or(Ordering::Equal)
    }
}

/// The state of the server from which the schedule begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerLoad {
    pub(super) now: Timestamp,
    /// Run time still expected of the runs in flight, in seconds.
    pub(super) remaining_run_secs: f64,
    /// Limit on concurrent runs.
    pub(super) concurrency_limit: f64,
    /// Whether no run is in flight.
    pub(super) is_idle: bool,
}

/// The requests to be rejected now, of a queue in the order of its starts.
///
/// An idle server keeps the first of them while that is not late: it may be in time after all.
pub(super) fn infeasible_requests(
    load: ServerLoad,
    queue: impl Iterator<Item = PlannedRequest>,
    ceilings: &CeilingTable,
) -> Vec<RequestSlot> {
    let mut schedule = TentativeSchedule::new(load, ceilings);
    queue.for_each(|request| schedule.add(request));
    schedule.into_rejections()
}

/// Requests that are on time if they start in this order, and those that were given up for them.
struct TentativeSchedule<'a> {
    load: ServerLoad,
    ceilings: &'a CeilingTable,
    /// Run time of all that is ahead of the next request, in seconds.
    work_ahead_secs: f64,
    planned: Vec<PlannedRequest>,
    planned_by_ceiling: QueuedCounts,
    given_up: Vec<PlannedRequest>,
}

impl<'a> TentativeSchedule<'a> {
    fn new(load: ServerLoad, ceilings: &'a CeilingTable) -> TentativeSchedule<'a> {
        TentativeSchedule {
            load,
            ceilings,
            work_ahead_secs: load.remaining_run_secs,
            planned: vec![],
            planned_by_ceiling: ceilings.count(std::iter::empty()),
            given_up: vec![],
        }
    }

    /// Adds the next request. If it would be late, gives up the least useful one up to it.
    fn add(&mut self, request: PlannedRequest) {
        self.planned.push(request);
        self.ceilings
            .add(&mut self.planned_by_ceiling, request.handler);
        let delay = self
            .ceilings
            .start_delay(request.handler, &self.planned_by_ceiling);
        let wait_secs = self.work_ahead_secs / self.load.concurrency_limit;
        let expected_end_in =
            Duration::from_secs_f64(wait_secs.max(delay.seconds) + request.run_secs);
        if self.load.now + expected_end_in > request.objective {
            // Where a group's start interval is the cause, only giving up one of that group is of use.
            let group = delay.ceiling.filter(|_| delay.seconds > wait_secs);
            self.give_up_least_useful(group);
        }
        self.work_ahead_secs += request.run_secs;
    }

    /// Gives up the least useful planned request, of the group under one ceiling if that is given.
    fn give_up_least_useful(&mut self, group: Option<CeilingId>) {
        let victim = self.planned.remove(self.least_useful(group));
        self.ceilings
            .remove(&mut self.planned_by_ceiling, victim.handler);
        self.work_ahead_secs -= victim.run_secs;
        self.given_up.push(victim);
    }

    /// Index of the least useful planned request; of equal ones the last.
    fn least_useful(&self, group: Option<CeilingId>) -> usize {
        let is_in_group = |index: &usize| {
            let handler = self.planned[*index].handler;
            group.is_none_or(|ceiling| self.ceilings.covers(ceiling, handler))
        };
        let candidates = (0..self.planned.len()).rev().filter(is_in_group);
        let least =
            candidates.min_by(|a, b| self.planned[*a].compare_usefulness(&self.planned[*b]));
        least.unwrap_or(0)
    }

    fn into_rejections(self) -> Vec<RequestSlot> {
        let nothing_else_runs = self.load.is_idle && self.planned.is_empty();
        let keeps_first =
            |first: &PlannedRequest| nothing_else_runs && self.load.now < first.objective;
        let kept = usize::from(self.given_up.first().is_some_and(keeps_first));
        let rejected = self.given_up.iter().skip(kept);
        rejected.map(|request| request.slot).collect()
    }
}

#[cfg(test)]
mod tests;
