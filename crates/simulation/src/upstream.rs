//! The simulated dependencies of the servers: an execution engine for each server, and the backends that all servers
//! share.
//!
//! These modules depend on neither the fleet nor the event queue. Callers pass in the time and the random number
//! generator, and schedule the resulting events.

mod backend;
mod backend_set;
mod engine;
mod engine_notices;

pub(crate) use backend::{Backend, CallDisposition, StartedCall, UpstreamCall};
pub(crate) use backend_set::{AcceptedCall, BackendSet};
pub(crate) use engine::{Engine, EngineEvent};
pub(crate) use engine_notices::{EngineCommand, EngineNotice};
