//! The simulated execution engine of one server: a few cores shared evenly by the runs on them.

use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// A run counts as having reached a point when less than this many core seconds are missing.
const WORK_TOLERANCE_S: f64 = 1e-7;
/// Added to a computed instant, because timestamps are cut to whole microseconds.
const ROUNDING_MARGIN: Duration = Duration::from_micros(2);
/// The fraction of its work after which a run needs the answer of its upstream call.
const CALL_POINT_FRACTION: f64 = 0.5;

/// One run of a request.
struct Run {
    remaining_s: f64,
    /// The remaining work at which the run stops for its upstream call; none without a call or after it.
    call_at_remaining_s: Option<f64>,
    is_on_core: bool,
    started_at: Timestamp,
}

/// What a run reached.
pub(crate) enum EngineEvent {
    /// The run waits for the answer of its upstream call.
    NeedsCall { request: String },
    /// The run is complete.
    Finished { request: String, run_time: Duration },
}

/// Owns the runs of one server and the work that each still needs. It does not know what a run is for.
pub(crate) struct Engine {
    cores: f64,
    slowdown: f64,
    runs: BTreeMap<String, Run>,
    advanced_to: Timestamp,
    serial: u64,
}

impl Engine {
    /// An engine without runs.
    pub(crate) fn new(now: Timestamp, cores: f64) -> Engine {
        Engine {
            cores,
            slowdown: 1.0,
            runs: BTreeMap::new(),
            advanced_to: now,
            serial: 0,
        }
    }

    /// Makes all work take this many times as long.
    pub(crate) fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// The serial number of the next notice to the server.
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    /// The number of runs that use a core or wait for their share of one.
    pub(crate) fn runs_on_cores(&self) -> usize {
        self.runs.values().filter(|run| run.is_on_core).count()
    }

    /// Core seconds of work that each run gets done in a second.
    fn speed_per_run(&self) -> f64 {
        let runs = self.runs_on_cores().max(1);
        (self.cores / runs as f64).min(1.0) / self.slowdown
    }

    /// Works up to `now`. Returns the runs that need a call, then those that finished, each in the order of their
    /// names.
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

    /// When the next run needs a call or finishes, if nothing changes before.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        let on_cores = self.runs.values().filter(|run| run.is_on_core);
        let least_s = on_cores
            .map(|run| run.remaining_s - run.call_at_remaining_s.unwrap_or(0.0))
            .min_by(f64::total_cmp)?;
        let wait = Duration::from_secs_f64(least_s.max(0.0) / self.speed_per_run());
        Some(self.advanced_to + wait + ROUNDING_MARGIN)
    }

    /// Starts a run of so many core seconds. A run of the same request that is under way stays as it is.
    pub(crate) fn start(&mut self, now: Timestamp, request: &str, work_s: f64, makes_call: bool) {
        let run = Run {
            remaining_s: work_s,
            call_at_remaining_s: makes_call.then_some(work_s * CALL_POINT_FRACTION),
            is_on_core: true,
            started_at: now,
        };
        self.runs.entry(request.into()).or_insert(run);
    }

    /// Goes on with a run whose call was answered or skipped.
    pub(crate) fn resume(&mut self, request: &str) {
        if let Some(run) = self.runs.get_mut(request) {
            run.is_on_core = true;
        }
    }

    /// Ends a run early. Returns when it had started; none if there is no such run.
    pub(crate) fn cancel(&mut self, request: &str) -> Option<Timestamp> {
        self.runs.remove(request).map(|run| run.started_at)
    }
}

#[cfg(test)]
mod tests;
