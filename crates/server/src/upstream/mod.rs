//! What lies below: the engine that runs reqs, and the catalogue that answers their calls.

pub mod calls;
pub mod engine;
