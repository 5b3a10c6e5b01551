//! The load report on answers: no limit, or a part of this server's capacity for each client.
//!
//! [`LoadReporter`] keeps the last report and computes a new one from the state of the server at each tick. Sending it
//! is left to the caller.

use crate::interface::{Downstream, LoadReport};
use crate::time::{Duration, Timestamp};

/// Shortest time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Allowance that stands for no limit on requests.
const UNLIMITED_ALLOWANCE: f64 = 1000.0;
/// Ratio of the sum of the clients' allowances to the concurrency limit. It allows for clients that send unequal
/// traffic.
const ALLOWANCE_SKEW: f64 = 4.0;

/// The state of the server that a load report is computed from.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadInputs {
    /// Fraction of arrivals admitted, 0 to 1.
    pub(super) admitted_fraction: f64,
    /// Fraction of runs that fail, 0 to 1.
    pub(super) failure_rate: f64,
    /// Whether no request is queued.
    pub(super) is_queue_empty: bool,
    /// Limit on concurrent runs.
    pub(super) concurrency_limit: f64,
    /// Runs that the machine supports now; `None` unless it is warming up.
    pub(super) max_runs_while_warming_up: Option<f64>,
    /// Number of clients seen recently.
    pub(super) clients_seen: usize,
}

/// Decides what load is reported, and when.
pub(super) struct LoadReporter {
    kind: LoadReport,
    /// Number of clients in the settings; more may connect.
    clients: u32,
    value: f64,
    reported_at: Timestamp,
}

impl LoadReporter {
    /// Starts with no limit reported.
    pub(super) fn new(now: Timestamp, downstream: &Downstream) -> LoadReporter {
        LoadReporter {
            kind: downstream.load_report,
            clients: downstream.clients,
            value: UNLIMITED_ALLOWANCE,
            reported_at: now,
        }
    }

    /// Returns the report that precedes the first answer, if there is one: a cold server limits its clients from the
    /// start.
    pub(super) fn initial_report(&mut self, inputs: &LoadInputs) -> Option<f64> {
        self.value = self.warm_up_allowance(inputs);
        let is_limited = self.value < UNLIMITED_ALLOWANCE;
        (self.kind == LoadReport::Allowance && is_limited).then_some(self.value)
    }

    /// Returns the load to report now if it changed, at most once per interval.
    pub(super) fn report(&mut self, now: Timestamp, inputs: &LoadInputs) -> Option<f64> {
        if now - self.reported_at < REPORT_INTERVAL {
            return None;
        }
        let value = match self.kind {
            LoadReport::Unused => return None,
            LoadReport::Allowance => self.allowance(inputs),
            LoadReport::Floor => 1.0 - inputs.admitted_fraction,
            LoadReport::Weight => inputs.admitted_fraction * (1.0 - inputs.failure_rate),
        };
        self.reported_at = now;
        let has_changed = std::mem::replace(&mut self.value, value) != value;
        has_changed.then_some(value)
    }

    /// Returns how many requests one client may have in flight. Apart from the warm-up, there is no limit while all
    /// arrivals are admitted and no request is queued.
    fn allowance(&self, inputs: &LoadInputs) -> f64 {
        let warm_up = self.warm_up_allowance(inputs);
        if inputs.admitted_fraction >= 1.0 && inputs.is_queue_empty {
            return warm_up;
        }
        let clients = f64::from(self.clients.max(1));
        warm_up.min(ALLOWANCE_SKEW * inputs.concurrency_limit / clients)
    }

    /// Returns the allowance of each client while the server warms up: the supported runs divided by the number of
    /// clients that there may be.
    fn warm_up_allowance(&self, inputs: &LoadInputs) -> f64 {
        let Some(max_runs) = inputs.max_runs_while_warming_up else {
            return UNLIMITED_ALLOWANCE;
        };
        let clients = inputs.clients_seen.max(self.clients as usize).max(1);
        max_runs / clients as f64
    }
}
