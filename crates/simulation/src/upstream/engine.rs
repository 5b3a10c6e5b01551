//! The simulated execution engine of one server: a few cores shared evenly by the runs on them.

use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// A run has reached a point when no more than this many core seconds are missing.
const WORK_TOLERANCE_S: f64 = 1e-7;
/// Added to a computed instant, because timestamps are truncated to whole microseconds.
const ROUNDING_MARGIN: Duration = Duration::from_micros(2);
/// The fraction of its work after which a run needs the answer of its upstream call.
const CALL_POINT_FRACTION: f64 = 0.5;

/// One run of a request.
struct Run {
    remaining_s: f64,
    /// The remaining work at which the run pauses for its upstream call. `None` for a run without a call, and once the
    /// call is requested.
    call_at_remaining_s: Option<f64>,
    is_on_core: bool,
    started_at: Timestamp,
}

/// A point that a run has reached.
pub(crate) enum EngineEvent {
    /// The run needs its upstream call and waits for the answer.
    NeedsCall { request: String },
    /// The run is complete.
    Finished { request: String, run_time: Duration },
}

/// The runs on one engine and the remaining work of each. The engine does not know what a run computes.
pub(crate) struct Engine {
    cores: f64,
    slowdown: f64,
    runs: BTreeMap<String, Run>,
    advanced_to: Timestamp,
    serial: u64,
}

impl Engine {
    /// Creates an engine without runs.
    pub(crate) fn new(now: Timestamp, cores: f64) -> Engine {
        Engine {
            cores,
            slowdown: 1.0,
            runs: BTreeMap::new(),
            advanced_to: now,
            serial: 0,
        }
    }

    /// Makes all work take `slowdown` times as long.
    pub(crate) fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Allocates the serial number of the next notice to the server.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// Returns the number of runs that use a core or wait for their share of one.
    pub(crate) fn runs_on_cores(&self) -> usize {
        self.runs.values().filter(|run| run.is_on_core).count()
    }

    /// Returns the core seconds of work that each run completes per second.
    fn speed_per_run(&self) -> f64 {
        let runs = self.runs_on_cores().max(1);
        (self.cores / runs as f64).min(1.0) / self.slowdown
    }

    /// Advances all runs to `now`. Returns the runs that need a call, then those that finished, each in the order of
    /// their requests.
    pub(crate) fn advance(&mut self, now: Timestamp) -> Vec<EngineEvent> {
        let work_s = (now - self.advanced_to).as_secs_f64() * self.speed_per_run();
        self.advanced_to = now;
        let mut events = vec![];
        let mut finished = vec![];
        for (name, run) in self.runs.iter_mut().filter(|(_, run)| run.is_on_core) {
            run.remaining_s -= work_s;
            let reached = |point_s: f64| run.remaining_s <= point_s + WORK_TOLERANCE_S;
            if run.call_at_remaining_s.is_some_and(reached) {
                (run.call_at_remaining_s, run.is_on_core) = (None, false);
                let request = name.clone();
                events.push(EngineEvent::NeedsCall { request });
            } else if reached(0.0) {
                finished.push(name.clone());
            }
        }
        for request in finished {
            if let Some(run) = self.runs.remove(&request) {
                let run_time = now - run.started_at;
                events.push(EngineEvent::Finished { request, run_time });
            }
        }
        events
    }

    /// Returns when the next run needs a call or finishes, provided that the set of runs and the slowdown stay the same
    /// until then.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let on_cores = self.runs.values().filter(|run| run.is_on_core);
        let least_s = on_cores
            .map(|run| run.remaining_s - run.call_at_remaining_s.unwrap_or(0.0))
            .min_by(f64::total_cmp)?;
        let wait = Duration::from_secs_f64(least_s.max(0.0) / self.speed_per_run());
        Some(self.advanced_to + wait + ROUNDING_MARGIN)
    }

    /// Starts a run of `work_s` core seconds. Has no effect if the request already has a run.
    pub(crate) fn start(&mut self, now: Timestamp, request: &str, work_s: f64, makes_call: bool) {
        let run = Run {
            remaining_s: work_s,
            call_at_remaining_s: makes_call.then_some(work_s * CALL_POINT_FRACTION),
            is_on_core: true,
            started_at: now,
        };
        self.runs.entry(request.into()).or_insert(run);
    }

    /// Resumes a run whose call was answered or skipped.
    pub(crate) fn resume(&mut self, request: &str) {
        if let Some(run) = self.runs.get_mut(request) {
            run.is_on_core = true;
        }
    }

    /// Cancels a run. Returns the time at which it started, or `None` if there is no such run.
    pub(crate) fn cancel(&mut self, request: &str) -> Option<Timestamp> {
        self.runs.remove(request).map(|run| run.started_at)
    }
}

#[cfg(test)]
mod tests;
