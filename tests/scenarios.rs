//! Plays every file in `tests/scenarios`. A file first sets the server up (`machine`, `handler`, `tenant`,
//! `below`, `callers`, `place`, `rules`), then tells events and what must follow:
//!
//! ```text
//! 100ms req 1 search wait=2s     an event; those of one time make one batch, the timer runs in between
//! 1s x20/50ms req 10 search ; +90ms done 10 90ms    twenty of them, 50 ms apart, each done 90 ms later
//! 0ms ceiling book,search runs=2 calls=1 turn=50ms    what a group of handlers may have from then on
//! > start 1                      a result since the last event line that starts so
//! ! shed                         none such
//! = shed 3..5                    how many such results the whole file has seen so far; `*now` any that hold it
//! ~ budget < 1.5                 the budget in seconds, the share admitted, the worker limit or the
//!                                `callers` remembered
//! ```

use madderbay::decide::Decider;
use madderbay::interface::*;
use madderbay::time::{Duration, Timestamp};

#[derive(Default)]
struct Heard(Vec<String>);

impl Actions for Heard {
    fn start(&mut self, id: u64) {
        self.0.push(format!("start {id} "));
    }
    fn cancel(&mut self, id: u64) {
        self.0.push(format!("stop {id} "));
    }
    fn reject(&mut self, id: u64, come_back: Duration, last: bool) {
        let word = if last { "last" } else { "elsewhere" };
        self.0.push(format!(
            "shed {id} {word} {}",
            if come_back > Duration::ZERO {
                "away"
            } else {
                "now"
            }
        ));
    }
    fn fail(&mut self, id: u64) {
        self.0.push(format!("errored {id} "));
    }
    fn call(&mut self, id: u64, patience: Duration) {
        self.0
            .push(format!("call {id} {}ms", patience.as_micros() / 1000));
    }
    fn skip_call(&mut self, id: u64) {
        self.0.push(format!("skip {id} "));
    }
    fn store_key(&mut self, id: u64, term: Duration) {
        self.0
            .push(format!("keep {id} {}ms", term.as_micros() / 1000));
    }
    fn remove_key(&mut self, id: u64) {
        self.0.push(format!("drop {id} "));
    }
    fn join_attempt(&mut self, id: u64) {
        self.0.push(format!("join {id} "));
    }
    fn set_health(&mut self, good: bool) {
        self.0.push(format!("health {good}"));
    }
    fn set_load_report(&mut self, value: f64) {
        self.0.push(format!("report {value:.2}"));
    }
    fn set_idle_limit(&mut self, limit: Duration) {
        self.0.push(format!("idle {}ms", limit.as_micros() / 1000));
    }
    fn set_timer(&mut self, _after: Duration) {}
}

fn span(text: &str) -> Duration {
    let (number, unit) = text.split_at(
        text.find(|c: char| c.is_alphabetic())
            .expect("a unit of time"),
    );
    Duration::from_secs_f64(
        number.parse::<f64>().expect("a number") * if unit == "ms" { 1e-3 } else { 1.0 },
    )
}

/// The words of a line after its first: `key=value` pairs and bare flags.
struct Words<'a>(Vec<&'a str>);

impl<'a> Words<'a> {
    fn get(&self, key: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find_map(|w| w.strip_prefix(key)?.strip_prefix('='))
    }
    fn num(&self, key: &str, otherwise: f64) -> f64 {
        self.get(key)
            .map_or(otherwise, |v| v.parse().expect("a number"))
    }
    fn span(&self, key: &str, otherwise: &str) -> Duration {
        span(self.get(key).unwrap_or(otherwise))
    }
    fn has(&self, flag: &str) -> bool {
        self.0.contains(&flag)
    }
}

struct Play {
    name: String,
    machine: Machine,
    handlers: Vec<(String, Handler)>,
    tenants: Vec<Tenant>,
    below: Upstream,
    callers: Downstream,
    place: FleetPosition,
    rules: Rules,
    decider: Option<Decider>,
    now: Timestamp,
    ticked: Timestamp,
    queue: Option<f64>,
    ceilings: Vec<Ceiling>,
    heard: Heard,
    since: usize,
    failures: Vec<String>,
}

