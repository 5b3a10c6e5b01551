//! Outlier detection.

pub mod call_history;
