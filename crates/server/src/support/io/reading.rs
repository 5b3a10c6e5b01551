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

/// The result of one turn of reading.
pub(super) struct ReadTurn {
    pub(super) next: NextInput,
    /// The turn reached its size, so that there may be more to read at once.
    pub(super) is_full: bool,
}

/// Reads what is ready, up to the size of a turn, and passes it to `handler`. Reading ends with the peer's input,
/// or when the handler refuses more.
pub(super) fn read_turn(
    stream: &TcpStream,
    handler: &mut impl InputHandler,
) -> std::io::Result<ReadTurn> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    let mut bytes = 0;
    for _ in 0..MAX_READS_PER_TURN {
        let next = match stream.try_read(&mut buffer) {
            Ok(0) => {
                handler.feed(&[]);
                NextInput::Stop
            }
            Ok(n) => {
                bytes += n;
                handler.feed(&buffer[..n])
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                return Ok(ReadTurn {
                    next: NextInput::Read,
                    is_full: false,
                });
            }
            Err(e) => return Err(e),
        };
        if next != NextInput::Read {
            return Ok(ReadTurn {
                next,
                is_full: false,
            });
        }
        if bytes >= MAX_BYTES_PER_TURN {
            break;
        }
    }
    Ok(ReadTurn {
        next: NextInput::Read,
        is_full: true,
    })
}

/// Reads directly from the socket, bypassing the runtime's readiness state. Returns the handler's wish, or `None` if
/// nothing has arrived. The buffer is local to this call: one kept across an await would be part of the state of
/// each connection.
pub(super) fn read_bypassing_runtime(
    stream: &TcpStream,
    handler: &mut impl InputHandler,
) -> std::io::Result<Option<NextInput>> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    match (&*SockRef::from(stream)).read(&mut buffer) {
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
