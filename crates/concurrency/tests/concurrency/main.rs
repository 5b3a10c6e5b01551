//! Tests of the concurrency limiter.

mod limit;
mod model;
mod pools;
mod reference_run;
