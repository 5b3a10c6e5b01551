//! What is still to be written to one peer, and how its connection is to end.
//!
//! State machines put bytes in and ask for the end; the driver of the connection writes and ends it. Nothing here
//! waits or reads.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes of one read of a socket; an outbox that is written keeps no larger buffer.
pub(super) const READ_BUFFER_BYTES: usize = 16 << 10;

/// How a connection is to end.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum CloseMode {
    #[default]
    Open,
    /// Once all is written and what has come is read; its peer may end it then.
    Graceful,
    /// The same, and its place is wanted: its peer is not waited for.
    Prompt,
    /// Now.
    Cut,
}

/// The state of an [`Outbox`].
#[derive(Default)]
pub struct OutboxState {
    bytes: RefCell<Vec<u8>>,
    /// Number of all bytes ever put in.
    queued: Cell<u64>,
    /// Number of all bytes ever handed to the socket: with `queued` it tells how far a message had come.
    written: Cell<u64>,
    close_mode: Cell<CloseMode>,
    changed: Notify,
}

/// The outbox of one connection, shared by the state machine and the driver.
pub type Outbox = Rc<OutboxState>;

impl OutboxState {
    /// Appends what `write` writes.
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

    /// Ends the connection once all is written.
    pub fn close(&self) {
        if self.close_mode.get() == CloseMode::Open {
            self.end(CloseMode::Graceful);
        }
    }

    /// Ends the connection once all is written, without waiting for the peer: its place is wanted.
    pub fn close_promptly(&self) {
        if self.close_mode.get() != CloseMode::Cut {
            self.end(CloseMode::Prompt);
        }
    }

    /// Ends the connection now; what was not written never is.
    pub fn cut(&self) {
        self.bytes.borrow_mut().clear();
        self.end(CloseMode::Cut);
    }

    /// Takes the end back, except after a cut: something came before it that is owed an answer.
    pub fn reopen(&self) {
        if self.close_mode.get() != CloseMode::Cut {
            self.close_mode.set(CloseMode::Open);
        }
    }

    /// Whether the connection is to end.
    pub fn is_closing(&self) -> bool {
        self.close_mode.get() != CloseMode::Open
    }

    /// Whether the connection is to end without waiting for the peer.
    pub fn closes_promptly(&self) -> bool {
        matches!(self.close_mode.get(), CloseMode::Prompt | CloseMode::Cut)
    }

    /// Whether the connection is to end now.
    pub(super) fn is_cut(&self) -> bool {
        self.close_mode.get() == CloseMode::Cut
    }

    /// The number of bytes ever put in.
    pub fn queued(&self) -> u64 {
        self.queued.get()
    }

    /// The number of bytes ever handed to the socket.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// Takes what was put in, as a socket would.
    pub fn take(&self) -> Vec<u8> {
        self.written.set(self.queued.get());
        std::mem::take(&mut self.bytes.borrow_mut())
    }

    /// The number of bytes that wait to be written, because the peer does not read them.
    pub(super) fn unwritten(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Waits for the next change, or returns at once where one was not waited for yet.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Writes what the socket accepts now.
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
