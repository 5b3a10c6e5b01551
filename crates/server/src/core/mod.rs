//! The core: owns the decisions and carries them out; knows no socket and no clock.

mod arrivals;
pub mod concurrency_limits;
pub mod dispatch;
pub mod durability;
pub mod event_loop;
pub mod handler_names;
pub mod in_flight;
pub mod quota_gate;
pub mod request_observer;
mod stored_results;
mod upstream_events;
