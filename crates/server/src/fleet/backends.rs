//! The backends as the operator file sets them, over the settings' handlers; and the place where the core asks for
//! them, alone or with what the fleet's driver hears.

use crate::core::lead::Leads;
use crate::tools::clock::Ticks;
use crate::tools::counters::Lines;
use madderbay::time::{Duration, Timestamp};
use madderbay_operator_config::routes as operator;
use madderbay_settings::Settings as Site;
use madderbay_upstream::{Again, BackendSettings, End, Routes, Settings, Ticket};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration as StdDuration;

/// All that follows from the file.
#[derive(Clone)]
pub struct Routing {
    pub settings: Settings,
    pub backends: Vec<BackendSettings>,
}

/// Names become numbers; each that is no handler is told in a line.
pub fn of(set: &operator::Routes, site: &Site) -> Result<Routing, Vec<String>> {
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
        out_most: set.out_most,
        near_least: set.near_least,
        repeats: set.repeats,
        hedges: set.hedges,
        shares: set.shares,
    };
    if wrong.is_empty() {
        Ok(Routing { settings, backends })
    } else {
        Err(wrong)
    }
}

impl Routing {
    /// Handlers by group, each with its part of all backends' weight.
    pub fn groups(&self) -> Vec<(Vec<usize>, f64)> {
        let mut found: Vec<(Vec<usize>, f64)> = vec![];
        for b in &self.backends {
            match found.iter_mut().find(|g| g.0 == b.handlers) {
                Some(group) => group.1 += b.weight,
                None => found.push((b.handlers.clone(), b.weight)),
            }
        }
        let all: f64 = found.iter().map(|g| g.1).sum();
        found.iter_mut().for_each(|g| g.1 /= all.max(1e-9));
        found
    }
}

/// The machine, on a clock that the fleet's driver shares.
pub struct Backends {
    pub routes: Rc<RefCell<Routes>>,
    ticks: Ticks,
}

impl Backends {
    pub fn new(seed: u64, ticks: Ticks, set: Routing) -> Backends {
        let routes = Routes::new(ticks(), seed, set.settings, set.backends);
        Backends::on(Rc::new(RefCell::new(routes)), ticks)
    }

    /// The same over a machine that there is.
    pub fn on(routes: Rc<RefCell<Routes>>, ticks: Ticks) -> Backends {
        Backends { routes, ticks }
    }

    pub fn now(&self) -> Timestamp {
        (self.ticks)()
    }

    /// The operator has set backends anew.
    pub fn reload(&self, set: Routing) {
        self.routes
            .borrow_mut()
            .reload(self.now(), set.settings, set.backends);
        self.tell();
    }

    /// Changes go to the log.
    pub fn tell(&self) {
        for change in self.routes.borrow_mut().changes() {
            crate::tools::logger::plain(format!("INFO routes: {change}\n"));
        }
    }

    /// Judges and tells until the process ends, where no fleet's driver does.
    pub async fn run(self: Rc<Self>) {
        loop {
            let due = self.routes.borrow().due() - self.now();
            tokio::time::sleep(StdDuration::from_micros(due.as_micros())).await;
            let now = self.now();
            self.routes.borrow_mut().turn(now);
            self.tell();
        }
    }
}

impl Leads for Backends {
    fn pick(&self, handler: usize) -> Option<Ticket> {
        self.routes.borrow_mut().pick(self.now(), handler)
    }

    fn again(&self, before: &Ticket, how: Again) -> Option<Ticket> {
        self.routes.borrow_mut().again(self.now(), before, how)
    }

    fn over(&self, ticket: &Ticket, end: End) {
        self.routes.borrow_mut().over(self.now(), ticket, end);
    }

    fn hedge_after(&self, ticket: &Ticket) -> Option<Duration> {
        self.routes.borrow_mut().hedge_after(self.now(), ticket)
    }

    fn least(&self, ticket: &Ticket) -> Duration {
        self.routes.borrow().least(ticket)
    }

    fn counters(&self) -> String {
        let routes = self.routes.borrow();
        let t = &routes.totals;
        let mut lines = Lines::of("routes");
        let figures = [
            ("firsts", t.firsts),
            ("again", t.again),
            ("refused", t.refused),
            ("hedges", t.hedges),
            ("ejections", t.ejections),
            ("heard", t.heard),
            ("unread", t.unread),
            ("sent", t.sent),
            ("bytes_out", t.bytes_out),
            ("words", routes.words() as u64),
            ("untold", t.untold),
        ];
        figures
            .iter()
            .for_each(|(name, value)| lines.add(name, *value));
        lines.text
    }
}
