//! The drivers of connections: they read for a state machine and write its outbox, until either side ends.

use super::outbox::{OutboxState, READ_BUFFER_BYTES};
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A peer that leaves this many bytes unread is not read from.
const MAX_UNWRITTEN_BYTES: usize = 16 << 10;
/// Reads in a row before other connections have their turn.
const MAX_READS_PER_TURN: usize = 4;
/// Reads in a row of what had come before a connection's end; a peer that sends more does not delay it.
const MAX_FINAL_READS: usize = 16;
/// Time for which a connection that was shut is read on, for its peer to read the last answers and end it too: a
/// close over unread bytes resets the connection, and those answers are lost with it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes that are read in that time at most.
const MAX_LINGER_BYTES: usize = 64 << 10;

/// Reads what is ready and feeds it; an empty feed tells that the peer will send no more. Returns whether to read on,
/// which `feed` may deny.
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

/// Reads what has come, past what the runtime knows of it; nothing where none has. The buffer lives for this call
/// only: one kept over an await would be part of each connection.
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

/// Serves one connection until it breaks or `outbox` is closed and written. After the last feed only writing goes on:
/// whoever is fed closes `outbox` when nothing more is owed.
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

/// Serves one connection until it breaks or `outbox` is closed and written; what its peer sends after that is not
/// read.
///
/// # Errors
/// Those of the connection.
pub async fn drive(
    stream: &TcpStream,
    outbox: &OutboxState,
    mut feed: impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    serve(stream, outbox, &mut true, &mut feed).await
}

/// The same for a peer who may send until it has seen the end. What had come before is read first, past what the
/// runtime knows of it: this process may have been paused between its coming and the end, and a request in it is owed
/// an answer on this connection, which goes on for it.
///
/// # Errors
/// Those of the connection.
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

/// Tells the peer that nothing more is sent and reads on to its end, within bounds, or until the place of this
/// connection is wanted. What is read crossed the end: its sender sends it again on another connection.
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

/// Reads and drops what comes until the peer's end, or so much that it is not waited for.
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

/// Waits until the connection is to end without waiting for its peer.
async fn prompt_close_requested(outbox: &OutboxState) {
    while !outbox.closes_promptly() {
        outbox.changed().await;
    }
}

/// Serves a link that this server made: it is over once the peer sends no more, or nothing that can be read.
///
/// # Errors
/// Those of the connection.
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
