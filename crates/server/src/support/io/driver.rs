//! Drivers of connections: they feed what they read to a state machine and write its outbox, until either side
//! closes the connection.
//!
//! All connections are served on one thread. A connection with much input is served in turns of a bounded size, and
//! the other tasks run between them.

use super::input::{BytesOnly, InputHandler, NextInput};
use super::outbox::{OutboxState, READ_BUFFER_BYTES};
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Maximum number of consecutive reads before other connections get their turn.
const MAX_READS_PER_TURN: usize = 4;
/// Number of bytes read after which other connections get their turn.
const MAX_BYTES_PER_TURN: usize = READ_BUFFER_BYTES;
/// Maximum number of turns for what arrived before a connection's end. A peer that sends more does not delay the
/// end.
const MAX_FINAL_TURNS: usize = 16;
/// Time in which a peer that has closed its connection answers with a reset. It is the delay of the last requests of
/// a peer that only sends no more.
const CLOSE_CHECK_TIMEOUT: Duration = Duration::from_millis(5);
/// Time for which a connection is still read after its write side was shut down, so that its peer can read the last
/// answers and close it too. Closing a connection with unread bytes resets it, and those answers are lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of bytes that are read in that time.
const MAX_LINGER_BYTES: usize = 64 << 10;

/// What to do with unread input of a peer that has closed its sending side.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClosedPeerPolicy {
    /// Serve it.
    Serve,
    /// Serve it only if the peer still reads: otherwise nobody is there to take the answers.
    CheckFirst,
}

/// The result of one turn of reading.
struct ReadTurn {
    next: NextInput,
    /// The turn reached its size, so that there may be more to read at once.
    is_full: bool,
}

/// Reads what is ready, up to the size of a turn, and passes it to `handler`. Reading ends with the peer's input,
/// or when the handler refuses more.
fn read_turn(stream: &TcpStream, handler: &mut impl InputHandler) -> std::io::Result<ReadTurn> {
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
fn read_bypassing_runtime(
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
fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_ok_and(|n| n > 0)
}

/// Returns an error if the connection was reset.
async fn check_reset(stream: &TcpStream) -> std::io::Result<()> {
    stream.ready(Interest::ERROR).await?;
    Err(stream
        .take_error()?
        .unwrap_or_else(|| ErrorKind::ConnectionReset.into()))
}

/// Lets the other tasks run once. Returns an error if the connection was reset.
async fn yield_turn(stream: &TcpStream) -> std::io::Result<()> {
    tokio::select! {
        biased;
        reset = check_reset(stream) => reset,
        () = yield_now() => Ok(()),
    }
}

/// One connection and the state machine that it is served by.
struct Driver<'a, H> {
    stream: &'a TcpStream,
    outbox: &'a OutboxState,
    handler: H,
    next: NextInput,
    policy: ClosedPeerPolicy,
}

impl<H: InputHandler> Driver<'_, H> {
    /// Serves the connection until it fails or the outbox is closed and written. Once the handler refuses to read
    /// on, only writing continues: the state machine closes the outbox when it has nothing more to answer.
    async fn serve(&mut self) -> std::io::Result<()> {
        let (stream, outbox) = (self.stream, self.outbox);
        loop {
            outbox.flush(stream)?;
            if outbox.is_closing() && outbox.is_empty() {
                return Ok(());
            }
            let takes_input = !outbox.has_backlog();
            if takes_input && self.next == NextInput::Resume {
                self.next = self.handler.resume();
                yield_turn(stream).await?;
                continue;
            }
            tokio::select! {
                ready = stream.ready(Interest::READABLE), if takes_input && self.next == NextInput::Read => {
                    if ready?.is_read_closed() {
                        self.check_closed_peer().await?;
                    }
                    self.read_turn().await?;
                }
                ready = stream.writable(), if outbox.unwritten() > 0 => ready?,
                reset = check_reset(stream), if self.next == NextInput::Stop => reset?,
                () = outbox.changed() => {}
            }
        }
    }

    /// Reads one turn, and lets the other tasks run if there may be more to serve at once.
    async fn read_turn(&mut self) -> std::io::Result<()> {
        let turn = read_turn(self.stream, &mut self.handler)?;
        self.next = turn.next;
        if turn.is_full || turn.next == NextInput::Resume {
            self.outbox.flush(self.stream)?;
            yield_turn(self.stream).await?;
        }
        Ok(())
    }

    /// Handles a peer that has closed its sending side, while its last input is unread. A peer that has closed the
    /// connection altogether answers the next bytes that it is sent with a reset; one that only sends no more takes
    /// them. In the first case, the input is not served: its answers could not be delivered.
    async fn check_closed_peer(&mut self) -> std::io::Result<()> {
        if self.policy == ClosedPeerPolicy::Serve || !has_unread_bytes(self.stream) {
            return Ok(());
        }
        self.policy = ClosedPeerPolicy::Serve;
        self.handler.peer_closed();
        self.outbox.flush(self.stream)?;
        timeout(CLOSE_CHECK_TIMEOUT, check_reset(self.stream))
            .await
            .unwrap_or(Ok(()))
    }

    /// Serves what arrived before the end of the connection, one turn at a time, after the outbox was closed and
    /// written. Returns whether the connection goes on, because there was something to answer or there may be more.
    fn serve_final_turn(&mut self) -> std::io::Result<bool> {
        match self.next {
            NextInput::Resume => self.next = self.handler.resume(),
            NextInput::Read => match read_bypassing_runtime(self.stream, &mut self.handler)? {
                Some(next) => self.next = next,
                None => return Ok(false),
            },
            NextInput::Stop => {}
        }
        let is_over = self.next == NextInput::Stop && self.outbox.is_empty();
        Ok(!is_over || !self.outbox.is_closing())
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
    feed: impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut driver = Driver {
        stream,
        outbox,
        handler: BytesOnly(feed),
        next: NextInput::Read,
        policy: ClosedPeerPolicy::Serve,
    };
    driver.serve().await
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
    handler: impl InputHandler,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut driver = Driver {
        stream,
        outbox,
        handler,
        next: NextInput::Read,
        policy: ClosedPeerPolicy::CheckFirst,
    };
    let mut turns_left = MAX_FINAL_TURNS;
    loop {
        driver.serve().await?;
        if outbox.is_cut() || turns_left == 0 {
            break;
        }
        turns_left -= 1;
        if !driver.serve_final_turn()? {
            break;
        }
        if !outbox.is_closing() {
            turns_left = MAX_FINAL_TURNS;
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
        let mut discard = BytesOnly(|read: &[u8]| {
            bytes += read.len();
            bytes < MAX_LINGER_BYTES
        });
        match read_turn(stream, &mut discard) {
            Ok(turn) if turn.next != NextInput::Stop => {}
            Ok(_) | Err(_) => return,
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
