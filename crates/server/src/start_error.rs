//! The error that every step of a server's start returns.

use crate::operator_plan::OperatorError;
use madderbay_idempotency_store::StoreError;
use madderbay_membership::MAX_NAME_BYTES;
use madderbay_server::fleet::control_socket::ControlSocketError;
use madderbay_server::support::config::ConfigError;
use std::net::SocketAddr;

/// Why a server can't start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The operator file is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The configuration is missing or invalid.
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
    /// The signal handlers can't be installed.
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
    /// The server's name is too long for the datagrams between servers.
    #[error("members: name '{name}' is longer than {MAX_NAME_BYTES} bytes")]
    MemberName { name: String },
    /// The control socket can't be opened.
    #[error(transparent)]
    ControlSocket(#[from] ControlSocketError),
}

impl StartError {
    /// Returns the lines for standard error: one for each error in the operator file, otherwise a single line.
    pub(crate) fn lines(&self) -> Vec<String> {
        match self {
            StartError::Operator(error) => error.lines(),
            other => vec![other.to_string()],
        }
    }

    /// Reports whether the operator's input is invalid, as opposed to a resource that the system denied.
    pub(crate) fn is_invalid_input(&self) -> bool {
        matches!(
            self,
            StartError::Operator(_) | StartError::Config(_) | StartError::Store(_)
        )
    }
}
