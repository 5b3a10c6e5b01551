//! Drivers of connections: they feed what they read to a state machine and write its outbox, until either side
//! closes the connection.

use super::outbox::{OutboxState, READ_BUFFER_BYTES};
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of unwritten bytes at which nothing more is read from a peer, because it does not read its answers.
const MAX_UNWRITTEN_BYTES: usize = 16 << 10;
/// Maximum number of consecutive reads before other connections get their turn.
const MAX_READS_PER_TURN: usize = 4;
/// Maximum number of reads of what arrived before a connection's end. A peer that sends more does not delay the
/// end.
const MAX_FINAL_READS: usize = 16;
/// Time for which a connection is still read after its write side was shut down, so that its peer can read the last
/// answers and close it too. Closing a connection with unread bytes resets it, and those answers are lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of bytes that are read in that time.
const MAX_LINGER_BYTES: usize = 64 << 10;

/// Reads what is ready and passes it to `feed`. An empty slice tells that the peer will send no more. Returns
/// whether to continue reading, which `feed` may refuse.
fn read_ready(stream: &TcpStream, feed: &mut impl FnMut(&[u8]) -> bool) -> std::io::Result<bool> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    for _ in 0..MAX_READS_PER_TURN {
        match stream.try_read(&mut buffer) {
            Ok(0) => {
                feed(&[]);
                return Ok(false);
            }
            Ok(n) => {
                if !feed(&buffer[..n]) {
                    return Ok(false);
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(true),
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

/// Reads directly from the socket, bypassing the runtime's readiness state. Returns the number of bytes, or `None`
/// if nothing has arrived. The buffer is local to this call: one kept across an await would be part of the state of
/// each connection.
fn read_bypassing_runtime(
    stream: &TcpStream,
    mut feed: impl FnMut(&[u8]),
) -> std::io::Result<Option<usize>> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    match (&*SockRef::from(stream)).read(&mut buffer) {
        Ok(n) => {
            feed(&buffer[..n]);
            Ok(Some(n))
        }
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Serves one connection until it fails or `outbox` is closed and written. Once `feed` refuses to read on, only
/// writing continues: the state machine closes `outbox` when it has nothing more to answer.
async fn serve(
    stream: &TcpStream,
    outbox: &OutboxState,
    is_reading: &mut bool,
    feed: &mut impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    loop {
        outbox.flush(stream)?;
        if outbox.is_closing() && outbox.is_empty() {
            return Ok(());
        }
        tokio::select! {
            ready = stream.readable(), if *is_reading && outbox.unwritten() < MAX_UNWRITTEN_BYTES => {
                ready?;
                *is_reading = read_ready(stream, feed)?;
            }
            ready = stream.writable(), if outbox.unwritten() > 0 => ready?,
            () = outbox.changed() => {}
        }
    }
}

/// Serves one connection until it fails or `outbox` is closed and written. What the peer sends after that is not
/// read.
///
/// # Errors
/// Returns the I/O errors of the connection.
pub async fn drive(
    stream: &TcpStream,
    outbox: &OutboxState,
    mut feed: impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    serve(stream, outbox, &mut true, &mut feed).await
}

/// Serves one connection like [`drive`], for a peer that may send until it has seen the end. What arrived before
/// the end is read first, bypassing the runtime's readiness state: this process may have been paused between the
/// arrival and the end. A request among it must be answered on this connection, which stays open for it.
///
/// # Errors
/// Returns the I/O errors of the connection.
pub async fn drive_peer(
    stream: &TcpStream,
    outbox: &OutboxState,
    mut feed: impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut is_reading = true;
    let mut reads_left = MAX_FINAL_READS;
    loop {
        serve(stream, outbox, &mut is_reading, &mut feed).await?;
        if outbox.is_cut() || reads_left == 0 {
            break;
        }
        reads_left -= 1;
        if is_reading {
            let mut wants_more = true;
            match read_bypassing_runtime(stream, |bytes| wants_more = feed(bytes))? {
                Some(n) => is_reading = wants_more && n > 0,
                None => break,
            }
        }
        if !outbox.is_closing() {
            reads_left = MAX_FINAL_READS;
        } else if !is_reading && outbox.is_empty() {
            break;
        }
    }
    if !outbox.closes_promptly() {
        linger(stream, outbox).await;
    }
    Ok(())
}

/// Shuts down the write side and reads until the peer closes the connection, within bounds, or until the connection
/// is to be closed promptly. Requests that are read meanwhile were sent before the peer saw the end; their sender
/// sends them again on another connection.
async fn linger(stream: &TcpStream, outbox: &OutboxState) {
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
        let read_result = read_ready(stream, &mut |read: &[u8]| {
            bytes += read.len();
            bytes < MAX_LINGER_BYTES
        });
        match read_result {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

/// Waits until the connection is to be closed without waiting for its peer.
async fn prompt_close_requested(outbox: &OutboxState) {
    while !outbox.closes_promptly() {
        outbox.changed().await;
    }
}

/// Serves a connection that this server opened. It ends once the peer sends no more, or something that can't be
/// read.
///
/// # Errors
/// Returns the I/O errors of the connection.
pub async fn drive_link(
    stream: &TcpStream,
    outbox: &OutboxState,
    mut feed: impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    let feed_and_close = |bytes: &[u8]| {
        let is_readable = feed(bytes);
        if bytes.is_empty() || !is_readable {
            outbox.close();
        }
        is_readable
    };
    drive(stream, outbox, feed_and_close).await
}
