//! The thin drivers between sockets and state machines: bytes in, bytes out, nothing understood.
//!
//! An `Outbox` owns what is still to be written to one peer and how its connection is to end. The `drive` functions
//! own a connection's reading and writing. `LineSplitter` cuts bytes into lines. None of them knows a protocol or
//! decides when a connection ends.

mod driver;
mod line_splitter;
mod outbox;

pub use driver::{drive, drive_link, drive_peer};
pub use line_splitter::LineSplitter;
pub use outbox::{Outbox, OutboxState};

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Makes a connection.
///
/// # Errors
/// Those of the system, and `TimedOut` where it is not made within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> std::io::Result<TcpStream> {
    timeout(limit, TcpStream::connect(address))
        .await
        .unwrap_or(Err(ErrorKind::TimedOut.into()))
}
