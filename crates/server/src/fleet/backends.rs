//! Implements the core's `BackendSelector` with the upstream backends. If the server is in a fleet, results that other
//! servers report by gossip are taken into account.
//!
//! `Backends` shares the `UpstreamManager` and its clock with the gossip driver. It borrows the manager for one call
//! at a time, never across an await.

use super::routing_plan::RoutingPlan;
use crate::core::backend_selector::BackendSelector;
use crate::support::clock::MonotonicClock;
use crate::support::logging;
use crate::support::metrics::Lines;
use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{
    AttemptOutcome, FailedCall, HedgeCandidate, HedgeRefusal, RetryRefusal, UpstreamAttempt,
    UpstreamManager,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration as StdDuration;

/// The backends of this server.
pub struct Backends {
    manager: Rc<RefCell<UpstreamManager>>,
    clock: MonotonicClock,
}

impl Backends {
    /// Creates the backends of a plan. `seed` seeds all random draws.
    pub fn new(seed: u64, clock: MonotonicClock, plan: RoutingPlan) -> Backends {
        let manager = UpstreamManager::new(clock(), seed, plan.settings, plan.backends);
        Backends::over(Rc::new(RefCell::new(manager)), clock)
    }

    /// Creates the backends over an existing manager.
    pub fn over(manager: Rc<RefCell<UpstreamManager>>, clock: MonotonicClock) -> Backends {
        Backends { manager, clock }
    }

    /// Returns the manager, which selects backends and observes their calls.
    pub fn manager(&self) -> &Rc<RefCell<UpstreamManager>> {
        &self.manager
    }

    /// Returns the time of the manager's clock.
    pub fn now(&self) -> Timestamp {
        (self.clock)()
    }

    /// Replaces the settings and backends by those of a reloaded plan.
    pub fn reload(&self, plan: RoutingPlan) {
        self.manager
            .borrow_mut()
            .reload(self.now(), plan.settings, plan.backends);
        self.log_events();
    }

    /// Writes the manager's events to the log.
    pub fn log_events(&self) {
        for event in self.manager.borrow_mut().take_events() {
            logging::plain(format!("INFO upstream: {event}\n"));
        }
    }

    /// Runs the manager's timers until the process ends, for a server without gossip driver.
    pub async fn run(self: Rc<Self>) {
        loop {
            let wait = self.manager.borrow().next_timeout() - self.now();
            tokio::time::sleep(StdDuration::from_micros(wait.as_micros())).await;
            let now = self.now();
            self.manager.borrow_mut().handle_timeout(now);
            self.log_events();
        }
    }
}

impl BackendSelector for Backends {
    fn pick(&self, handler: HandlerId) -> Option<UpstreamAttempt> {
        self.manager.borrow_mut().pick(self.now(), handler)
    }

    fn retry(
        &self,
        former: &UpstreamAttempt,
        call: FailedCall,
    ) -> Result<UpstreamAttempt, RetryRefusal> {
        self.manager.borrow_mut().retry(self.now(), former, call)
    }

    fn retry_after_backoff(
        &self,
        former: &UpstreamAttempt,
    ) -> Result<UpstreamAttempt, RetryRefusal> {
        let mut manager = self.manager.borrow_mut();
        manager.retry_after_backoff(self.now(), former)
    }

    fn hedge_delay(
        &self,
        first: &UpstreamAttempt,
        call: HedgeCandidate,
    ) -> Result<Duration, HedgeRefusal> {
        let mut manager = self.manager.borrow_mut();
        manager.hedge_delay(self.now(), first, call)
    }

    fn hedge(
        &self,
        in_flight: &UpstreamAttempt,
        time_left: Duration,
    ) -> Result<UpstreamAttempt, HedgeRefusal> {
        let mut manager = self.manager.borrow_mut();
        manager.hedge(self.now(), in_flight, time_left)
    }

    fn finish(&self, attempt: &UpstreamAttempt, outcome: AttemptOutcome) {
        self.manager
            .borrow_mut()
            .finish(self.now(), attempt, outcome);
    }

    fn counters(&self) -> String {
        let manager = self.manager.borrow();
        let totals = manager.totals();
        let mut lines = Lines::of("routes");
        for (name, value) in [
            ("firsts", totals.first_attempts),
            ("again", totals.retries),
            ("refused", totals.retries_over_budget),
            ("hedges", totals.hedges),
            ("ejections", totals.ejections),
            ("heard", totals.datagrams_received),
            ("unread", totals.datagrams_rejected),
            ("sent", totals.datagrams_sent),
            ("bytes_out", totals.bytes_sent),
            ("words", manager.gossip_entries() as u64),
            ("untold", totals.events_dropped),
        ] {
            lines.add(name, value);
        }
        lines.text
    }
}
