//! The deadlines of the core in one ordered set, and the decision module's timer.
//!
//! The current time is passed to each method; no clock is read here. The event loop acts on the
//! deadlines that have been reached.

use crate::downstream::connections::IdleDeadline;
use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeSet;

/// What is due. Deadlines at the same instant are reached in the order of the variants, then of the
/// ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// The upstream call of this request times out.
    CallTimeout(u64),
    /// The upstream call of this request may be hedged.
    Hedge(u64),
    /// This connection reaches the limit on idle time.
    ConnectionIdle(u64),
    /// This connection must have carried its first request.
    FirstRequest(u64),
    /// This request is answered although its result is not durable yet.
    DurableAnswer(u64),
    /// It is to be found out whether the run of this request has begun.
    RunInDoubt(u64),
    /// Expired entries and idle connections are removed.
    Maintenance,
}

/// A deadline and its instant, ordered by the instant first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledDeadline {
    at: Timestamp,
    deadline: Deadline,
}

/// All deadlines that are set, and the decision module's timer.
#[derive(Debug)]
pub(super) struct Deadlines {
    scheduled: BTreeSet<ScheduledDeadline>,
    tick: TickTimer,
}

impl Deadlines {
    /// Creates the deadlines. The timer is not set, and maintenance is due at once.
    pub(super) fn new(now: Timestamp) -> Deadlines {
        let mut deadlines = Deadlines {
            scheduled: BTreeSet::new(),
            tick: TickTimer::new(now),
        };
        deadlines.insert(now, Deadline::Maintenance);
        deadlines
    }

    /// Sets a deadline.
    pub(super) fn insert(&mut self, at: Timestamp, deadline: Deadline) {
        self.scheduled.insert(ScheduledDeadline { at, deadline });
    }

    /// Removes the deadline that was set for this instant, if there is one.
    pub(super) fn remove(&mut self, at: Timestamp, deadline: Deadline) {
        self.scheduled.remove(&ScheduledDeadline { at, deadline });
    }

    /// Removes and returns the first deadline that has been reached.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<Deadline> {
        let first = *self.scheduled.first().filter(|first| first.at <= now)?;
        self.scheduled.remove(&first);
        Some(first.deadline)
    }

    /// Returns the instant of the first deadline or of the tick, whichever is earlier.
    pub(super) fn next(&self) -> Option<Timestamp> {
        let first = self.scheduled.first().map(|first| first.at);
        [self.tick.deadline, first].into_iter().flatten().min()
    }

    /// Replaces the deadlines of idle connections.
    pub(super) fn replace_idle(&mut self, idle_deadlines: impl Iterator<Item = IdleDeadline>) {
        self.scheduled
            .retain(|scheduled| !matches!(scheduled.deadline, Deadline::ConnectionIdle(_)));
        for idle in idle_deadlines {
            self.insert(idle.at, Deadline::ConnectionIdle(idle.connection));
        }
    }

    /// Returns the decision module's timer.
    pub(super) fn tick_timer(&mut self) -> &mut TickTimer {
        &mut self.tick
    }

    /// Reports whether the tick is overdue by more than `tolerance`.
    pub(super) fn is_tick_overdue(&self, now: Timestamp, tolerance: Duration) -> bool {
        self.tick.is_overdue(now, tolerance)
    }
}

/// The one timer of the decision module.
#[derive(Debug)]
pub(super) struct TickTimer {
    deadline: Option<Timestamp>,
    /// The deadline that was reached last. The next deadline is counted from it, so that late ticks
    /// do not reduce the number of ticks.
    last_deadline: Timestamp,
}

impl TickTimer {
    /// Creates a timer that is not set.
    fn new(now: Timestamp) -> TickTimer {
        TickTimer {
            deadline: None,
            last_deadline: now,
        }
    }

    /// Counts the next deadline from `now`.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.last_deadline = now;
    }

    /// Sets the timer to `after` its last deadline, but at least half of `after` from now.
    pub(super) fn set(&mut self, now: Timestamp, after: Duration) {
        self.deadline = Some((self.last_deadline + after).max(now + after.mul_f64(0.5)));
    }

    /// Returns the deadline if it has been reached; the timer is then no longer set.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Option<Timestamp> {
        let due = self.deadline.take_if(|deadline| *deadline <= now)?;
        self.last_deadline = due;
        Some(due)
    }

    /// Reports whether the deadline passed more than `tolerance` ago.
    fn is_overdue(&self, now: Timestamp, tolerance: Duration) -> bool {
        self.deadline
            .is_some_and(|deadline| now - deadline > tolerance)
    }
}

#[cfg(test)]
mod tests;
