//! What a connection reports of its lines and of the requests that are open on it.
//!
//! Owns nothing: plain data that the connections, their table and the JSON-RPC session exchange.

/// Requests that may be open on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;

/// Why no further request may be opened on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenRequestError {
    /// A request with the same JSON-RPC id is open on this connection.
    #[error("id is in use")]
    IdInUse,
    /// [`MAX_OPEN_REQUESTS`] are open on this connection.
    #[error("too many open requests")]
    TooManyOpen,
}

/// What a read changed in the lines of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineProgress {
    /// An incomplete line is buffered.
    pub partial: bool,
    /// At least one line was completed.
    pub completed: bool,
}
