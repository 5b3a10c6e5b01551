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
    /// The operator file is wrong.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The configuration is missing or wrong.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The directory of durable results can't be opened or read.
    #[error("kept-results: {0}")]
    Store(#[source] StoreError),
    /// The thread that writes durable results can't be started.
    #[error("kept-results: {0}")]
    StoreThread(#[source] std::io::Error),
    /// The runtime can't be created.
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The signals can't be taken over from the system's defaults.
    #[error("signals: {0}")]
    Signals(#[source] std::io::Error),
    /// The configuration or the system allows too few file descriptors.
    #[error("limits.sockets {configured}: {available} descriptors are too few to serve")]
    TooFewDescriptors { configured: usize, available: usize },
    /// The socket for load balancers can't be bound.
    #[error("listen {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    /// The socket between servers can't be bound.
    #[error("members: {address}: {source}")]
    MembersSocket {
        address: SocketAddr,
        source: std::io::Error,
    },
    /// The server's name doesn't fit the datagrams between servers.
    #[error("members: name '{name}' is longer than {MAX_NAME_BYTES} bytes")]
    MemberName { name: String },
    /// The control socket can't be opened.
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
