//! The madderbay server: connects the decision module to sockets, JSON-RPC, the engine, the catalogue and the registry.
//!
//! Each protocol is a state machine that consumes bytes and writes into an outbox; [`support::io`] moves the bytes
//! between sockets and state machines. The modules of the program (`main`, `startup`, `server`, `tasks`) create the
//! components and run their drivers.
//!
//! # The path of a request
//!
//! 1. [`downstream::listener`] accepts the connection and reads from it.
//! 2. [`downstream::json_rpc`] parses the line, [`downstream::request_validation`] checks the request, and
//!    [`downstream::idempotency_table`] finds other attempts with the same idempotency key.
//! 3. `core/arrivals` adds it to the table of `core/in_flight` and passes it to the decision module, which is owned
//!    by [`core::event_loop`].
//! 4. The decision module returns actions, at once or in a later turn (`core/turns`). `core/actions` carries out each
//!    of them: it starts the run with `core/engine_commands`, or rejects the request with `core/answers`.
//! 5. [`upstream::engine`] sends the command. The engine's notices go to `core/upstream_events`.
//! 6. If a run waits for an upstream call, `core/dispatch` makes the call and sends its attempts to the catalogue or
//!    to backends through [`upstream::calls`]. Replies return to `core/upstream_events`, and from there to the run.
//! 7. When the run has ended, `core/answers` answers the request; if results are durable, [`core::durability`] writes
//!    the result to disk first. [`downstream::response`] encodes the answer, and [`downstream::connections`] holds the
//!    outbox from which it is sent.
//!
//! # The components
//!
//! - [`downstream`] serves the load balancers, and reports to the registry in [`downstream::registration`].
//! - [`core`] owns the decision module and carries out its actions. It uses no socket and reads no clock.
//!   [`core::concurrency_limits`] and [`core::quota_gate`] apply the operator's limits, and
//!   [`core::backend_selector`] selects among backends.
//! - [`upstream`] connects to what this server calls: the engine, the catalogue and the backends.
//! - [`fleet`] communicates with other servers, if the operator file enables it, and answers operators' queries on
//!   the control socket.
//! - [`support`] provides the clock, configuration, JSON, log and counters to all others.

/// Owns the decision module and carries out its actions.
pub mod core;
/// Serves load balancers and other clients.
pub mod downstream;
/// Communicates with other servers and answers operators' queries.
pub mod fleet;
/// Utilities that all other modules use.
pub mod support;
/// Connects to the engine, the catalogue and the backends.
pub mod upstream;
