//! Estimators: averages, rates, ranks, regressions, recently seen clients.
//!
//! Each estimator is given samples and keeps its estimate. The caller decides what is measured and what follows from
//! the estimate.

use crate::time::{Duration, Timestamp};
use std::array::from_fn;
use std::collections::{HashMap, VecDeque};

/// Largest absolute value of an entry of the covariance matrix; prevents overflow.
const MAX_COVARIANCE: f64 = 1e6;
/// Least variance of a regression's input; prevents infinite slopes.
const MIN_VARIANCE: f64 = 1e-9;

/// Exponentially weighted moving average.
#[derive(Debug)]
pub(crate) struct Average {
    value: f64,
    weight: f64,
}

impl Average {
    /// Returns an average that begins at a first guess. `weight`, 0 to 1, is the weight of the newest sample.
    pub(crate) fn new(first_guess: f64, weight: f64) -> Average {
        Average {
            value: first_guess,
            weight,
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    pub(crate) fn record(&mut self, sample: f64) {
        self.value += self.weight * (sample - self.value);
    }

    /// Moves the average towards `target`; `kept_fraction` of its distance from `target` remains.
    pub(crate) fn relax_towards(&mut self, target: f64, kept_fraction: f64) {
        self.value = target + (self.value - target) * kept_fraction;
    }

    /// Lowers the average to `max` where it is above.
    pub(crate) fn limit_to(&mut self, max: f64) {
        self.value = self.value.min(max);
    }

    /// Raises the average to `min` where it is below.
    pub(crate) fn raise_to(&mut self, min: f64) {
        self.value = self.value.max(min);
    }
}

/// Rate of events, which decays exponentially between them.
#[derive(Debug)]
pub(crate) struct EventRate {
    rate: f64,
    updated: Timestamp,
}

impl EventRate {
    pub(crate) fn new(now: Timestamp) -> EventRate {
        EventRate {
            rate: 0.0,
            updated: now,
        }
    }

    /// Counts an event and returns the rate per second, averaged over `window_seconds`.
    pub(crate) fn record(&mut self, now: Timestamp, window_seconds: f64) -> f64 {
        let elapsed = (now - self.updated).as_secs_f64();
        self.rate = self.rate * (-elapsed / window_seconds).exp() + 1.0 / window_seconds;
        self.updated = now;
        self.rate
    }
}

/// The clients that were seen within a time window.
#[derive(Debug)]
pub(crate) struct RecentClients {
    last_seen: HashMap<u16, Timestamp>,
    window: Duration,
}

impl RecentClients {
    pub(crate) fn new(window: Duration) -> RecentClients {
        RecentClients {
            last_seen: HashMap::new(),
            window,
        }
    }

    /// Records a client and reports whether it had already been seen within the window.
    pub(crate) fn record(&mut self, now: Timestamp, client: u16) -> bool {
        let previous = self.last_seen.insert(client, now);
        previous.is_some_and(|seen| now - seen < self.window)
    }

    /// Removes the clients that were not seen within the window.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.last_seen.retain(|_, seen| now - *seen < self.window);
    }

    /// Returns the number of recorded clients that have not been removed.
    pub(crate) fn count(&self) -> usize {
        self.last_seen.len()
    }
}

/// The latest values, at most `capacity`, against which a value is ranked.
#[derive(Debug)]
pub(crate) struct Ranking {
    values: VecDeque<f64>,
    capacity: usize,
}

impl Ranking {
    pub(crate) fn new(capacity: usize) -> Ranking {
        Ranking {
            values: VecDeque::new(),
            capacity,
        }
    }

    pub(crate) fn push(&mut self, value: f64) {
        self.values.push_back(value);
        if self.values.len() > self.capacity {
            self.values.pop_front();
        }
    }

    /// Returns the rank of a value among the latest ones, 0 to 1. `chance`, 0 to 1, is its position among equal values.
    pub(crate) fn rank(&self, value: f64, chance: f64) -> f64 {
        let lower = self.values.iter().filter(|v| **v < value).count() as f64;
        let equal = self.values.iter().filter(|v| **v == value).count() as f64;
        (lower + chance * equal) / self.values.len().max(1) as f64
    }
}

/// Slope of a value over an input, from exponentially weighted averages of covariance and variance.
#[derive(Debug, Default)]
pub(crate) struct Slope {
    covariance: f64,
    variance: f64,
}

impl Slope {
    /// Records a sample by its deviations from the means. `weight` is the weight of the newest sample.
    pub(crate) fn record(&mut self, input_deviation: f64, value_deviation: f64, weight: f64) {
        self.covariance += weight * (input_deviation * value_deviation - self.covariance);
        self.variance += weight * (input_deviation * input_deviation - self.variance);
    }

    /// Returns the change of the value per unit of the input.
    pub(crate) fn value(&self) -> f64 {
        self.covariance / self.variance.max(MIN_VARIANCE)
    }
}

/// Recursive least squares fit of a linear function of `N` inputs.
#[derive(Debug)]
pub(crate) struct LeastSquares<const N: usize> {
    coefficients: [f64; N],
    covariance: [[f64; N]; N],
}

impl<const N: usize> LeastSquares<N> {
    /// Returns a fit whose coefficients are zero, each with the given variance.
    pub(crate) fn new(variance: f64) -> LeastSquares<N> {
        let covariance = from_fn(|i| from_fn(|j| if i == j { variance } else { 0.0 }));
        LeastSquares {
            coefficients: [0.0; N],
            covariance,
        }
    }

    /// Returns the fitted coefficient of the input at this index.
    pub(crate) fn coefficient(&self, input: usize) -> f64 {
        self.coefficients[input]
    }

    /// Returns the value that the fit predicts for the inputs.
    pub(crate) fn predict(&self, inputs: &[f64; N]) -> f64 {
        dot(&self.coefficients, inputs)
    }

    /// Updates the fit with the value observed for the inputs. The forgetting factor reduces the weight of each older
    /// observation.
    pub(crate) fn learn(&mut self, inputs: &[f64; N], observed: f64, forgetting: f64) {
        let projected: [f64; N] = from_fn(|i| dot(&self.covariance[i], inputs));
        let gain = forgetting + dot(inputs, &projected);
        let error = observed - self.predict(inputs);
        for (i, row) in self.covariance.iter_mut().enumerate() {
            self.coefficients[i] += projected[i] / gain * error;
            for (entry, other) in row.iter_mut().zip(&projected) {
                let updated = (*entry - projected[i] * other / gain) / forgetting;
                *entry = updated.clamp(-MAX_COVARIANCE, MAX_COVARIANCE);
            }
        }
    }
}

fn dot<const N: usize>(a: &[f64; N], b: &[f64; N]) -> f64 {
    a.iter().zip(b).map(|(x, y)| x * y).sum::<f64>()
}
