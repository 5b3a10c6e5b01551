//! The turns of the event loop. A turn is run after all events that were ready have been processed.
//!
//! A turn handles the deadlines that have been reached, in order, then the decision module's tick,
//! and then lets the module settle. A turn never waits: the driver sleeps until
//! [`EventLoop::next_deadline`].

use super::deadlines::Deadline;
use super::event_loop::EventLoop;
use madderbay::time::{Duration, Timestamp};

/// Interval between two removals of expired entries and idle connections, which is much shorter
/// than the lifetime of either.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);

impl EventLoop {
    /// Returns the latest time at which the next turn is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.executor.deadlines.next()
    }

    /// Runs one turn, after all events that were ready have been processed: handles the deadlines
    /// that have been reached and the decision module's tick, and lets the module make its
    /// decisions.
    pub fn run_turn(&mut self, now: Timestamp) {
        self.executor.now = now;
        while let Some(deadline) = self.executor.deadlines.pop_due(now) {
            self.deadline_reached(now, deadline);
        }
        self.tick_if_due(now);
        self.update_limits(now);
        self.decide_within_turn(now, |decider, executor| decider.settle(now, executor));
        if let Some(failed) = self.executor.idempotent_runs.flush() {
            self.storage_event(now, failed);
        }
    }

    /// Handles a deadline that has been reached.
    fn deadline_reached(&mut self, now: Timestamp, deadline: Deadline) {
        match deadline {
            Deadline::CallTimeout(id) => self.call_timed_out(now, id),
            Deadline::Hedge(id) => self.executor.hedge_deadline_reached(now, id),
            Deadline::ConnectionIdle(connection) => self.idle_deadline_reached(now, connection),
            Deadline::FirstRequest(connection) => {
                self.first_request_deadline_reached(now, connection);
            }
            // The disk is slower than the client's timeout. A result that is not durable can't be
            // sent as the answer.
            Deadline::DurableAnswer(id) => self.executor.answer_run(id, None),
            Deadline::RunInDoubt(id) => self.executor.run_doubt_expired(id),
            Deadline::Maintenance => self.maintain(now),
        }
    }

    /// Checks a connection that has reached the limit on idle time, and schedules the next check.
    fn idle_deadline_reached(&mut self, now: Timestamp, connection: u64) {
        let connections = self.executor.downstream.connections_mut();
        let next_check = connections.idle_deadline_reached(now, connection);
        self.schedule_check(next_check, Deadline::ConnectionIdle(connection));
    }

    /// Checks a new connection that should have carried a request by now, and schedules the next
    /// check.
    fn first_request_deadline_reached(&mut self, now: Timestamp, connection: u64) {
        let connections = self.executor.downstream.connections_mut();
        let next_check = connections.first_request_deadline_reached(now, connection);
        self.schedule_check(next_check, Deadline::FirstRequest(connection));
    }

    /// Schedules the next check of a connection, if there is to be one.
    fn schedule_check(&mut self, at: Option<Timestamp>, deadline: Deadline) {
        if let Some(at) = at {
            self.executor.deadlines.insert(at, deadline);
        }
    }

    /// Removes expired entries, and closes idle and stalled connections.
    fn maintain(&mut self, now: Timestamp) {
        let executor = &mut self.executor;
        executor.calls.close_idle(now);
        executor.idempotent_runs.expire(now);
        executor.downstream.connections_mut().cut_stalled(now);
        executor
            .deadlines
            .insert(now + MAINTENANCE_INTERVAL, Deadline::Maintenance);
    }

    /// Runs the decision module's tick if its timer has reached the deadline.
    fn tick_if_due(&mut self, now: Timestamp) {
        let Some(deadline) = self.executor.deadlines.tick_timer().take_due(now) else {
            return;
        };
        self.executor.counters.ticked(now - deadline);
        let gauges = self.gauges();
        self.decide_within_turn(now, |decider, executor| {
            decider.on_tick(now, &gauges, executor);
        });
        self.executor.engine_commands.link_mut().on_tick();
    }
}
