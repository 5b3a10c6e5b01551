//! How long runs take.
//!
//! Owns the estimates of run times, in seconds: means by handler and over all runs, the best and the largest, and how
//! a client's work hint moves them. Is given the time of each run that made all its calls. Decides nothing.

use super::best_mean::BestMean;
use crate::estimators::{Average, Slope};
use crate::interface::{Handler, HandlerId};
use crate::time::Duration;

/// First guess of a run time or a call time, in latency objectives.
const INITIAL_ESTIMATE_IN_OBJECTIVES: f64 = 0.1;
/// Weight of the newest run in a mean: about the last 30 runs count.
const RUN_WEIGHT: f64 = 0.03;
/// Fraction of the largest run time kept per run: halved after 700 runs, so that one outlier fades.
const LARGEST_RUN_DECAY_FACTOR: f64 = 0.999;

/// First guess of a run time or a call time, in seconds, where nothing was measured.
pub(super) fn initial_estimate_secs(objective_secs: f64) -> f64 {
    objective_secs * INITIAL_ESTIMATE_IN_OBJECTIVES
}

/// The run times of one handler, in seconds.
struct HandlerRunTimes {
    mean: Average,
    mean_hint: Average,
}

/// The run times of all handlers.
pub(super) struct RunTimes {
    handlers: Vec<HandlerRunTimes>,
    mean: Average,
    best: BestMean,
    largest_secs: f64,
    /// Of the run time over the client's work hint.
    hint_slope: Slope,
}

impl RunTimes {
    /// Begins with guesses from the latency objectives, of which this tier has that fraction.
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

    /// Mean run time over all handlers, in seconds.
    pub(super) fn mean_secs(&self) -> f64 {
        self.mean.value()
    }

    /// Mean run time of a handler, in seconds.
    pub(super) fn mean_secs_of(&self, handler: HandlerId) -> f64 {
        self.handlers[handler.index()].mean.value()
    }

    /// Best value of late of the mean over all handlers, in seconds.
    pub(super) fn best_secs(&self) -> f64 {
        self.best.secs()
    }

    /// Largest run time of late, in seconds.
    pub(super) fn largest_secs(&self) -> f64 {
        self.largest_secs
    }

    /// Expected run time of a request, in seconds.
    ///
    /// The time that runs wait does not grow with their work, so a hint moves the mean along a slope. Were the mean
    /// scaled by it, long requests would pass for infeasible.
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

    /// Lowers the mean of an idle handler to its latency objective: a longer one would be rejected for ever.
    pub(super) fn limit_mean(&mut self, handler: HandlerId, objective_secs: f64) {
        self.handlers[handler.index()].mean.limit_to(objective_secs);
    }
}
