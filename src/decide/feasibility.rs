//! Feasibility: which queued requests cannot meet their latency objectives, and which requests to reject instead of
//! them.
//!
//! [`infeasible_requests`] schedules the queue tentatively, from estimates, and returns the requests that do not fit;
//! it keeps no state. It follows the algorithm of Moore and Hodgson, but with weights: if a request would be late, the
//! least useful request up to and including it is given up, and the remaining ones are on time.

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
    /// Instant until which its answer meets the latency objective.
    pub(super) objective: Timestamp,
    /// Priority weight.
    pub(super) weight: f64,
    /// Expected run time, in seconds.
    pub(super) run_secs: f64,
}

impl PlannedRequest {
    /// Compares the usefulness of two requests: the one of lower weight is less useful, and of equal weights the longer
    /// run.
    fn compare_usefulness(&self, other: &PlannedRequest) -> Ordering {
        let own = (self.weight, -self.run_secs);
        let others = (other.weight, -other.run_secs);
        own.partial_cmp(&others).unwrap_or(Ordering::Equal)
    }
}

/// The state of the server at the start of the schedule.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerLoad {
    pub(super) now: Timestamp,
    /// Expected remaining run time of the runs in flight, in seconds.
    pub(super) remaining_run_secs: f64,
    /// Limit on concurrent runs.
    pub(super) concurrency_limit: f64,
    /// Whether no run is in flight.
    pub(super) is_idle: bool,
}

/// Returns the requests that are to be rejected now, of a queue in the order of its starts.
///
/// If nothing else can run on an idle server, it keeps the first of them until the objective of that request has
/// passed, because it may be in time after all.
pub(super) fn infeasible_requests(
    load: ServerLoad,
    queue: impl Iterator<Item = PlannedRequest>,
    ceilings: &CeilingTable,
) -> Vec<RequestSlot> {
    let mut schedule = TentativeSchedule::new(load, ceilings);
    queue.for_each(|request| schedule.add(request));
    schedule.into_rejections()
}

/// Requests that are on time if they start in this order, and those that were given up to make this possible.
struct TentativeSchedule<'a> {
    load: ServerLoad,
    ceilings: &'a CeilingTable,
    /// Run time of all the work ahead of the next request, in seconds.
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

    /// Adds the next request. If it would be late, gives up the least useful request up to and including it.
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
            // If the start interval of a group is the cause, only giving up a request of that group helps.
            let group = delay.ceiling.filter(|_| delay.seconds > wait_secs);
            self.give_up_least_useful(group);
        }
        self.work_ahead_secs += request.run_secs;
    }

    /// Gives up the least useful planned request, of the handlers under `group` if that is given.
    fn give_up_least_useful(&mut self, group: Option<CeilingId>) {
        let victim = self.planned.remove(self.least_useful(group));
        self.ceilings
            .remove(&mut self.planned_by_ceiling, victim.handler);
        self.work_ahead_secs -= victim.run_secs;
        self.given_up.push(victim);
    }

    /// Returns the index of the least useful planned request; of equal ones, the last.
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
