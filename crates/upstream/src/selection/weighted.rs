//! Weighted random selection of backends.

use crate::backend_id::BackendId;

/// Draws backends with probabilities in proportion to their weights.
#[derive(Clone, Debug, Default)]
pub struct WeightedSampler {
    entries: Vec<Entry>,
}

/// A backend, and the sum of the weights up to and including its own.
#[derive(Clone, Copy, Debug)]
struct Entry {
    cumulative_weight: f64,
    backend: BackendId,
}

impl WeightedSampler {
    /// Creates a sampler of the given backends. Those without a positive weight are never drawn.
    pub fn new(weights: impl IntoIterator<Item = (BackendId, f64)>) -> WeightedSampler {
        let mut cumulative_weight = 0.0;
        let with_weight = weights.into_iter().filter(|(_, weight)| *weight > 0.0);
        let entries = with_weight.map(|(backend, weight)| {
            cumulative_weight += weight;
            Entry {
                cumulative_weight,
                backend,
            }
        });
        WeightedSampler {
            entries: entries.collect(),
        }
    }

    /// Returns the sum of all weights.
    pub fn total_weight(&self) -> f64 {
        self.entries
            .last()
            .map_or(0.0, |entry| entry.cumulative_weight)
    }

    /// Returns the number of backends that can be drawn.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether no backend can be drawn.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the backend at a fraction of the total weight, 0 to 1, or `None` if the sampler is empty.
    pub fn at(&self, fraction: f64) -> Option<BackendId> {
        let wanted = fraction * self.total_weight();
        let last = self.entries.len().checked_sub(1)?;
        let found = self
            .entries
            .partition_point(|entry| entry.cumulative_weight <= wanted);
        Some(self.entries[found.min(last)].backend)
    }

    /// Draws two backends and returns the one with the lower cost. The backend to `avoid` is drawn only if there is no
    /// other. `random` returns numbers from 0 to 1; `cost` returns the expected wait of a call at a backend.
    pub fn cheaper_of_two(
        &self,
        avoid: Option<BackendId>,
        mut random: impl FnMut() -> f64,
        cost: impl Fn(BackendId) -> f64,
    ) -> Option<BackendId> {
        let first = self.draw(avoid, &mut random)?;
        let second = self.draw(avoid, &mut random)?;
        Some(if cost(second) < cost(first) {
            second
        } else {
            first
        })
    }

    fn draw(
        &self,
        avoid: Option<BackendId>,
        random: &mut impl FnMut() -> f64,
    ) -> Option<BackendId> {
        let drawn = self.at(random())?;
        if Some(drawn) != avoid || self.len() < 2 {
            return Some(drawn);
        }
        // The avoided backend was drawn: draws one of the others instead, all with the same probability.
        let position = self
            .entries
            .iter()
            .position(|entry| entry.backend == drawn)?;
        let others = self.len() - 1;
        let step = 1 + (random() * others as f64) as usize;
        Some(self.entries[(position + step.min(others)) % self.len()].backend)
    }
}

#[cfg(test)]
mod tests;
