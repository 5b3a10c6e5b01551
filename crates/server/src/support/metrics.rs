//! Counts of what the server reads, sends and answers, printed one line each in a fixed order.
//!
//! [`Counters`] owns the counts. It is told of each event by a method named for that; nobody else changes a count. A
//! table declares each printed line once, with its name and where its value is. The names and their order are an
//! interface: operators' pages and programs depend on them. Nothing here is given back to decisions.

use madderbay::interface::{HandlerId, Outcome};
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

    /// The longest delay, in whole milliseconds.
    fn longest_millis(&self) -> u64 {
        self.longest.as_micros() / 1000
    }
}

/// How often requests were answered in each way.
#[derive(Default)]
struct Answers {
    /// With a complete result.
    completed: u64,
    /// With a result, but without the optional calls.
    partial: u64,
    rejected: u64,
    /// With an error after a possible effect.
    failed: u64,
}

/// What became of the connections of load balancers.
#[derive(Default)]
struct ConnectionCounts {
    accepted: u64,
    evicted: u64,
    over_limit: u64,
}

/// What peers sent that could not be read.
#[derive(Default)]
struct UnreadableInput {
    lines: u64,
    notices: u64,
    replies: u64,
}

/// What became of the reports to the registry.
#[derive(Default)]
struct ReportCounts {
    accepted: u64,
    failed: u64,
}

/// The counts of one server since its start.
#[derive(Default)]
pub struct Counters {
    /// Names of the handlers, by index.
    handlers: Vec<String>,
    /// Requests that were read, by handler.
    requests_read: Vec<u64>,
    /// Runs that ended, by handler.
    runs_ended: Vec<u64>,
    answers: Answers,
    requests_joined: u64,
    clients_gone: u64,
    requests_disconnected: u64,
    runs_started: u64,
    run_outcomes: RunOutcomes,
    calls_sent: u64,
    call_outcomes: CallOutcomes,
    calls_skipped: u64,
    connections: ConnectionCounts,
    unreadable: UnreadableInput,
    unmatched_ends: u64,
    commands_declined: u64,
    engine_links_lost: u64,
    reports: ReportCounts,
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

/// A line with this name, whose value `value` finds.
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
        values: |c| &c.requests_read,
    },
    HandlerMetric {
        name: "ran",
        values: |c| &c.runs_ended,
    },
];

/// All other lines, in their order.
const METRICS: [Metric; 41] = [
    metric("answered.done", |c, _| c.answers.completed),
    metric("answered.partial", |c, _| c.answers.partial),
    metric("answered.shed", |c, _| c.answers.rejected),
    metric("answered.errored", |c, _| c.answers.failed),
    metric("gone", |c, _| c.clients_gone),
    metric("open", |_, g| g.open_requests as u64),
    metric("in_hand", |_, g| g.requests_in_flight as u64),
    metric("joined", |c, _| c.requests_joined),
    metric("cut", |c, _| c.requests_disconnected),
    metric("runs.started", |c, _| c.runs_started),
    metric("runs.done", |c, _| c.run_outcomes.completed),
    metric("runs.errored", |c, _| c.run_outcomes.failed),
    metric("runs.stopped", |c, _| c.run_outcomes.cancelled),
    metric("runs.moot", |c, _| c.run_outcomes.already_ended),
    metric("calls.made", |c, _| c.calls_sent),
    metric("calls.done", |c, _| c.call_outcomes.completed),
    metric("calls.shed", |c, _| c.call_outcomes.rejected),
    metric("calls.errored", |c, _| c.call_outcomes.failed),
    metric("calls.timed_out", |c, _| c.call_outcomes.timed_out),
    metric("calls.unreached", |c, _| c.call_outcomes.unreachable),
    metric("calls.cut_off", |c, _| c.call_outcomes.disconnected),
    metric("calls.out", |_, g| g.calls_in_flight as u64),
    metric("calls.skipped", |c, _| c.calls_skipped),
    metric("connections.accepted", |c, _| c.connections.accepted),
    metric("connections.open", |_, g| g.connections as u64),
    metric("connections.cut", |c, _| c.connections.evicted),
    metric("connections.refused", |c, _| c.connections.over_limit),
    metric("keys.kept", |_, g| g.keys as u64),
    metric("bad.lines", |c, _| c.unreadable.lines),
    metric("bad.notices", |c, _| c.unreadable.notices),
    metric("bad.replies", |c, _| c.unreadable.replies),
    metric("strays", |c, _| c.unmatched_ends),
    metric("engine.declined", |c, _| c.commands_declined),
    metric("engine.links_lost", |c, _| c.engine_links_lost),
    metric("registry.reports", |c, _| c.reports.accepted),
    metric("registry.reports_lost", |c, _| c.reports.failed),
    metric("ticks", |c, _| c.ticks),
    metric("ticks.late", |c, _| c.late_ticks.late),
    metric("ticks.latest_ms", |c, _| c.late_ticks.longest_millis()),
    metric("reads.late", |c, _| c.late_reads.late),
    metric("reads.latest_ms", |c, _| c.late_reads.longest_millis()),
];

