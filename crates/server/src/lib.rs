//! madderbay as a server: sockets, JSON-RPC, engine, catalogue and registry around the decision module.
//!
//! Each protocol is a state machine that is fed with bytes and writes into an outbox; [`support::io`] moves the
//! bytes. The programs' files (`main`, `startup`, `server`, `tasks`) create the parts and run their drivers.
//!
//! # The way of a request
//!
//! 1. [`downstream::listener`] accepts the connection and reads from it.
//! 2. [`downstream::json_rpc`] takes the line apart, [`downstream::request_validation`] checks the request, and
//!    [`downstream::idempotency_table`] knows the other attempts of its idempotency key.
//! 3. `core/arrivals` enters it into the table of `core/in_flight` and hands it to the decision module, which
//!    [`core::event_loop`] owns.
//! 4. The decision module takes its actions, at once or in a later turn (`core/turns`). `core/actions` carries
//!    each out: it starts the run with `core/engine_commands`, or rejects the request with `core/answers`.
//! 5. [`upstream::engine`] sends the command. What the engine reports goes to `core/upstream_events`.
//! 6. A run that waits at a call is given one by `core/dispatch`, which sends its attempts to the catalogue or to
//!    backends through [`upstream::calls`]. Replies return to `core/upstream_events`, and to the run.
//! 7. When the run is over `core/answers` answers the request, after [`core::durability`] has its result on disk
//!    if results are durable. [`downstream::response`] encodes the answer and [`downstream::connections`] has the
//!    outbox that it leaves by.
//!
//! # The parts
//!
//! - [`downstream`] faces the load balancers, and reports to the registry in [`downstream::registration`].
//! - [`core`] owns the decision module and carries out its actions. It knows no socket and no clock.
//!   [`core::concurrency_limits`] and [`core::quota_gate`] add the operator's limits,
//!   [`core::backend_selector`] the choice among backends.
//! - [`upstream`] reaches what this server calls: the engine, the catalogue and the backends.
//! - [`fleet`] talks with other servers, if the operator file says so, and answers operators at the control
//!   socket.
//! - [`support`] is used by all: clock, configuration, JSON, log and counters.

/// Owns the decision module and carries out its actions.
pub mod core;
/// Faces load balancers and other clients.
pub mod downstream;
/// Talks with other servers and answers operators.
pub mod fleet;
/// Used by all the others.
pub mod support;
/// Reaches what this server calls.
pub mod upstream;
