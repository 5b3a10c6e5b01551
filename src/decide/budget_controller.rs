//! The budget B of He et al.: mean response times (MRT), integral step, least squares fit with its LQ reset,
//! EqResv allowances. Owns the budget and the run times, in seconds; never starts or rejects a request.

use super::*;

const MRT_ALPHA: f64 = 0.05; // Weight of the newest response in a handler's MRT (paper).
const SETPOINT: f64 = 0.8; // Of MRT, in objectives: with a mean at 1 half of the answers are late (ours).
const INTEGRAL_GAIN: f64 = 1.0; // K_I, in mean runs of budget for an error of one objective (paper).
const ORDER: usize = 10; // Past points in the fit (paper, Bing settings).
const REFIT_INTERVAL: u32 = 10; // Completions between two LQ resets (paper, Bing settings).
const LQ_W: f64 = 0.5; // Weight of the LQ cost on the error (paper).
const LQ_Q: f64 = 0.5; // Weight of the LQ cost on the change of the budget (paper).
const FORGETTING: f64 = 0.99; // Factor of the fit: about 100 refits, so that the warm-up fades (ours).
const INITIAL_VARIANCE: f64 = 100.0; // Of the fit's coefficients: nothing is known of them (ours).
const LARGEST_RUN_DECAY: f64 = 0.999; // Per completion: halved after 700, so that one outlier fades (ours).
const IDLE_MRT_DECAY: f64 = 0.995; // Per tick of an idle handler: halved in about 1.5 s (ours).

/// What is measured of one handler, in seconds.
pub(super) struct HandlerTimes {
    setpoint: f64,
    pub(super) mrt: f64,
    pub(super) mean_run: f64,
    mean_hint: f64,
}

/// The budget and what steers it. Other parts only read the budget, the cores and the times.
pub(super) struct BudgetController {
    pub(super) budget: f64,
    pub(super) cores: f64,
    pub(super) mean_run: f64,
    pub(super) best_run: f64,
    largest_run: f64,
    pub(super) handlers: Vec<HandlerTimes>,
    /// Of the run time over the client's work hint.
    hint_slope: Slope,
    completions: u32,
    /// Over the last `ORDER` latencies and budgets, as ratios to their references.
    fit: LeastSquares<{ 2 * ORDER }>,
    last_step: Timestamp,
}

impl BudgetController {
    /// `fraction` of each latency objective is this tier's own.
    pub(super) fn new(
        now: Timestamp,
        cores: u32,
        handlers: &[Handler],
        fraction: f64,
    ) -> BudgetController {
        let times = |handler: &Handler| {
            let objective = handler.latency_objective.as_secs_f64() * fraction;
            let guess = objective * RUN_TIME_GUESS;
            HandlerTimes {
                setpoint: objective * SETPOINT,
                mrt: guess,
                mean_run: guess,
                mean_hint: guess,
            }
        };
        let handlers: Vec<HandlerTimes> = handlers.iter().map(times).collect();
        let mean_run = handlers.iter().map(|h| h.mean_run).sum::<f64>() / handlers.len() as f64;
        let cores = f64::from(cores);
        BudgetController {
            budget: cores * mean_run,
            cores,
            mean_run,
            best_run: f64::MAX,
            largest_run: mean_run,
            handlers,
            hint_slope: Slope::default(),
            completions: 0,
            fit: LeastSquares::new(INITIAL_VARIANCE),
            last_step: now,
        }
    }

    pub(super) fn floor(&self) -> f64 {
        self.cores * self.mean_run
    }

    /// Latency of the handler furthest over its setpoint, as a ratio to that setpoint.
    pub(super) fn worst_latency(&self) -> f64 {
        self.handlers
            .iter()
            .map(|h| h.mrt / h.setpoint)
            .fold(0.0, f64::max)
    }

