//! The thin drivers between sockets and state machines: bytes in, bytes out, nothing understood.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// A peer that leaves this many bytes unread is not read from.
const UNREAD_MOST: usize = 16 << 10;
/// Bytes asked for at a time, and reads in a row before other connections have their turn.
const READ: usize = 16 << 10;
const READS: usize = 4;

/// What is still to be written to one peer.
#[derive(Default)]
pub struct Out {
    bytes: RefCell<Vec<u8>>,
    /// All bytes ever put in and all ever handed to the socket: tells how far a message had come.
    queued: Cell<u64>,
    written: Cell<u64>,
    closing: Cell<bool>,
    changed: Notify,
}

pub type Outbox = Rc<Out>;

impl Out {
    pub fn put(&self, write: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = self.bytes.borrow_mut();
        let before = bytes.len();
        write(&mut bytes);
        self.queued.set(self.queued.get() + (bytes.len() - before) as u64);
        self.changed.notify_one();
    }

    /// The connection ends once all is written.
    pub fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }

    /// The connection ends now; what was not written never is.
    pub fn cut(&self) {
        self.bytes.borrow_mut().clear();
        self.close();
    }

    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    pub fn queued(&self) -> u64 {
        self.queued.get()
    }

    pub fn written(&self) -> u64 {
        self.written.get()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// Takes what was put in, as a socket would.
    pub fn take(&self) -> Vec<u8> {
        self.written.set(self.queued.get());
        std::mem::take(&mut self.bytes.borrow_mut())
    }

    fn unread(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Writes what the socket accepts now.
    fn flush(&self, stream: &TcpStream) -> std::io::Result<()> {
        let mut bytes = self.bytes.borrow_mut();
        let mut done = 0;
        let result = loop {
            if done == bytes.len() {
                break Ok(());
            }
            match stream.try_write(&bytes[done..]) {
                Ok(0) => break Err(ErrorKind::WriteZero.into()),
                Ok(n) => done += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(e) => break Err(e),
            }
        };
        bytes.drain(..done);
        if bytes.is_empty() && bytes.capacity() > READ {
            *bytes = vec![];
        }
        self.written.set(self.written.get() + done as u64);
        result
    }
}

/// A connection of our own making, if it can be made in time.
pub async fn connect(address: SocketAddr, within: Duration) -> std::io::Result<TcpStream> {
    timeout(within, TcpStream::connect(address)).await.unwrap_or(Err(ErrorKind::TimedOut.into()))
}

/// Reads what is ready and feeds it; an empty feed tells that the peer will send no more. `fed` says whether
/// to read on.
fn take_in(stream: &TcpStream, fed: &mut impl FnMut(&[u8]) -> bool) -> std::io::Result<bool> {
    let mut buffer = [0; READ];
    for _ in 0..READS {
        match stream.try_read(&mut buffer) {
            Ok(0) => {
                fed(&[]);
                return Ok(false);
            }
            Ok(n) => {
                if !fed(&buffer[..n]) {
                    return Ok(false);
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(true),
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

/// Serves one connection until it breaks or `out` is closed and written. After the last feed only writing
/// goes on: whoever is fed closes `out` when nothing more is owed.
pub async fn drive(stream: &TcpStream, out: &Out, mut fed: impl FnMut(&[u8]) -> bool) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut reading = true;
    loop {
        out.flush(stream)?;
        if out.closing.get() && out.is_empty() {
            return Ok(());
        }
        tokio::select! {
            ready = stream.readable(), if reading && out.unread() < UNREAD_MOST => {
                ready?;
                reading = take_in(stream, &mut fed)?;
            }
            ready = stream.writable(), if out.unread() > 0 => ready?,
            () = out.changed.notified() => {}
        }
    }
}

/// Serves a link of our own making: it is over once the peer sends no more, or nothing that can be read.
pub async fn drive_link(
    stream: &TcpStream, out: &Out, mut fed: impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    let closing = |bytes: &[u8]| {
        let whole = fed(bytes);
        if bytes.is_empty() || !whole {
            out.close();
        }
        whole
    };
    drive(stream, out, closing).await
}

/// Cuts a stream of bytes into lines.
pub struct Lines {
    part: Vec<u8>,
    longest: usize,
}

impl Lines {
    pub fn up_to(longest: usize) -> Lines {
        Lines { part: vec![], longest }
    }

    /// Calls `each` for every whole line, without its end. False once a line is longer than any legal one.
    pub fn feed(&mut self, mut bytes: &[u8], mut each: impl FnMut(&[u8])) -> bool {
        while let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            let (line, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            if self.part.len() + line.len() > self.longest {
                return false;
            }
            if self.part.is_empty() {
                each(line.strip_suffix(b"\r").unwrap_or(line));
            } else {
                self.part.extend_from_slice(line);
                let whole = std::mem::take(&mut self.part);
                each(whole.strip_suffix(b"\r").unwrap_or(&whole));
            }
        }
        self.part.extend_from_slice(bytes);
        self.part.len() <= self.longest
    }
}
