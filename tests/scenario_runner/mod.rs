//! Runs a scenario file. A file first sets the server up (`machine`, `handler`, `tenant`, `below`, `callers`, `place`,
//! `rules`); then its lines are events and checks:
//!
//! ```text
//! 100ms req 1 search wait=2s     an event; those of one time make one batch, the timer fires in between
//! 1s x20/50ms req 10 search ; +90ms done 10 90ms    twenty of them, 50 ms apart, each done 90 ms later
//! 0ms ceiling book,search runs=2 calls=1 turn=50ms    a ceiling on a group of handlers, from then on
//! > start 1                      an action since the last event line that starts so
//! ! shed                         no such action
//! = shed 3..5                    the number of such actions in the file so far; `*now` any that contain it
//! ~ budget < 1.5                 the budget in seconds, the fraction admitted, the concurrency limit or the
//!                                `callers` seen of late
//! ```

mod actions;
mod setup;
mod timeline;

use actions::ActionLog;
use madderbay::decide::Decider;
use madderbay::interface::{
    Actions, Arrival, Ceiling, Downstream, FleetPosition, Gauges, Handler, HandlerId, Machine,
    Outcome, Rules, Tenant, TenantId, Upstream,
};
use madderbay::time::{Duration, Timestamp};
use setup::{Words, duration};
use timeline::START;

const TICK: Duration = Duration::from_millis(10);

/// A scenario while it runs.
pub(crate) struct Scenario {
    name: String,
    machine: Machine,
    handlers: Vec<(String, Handler)>,
    tenants: Vec<Tenant>,
    upstream: Upstream,
    downstream: Downstream,
    position: FleetPosition,
    rules: Rules,
    decider: Option<Decider>,
    now: Timestamp,
    last_tick: Timestamp,
    run_queue: Option<f64>,
    ceilings: Vec<Ceiling>,
    log: ActionLog,
    /// Index of the first action after the last event line.
    since: usize,
    failures: Vec<String>,
}

impl Scenario {
    /// Runs a file's text; returns its failed checks.
    pub(crate) fn run(name: &str, text: &str) -> Vec<String> {
        let mut scenario = Scenario::new(name.to_string());
        for (n, line) in text.lines().enumerate() {
            scenario.run_line(n + 1, line.split('#').next().unwrap_or("").trim());
        }
        scenario.failures
    }

    fn new(name: String) -> Scenario {
        let none = Words(vec![]);
        Scenario {
            name,
            machine: setup::machine(&none),
            handlers: vec![],
            tenants: vec![],
            upstream: setup::upstream(&none),
            downstream: setup::downstream(&none),
            position: setup::position(&none),
            rules: Rules::default(),
            decider: None,
            now: START,
            last_tick: START,
            run_queue: None,
            ceilings: vec![],
            log: ActionLog::default(),
            since: 0,
            failures: vec![],
        }
    }

    fn run_line(&mut self, number: usize, line: &str) {
        let mut words = line.split_whitespace();
        let Some(first) = words.next() else { return };
        if first.starts_with(|c: char| c.is_ascii_digit()) {
            self.since = self.log.len();
            for event in timeline::events(line) {
                self.run_to(event.at);
                self.event(event.what, event.id, &Words(event.words));
            }
        } else if matches!(first, ">" | "!" | "=" | "~") {
            self.with(|d, now, out| d.settle(now, out));
            if !self.check(line) {
                let (name, actions) = (&self.name, self.log.tail(self.since));
                self.failures
                    .push(format!("{name}:{number}: {line}  actions {actions:?}"));
            }
        } else {
            self.set_up(first, &Words(words.collect()));
        }
    }

    fn set_up(&mut self, what: &str, w: &Words) {
        match what {
            "machine" => self.machine = setup::machine(w),
            "handler" => self.handlers.push((w.0[0].to_string(), setup::handler(w))),
            "tenant" => self.tenants.push(setup::tenant(w)),
            "below" => self.upstream = setup::upstream(w),
            "callers" => self.downstream = setup::downstream(w),
            "place" => self.position = setup::position(w),
            "rules" => self.rules = setup::rules(w),
            _ => panic!("{}: '{what}' sets nothing up", self.name),
        }
    }

    /// Acts on the decider, which is made at the first event.
    fn with<R>(&mut self, act: impl FnOnce(&mut Decider, Timestamp, &mut dyn Actions) -> R) -> R {
        if self.decider.is_none() {
            let handlers: Vec<Handler> = self.handlers.iter().map(|h| h.1.clone()).collect();
            let builder = Decider::builder(
                self.now,
                7,
                &self.machine,
                &handlers,
                &self.position,
                &self.rules,
            );
            let mut decider = builder
                .tenants(&self.tenants, &self.position)
                .upstream(&self.upstream)
                .downstream(&self.downstream)
                .build();
            decider.on_start(&mut self.log);
            self.decider = Some(decider);
        }
        let decider = self.decider.as_mut().expect("just made");
        act(decider, self.now, &mut self.log)
    }