    /// Records the time of a run that skipped no call.
    pub(super) fn record_run(&mut self, handler: HandlerId, hint: Option<Duration>, run: Duration) {
        let (run, times) = (run.as_secs_f64(), &mut self.handlers[handler.index()]);
        if let Some(hint) = hint {
            let deviation = hint.as_secs_f64() - times.mean_hint;
            times.mean_hint += SAMPLE_WEIGHT * deviation;
            self.hint_slope
                .record(deviation, run - times.mean_run, SAMPLE_WEIGHT);
        }
        times.mean_run += SAMPLE_WEIGHT * (run - times.mean_run);
        self.mean_run += SAMPLE_WEIGHT * (run - self.mean_run);
        self.best_run = (self.best_run * BEST_DRIFT).min(self.mean_run);
        self.largest_run = run
            .max(self.largest_run * LARGEST_RUN_DECAY)
            .max(self.mean_run);
    }

    /// Steers by one completion. Those of one moment, as after a pause, make one integral step: more would
    /// leave a lasting cut.
    pub(super) fn complete(
        &mut self,
        now: Timestamp,
        handler: HandlerId,
        response: Duration,
        pending: usize,
    ) {
        let mrt = &mut self.handlers[handler.index()].mrt;
        *mrt += MRT_ALPHA * (response.as_secs_f64() - *mrt);
        let max = ((pending as f64 + self.cores) * self.largest_run).max(self.floor());
        if now > self.last_step {
            self.last_step = now;
            self.budget +=
                INTEGRAL_GAIN * (1.0 - self.worst_latency()).max(-MAX_ERROR) * self.mean_run;
        }
        self.budget = self.budget.clamp(self.floor(), max);
        self.completions += 1;
        if self.completions.is_multiple_of(REFIT_INTERVAL) {
            let unit = self.floor();
            if let Some(optimum) = self.refit(self.worst_latency(), self.budget / unit) {
                self.budget = (optimum * unit).clamp(unit, max);
            }
        }
    }

    /// Learns that `latency` followed; returns the budget of least LQ cost where the fit shows an effect.
    fn refit(&mut self, latency: f64, budget: f64) -> Option<f64> {
        self.fit.learn(latency, FORGETTING);
        self.fit.inputs.copy_within(0..ORDER - 1, 1);
        self.fit.inputs.copy_within(ORDER..2 * ORDER - 1, ORDER + 1);
        (self.fit.inputs[0], self.fit.inputs[ORDER]) = (latency, 0.0);
        let (rest, effect) = (self.fit.predict(), self.fit.coefficient(ORDER));
        let (w, q) = (LQ_W * LQ_W, LQ_Q * LQ_Q);
        let optimum = (w * effect * (1.0 - rest) + q * budget) / (w * effect * effect + q);
        let usable = effect > 0.0 && optimum.is_finite();
        self.fit.inputs[ORDER] = if usable { optimum } else { budget };
        usable.then_some(optimum)
    }

    /// Lets an idle handler's MRT drift back to its run time: one wholly rejected would else keep its cut.
    pub(super) fn relax_idle(&mut self, handler: HandlerId) {
        let times = &mut self.handlers[handler.index()];
        let rest = times.mean_run.min(times.setpoint * 0.5);
        times.mrt = rest + (times.mrt - rest) * IDLE_MRT_DECAY;
        times.mean_run = times.mean_run.min(times.setpoint / SETPOINT);
    }

    /// Expected run time in seconds. Waits do not grow with the work, so a hint moves the mean along a slope:
    /// were the mean scaled by it, long requests would pass for infeasible.
    pub(super) fn expected_run(&self, handler: HandlerId, hint: Option<Duration>) -> f64 {
        let (times, slope) = (&self.handlers[handler.index()], self.hint_slope.value());
        let extra = hint.map_or(0.0, |hint| slope * (hint.as_secs_f64() - times.mean_hint));
        (times.mean_run + extra).max(0.0)
    }

    /// EqResv allowance of the first of the queued requests.
    pub(super) fn allowance(&self, queued: usize) -> Duration {
        let length = (queued as f64 / self.cores).max(1.0);
        Duration::from_secs_f64(
            (self.budget / length).max(self.budget - (length - 1.0) * self.mean_run),
        )
    }
}
