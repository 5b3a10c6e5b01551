//! Drivers that connect sockets to state machines. They move bytes and know no protocol.
//!
//! An `Outbox` owns the bytes that are still to be written to one peer, and how its connection is to be closed. The
//! `drive` functions read from and write to a connection. `LineSplitter` splits bytes into lines. None of them
//! decides when a connection is closed.

mod driver;
mod input;
mod line_splitter;
mod linger;
mod outbox;
mod reading;

pub use driver::{drive, drive_link, drive_peer};
pub use input::{BytesOnly, InputHandler, NextInput};
pub use line_splitter::{LineSplitter, SplitOutcome};
pub use outbox::{Outbox, OutboxState};

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Opens a connection.
///
/// # Errors
/// Returns the error of the system, or `TimedOut` if the connection is not established within `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> std::io::Result<TcpStream> {
    timeout(limit, TcpStream::connect(address))
        .await
        .unwrap_or(Err(ErrorKind::TimedOut.into()))
}
