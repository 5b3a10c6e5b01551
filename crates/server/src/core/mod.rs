//! The core: owns the decisions and carries them out; knows no socket and no clock.

mod arrivals;
pub mod request_observer;
pub mod in_flight;
pub mod durability;
mod stored_results;
pub mod dispatch;
pub mod quota_gate;
mod upstream_events;
pub mod concurrency_limits;
pub mod event_loop;
