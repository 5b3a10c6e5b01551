//! Counts of calls at one backend, used for outlier detection and in reports to other servers.

/// Recent successes and failures at one backend. The counts decay with age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct CallCounts {
    pub(crate) successes: f64,
    pub(crate) failures: f64,
}
