//! Counts of what the server reads, sends and answers, printed one line each in a fixed order.
//!
//! [`Counters`] owns the counts; the core's modules add to them. A table declares each printed line once, with
//! its name and where its value is. The names and their order are an interface: operators' pages and programs depend
//! on them. Nothing here is given back to decisions.

use madderbay::interface::Outcome;
use madderbay::time::Duration;
use std::fmt::Write;

/// A tick later than this is counted: the decision module takes it for a pause of the process.
const LATE_TICK: Duration = Duration::from_millis(30);
/// A request that was read later than this after it came to the machine is counted.
const LATE_READ: Duration = Duration::from_millis(20);

/// How often runs ended in each way.
#[derive(Default)]
struct RunOutcomes {
    completed: u64,
    failed: u64,
    cancelled: u64,
    already_ended: u64,
}

impl RunOutcomes {
    /// Counts an end. One that a run can't have counts as a run that had already ended.
    fn count(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Completed => &mut self.completed,
            Outcome::Failed => &mut self.failed,
            Outcome::Cancelled => &mut self.cancelled,
            _ => &mut self.already_ended,
        } += 1;
    }
}

/// How often calls ended in each way.
#[derive(Default)]
struct CallOutcomes {
    completed: u64,
    rejected: u64,
    failed: u64,
    timed_out: u64,
    unreachable: u64,
    disconnected: u64,
}

impl CallOutcomes {
    /// Counts an end. One that a call can't have counts as a connection that was lost.
    fn count(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Completed => &mut self.completed,
            Outcome::Rejected => &mut self.rejected,
            Outcome::Failed => &mut self.failed,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::Unreachable => &mut self.unreachable,
            _ => &mut self.disconnected,
        } += 1;
    }
}

/// How often something was late, and by how much at most.
#[derive(Default)]
struct Lateness {
    late: u64,
    longest: Duration,
}

impl Lateness {
    /// Counts a delay over `limit`; the longest delay is kept in any case.
    fn observe(&mut self, delay: Duration, limit: Duration) {
        self.late += u64::from(delay > limit);
        self.longest = self.longest.max(delay);
    }

    fn longest_millis(&self) -> u64 {
        self.longest.as_micros() / 1000
    }
}

/// The counts of one server since its start.
#[derive(Default)]
pub struct Counters {
    /// Names of the handlers, by index.
    handlers: Vec<String>,
    /// Requests that were read, by handler.
    pub read: Vec<u64>,
    /// Runs that ended, by handler.
    pub ran: Vec<u64>,
    /// Requests answered with a complete result.
    completed: u64,
    /// Requests answered without their optional calls.
    partial: u64,
    /// Requests that were rejected.
    pub shed: u64,
    /// Requests answered with an error after a possible effect.
    failed: u64,
    /// Requests answered by the run of another attempt.
    pub joined: u64,
    /// Requests that nobody waits for any more.
    pub gone: u64,
    /// Requests whose connection ended before their answer.
    pub cut: u64,
    /// Runs that were started.
    pub runs: u64,
    run_outcomes: RunOutcomes,
    /// Calls that were sent.
    pub calls: u64,
    call_outcomes: CallOutcomes,
    /// Optional calls that were skipped.
    pub skipped: u64,
    /// Connections of load balancers that were accepted.
    pub connections: u64,
    /// Connections that were closed to make room for others.
    pub connections_cut: u64,
    /// Connections that were refused for want of room.
    pub connections_refused: u64,
    /// Lines of load balancers that could not be served.
    pub bad_lines: u64,
    /// Notices of the engine that could not be read.
    pub bad_notices: u64,
    /// Replies to calls that could not be read.
    pub bad_replies: u64,
    /// Ends of runs and replies to calls that are not in flight any more.
    pub strays: u64,
    /// Commands that the engine did not carry out.
    pub declined: u64,
    /// Links to the engine that were lost.
    pub relinks: u64,
    /// Reports that the registry took.
    pub reports: u64,
    /// Reports that did not reach the registry.
    pub reports_lost: u64,
    ticks: u64,
    late_ticks: Lateness,
    late_reads: Lateness,
}

/// What is open at the time of printing.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadGauges {
    /// Requests that are owed an answer.
    pub open_requests: usize,
    /// Requests in flight, also those whose answer is out while their run still ends.
    pub requests_in_flight: usize,
    /// Connections of load balancers.
    pub connections: usize,
    /// Calls in flight.
    pub calls_in_flight: usize,
    /// Entries in the table of idempotency keys.
    pub keys: usize,
}

/// One printed line: its name, and where its value is.
struct Metric {
    name: &'static str,
    value: fn(&Counters, &LoadGauges) -> u64,
}

const fn metric(name: &'static str, value: fn(&Counters, &LoadGauges) -> u64) -> Metric {
    Metric { name, value }
}

/// A line of each handler: `NAME.HANDLER`, and where the values of all handlers are.
struct HandlerMetric {
    name: &'static str,
    values: fn(&Counters) -> &[u64],
}

/// The lines of each handler, in their order.
const HANDLER_METRICS: [HandlerMetric; 2] = [
    HandlerMetric {
        name: "read",
        values: |c| &c.read,
    },
    HandlerMetric {
        name: "ran",
        values: |c| &c.ran,
    },
];

