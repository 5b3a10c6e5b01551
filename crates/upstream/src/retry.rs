//! Retries: whether a call gets a further attempt, and how many of them a group of backends allows.
//!
//! [`policy`] judges one call, [`budget`] bounds the retries of all calls of a group. The manager of the backends asks
//! the policy first, picks a backend, and spends from the budget last.

pub(crate) mod budget;
pub(crate) mod policy;
