//! Estimated counts with error bounds.

/// Estimate of how often a key was counted in the window, by one server or by the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CountEstimate {
    /// Most likely count.
    pub value: f64,
    /// Lower bound on the true count.
    pub low: f64,
    /// Upper bound on the true count.
    pub high: f64,
    /// Number of servers whose counts are missing for a part of the window.
    pub stale_servers: usize,
}

impl CountEstimate {
    /// Returns an upper bound on the difference between [`CountEstimate::value`] and the true
    /// count.
    pub fn bound(&self) -> f64 {
        (self.high - self.value).max(self.value - self.low)
    }

    /// Adds the estimate of another server's counts.
    pub(super) fn add(&mut self, other: &CountEstimate) {
        self.low += other.low;
        self.high += other.high;
        self.value += other.value;
        self.stale_servers += other.stale_servers;
    }
}
