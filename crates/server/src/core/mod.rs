//! The core: owns the decision module, hands it what happens and carries out what it decides. Sans I/O: it knows
//! no socket and no clock, is given the time with each event, and writes into outboxes.
//!
//! What happens arrives in `arrivals` (load balancers), `upstream_events` (engine, catalogue, backends),
//! `stored_results` (the disk) and `turns` (time); each hands it to the decision module in `event_loop`.
//! The module's `actions` are carried out by the `executor`: `answers` to clients, `engine_commands` to the
//! engine, and `dispatch` of calls to catalogue and backends.
//!
//! Each piece of state has one owner: `in_flight` the requests, with the `run_commands` and the `upstream_call`
//! of each; `downstream_answers` the downstream connections, with the `server_status` that answers carry;
//! `engine_commands` the link to the engine; `idempotent_runs` the idempotency keys, with the queue of `durability`;
//! `deadlines` what is due, with the tick; `deferred_events` what the decision module is told after it has acted;
//! `request_limits` the operator's limits, which follow each request as a `request_observer`; `backend_selector` the
//! choice among backends.

mod actions;
mod answers;
mod arrivals;
/// The choice among backends, as the core asks for it.
pub mod backend_selector;
/// Concurrency limits by pool, from the operator file.
pub mod concurrency_limits;
mod deadlines;
mod deferred_events;
mod dispatch;
mod downstream_answers;
/// Durable results: what waits for the disk, and the thread that writes.
pub mod durability;
mod engine_commands;
/// The core itself, as its drivers call it.
pub mod event_loop;
mod executor;
/// Names of handlers in the operator file.
pub mod handler_names;
mod idempotent_runs;
mod in_flight;
/// Quotas of the fleet, as the core meets them.
pub mod quota_gate;
mod request_limits;
mod request_observer;
mod run_commands;
mod server_status;
mod stored_results;
mod turns;
mod upstream_call;
mod upstream_events;
