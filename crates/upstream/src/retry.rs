//! Retries: whether a call gets a further attempt, and how many of them a group of backends allows.
//!
//! [`policy`] decides on a single call, [`budget`] limits the retries of all calls of a group. The manager of the
//! backends consults the policy first, then selects a backend, and spends from the budget last.

pub(crate) mod budget;
pub(crate) mod policy;
