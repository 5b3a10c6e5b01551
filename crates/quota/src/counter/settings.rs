//! Settings of a counter.

use compact_str::CompactString;
use madderbay::time::Duration;

/// A counter as the operator configures it.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSettings {
    /// Name of the counter, the same on all servers.
    pub name: CompactString,
    /// Length of the window that an estimate covers.
    pub window: Duration,
    /// Upper bound on the count of one key on one server per second. It limits the assumed counts
    /// of servers whose snapshots are missing.
    pub max_per_second: f64,
}
