//! Tests of the concurrency limiter.

mod fair_share;
mod limit;
mod model;
mod pools;
mod reference_run;
