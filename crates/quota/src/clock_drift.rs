//! The assumption about clocks on which leases and ages of snapshots rest.

/// Fraction by which the monotonic clocks of two servers may gain on each other.
pub(crate) const MAX_CLOCK_DRIFT: f64 = 0.02;
