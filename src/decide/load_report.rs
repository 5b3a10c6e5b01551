//! The load report on answers: no limit, or a part of this server's capacity for each client.
//!
//! Owns the last report. Is given the state of the server at each tick. Sends nothing itself.

use crate::interface::{Downstream, LoadReport};
use crate::time::{Duration, Timestamp};

/// Least time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Allowance that means no limit on requests.
const UNLIMITED_ALLOWANCE: f64 = 1000.0;
/// Sum of the clients' allowances over the concurrency limit: clients send unequal traffic.
const ALLOWANCE_SKEW: f64 = 4.0;

/// The state of the server that a load report tells of.
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
    /// Runs that the machine supports now, while it warms up.
    pub(super) max_runs_while_warming_up: Option<f64>,
    /// Clients seen of late.
    pub(super) clients_seen: usize,
}

/// Decides what load is reported, and when.
pub(super) struct LoadReporter {
    kind: LoadReport,
    /// Clients of the settings; more may come.
    clients: u32,
    value: f64,
    reported_at: Timestamp,
}

impl LoadReporter {
    /// No limit was reported.
    pub(super) fn new(now: Timestamp, downstream: &Downstream) -> LoadReporter {
        LoadReporter {
            kind: downstream.load_report,
            clients: downstream.clients,
            value: UNLIMITED_ALLOWANCE,
            reported_at: now,
        }
    }

    /// The report before the first answer: a cold server limits its clients from the start.
    pub(super) fn initial_report(&mut self, inputs: &LoadInputs) -> Option<f64> {
        self.value = self.warm_up_allowance(inputs);
        let is_limited = self.value < UNLIMITED_ALLOWANCE;
        (self.kind == LoadReport::Allowance && is_limited).then_some(self.value)
    }

    /// The load to report now: where it changed, at most once per interval.
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

    /// The requests that one client may have in flight: no limit while all is admitted and nothing queued.
    fn allowance(&self, inputs: &LoadInputs) -> f64 {
        let warm_up = self.warm_up_allowance(inputs);
        if inputs.admitted_fraction >= 1.0 && inputs.is_queue_empty {
            return warm_up;
        }
        let clients = f64::from(self.clients.max(1));
        warm_up.min(ALLOWANCE_SKEW * inputs.concurrency_limit / clients)
    }

    /// Allowance of each client while the server warms up: the supported runs, over all clients that there may be.
    fn warm_up_allowance(&self, inputs: &LoadInputs) -> f64 {
        let Some(max_runs) = inputs.max_runs_while_warming_up else {
            return UNLIMITED_ALLOWANCE;
        };
        let clients = inputs.clients_seen.max(self.clients as usize).max(1);
        max_runs / clients as f64
    }
}
