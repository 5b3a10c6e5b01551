//! Counts of what the server reads, sends and answers, printed one line each in a fixed order.
//!
//! `Counters` owns the counts. It is told of each event by a method named for that, in `events`; nobody else changes a
//! count. `table` declares each printed line once, with its name and where its value is. The names and their order are
//! an interface: operators' pages and programs depend on them. Nothing here is given back to decisions.

mod events;
mod table;

use madderbay::interface::Outcome;
use madderbay::time::Duration;
use std::fmt::Write;

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
    runs_abandoned: u64,
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
    /// Those in flight that are answered, or whose client is gone, while their run has not ended.
    pub requests_answered: usize,
    /// Connections of load balancers.
    pub connections: usize,
    /// Calls in flight.
    pub calls_in_flight: usize,
    /// Entries in the table of idempotency keys.
    pub keys: usize,
}

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

    /// Appends a line for each name with its value.
    pub fn add_all<'a>(&mut self, values: impl IntoIterator<Item = (&'a str, u64)>) {
        for (name, value) in values {
            self.add(name, value);
        }
    }

    /// Appends a line.
    pub fn add(&mut self, name: &str, value: u64) {
        let point = if self.part.is_empty() { "" } else { "." };
        let _ = writeln!(self.text, "counter {}{point}{name} {value}", self.part);
    }
}
