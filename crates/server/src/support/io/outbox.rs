//! The bytes that are still to be written to one peer, and how its connection is to be closed.
//!
//! State machines append bytes and request the close; the driver of the connection writes and closes it. Apart from
//! waiting for a change, nothing here waits, and nothing reads.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Size of the buffer for one read of a socket, in bytes. An outbox whose bytes are all written keeps no larger
/// buffer.
pub(super) const READ_BUFFER_BYTES: usize = 16 << 10;

/// Number of unwritten bytes at which nothing more is served for a peer, because it does not read its answers.
const MAX_UNWRITTEN_BYTES: usize = 16 << 10;

/// How a connection is to be closed.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum CloseMode {
    #[default]
    Open,
    /// Once everything is written and what has arrived is read. The peer is given time to close it too.
    Graceful,
    /// Like `Graceful`, but without waiting for the peer, because room is needed for another connection.
    Prompt,
    /// At once. Unwritten bytes are discarded.
    Cut,
}

/// The state of an [`Outbox`].
#[derive(Default)]
pub struct OutboxState {
    bytes: RefCell<Vec<u8>>,
    /// Number of bytes ever appended.
    queued: Cell<u64>,
    /// Number of bytes ever passed to the socket. Compared with `queued`, it tells how much of a message was sent.
    written: Cell<u64>,
    close_mode: Cell<CloseMode>,
    changed: Notify,
}

/// The outbox of one connection, shared by the state machine and the driver.
pub type Outbox = Rc<OutboxState>;

impl OutboxState {
    /// Appends the bytes that `write` produces.
    pub fn put(&self, write: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = self.bytes.borrow_mut();
        let before = bytes.len();
        write(&mut bytes);
        self.queued
            .set(self.queued.get() + (bytes.len() - before) as u64);
        self.changed.notify_one();
    }

    fn end(&self, close_mode: CloseMode) {
        self.close_mode.set(close_mode);
        self.changed.notify_one();
    }

    /// Closes the connection once everything is written.
    pub fn close(&self) {
        if self.close_mode.get() == CloseMode::Open {
            self.end(CloseMode::Graceful);
        }
    }

    /// Closes the connection once everything is written, without waiting for the peer, to make room for another.
    pub fn close_promptly(&self) {
        if self.close_mode.get() != CloseMode::Cut {
            self.end(CloseMode::Prompt);
        }
    }

    /// Closes the connection at once. Unwritten bytes are discarded.
    pub fn cut(&self) {
        self.bytes.borrow_mut().clear();
        self.end(CloseMode::Cut);
    }

    /// Cancels the close, except after a cut, because something arrived before it that must be answered.
    pub fn reopen(&self) {
        if self.close_mode.get() != CloseMode::Cut {
            self.close_mode.set(CloseMode::Open);
        }
    }

    /// Reports whether the connection is to be closed.
    pub fn is_closing(&self) -> bool {
        self.close_mode.get() != CloseMode::Open
    }

    /// Reports whether the connection is to be closed without waiting for the peer.
    pub fn closes_promptly(&self) -> bool {
        matches!(self.close_mode.get(), CloseMode::Prompt | CloseMode::Cut)
    }

    /// Reports whether the connection is to be closed at once.
    pub(super) fn is_cut(&self) -> bool {
        self.close_mode.get() == CloseMode::Cut
    }

    /// Returns the number of bytes ever appended.
    pub fn queued(&self) -> u64 {
        self.queued.get()
    }

    /// Returns the number of bytes ever passed to the socket.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Reports whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// Takes the unwritten bytes and counts them as written, as a socket would.
    pub fn take(&self) -> Vec<u8> {
        self.written.set(self.queued.get());
        std::mem::take(&mut self.bytes.borrow_mut())
    }

    /// Returns the number of bytes that wait to be written, because the peer does not read them.
    pub(super) fn unwritten(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Reports whether so much waits to be written that nothing more is to be served for the peer.
    pub fn has_backlog(&self) -> bool {
        self.unwritten() >= MAX_UNWRITTEN_BYTES
    }

    /// Waits for the next change. Returns at once if there was a change since the last wait.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Writes as much as the socket accepts now.
    pub(super) fn flush(&self, stream: &TcpStream) -> std::io::Result<()> {
        let mut bytes = self.bytes.borrow_mut();
        let mut written = 0;
        let result = loop {
            if written == bytes.len() {
                break Ok(());
            }
            match stream.try_write(&bytes[written..]) {
                Ok(0) => break Err(ErrorKind::WriteZero.into()),
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(e) => break Err(e),
            }
        };
        bytes.drain(..written);
        if bytes.is_empty() && bytes.capacity() > READ_BUFFER_BYTES {
            *bytes = vec![];
        }
        self.written.set(self.written.get() + written as u64);
        result
    }
}
