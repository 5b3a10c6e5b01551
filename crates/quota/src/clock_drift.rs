//! The bound on clock drift that leases and snapshot ages rely on.

/// Maximum relative difference in rate between the monotonic clocks of two servers.
pub(crate) const MAX_CLOCK_DRIFT: f64 = 0.02;
