//! Numbers of calls at one backend, as they are judged and reported.

/// Recent successes and failures at one backend; older ones count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct CallCounts {
    pub(crate) successes: f64,
    pub(crate) failures: f64,
}