    /// Lets the clock run to `until`: the present batch settles, then the timer fires at each tick.
    fn run_to(&mut self, until: Timestamp) {
        if until > self.now {
            self.with(|d, now, out| d.settle(now, out));
        }
        while self.last_tick + TICK < until {
            self.last_tick = self.last_tick + TICK;
            self.now = self.now.max(self.last_tick);
            let gauges = Gauges {
                run_queue: self.run_queue,
            };
            self.with(|d, now, out| d.on_tick(now, &gauges, out));
            self.with(|d, now, out| d.settle(now, out));
        }
        self.now = self.now.max(until);
    }

    fn event(&mut self, what: &str, id: u64, w: &Words) {
        match what {
            "req" => {
                let arrival = self.arrival(id, w);
                self.with(|d, now, out| d.on_arrival(now, &arrival, out));
            }
            "done" => self.end_run(id, Outcome::Completed, duration(w.0[1])),
            "erred" => self.end_run(id, Outcome::Failed, duration(w.0[1])),
            "stopped" => self.end_run(id, Outcome::Cancelled, Duration::ZERO),
            "atcall" => self.with(|d, now, out| d.on_call_needed(now, id, out)),
            "called" => {
                let outcome = setup::call_outcome(w.0[1]);
                self.with(|d, now, out| {
                    d.on_call_finished(now, id, outcome, duration(w.0[2]), out);
                });
            }
            "gone" => self.with(|d, now, out| d.on_client_gone(now, id, out)),
            "leave" => self.with(|d, now, _| d.drain(now, duration(w.0[0]))),
            "ceiling" => self.set_ceiling(w),
            "queue" => self.run_queue = w.0[0].parse().ok(),
            // The process pauses: the timer fires late.
            "freeze" => self.last_tick = self.now + duration(w.0[0]),
            "wait" => {}
            _ => panic!("{}: event '{what}' is unknown", self.name),
        }
    }

    fn end_run(&mut self, id: u64, outcome: Outcome, spent: Duration) {
        self.with(|d, now, _| d.on_run_ended(now, id, outcome, spent));
    }

    fn set_ceiling(&mut self, w: &Words) {
        let max = |key| w.number(key, f64::MAX) as usize;
        let ceiling = Ceiling {
            handlers: w.0[0].split(',').map(|h| self.handler(h)).collect(),
            runs: max("runs"),
            calls: max("calls"),
            start_interval: w.duration("turn", "0s"),
        };
        self.ceilings.retain(|c| c.handlers != ceiling.handlers);
        self.ceilings.push(ceiling);
        let ceilings = self.ceilings.clone();
        self.with(|d, _, _| d.set_ceilings(&ceilings));
    }

    /// The handler of that name.
    fn handler(&self, name: &str) -> HandlerId {
        let position = self.handlers.iter().position(|h| h.0 == name);
        HandlerId::new(position.expect("a handler set up"))
    }

    fn arrival(&self, id: u64, w: &Words) -> Arrival {
        Arrival {
            id,
            client: w.number("from", id as f64) as u16,
            handler: self.handler(w.0[1]),
            tenant: TenantId::new(w.number("tenant", 0.0) as usize),
            timeout: w.duration("wait", "4s"),
            work_hint: w.get("hint").map(duration),
            memory_kb: w.number("kb", 1.0),
            is_retry: w.has("retry"),
            read_delay: w.duration("unread", "0s"),
            retry_of: w.number("repeats", 0.0) as u64,
            ..Arrival::default()
        }
    }

    fn check(&self, line: &str) -> bool {
        let (kind, rest) = line.split_once(' ').expect("a check says what");
        let since = |what: &str| self.log.count(self.since, what);
        match kind {
            ">" => since(&format!("{rest} ")) + since(rest) > 0,
            "!" => since(rest) == 0,
            "=" => {
                let (what, range) = rest.rsplit_once(' ').expect("a range");
                let (low, high) = range.split_once("..").unwrap_or((range, range));
                let range = low.parse().unwrap()..=high.parse().unwrap();
                range.contains(&self.log.count(0, what))
            }
            _ => self.check_status(rest),
        }
    }

    fn check_status(&self, comparison: &str) -> bool {
        let words: Vec<&str> = comparison.split_whitespace().collect();
        let status = self.decider.as_ref().expect("begun").status();
        let found = match words[0] {
            "budget" => status.budget_seconds,
            "admitted" => status.admitted_fraction,
            "limit" => status.concurrency_limit,
            "callers" => status.clients as f64,
            other => panic!("{}: '{other}' is no part of the status", self.name),
        };
        let bound: f64 = words[2].parse().expect("a number");
        if words[1] == "<" {
            found < bound
        } else {
            found > bound
        }
    }
}
