//! Retries: the budget that bounds them.

pub(crate) mod budget;
