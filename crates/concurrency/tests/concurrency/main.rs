//! Tests of the concurrency limiter, one module for each behavior.

mod adaptive_limit;
mod arbitrary_events;
mod fair_share;
mod limit_edge_cases;
mod pools;
mod reference_run;
mod reserve;
mod simulation;
mod support;
mod upstreams;
