//! Hedges: the delay after which a call in flight is worth one.

pub(crate) mod delay_estimator;
