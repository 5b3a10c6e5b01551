//! Why a server can't start. Every step of a start returns this error; it is given the causes and starts nothing.

use crate::operator_plan::OperatorError;
use madderbay_idempotency_store::StoreError;
use madderbay_membership::MAX_NAME_BYTES;
use madderbay_server::fleet::control_socket::ControlSocketError;
use madderbay_server::support::config::ConfigError;
use std::net::SocketAddr;

/// Why a server can't start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    #[error(transparent)]
    Operator(#[from] OperatorError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The directory of durable results can't be opened or read.
    #[error("kept-results: {0}")]
    Store(#[source] StoreError),
    #[error("kept-results: {0}")]
    StoreThread(#[source] std::io::Error),
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error("signals: {0}")]
    Signals(#[source] std::io::Error),
    #[error("limits.sockets {configured}: {available} descriptors are too few to serve")]
    TooFewDescriptors { configured: usize, available: usize },
    #[error("listen {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("members: {address}: {source}")]
    MembersSocket {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("members: name '{name}' is longer than {MAX_NAME_BYTES} bytes")]
    MemberName { name: String },
    #[error(transparent)]
    ControlSocket(#[from] ControlSocketError),
}

impl StartError {
    /// The lines for standard error: one, or as many as there are faults in the operator file.
    pub(crate) fn lines(&self) -> Vec<String> {
        match self {
            StartError::Operator(error) => error.lines(),
            other => vec![other.to_string()],
        }
    }

    /// Whether the cause is the operator's input and not a resource that the system refused.
    pub(crate) fn is_invalid_input(&self) -> bool {
        matches!(
            self,
            StartError::Operator(_) | StartError::Config(_) | StartError::Store(_)
        )
    }
}