/// All other lines, in their order.
const METRICS: [Metric; 41] = [
    metric("answered.done", |c, _| c.completed),
    metric("answered.partial", |c, _| c.partial),
    metric("answered.shed", |c, _| c.shed),
    metric("answered.errored", |c, _| c.failed),
    metric("gone", |c, _| c.gone),
    metric("open", |_, g| g.open_requests as u64),
    metric("in_hand", |_, g| g.requests_in_flight as u64),
    metric("joined", |c, _| c.joined),
    metric("cut", |c, _| c.cut),
    metric("runs.started", |c, _| c.runs),
    metric("runs.done", |c, _| c.run_outcomes.completed),
    metric("runs.errored", |c, _| c.run_outcomes.failed),
    metric("runs.stopped", |c, _| c.run_outcomes.cancelled),
    metric("runs.moot", |c, _| c.run_outcomes.already_ended),
    metric("calls.made", |c, _| c.calls),
    metric("calls.done", |c, _| c.call_outcomes.completed),
    metric("calls.shed", |c, _| c.call_outcomes.rejected),
    metric("calls.errored", |c, _| c.call_outcomes.failed),
    metric("calls.timed_out", |c, _| c.call_outcomes.timed_out),
    metric("calls.unreached", |c, _| c.call_outcomes.unreachable),
    metric("calls.cut_off", |c, _| c.call_outcomes.disconnected),
    metric("calls.out", |_, g| g.calls_in_flight as u64),
    metric("calls.skipped", |c, _| c.skipped),
    metric("connections.accepted", |c, _| c.connections),
    metric("connections.open", |_, g| g.connections as u64),
    metric("connections.cut", |c, _| c.connections_cut),
    metric("connections.refused", |c, _| c.connections_refused),
    metric("keys.kept", |_, g| g.keys as u64),
    metric("bad.lines", |c, _| c.bad_lines),
    metric("bad.notices", |c, _| c.bad_notices),
    metric("bad.replies", |c, _| c.bad_replies),
    metric("strays", |c, _| c.strays),
    metric("engine.declined", |c, _| c.declined),
    metric("engine.links_lost", |c, _| c.relinks),
    metric("registry.reports", |c, _| c.reports),
    metric("registry.reports_lost", |c, _| c.reports_lost),
    metric("ticks", |c, _| c.ticks),
    metric("ticks.late", |c, _| c.late_ticks.late),
    metric("ticks.latest_ms", |c, _| c.late_ticks.longest_millis()),
    metric("reads.late", |c, _| c.late_reads.late),
    metric("reads.latest_ms", |c, _| c.late_reads.longest_millis()),
];

impl Counters {
    /// Counters of a server with handlers of these names, all at 0.
    pub fn new(handlers: &[String]) -> Counters {
        let none = vec![0; handlers.len()];
        Counters {
            handlers: handlers.to_vec(),
            read: none.clone(),
            ran: none,
            ..Counters::default()
        }
    }

    /// Counts an answer that is no rejection: `done` with a result, which may be `partial`, else with an error.
    pub fn answered(&mut self, done: bool, partial: bool) {
        match (done, partial) {
            (true, true) => self.partial += 1,
            (true, false) => self.completed += 1,
            _ => self.failed += 1,
        }
    }

    /// Counts the end of a run.
    pub fn run_over(&mut self, outcome: Outcome) {
        self.run_outcomes.count(outcome);
    }

    /// Counts the end of a call.
    pub fn call_over(&mut self, outcome: Outcome) {
        self.call_outcomes.count(outcome);
    }

    /// Counts a tick of the timer that came so late.
    pub fn tick(&mut self, late: Duration) {
        self.ticks += 1;
        self.late_ticks.observe(late, LATE_TICK);
    }

    /// Counts a request that was unread for so long.
    pub fn read_late(&mut self, unread: Duration) {
        self.late_reads.observe(unread, LATE_READ);
    }

    /// All counters and gauges as lines, in their fixed order.
    pub fn lines(&self, gauges: &LoadGauges) -> String {
        let mut lines = Lines::of("");
        for (index, handler) in self.handlers.iter().enumerate() {
            for metric in &HANDLER_METRICS {
                let name = format!("{}.{handler}", metric.name);
                lines.add(&name, (metric.values)(self)[index]);
            }
        }
        for metric in &METRICS {
            lines.add(metric.name, (metric.value)(self, gauges));
        }
        lines.text
    }
}

/// Lines of the form `counter NAME VALUE`; the names of one part begin with the part's and a point.
pub struct Lines {
    part: &'static str,
    /// The lines so far, each with its end.
    pub text: String,
}

impl Lines {
    /// No lines yet, of the part with this name; an empty name is that of the server's own counters.
    pub fn of(part: &'static str) -> Lines {
        Lines {
            part,
            text: String::new(),
        }
    }

    /// Appends a line.
    pub fn add(&mut self, name: &str, value: u64) {
        let point = if self.part.is_empty() { "" } else { "." };
        let _ = writeln!(self.text, "counter {}{point}{name} {value}", self.part);
    }
}
