//! Hedges: whether and after which delay a call in flight gets a second attempt.
//!
//! [`policy`] judges one call, [`delay_estimator`] follows the latencies of a group of backends, from which the delay
//! comes. A hedge that is due counts as a retry: its backend and the retry budget are those of [`crate::retry`].

pub(crate) mod delay_estimator;
pub(crate) mod policy;
