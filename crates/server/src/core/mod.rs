//! The core: owns the decisions and carries them out; knows no socket and no clock.

mod actions;
mod answers;
mod arrivals;
pub mod backend_selector;
pub mod concurrency_limits;
mod deadlines;
mod deferred_events;
mod dispatch;
pub mod durability;
mod engine_commands;
pub mod event_loop;
mod executor;
mod in_flight;
pub mod quota_gate;
mod request_limits;
mod request_observer;
mod run_commands;
mod server_status;
mod stored_results;
mod turns;
mod upstream_call;
mod upstream_events;