const START: Timestamp = Timestamp::from_micros(1_000_000_000);

impl Play {
    fn new(name: String) -> Play {
        let none = Words(vec![]);
        Play {
            name,
            machine: machine(&none),
            handlers: vec![],
            tenants: vec![],
            below: below(&none),
            callers: callers(&none),
            place: place(&none),
            rules: Rules {
                drain_grace: Duration::ZERO,
                requests_carry_timeout: true,
            },
            decider: None,
            now: START,
            ticked: START,
            queue: None,
            ceilings: vec![],
            heard: Heard::default(),
            since: 0,
            failures: vec![],
        }
    }

    fn set_up(&mut self, what: &str, w: &Words) {
        match what {
            "machine" => self.machine = machine(w),
            "handler" => self.handlers.push((w.0[0].to_string(), handler(w))),
            "tenant" => self.tenants.push(Tenant {
                requests_per_second: w.num("per_second", 1.0),
            }),
            "below" => self.below = below(w),
            "callers" => self.callers = callers(w),
            "place" => self.place = place(w),
            "rules" => {
                self.rules = Rules {
                    drain_grace: w.span("grace", "0s"),
                    requests_carry_timeout: !w.has("silent"),
                }
            }
            _ => panic!("{}: '{what}' sets nothing up", self.name),
        }
    }

    fn with<R>(&mut self, act: impl FnOnce(&mut Decider, Timestamp, &mut Heard) -> R) -> R {
        if self.decider.is_none() {
            let handlers: Vec<Handler> = self.handlers.iter().map(|h| h.1.clone()).collect();
            let (m, t, b, c) = (&self.machine, &self.tenants, &self.below, &self.callers);
            let mut d = Decider::builder(self.now, 7, m, &handlers, &self.place, &self.rules)
                .tenants(t, &self.place)
                .upstream(b)
                .downstream(c)
                .build();
            d.on_start(&mut self.heard);
            self.decider = Some(d);
        }
        act(
            self.decider.as_mut().expect("just begun"),
            self.now,
            &mut self.heard,
        )
    }

    /// Lets the clock run to `until`: the batch at hand settles, then the timer rings every 10 ms.
    fn run_to(&mut self, until: Timestamp) {
        if until > self.now {
            self.with(|d, now, out| d.settle(now, out));
        }
        while self.ticked + Duration::from_millis(10) < until {
            self.ticked = self.ticked + Duration::from_millis(10);
            self.now = self.now.max(self.ticked);
            let gauges = Gauges {
                run_queue: self.queue,
            };
            self.with(|d, now, out| d.on_tick(now, &gauges, out));
            self.with(|d, now, out| d.settle(now, out));
        }
        self.now = self.now.max(until);
    }

    fn event(&mut self, what: &str, id: u64, w: &Words) {
        match what {
            "req" => {
                let a = self.arrival(id, w);
                self.with(|d, now, out| d.on_arrival(now, &a, out));
            }
            "done" => {
                self.with(|d, now, _| d.on_run_ended(now, id, Outcome::Completed, span(w.0[1])))
            }
            "erred" => {
                self.with(|d, now, _| d.on_run_ended(now, id, Outcome::Failed, span(w.0[1])))
            }
            "stopped" => {
                self.with(|d, now, _| d.on_run_ended(now, id, Outcome::Cancelled, Duration::ZERO))
            }
            "atcall" => self.with(|d, now, out| d.on_call_needed(now, id, out)),
            "called" => {
                let how = match w.0[1] {
                    "done" => Outcome::Completed,
                    "errored" => Outcome::Failed,
                    "shed" => Outcome::Rejected,
                    "timeout" => Outcome::TimedOut,
                    "unreached" => Outcome::Unreachable,
                    other => panic!("{}: outcome '{other}'", self.name),
                };
                self.with(|d, now, out| d.on_call_finished(now, id, how, span(w.0[2]), out));
            }
            "gone" => self.with(|d, now, out| d.on_client_gone(now, id, out)),
            "leave" => self.with(|d, now, _| d.drain(now, span(w.0[0]))),
            "ceiling" => {
                let known = |h: &str| {
                    self.handlers
                        .iter()
                        .position(|k| k.0 == h)
                        .expect("a handler set up")
                };
                let most = |key| w.num(key, f64::MAX) as usize;
                let handlers = w.0[0].split(',').map(known).collect();
                let (runs, calls, turn) = (most("runs"), most("calls"), w.span("turn", "0s"));
                self.ceilings.retain(|c| c.handlers != handlers);
                self.ceilings.push(Ceiling {
                    handlers,
                    runs,
                    calls,
                    start_interval: turn,
                });
                let all = self.ceilings.clone();
                self.with(|d, _, _| d.set_ceilings(&all));
            }
            "queue" => self.queue = w.0[0].parse().ok(),
            // The process freezes: the timer rings late.
            "freeze" => self.ticked = self.now + span(w.0[0]),
            "wait" => {}
            _ => panic!("{}: event '{what}' is unknown", self.name),
        }
    }

