//! What the simulated servers call: an execution engine beside each server and the backends that all of them share.
//!
//! Nothing here knows the fleet or the event queue. Callers pass in the time and the source of random numbers and
//! schedule what comes back.

mod backend;
mod backend_set;
mod engine;
mod engine_notices;

pub(crate) use backend::{Backend, CallDisposition, StartedCall, UpstreamCall};
pub(crate) use backend_set::{AcceptedCall, BackendSet};
pub(crate) use engine::{Engine, EngineEvent};
pub(crate) use engine_notices::{EngineCommand, EngineNotice};
