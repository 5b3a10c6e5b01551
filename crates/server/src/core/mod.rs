//! The core of the server: it passes events to the decision module and carries out its decisions.
//! It does no I/O itself (sans I/O): it uses no socket and no clock, is given the time with each
//! event, and writes outgoing bytes to outboxes.
//!
//! Events enter through `arrivals` (load balancers), `upstream_events` (engine, catalogue and
//! backends), `stored_results` (the disk) and `turns` (time), which pass them to the decision
//! module in `event_loop`. The actions that the decision module answers with are in `actions` and
//! are carried out by the `executor`, by means of `answers` to clients, `engine_commands` to the
//! engine, and `dispatch` of calls to the catalogue and the backends.
//!
//! Each piece of state has one owner:
//!
//! - `in_flight`: the requests in flight, with the `run_commands` and the `upstream_call` of each.
//! - `downstream_answers`: the downstream connections, with the `server_status` that answers carry.
//! - `engine_commands`: the link to the engine.
//! - `idempotent_runs`: the idempotency keys, with the queue of `durability`.
//! - `deadlines`: all deadlines, and the timer of the tick.
//! - `deferred_events`: events that the decision module is given after it has acted.
//! - `request_limits`: the operator's limits, each of which is a `request_observer`.
//! - `backend_selector`: the selection of backends.

mod actions;
mod answers;
mod arrivals;
/// Selection of backends for the calls of the core.
pub mod backend_selector;
/// Concurrency limits of pools, from the operator file.
pub mod concurrency_limits;
mod deadlines;
mod deferred_events;
mod dispatch;
mod downstream_answers;
/// Durable results: the work that waits for the disk, and the thread that writes to it.
pub mod durability;
mod engine_commands;
/// The event loop, as its drivers call it.
pub mod event_loop;
mod executor;
/// Names of handlers in the operator file.
pub mod handler_names;
mod idempotent_runs;
mod in_flight;
/// Enforcement of the fleet's quotas.
pub mod quota_gate;
mod request_limits;
mod request_observer;
mod run_commands;
mod server_status;
mod stored_results;
mod turns;
mod upstream_call;
mod upstream_events;
