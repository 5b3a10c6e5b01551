//! Selection of a backend.

pub mod weighted;
