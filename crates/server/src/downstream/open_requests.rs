//! Types that describe the lines and the open requests of a connection.
//!
//! They are exchanged by a connection, the table of connections and the JSON-RPC session.

/// Maximum number of open requests on one connection.
pub const MAX_OPEN_REQUESTS: usize = 32;

/// The reason why no further request may be opened on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenRequestError {
    /// A request with the same JSON-RPC id is open on this connection.
    #[error("id is in use")]
    IdInUse,
    /// [`MAX_OPEN_REQUESTS`] are open on this connection.
    #[error("too many open requests")]
    TooManyOpen,
}

/// The effect of one read on the lines of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineProgress {
    /// An incomplete line is buffered.
    pub partial: bool,
    /// At least one line was completed.
    pub completed: bool,
}