impl Counters {
    /// Counters of a server with handlers of these names, all at 0.
    pub fn new(handlers: &[String]) -> Counters {
        Counters {
            handlers: handlers.to_vec(),
            requests_read: vec![0; handlers.len()],
            runs_ended: vec![0; handlers.len()],
            ..Counters::default()
        }
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

/// Requests and their answers.
impl Counters {
    /// A request was read.
    pub fn request_read(&mut self, handler: HandlerId) {
        self.requests_read[handler.index()] += 1;
    }

    /// A request was read so long after it came to the machine.
    pub fn read_delayed(&mut self, delay: Duration) {
        self.late_reads.observe(delay, LATE_READ);
    }

    /// A request was answered with a result; a partial one is without its optional calls.
    pub fn request_completed(&mut self, is_partial: bool) {
        if is_partial {
            self.answers.partial += 1;
        } else {
            self.answers.completed += 1;
        }
    }

    /// A request was rejected and never ran.
    pub fn request_rejected(&mut self) {
        self.answers.rejected += 1;
    }

    /// A request was answered with an error after a possible effect.
    pub fn request_failed(&mut self) {
        self.answers.failed += 1;
    }

    /// A request was answered by the run of another attempt.
    pub fn request_joined(&mut self) {
        self.requests_joined += 1;
    }

    /// Nobody waits for a request any more.
    pub fn client_gone(&mut self) {
        self.clients_gone += 1;
    }

    /// A connection ended before so many of its requests were answered.
    pub fn requests_disconnected(&mut self, requests: usize) {
        self.requests_disconnected += requests as u64;
    }
}

/// Runs, and the link to the engine.
impl Counters {
    /// A run was started.
    pub fn run_started(&mut self) {
        self.runs_started += 1;
    }

    /// The runs that were started.
    pub fn runs_started(&self) -> u64 {
        self.runs_started
    }

    /// The run of a request ended.
    pub fn run_ended(&mut self, handler: HandlerId, outcome: Outcome) {
        self.run_outcomes.count(outcome);
        self.runs_ended[handler.index()] += 1;
    }

    /// A run that was started was never sent to the engine. It counts among the outcomes, but not for its handler.
    pub fn run_not_sent(&mut self) {
        self.run_outcomes.count(Outcome::AlreadyEnded);
    }

    /// The end of a run, or the reply to a call, that is not in flight any more was read.
    pub fn unmatched_end(&mut self) {
        self.unmatched_ends += 1;
    }

    /// The engine did not carry a command out.
    pub fn command_declined(&mut self) {
        self.commands_declined += 1;
    }

    /// The link to the engine was lost.
    pub fn engine_link_lost(&mut self) {
        self.engine_links_lost += 1;
    }

    /// A notice of the engine could not be read.
    pub fn notice_unreadable(&mut self) {
        self.unreadable.notices += 1;
    }
}

/// Upstream calls.
impl Counters {
    /// A call was sent.
    pub fn call_sent(&mut self) {
        self.calls_sent += 1;
    }

    /// A call ended.
    pub fn call_ended(&mut self, outcome: Outcome) {
        self.call_outcomes.count(outcome);
    }

    /// An optional call was skipped.
    pub fn call_skipped(&mut self) {
        self.calls_skipped += 1;
    }

    /// A reply to a call could not be read.
    pub fn reply_unreadable(&mut self) {
        self.unreadable.replies += 1;
    }
}

/// Connections of load balancers, and the registry.
impl Counters {
    /// A connection was accepted within the limit on connections.
    pub fn connection_accepted(&mut self) {
        self.connections.accepted += 1;
    }

    /// A connection was closed to make way for another.
    pub fn connection_evicted(&mut self) {
        self.connections.evicted += 1;
    }

    /// A connection was accepted beyond the limit on connections; its requests are rejected.
    pub fn connection_over_limit(&mut self) {
        self.connections.over_limit += 1;
    }

    /// The connections that were accepted beyond the limit.
    pub fn connections_over_limit(&self) -> u64 {
        self.connections.over_limit
    }

    /// A line of a load balancer could not be served.
    pub fn line_unreadable(&mut self) {
        self.unreadable.lines += 1;
    }

    /// The registry accepted a report.
    pub fn report_accepted(&mut self) {
        self.reports.accepted += 1;
    }

    /// A report did not reach the registry.
    pub fn report_failed(&mut self) {
        self.reports.failed += 1;
    }
}

/// Time.
impl Counters {
    /// The timer ticked, so long after its deadline.
    pub fn ticked(&mut self, lateness: Duration) {
        self.ticks += 1;
        self.late_ticks.observe(lateness, LATE_TICK);
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
