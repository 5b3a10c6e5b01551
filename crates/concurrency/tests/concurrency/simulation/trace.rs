//! Traces: the samples recorded by a simulation.

/// Interval of the samples, in ms.
pub(crate) const SAMPLE_INTERVAL_MS: u64 = 10;

/// State of a simulation at the time of one sample.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) limit: f64,
    /// Calls that occupy the upstream, including abandoned ones.
    pub(crate) in_flight: usize,
    /// Calls that succeeded so far.
    pub(crate) succeeded: u32,
    /// Calls that did not succeed so far.
    pub(crate) failed: u32,
}

/// The samples of a simulation, one every 10 ms.
pub(crate) struct Trace {
    pub(crate) samples: Vec<Sample>,
}

impl Trace {
    pub(crate) fn samples_between(&self, from_ms: u64, to_ms: u64) -> &[Sample] {
        let index = |ms: u64| (ms / SAMPLE_INTERVAL_MS) as usize;
        &self.samples[index(from_ms)..index(to_ms).min(self.samples.len())]
    }

    /// Returns the growth of a counter over a period.
    fn growth(&self, from_ms: u64, to_ms: u64, counter: impl Fn(&Sample) -> u32) -> u32 {
        let samples = self.samples_between(from_ms, to_ms);
        samples.last().map_or(0, &counter) - samples.first().map_or(0, &counter)
    }

    pub(crate) fn succeeded(&self, from_ms: u64, to_ms: u64) -> u32 {
        self.growth(from_ms, to_ms, |s| s.succeeded)
    }

    pub(crate) fn failed(&self, from_ms: u64, to_ms: u64) -> u32 {
        self.growth(from_ms, to_ms, |s| s.failed)
    }

    pub(crate) fn peak_in_flight(&self, from_ms: u64, to_ms: u64) -> usize {
        let samples = self.samples_between(from_ms, to_ms).iter();
        samples.map(|s| s.in_flight).max().unwrap_or(0)
    }

    /// Returns the difference between the highest and the lowest limit of a period, as a fraction
    /// of its mean limit.
    pub(crate) fn limit_variation(&self, from_ms: u64, to_ms: u64) -> f64 {
        let samples = self.samples_between(from_ms, to_ms).iter();
        let limits: Vec<f64> = samples.map(|s| s.limit).collect();
        let low = limits.iter().copied().fold(f64::MAX, f64::min);
        let high = limits.iter().copied().fold(0.0f64, f64::max);
        (high - low) / (limits.iter().sum::<f64>() / limits.len() as f64)
    }
}
