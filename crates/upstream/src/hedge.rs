//! Hedged requests: whether a call in flight gets a second attempt, and after which delay.
//!
//! [`policy`] decides on a single call. [`delay_estimator`] tracks the latencies of a group of backends and derives the
//! delay from them. A hedge counts as a retry when it is sent: its backend and the retry budget are determined as in
//! [`crate::retry`].

pub(crate) mod delay_estimator;
pub(crate) mod policy;
