//! The events that are counted: a method each.

use super::Counters;
use madderbay::interface::{HandlerId, Outcome};
use madderbay::time::Duration;

/// A tick later than this is counted: the decision module takes it for a pause of the process.
const LATE_TICK: Duration = Duration::from_millis(30);
/// A request that was read later than this after it came to the machine is counted.
const LATE_READ: Duration = Duration::from_millis(20);

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

    /// A run that nobody waits for was given up, since the engine does not end it.
    pub fn run_abandoned(&mut self) {
        self.runs_abandoned += 1;
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
