//! Use of pools and upstreams, as the limiter reports it for counters.

use madderbay::interface::HandlerId;

/// Use of one pool. A ceiling of `usize::MAX` means that there is no ceiling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolUsage<'a> {
    /// Name of the pool.
    pub name: &'a str,
    /// Requests that have not started.
    pub queued: usize,
    /// Runs in flight.
    pub runs: usize,
    /// Calls in flight.
    pub calls: usize,
    /// Ceiling on runs.
    pub max_runs: usize,
    /// Ceiling on calls.
    pub max_calls: usize,
}

/// Use of the limits on calls, summed over the upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallUsage {
    /// Limit in calls, possibly fractional.
    pub limit: f64,
    /// Calls in flight.
    pub in_flight: usize,
}

/// Use of the limit of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamUsage {
    /// Handlers that call this upstream.
    pub handlers: Vec<HandlerId>,
    /// Limit on calls, and calls in flight.
    pub calls: CallUsage,
}
