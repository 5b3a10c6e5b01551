//! Estimates of how long runs take.
//!
//! [`RunTimes`] keeps, in seconds, the mean run time by handler and over all runs, the best mean, the largest run time,
//! and the influence of a client's work hint. It is updated with the time of each run that made all its calls.

use super::best_mean::BestMean;
use crate::estimators::{Average, Slope};
use crate::interface::{Handler, HandlerId};
use crate::time::Duration;

/// Initial estimate of a run time or a call time, as a fraction of the latency objective.
const INITIAL_ESTIMATE_IN_OBJECTIVES: f64 = 0.1;
/// Weight of the newest run in a mean, which covers about the last 30 runs.
const RUN_WEIGHT: f64 = 0.03;
/// Factor on the largest run time per run: it is halved after 700 runs, so that the effect of one outlier fades.
const LARGEST_RUN_DECAY_FACTOR: f64 = 0.999;

/// Returns the initial estimate of a run time or a call time, in seconds, used while nothing has been measured.
pub(super) fn initial_estimate_secs(objective_secs: f64) -> f64 {
    objective_secs * INITIAL_ESTIMATE_IN_OBJECTIVES
}

/// The mean run time and mean work hint of one handler, in seconds.
struct HandlerRunTimes {
    mean: Average,
    mean_hint: Average,
}

/// Estimates the run times of all handlers.
pub(super) struct RunTimes {
    handlers: Vec<HandlerRunTimes>,
    mean: Average,
    best: BestMean,
    largest_secs: f64,
    /// Slope of the run time over the client's work hint.
    hint_slope: Slope,
}

impl RunTimes {
    /// Starts with estimates from the latency objectives, of which `objective_fraction` is available to this tier.
    pub(super) fn new(handlers: &[Handler], objective_fraction: f64) -> RunTimes {
        let guess = |handler: &Handler| {
            initial_estimate_secs(handler.latency_objective.as_secs_f64() * objective_fraction)
        };
        let mean_secs = handlers.iter().map(guess).sum::<f64>() / handlers.len() as f64;
        let times = |handler: &Handler| HandlerRunTimes {
            mean: Average::new(guess(handler), RUN_WEIGHT),
            mean_hint: Average::new(guess(handler), RUN_WEIGHT),
        };
        RunTimes {
            handlers: handlers.iter().map(times).collect(),
            mean: Average::new(mean_secs, RUN_WEIGHT),
            best: BestMean::new(f64::MAX),
            largest_secs: mean_secs,
            hint_slope: Slope::default(),
        }
    }

    /// Returns the mean run time over all handlers, in seconds.
    pub(super) fn mean_secs(&self) -> f64 {
        self.mean.value()
    }

    /// Returns the mean run time of a handler, in seconds.
    pub(super) fn mean_secs_of(&self, handler: HandlerId) -> f64 {
        self.handlers[handler.index()].mean.value()
    }

    /// Returns the best recent value of the mean over all handlers, in seconds.
    pub(super) fn best_secs(&self) -> f64 {
        self.best.secs()
    }

    /// Returns the largest recent run time, in seconds.
    pub(super) fn largest_secs(&self) -> f64 {
        self.largest_secs
    }

    /// Returns the expected run time of a request, in seconds.
    ///
    /// The time that a run spends waiting does not grow with its work, so a work hint shifts the mean along a slope. If
    /// the mean were scaled by the hint, long requests would be considered infeasible.
    pub(super) fn expected_secs(&self, handler: HandlerId, work_hint: Option<Duration>) -> f64 {
        let times = &self.handlers[handler.index()];
        let extra = work_hint.map_or(0.0, |hint| {
            self.hint_slope.value() * (hint.as_secs_f64() - times.mean_hint.value())
        });
        (times.mean.value() + extra).max(0.0)
    }

    /// Records the time of a run that skipped no call.
    pub(super) fn record(
        &mut self,
        handler: HandlerId,
        work_hint: Option<Duration>,
        run: Duration,
    ) {
        let run_secs = run.as_secs_f64();
        let times = &mut self.handlers[handler.index()];
        if let Some(hint) = work_hint {
            let deviation = hint.as_secs_f64() - times.mean_hint.value();
            times.mean_hint.record(hint.as_secs_f64());
            let run_deviation = run_secs - times.mean.value();
            self.hint_slope.record(deviation, run_deviation, RUN_WEIGHT);
        }
        times.mean.record(run_secs);
        self.mean.record(run_secs);
        self.best.record(self.mean.value());
        let decayed = self.largest_secs * LARGEST_RUN_DECAY_FACTOR;
        self.largest_secs = run_secs.max(decayed).max(self.mean.value());
    }

    /// Lowers the mean of an idle handler to its latency objective if it is longer. Otherwise, the handler's requests
    /// would be rejected for ever.
    pub(super) fn limit_mean(&mut self, handler: HandlerId, objective_secs: f64) {
        self.handlers[handler.index()].mean.limit_to(objective_secs);
    }
}