    fn arrival(&self, id: u64, w: &Words) -> Arrival {
        let handler = self
            .handlers
            .iter()
            .position(|h| h.0 == w.0[1])
            .expect("a handler set up");
        Arrival {
            id,
            client: w.num("from", id as f64) as u16,
            handler,
            tenant: w.num("tenant", 0.0) as usize,
            timeout: w.span("wait", "4s"),
            work_hint: w.get("hint").map(span),
            memory_kb: w.num("kb", 1.0),
            is_retry: w.has("retry"),
            read_delay: w.span("unread", "0s"),
            retry_of: w.num("repeats", 0.0) as u64,
            ..Arrival::default()
        }
    }

    fn check(&self, line: &str) -> bool {
        let (mark, rest) = line.split_once(' ').expect("a check says what");
        let like = |h: &str, what: &str| match what.strip_prefix('*') {
            Some(part) => h.contains(part),
            None => h.starts_with(what),
        };
        let heard = |from: usize, what: &str| {
            self.heard.0[from..]
                .iter()
                .filter(|h| like(h, what))
                .count()
        };
        match mark {
            ">" => heard(self.since, &format!("{rest} ")) + heard(self.since, rest) > 0,
            "!" => heard(self.since, rest) == 0,
            "=" => {
                let (what, range) = rest.rsplit_once(' ').expect("a range");
                let (low, high) = range.split_once("..").unwrap_or((range, range));
                (low.parse().unwrap()..=high.parse().unwrap()).contains(&heard(0, what))
            }
            _ => {
                let w: Vec<&str> = rest.split_whitespace().collect();
                let s = self.decider.as_ref().expect("begun").status();
                let (budget, admitted, limit, callers) = (
                    s.budget_seconds,
                    s.admitted_fraction,
                    s.concurrency_limit,
                    s.clients as f64,
                );
                let value = [
                    ("budget", budget),
                    ("admitted", admitted),
                    ("limit", limit),
                    ("callers", callers),
                ];
                let found = value.iter().find(|v| v.0 == w[0]).expect("a vital").1;
                let bound: f64 = w[2].parse().expect("a number");
                if w[1] == "<" {
                    found < bound
                } else {
                    found > bound
                }
            }
        }
    }

    fn play(&mut self, text: &str) {
        for (n, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("").trim();
            let mut words = line.split_whitespace();
            let Some(first) = words.next() else { continue };
            if first.starts_with(|c: char| c.is_ascii_digit()) {
                self.since = self.heard.0.len();
                for (at, what, id, words) in events(line) {
                    self.run_to(at);
                    self.event(what, id, &Words(words));
                }
            } else if matches!(first, ">" | "!" | "=" | "~") {
                self.with(|d, now, out| d.settle(now, out));
                if !self.check(line) {
                    let (name, place, heard) = (&self.name, n + 1, self.tail());
                    self.failures
                        .push(format!("{name}:{place}: {line}  heard {heard:?}"));
                }
            } else {
                self.set_up(first, &Words(words.collect()));
            }
        }
    }

    fn tail(&self) -> &[String] {
        &self.heard.0[self.since.min(self.heard.0.len().saturating_sub(40))..]
    }
}

type Event<'a> = (Timestamp, &'a str, u64, Vec<&'a str>);

