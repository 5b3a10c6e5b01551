//! Drivers of connections: they feed what they read to a state machine and write its outbox, until either side
//! closes the connection.
//!
//! All connections are served on one thread. A connection with much input is served in turns of a bounded size, and
//! the other tasks run between them.

use super::input::{BytesOnly, InputHandler, NextInput};
use super::linger::linger;
use super::outbox::OutboxState;
use super::reading::{check_reset, has_unread_bytes, read_bypassing_runtime, read_turn};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Maximum number of turns for what arrived before a connection's end. A peer that sends more does not delay the
/// end.
const MAX_FINAL_TURNS: usize = 16;
/// Time in which a peer that has closed its connection answers with a reset. It is the delay of the last requests of
/// a peer that only sends no more.
const CLOSE_CHECK_TIMEOUT: Duration = Duration::from_millis(5);

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
                yield_turn(stream).await?;
                self.next = self.handler.resume();
                continue;
            }
            tokio::select! {
                ready = stream.ready(Interest::READABLE), if takes_input && self.next == NextInput::Read => {
                    if ready?.is_read_closed() {
                        self.check_closed_peer().await?;
                    }
                    self.next = read_turn(stream, &mut self.handler)?;
                }
                ready = stream.writable(), if outbox.unwritten() > 0 => ready?,
                reset = check_reset(stream), if self.next == NextInput::Stop => reset?,
                () = outbox.changed() => {}
            }
        }
    }

    /// Handles a peer that has closed its sending side, while its last input is unread. A peer that has closed the
    /// connection altogether answers the next bytes that it is sent with a reset; one that only sends no more takes
    /// them. In the first case, the input is not served: its answers could not be delivered.
    async fn check_closed_peer(&mut self) -> std::io::Result<()> {
        if !has_unread_bytes(self.stream) || !self.handler.peer_closed() {
            return Ok(());
        }
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
