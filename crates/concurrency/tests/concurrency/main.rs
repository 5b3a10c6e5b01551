//! Tests of the concurrency limiter.

mod limit;
mod model;
mod pools;
