//! Counters of what the server reads, sends and answers, printed one per line in a fixed order.
//!
//! `Counters` owns the counts. Each kind of event has a method in `events` that counts it; nothing else changes a
//! count. `table` declares each printed line once, with its name and value. The names and their order are a public
//! interface, on which operators' pages and programs depend. Decisions don't use the counts.

mod events;
mod table;

use madderbay::interface::Outcome;
use madderbay::time::Duration;
use std::fmt::Write;

/// Number of runs by outcome.
#[derive(Default)]
struct RunOutcomes {
    completed: u64,
    failed: u64,
    cancelled: u64,
    already_ended: u64,
}

impl RunOutcomes {
    /// Counts the end of a run. An outcome that a run can't have counts as a run that had already ended.
    fn count(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Completed => &mut self.completed,
            Outcome::Failed => &mut self.failed,
            Outcome::Cancelled => &mut self.cancelled,
            _ => &mut self.already_ended,
        } += 1;
    }
}

/// Number of calls by outcome.
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
    /// Counts the end of a call. An outcome that a call can't have counts as a lost connection.
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

/// Number of late events, and the longest delay.
#[derive(Default)]
struct Lateness {
    late: u64,
    longest: Duration,
}

impl Lateness {
    /// Counts a delay that exceeds `limit`. The longest delay is recorded in any case.
    fn observe(&mut self, delay: Duration, limit: Duration) {
        self.late += u64::from(delay > limit);
        self.longest = self.longest.max(delay);
    }

    /// Returns the longest delay, in whole milliseconds.
    fn longest_millis(&self) -> u64 {
        self.longest.as_micros() / 1000
    }
}

/// Number of answered requests by kind of answer.
#[derive(Default)]
struct Answers {
    /// Answered with a complete result.
    completed: u64,
    /// Answered with a result, but without the optional calls.
    partial: u64,
    rejected: u64,
    /// Answered with an error after a possible effect.
    failed: u64,
}

/// Number of connections of load balancers that were accepted, evicted, over the limit or flooding.
#[derive(Default)]
struct ConnectionCounts {
    accepted: u64,
    evicted: u64,
    over_limit: u64,
    flooding: u64,
}

/// Number of messages of peers that could not be read, by kind.
#[derive(Default)]
struct UnreadableInput {
    lines: u64,
    notices: u64,
    replies: u64,
}

/// Number of reports to the registry by outcome.
#[derive(Default)]
struct ReportCounts {
    accepted: u64,
    failed: u64,
}

/// The counters of one server since its start.
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

/// Gauges of the load at the time of printing.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadGauges {
    /// Requests that are not answered yet.
    pub open_requests: usize,
    /// Requests in flight, including those that are answered while their run has not ended.
    pub requests_in_flight: usize,
    /// Requests in flight that are answered, or whose client is gone, while their run has not ended.
    pub requests_answered: usize,
    /// Open connections of load balancers.
    pub connections: usize,
    /// Calls in flight.
    pub calls_in_flight: usize,
    /// Entries in the table of idempotency keys.
    pub keys: usize,
}

impl Counters {
    /// Creates counters for handlers with these names, all at 0.
    pub fn new(handlers: &[String]) -> Counters {
        Counters {
            handlers: handlers.to_vec(),
            requests_read: vec![0; handlers.len()],
            runs_ended: vec![0; handlers.len()],
            ..Counters::default()
        }
    }
}

/// Lines of the form `counter NAME VALUE`. The names of a part of the server begin with the part's name and a
/// point.
pub struct Lines {
    part: &'static str,
    /// The lines so far, each with its line end.
    pub text: String,
}

impl Lines {
    /// Creates an empty list of lines for a part of the server. The name of the part is empty for the server's own
    /// counters.
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
