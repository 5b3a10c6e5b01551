//! The queue of requests by latest start time, and what is given up as it cannot be in time. Owns the order.

use super::*;

/// A queued request; the earlier latest start goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    latest_start: Timestamp,
    request: RequestSlot,
}

/// Two sorted lines, for short and for long work.
#[derive(Default)]
pub(super) struct RequestQueue([Vec<Entry>; 2]);

impl RequestQueue {
    pub(super) fn len(&self) -> usize {
        self.0[0].len() + self.0[1].len()
    }

    pub(super) fn remove(&mut self, request: RequestSlot) {
        self.0
            .iter_mut()
            .for_each(|line| line.retain(|e| e.request != request));
    }

    pub(super) fn first(&self, may_start: impl Fn(RequestSlot) -> bool) -> Option<RequestSlot> {
        let firsts = self
            .0
            .iter()
            .filter_map(|line| line.iter().find(|e| may_start(e.request)));
        firsts.min().map(|e| e.request)
    }

    /// All queued requests: short work first, each line in its order.
    pub(super) fn iter(&self) -> impl Iterator<Item = RequestSlot> {
        self.0.iter().flatten().map(|e| e.request)
    }

    /// All queued requests by latest start.
    pub(super) fn in_order(&self) -> Vec<RequestSlot> {
        let mut all: Vec<&Entry> = self.0.iter().flatten().collect();
        all.sort();
        all.into_iter().map(|e| e.request).collect()
    }
}

/// A queued request in the tentative schedule, with its expected run time in seconds.
struct Planned {
    request: RequestSlot,
    handler: HandlerId,
    run: f64,
}

impl Decider {
    /// Queues a request by its latest start, long work apart from short.
    pub(super) fn enqueue(
        &mut self,
        _: Timestamp,
        r: RequestSlot,
        _: &mut dyn Actions,
    ) -> ControlFlow<()> {
        let run = self.expected_run(r);
        let entry = Entry {
            latest_start: self.requests[r].objective.saturating_sub(run),
            request: r,
        };
        let line = &mut self.queue.0[usize::from(run.as_secs_f64() > self.budget.mean_run)];
        line.insert(line.partition_point(|e| *e < entry), entry);
        Break(())
    }
    /// Schedules the queue in order. Where a request cannot meet its objective, that of least weight up to it
    /// is rejected (after Moore and Hodgson); but the first stays if nothing runs and it is not late yet.
    pub(super) fn reject_infeasible(&mut self, now: Timestamp, out: &mut dyn Actions) {
        let mut work_ahead = self.remaining_run_time();
        let (mut planned, mut infeasible) = (vec![], vec![]);
        let mut queued = self.ceilings.count(std::iter::empty());
        for request in self.queue.in_order() {
            let Request {
                handler, objective, ..
            } = self.requests[request];
            let run = self.expected_run(request).as_secs_f64();
            planned.push(Planned {
                request,
                handler,
                run,
            });
            self.ceilings.add(&mut queued, handler);
            let delay = self.ceilings.start_delay(handler, &queued);
            let wait = work_ahead / self.concurrency.limit;
            if now + Duration::from_secs_f64(wait.max(delay.seconds) + run) > objective {
                // Where a group's start interval is the cause, only giving up one of that group is of use.
                let group = delay.ceiling.filter(|_| delay.seconds > wait);
                let victim = planned.remove(self.least_useful(&planned, group));
                self.ceilings.take_off(&mut queued, victim.handler);
                infeasible.push(victim.request);
                work_ahead -= victim.run;
            }
            work_ahead += run;
        }
        let idle = self.requests.running() == 0 && planned.is_empty();
        let spares = |r: &RequestSlot| idle && now < self.requests[*r].objective;
        let spared = usize::from(infeasible.first().is_some_and(spares));
        infeasible
            .into_iter()
            .skip(spared)
            .for_each(|r| self.reject(now, r, out));
    }

    /// Index of the planned request of least weight, then of longest run, within the group if one is given.
    fn least_useful(&self, planned: &[Planned], group: Option<usize>) -> usize {
        let in_group =
            |i: &usize| group.is_none_or(|g| self.ceilings.covers(g, planned[*i].handler));
        let usefulness = |i: &usize| (self.requests[planned[*i].request].weight, -planned[*i].run);
        let order = |a: &usize, b: &usize| {
            usefulness(a)
                .partial_cmp(&usefulness(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        };
        (0..planned.len())
            .rev()
            .filter(in_group)
            .min_by(order)
            .unwrap_or(0)
    }
}
