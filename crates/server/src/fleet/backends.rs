//! The backends as the operator file sets them, over the settings' handlers; and the place where the core asks for
//! them, alone or with what the fleet's driver hears.

use crate::core::dispatch::BackendSelector;
use crate::support::clock::MonotonicClock;
use crate::support::metrics::Lines;
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::UpstreamGroup;
use madderbay_operator_config::routes as operator;
use madderbay_settings::Settings as Site;
use madderbay_upstream::{
    AttemptOutcome, BackendSettings, RetryKind, Settings, UpstreamAttempt, UpstreamManager,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration as StdDuration;

/// All that follows from the file.
#[derive(Clone)]
pub struct RoutingPlan {
    pub settings: Settings,
    pub backends: Vec<BackendSettings>,
}

/// Names become numbers; each that is no handler is told in a line.
pub fn of(set: &operator::Routes, site: &Site) -> Result<RoutingPlan, Vec<String>> {
    let mut wrong = vec![];
    let mut backends = vec![];
    for b in &set.backends {
        let mut handlers = b
            .handlers
            .among(&site.handler_names, "handler")
            .unwrap_or_else(|what| {
                wrong.push(what);
                vec![]
            });
        handlers.sort_unstable();
        backends.push(BackendSettings {
            name: b.name.as_str().into(),
            address: b.address,
            zone: b.zone.as_str().into(),
            weight: b.weight,
            handlers,
        });
    }
    let settings = Settings {
        zone: set.zone.as_str().into(),
        max_ejected_fraction: set.out_most,
        min_local_fraction: set.near_least,
        retry_ratio: set.repeats,
        hedging: set.hedges,
        gossip: set.shares,
    };
    if wrong.is_empty() {
        Ok(RoutingPlan { settings, backends })
    } else {
        Err(wrong)
    }
}

impl RoutingPlan {
    /// Groups of handlers with the same backends, each with its fraction of all backends' weight.
    pub fn groups(&self) -> Vec<UpstreamGroup> {
        let mut groups: Vec<UpstreamGroup> = vec![];
        for backend in &self.backends {
            match groups.iter_mut().find(|g| g.handlers == backend.handlers) {
                Some(group) => group.quota_fraction += backend.weight,
                None => groups.push(UpstreamGroup {
                    handlers: backend.handlers.clone(),
                    quota_fraction: backend.weight,
                }),
            }
        }
        let total_weight: f64 = groups.iter().map(|g| g.quota_fraction).sum();
        for group in &mut groups {
            group.quota_fraction /= total_weight.max(1e-9);
        }
        groups
    }
}

/// The machine, on a clock that the fleet's driver shares.
pub struct Backends {
    pub routes: Rc<RefCell<UpstreamManager>>,
    ticks: MonotonicClock,
}

impl Backends {
    pub fn new(seed: u64, ticks: MonotonicClock, set: RoutingPlan) -> Backends {
        let routes = UpstreamManager::new(ticks(), seed, set.settings, set.backends);
        Backends::on(Rc::new(RefCell::new(routes)), ticks)
    }

    /// The same over a machine that there is.
    pub fn on(routes: Rc<RefCell<UpstreamManager>>, ticks: MonotonicClock) -> Backends {
        Backends { routes, ticks }
    }

    pub fn now(&self) -> Timestamp {
        (self.ticks)()
    }

    /// The operator has set backends anew.
    pub fn reload(&self, set: RoutingPlan) {
        self.routes
            .borrow_mut()
            .reload(self.now(), set.settings, set.backends);
        self.tell();
    }

    /// Changes go to the log.
    pub fn tell(&self) {
        for change in self.routes.borrow_mut().take_events() {
            crate::support::logging::plain(format!("INFO upstream: {change}\n"));
        }
    }

    /// Judges and tells until the process ends, where no fleet's driver does.
    pub async fn run(self: Rc<Self>) {
        loop {
            let due = self.routes.borrow().next_timeout() - self.now();
            tokio::time::sleep(StdDuration::from_micros(due.as_micros())).await;
            let now = self.now();
            self.routes.borrow_mut().handle_timeout(now);
            self.tell();
        }
    }
}

impl BackendSelector for Backends {
    fn pick(&self, handler: usize) -> Option<UpstreamAttempt> {
        self.routes.borrow_mut().pick(self.now(), handler)
    }

    fn again(&self, before: &UpstreamAttempt, how: RetryKind) -> Option<UpstreamAttempt> {
        self.routes.borrow_mut().retry(self.now(), before, how)
    }

    fn over(&self, ticket: &UpstreamAttempt, end: AttemptOutcome) {
        self.routes.borrow_mut().finish(self.now(), ticket, end);
    }

    fn hedge_after(&self, ticket: &UpstreamAttempt) -> Option<Duration> {
        self.routes.borrow_mut().hedge_delay(self.now(), ticket)
    }

    fn least(&self, ticket: &UpstreamAttempt) -> Duration {
        self.routes.borrow().typical_latency(ticket)
    }

    fn counters(&self) -> String {
        let routes = self.routes.borrow();
        let t = routes.totals();
        let mut lines = Lines::of("routes");
        let figures = [
            ("firsts", t.first_attempts),
            ("again", t.retries),
            ("refused", t.retries_over_budget),
            ("hedges", t.hedges),
            ("ejections", t.ejections),
            ("heard", t.datagrams_received),
            ("unread", t.datagrams_rejected),
            ("sent", t.datagrams_sent),
            ("bytes_out", t.bytes_sent),
            ("words", routes.gossip_entries() as u64),
            ("untold", t.events_dropped),
        ];
        figures
            .iter()
            .for_each(|(name, value)| lines.add(name, *value));
        lines.text
    }
}
