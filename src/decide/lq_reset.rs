//! The LQ controller of He et al., which resets the budget from a fitted model of its effect.
//!
//! [`LqReset`] fits the latency over past latencies and budgets by recursive least squares. At each completion it is
//! given both as ratios to their references: latencies to the setpoint, budgets to the minimum budget. It returns the
//! new budget and leaves it to the caller to set it.

use crate::estimators::LeastSquares;

/// Number of past latencies, and of past budgets, in the model (the paper's order).
const MODEL_ORDER: usize = 10;
/// Number of inputs of the model: the past latencies, the newest first, then the past budgets.
const MODEL_INPUTS: usize = 2 * MODEL_ORDER;
/// Index of the newest budget among the inputs.
const NEWEST_BUDGET: usize = MODEL_ORDER;
/// Number of completions from one reset to the next.
const RESET_INTERVAL_COMPLETIONS: u32 = 10;
/// Weight of the error in the cost (the paper's W).
const ERROR_WEIGHT: f64 = 0.5;
/// Weight of a change of the budget in the cost (the paper's Q).
const CHANGE_WEIGHT: f64 = 0.5;
/// Factor on the weight of earlier observations at each new one: about 100 of them count, so that those from the start
/// fade.
const FORGETTING_FACTOR: f64 = 0.99;
/// Initial variance of the coefficients, of which nothing is known at the start.
const INITIAL_VARIANCE: f64 = 100.0;

/// Finds the budget of least cost at every tenth completion.
pub(super) struct LqReset {
    completions: u32,
    model: LeastSquares<MODEL_INPUTS>,
    /// The inputs of the next observation.
    inputs: [f64; MODEL_INPUTS],
}

impl LqReset {
    /// Starts with a model that shows no effect of the budget yet.
    pub(super) fn new() -> LqReset {
        LqReset {
            completions: 0,
            model: LeastSquares::new(INITIAL_VARIANCE),
            inputs: [0.0; MODEL_INPUTS],
        }
    }

    /// Counts a completion. At a reset, returns the budget of least cost if the model shows an effect of the budget.
    pub(super) fn on_completion(&mut self, latency: f64, budget: f64) -> Option<f64> {
        self.completions += 1;
        if !self.completions.is_multiple_of(RESET_INTERVAL_COMPLETIONS) {
            return None;
        }
        self.model.learn(&self.inputs, latency, FORGETTING_FACTOR);
        self.push_latency(latency);
        let optimum = self.optimum(budget);
        self.inputs[NEWEST_BUDGET] = optimum.unwrap_or(budget);
        optimum
    }

    /// Adds the newest latency to the inputs. The entry for the newest budget stays 0 until that budget is chosen.
    fn push_latency(&mut self, latency: f64) {
        self.inputs.copy_within(0..MODEL_ORDER - 1, 1);
        self.inputs
            .copy_within(NEWEST_BUDGET..MODEL_INPUTS - 1, NEWEST_BUDGET + 1);
        self.inputs[0] = latency;
        self.inputs[NEWEST_BUDGET] = 0.0;
    }

    /// Returns the budget that minimizes the weighted squares of the expected error and of the change, if the model
    /// shows an effect.
    fn optimum(&self, budget: f64) -> Option<f64> {
        let latency_without_budget = self.model.predict(&self.inputs);
        let effect = self.model.coefficient(NEWEST_BUDGET);
        let error_cost = ERROR_WEIGHT * ERROR_WEIGHT;
        let change_cost = CHANGE_WEIGHT * CHANGE_WEIGHT;
        let optimum = (error_cost * effect * (1.0 - latency_without_budget) + change_cost * budget)
            / (error_cost * effect * effect + change_cost);
        (effect > 0.0 && optimum.is_finite()).then_some(optimum)
    }
}
