//! An estimated count with its error bound.

/// How often a key came in the window, over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CountEstimate {
    /// Most likely count.
    pub value: f64,
    /// Lower bound on the true count.
    pub low: f64,
    /// Upper bound on the true count.
    pub high: f64,
    /// Servers whose counts are missing for a part of the window.
    pub stale_servers: usize,
}

impl CountEstimate {
    /// Upper bound on the distance between [`CountEstimate::value`] and the true count.
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
