//! The methods that count events, one for each kind of event.

use super::Counters;
use madderbay::interface::{HandlerId, Outcome};
use madderbay::time::Duration;

/// Lateness above which a tick is counted as late. The decision module treats such a tick as a pause of the
/// process.
const LATE_TICK: Duration = Duration::from_millis(30);
/// Time from the arrival at the machine above which a request is counted as read late.
const LATE_READ: Duration = Duration::from_millis(20);

/// Counts requests and their answers.
impl Counters {
    /// Counts a request that was read.
    pub fn request_read(&mut self, handler: HandlerId) {
        self.requests_read[handler.index()] += 1;
    }

    /// Records the time from a request's arrival at the machine until it was read.
    pub fn read_delayed(&mut self, delay: Duration) {
        self.late_reads.observe(delay, LATE_READ);
    }

    /// Counts a request that was answered with a result. A partial answer lacks its optional calls.
    pub fn request_completed(&mut self, is_partial: bool) {
        if is_partial {
            self.answers.partial += 1;
        } else {
            self.answers.completed += 1;
        }
    }

    /// Counts a request that was rejected and never ran.
    pub fn request_rejected(&mut self) {
        self.answers.rejected += 1;
    }

    /// Counts a request that was answered with an error after a possible effect.
    pub fn request_failed(&mut self) {
        self.answers.failed += 1;
    }

    /// Counts a request that was answered by the run of another attempt.
    pub fn request_joined(&mut self) {
        self.requests_joined += 1;
    }

    /// Counts a request whose client no longer waits for it.
    pub fn client_gone(&mut self) {
        self.clients_gone += 1;
    }

    /// Counts the requests that were unanswered when their connection ended.
    pub fn requests_disconnected(&mut self, requests: usize) {
        self.requests_disconnected += requests as u64;
    }
}

/// Counts runs and events on the link to the engine.
impl Counters {
    /// Counts a run that was started.
    pub fn run_started(&mut self) {
        self.runs_started += 1;
    }

    /// Returns the number of runs that were started.
    pub fn runs_started(&self) -> u64 {
        self.runs_started
    }

    /// Counts the end of a request's run.
    pub fn run_ended(&mut self, handler: HandlerId, outcome: Outcome) {
        self.run_outcomes.count(outcome);
        self.runs_ended[handler.index()] += 1;
    }

    /// Counts a run that was started but never sent to the engine. It is counted among the outcomes, but not for
    /// its handler.
    pub fn run_not_sent(&mut self) {
        self.run_outcomes.count(Outcome::AlreadyEnded);
    }

    /// Counts the end of a run, or the reply to a call, that is no longer in flight.
    pub fn unmatched_end(&mut self) {
        self.unmatched_ends += 1;
    }

    /// Counts a command that the engine did not carry out.
    pub fn command_declined(&mut self) {
        self.commands_declined += 1;
    }

    /// Counts a run that no client waits for and that was given up because the engine does not end it.
    pub fn run_abandoned(&mut self) {
        self.runs_abandoned += 1;
    }

    /// Counts a loss of the link to the engine.
    pub fn engine_link_lost(&mut self) {
        self.engine_links_lost += 1;
    }

    /// Counts a notice of the engine that could not be read.
    pub fn notice_unreadable(&mut self) {
        self.unreadable.notices += 1;
    }
}

/// Counts upstream calls.
impl Counters {
    /// Counts a call that was sent.
    pub fn call_sent(&mut self) {
        self.calls_sent += 1;
    }

    /// Counts the end of a call.
    pub fn call_ended(&mut self, outcome: Outcome) {
        self.call_outcomes.count(outcome);
    }

    /// Counts an optional call that was skipped.
    pub fn call_skipped(&mut self) {
        self.calls_skipped += 1;
    }

    /// Counts a reply to a call that could not be read.
    pub fn reply_unreadable(&mut self) {
        self.unreadable.replies += 1;
    }
}

/// Counts connections of load balancers, and reports to the registry.
impl Counters {
    /// Counts a connection that was accepted within the limit on connections.
    pub fn connection_accepted(&mut self) {
        self.connections.accepted += 1;
    }

    /// Counts a connection that was closed to make room for another.
    pub fn connection_evicted(&mut self) {
        self.connections.evicted += 1;
    }

    /// Counts a connection that was accepted over the limit on connections. Its requests are rejected.
    pub fn connection_over_limit(&mut self) {
        self.connections.over_limit += 1;
    }

    /// Counts a connection that was reported because its input does not let up.
    pub fn connection_flooding(&mut self) {
        self.connections.flooding += 1;
    }

    /// Returns the number of connections that were accepted over the limit.
    pub fn connections_over_limit(&self) -> u64 {
        self.connections.over_limit
    }

    /// Counts a line of a load balancer that could not be served.
    pub fn line_unreadable(&mut self) {
        self.unreadable.lines += 1;
    }

    /// Counts a report that the registry accepted.
    pub fn report_accepted(&mut self) {
        self.reports.accepted += 1;
    }

    /// Counts a report that failed.
    pub fn report_failed(&mut self) {
        self.reports.failed += 1;
    }
}

/// Counts ticks.
impl Counters {
    /// Counts a tick and records how long after its deadline it came.
    pub fn ticked(&mut self, lateness: Duration) {
        self.ticks += 1;
        self.late_ticks.observe(lateness, LATE_TICK);
    }
}