/// The events of one line in order of time.
fn events(line: &str) -> Vec<Event<'_>> {
    let (mut at, mut times, mut step) = (START, 1, Duration::ZERO);
    let mut all = vec![];
    for part in line.split(';') {
        let mut words: Vec<&str> = part.split_whitespace().collect();
        let time = words.remove(0);
        let first = time
            .strip_prefix('+')
            .map_or(START + span(time), |after| at + span(after));
        if all.is_empty() {
            at = first;
        }
        if let Some((x, gap)) = words[0].strip_prefix('x').and_then(|r| r.split_once('/')) {
            (times, step) = (x.parse::<u64>().expect("a count"), span(gap));
            words.remove(0);
        }
        for i in 0..times {
            let id = words
                .get(1)
                .and_then(|w| w.parse::<u64>().ok())
                .map_or(0, |id| id + i);
            all.push((
                first + step.mul_f64(i as f64),
                words[0],
                id,
                words[1..].to_vec(),
            ));
        }
    }
    all.sort_by_key(|e| e.0);
    all
}

fn machine(w: &Words) -> Machine {
    Machine {
        cores: w.num("cores", 2.0) as u32,
        memory_kb: w.num("memory", 1000.0),
        running_memory_factor: w.num("factor", 4.0),
        key_memory_kb: w.num("key", 1.0),
        cancellation: match (w.has("unstoppable"), w.has("discards")) {
            (true, _) => Cancellation::Unsupported,
            (_, true) => Cancellation::Discards,
            _ => Cancellation::Pauses,
        },
        max_concurrency_per_core: w.num("survives", 5.0),
        starts_cold: w.has("cold"),
        cold_speed: w.num("cold_from", 0.2),
        warm_up: w.span("cold_for", "10s"),
    }
}

fn handler(w: &Words) -> Handler {
    let once = if w.has("keyed") {
        RetrySafety::Keyed
    } else {
        RetrySafety::NonIdempotent
    };
    Handler {
        latency_objective: w.span("target", "1s"),
        objective_stretch: 0.0,
        timeout: w.span("timeout", "4s"),
        weight: w.num("value", 1.0),
        late_weight: w.num("late", 0.0),
        retry_safety: if w.has("keyed") || w.has("nonreplayable") {
            once
        } else {
            RetrySafety::Idempotent
        },
        idempotency_window: w.span("window", "10s"),
        makes_calls: w.has("calls"),
        partial_weight: w.num("partial", 0.0),
    }
}

fn below(w: &Words) -> Upstream {
    let kind = if w.has("shared") {
        UpstreamKind::Shared
    } else {
        UpstreamKind::Tier
    };
    let kind = if w.0.is_empty() {
        UpstreamKind::None
    } else {
        kind
    };
    Upstream {
        kind,
        quota: w.num("share", 1.0),
        abandoned_call_lifetime: w.span("linger", "200ms"),
        averaging_window: w.span("span", "5s"),
    }
}

fn callers(w: &Words) -> Downstream {
    let known = [
        ("allowance", LoadReport::Allowance),
        ("weight", LoadReport::Weight),
        ("floor", LoadReport::Floor),
    ];
    let load_report = known
        .iter()
        .find(|k| w.has(k.0))
        .map_or(LoadReport::Unused, |k| k.1);
    Downstream {
        clients: w.num("count", 1.0) as u32,
        load_report,
        max_retry_after: w.span("come_back", "0s"),
        marks_retries: w.has("marks"),
        max_idle: w.span("idle", "0s"),
    }
}

fn place(w: &Words) -> FleetPosition {
    FleetPosition {
        servers: w.num("servers", 1.0) as u32,
        tier: w.num("tier", 0.0) as u32,
        weight_by_work: false,
        over_quota_weight: w.num("over", 0.05),
    }
}

#[test]
fn scenarios() {
    let mut files: Vec<_> =
        std::fs::read_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios"))
            .expect("the scenarios")
            .map(|f| f.expect("a file").path())
            .collect();
    files.sort();
    assert!(!files.is_empty());
    let mut failures = vec![];
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a text file");
        let mut play = Play::new(
            file.file_name()
                .expect("a name")
                .to_string_lossy()
                .into_owned(),
        );
        play.play(&text);
        failures.append(&mut play.failures);
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
