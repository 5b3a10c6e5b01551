//! Reads from a socket without waiting, and tells what has become of the peer's side.
//!
//! The functions pass what they read to a state machine. They keep no buffer between two calls.

use super::input::{InputHandler, NextInput};
use super::outbox::READ_BUFFER_BYTES;
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Maximum number of consecutive reads before other connections get their turn.
const MAX_READS_PER_TURN: usize = 4;
/// Number of bytes read after which other connections get their turn.
const MAX_BYTES_PER_TURN: usize = READ_BUFFER_BYTES;

/// Reads what is ready, up to the size of a turn, and passes it to `handler`. Returns what the handler wants next:
/// to resume if the turn has reached its size, since there may be more to read at once.
pub(super) fn read_turn(
    stream: &TcpStream,
    handler: &mut impl InputHandler,
) -> std::io::Result<NextInput> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    let mut bytes = 0;
    for _ in 0..MAX_READS_PER_TURN {
        let read = stream.try_read(&mut buffer);
        bytes += read.as_ref().map_or(0, |n| *n);
        match pass_on(read, &buffer, handler)? {
            None => return Ok(NextInput::Read),
            Some(NextInput::Read) if bytes < MAX_BYTES_PER_TURN => {}
            Some(NextInput::Read) => break,
            Some(next) => return Ok(next),
        }
    }
    Ok(NextInput::Resume)
}

/// Reads directly from the socket, bypassing the runtime's readiness state. Returns what the handler wants next, or
/// `None` if nothing has arrived. The buffer is local to this call: one kept across an await would be part of the
/// state of each connection.
pub(super) fn read_bypassing_runtime(
    stream: &TcpStream,
    handler: &mut impl InputHandler,
) -> std::io::Result<Option<NextInput>> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    let read = (&*SockRef::from(stream)).read(&mut buffer);
    pass_on(read, &buffer, handler)
}

/// Passes the bytes of one read, or the end of the input, to `handler`. Returns what it wants next, or `None` if
/// nothing has arrived.
fn pass_on(
    read: std::io::Result<usize>,
    buffer: &[u8],
    handler: &mut impl InputHandler,
) -> std::io::Result<Option<NextInput>> {
    match read {
        Ok(0) => {
            handler.feed(&[]);
            Ok(Some(NextInput::Stop))
        }
        Ok(n) => Ok(Some(handler.feed(&buffer[..n]))),
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Reports whether bytes have arrived that were not read.
pub(super) fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|n| n > 0)
}

/// Returns an error if the connection was reset.
pub(super) async fn check_reset(stream: &TcpStream) -> std::io::Result<()> {
    stream.ready(Interest::ERROR).await?;
    Err(stream
        .take_error()?
        .unwrap_or_else(|| ErrorKind::ConnectionReset.into()))
}
