//! The end of a connection after its last answer: its peer is given time to read that and to close its side.

use super::input::{BytesOnly, NextInput};
use super::outbox::OutboxState;
use super::reading::read_turn;
use socket2::SockRef;
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for which a connection is still read after its write side was shut down, so that its peer can read the last
/// answers and close it too. Closing a connection with unread bytes resets it, and those answers are lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of bytes that are read in that time.
const MAX_LINGER_BYTES: usize = 64 << 10;

/// Shuts down the write side and reads until the peer closes the connection, within bounds, or until the connection
/// is to be closed promptly. Requests that are read meanwhile were sent before the peer saw the end; their sender
/// sends them again on another connection.
pub(super) async fn linger(stream: &TcpStream, outbox: &OutboxState) {
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let _ = timeout(LINGER_TIMEOUT, async {
        tokio::select! {
            () = discard_to_end(stream) => {}
            () = prompt_close_requested(outbox) => {}
        }
    })
    .await;
}

/// Reads and discards bytes until the peer closes the connection or [`MAX_LINGER_BYTES`] are read.
async fn discard_to_end(stream: &TcpStream) {
    let mut bytes = 0;
    while bytes < MAX_LINGER_BYTES && stream.readable().await.is_ok() {
        let mut discard = BytesOnly(|read: &[u8]| {
            bytes += read.len();
            bytes < MAX_LINGER_BYTES
        });
        match read_turn(stream, &mut discard) {
            Ok(NextInput::Read | NextInput::Resume) => {}
            Ok(NextInput::Stop) | Err(_) => return,
        }
    }
}

/// Waits until the connection is to be closed without waiting for its peer.
async fn prompt_close_requested(outbox: &OutboxState) {
    while !outbox.closes_promptly() {
        outbox.changed().await;
    }
}
