//! The thin drivers between sockets and state machines: bytes in, bytes out, nothing understood.

use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr};
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
/// Reads in a row of what had come before a connection's end; a peer that sends more does not hold it up.
const LAST_READS: usize = 16;
/// A connection that was shut is read on for that long, and so many bytes of it, for its peer to read the last
/// answers and end it too: a close over unread bytes resets the connection, and those answers are lost with it.
const LINGER: Duration = Duration::from_millis(1_000);
const LINGER_BYTES: usize = 64 << 10;

/// How a connection is to end.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Ending {
    #[default]
    Not,
    /// Once all is written and what has come is read; its peer may end it then.
    Gently,
    /// The same, and its place is wanted: its peer is not waited for.
    Swiftly,
    /// Now.
    Cut,
}

/// What is still to be written to one peer.
#[derive(Default)]
pub struct Out {
    bytes: RefCell<Vec<u8>>,
    /// All bytes ever put in and all ever handed to the socket: tells how far a message had come.
    queued: Cell<u64>,
    written: Cell<u64>,
    ending: Cell<Ending>,
    changed: Notify,
}

pub type Outbox = Rc<Out>;

impl Out {
    pub fn put(&self, write: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = self.bytes.borrow_mut();
        let before = bytes.len();
        write(&mut bytes);
        self.queued
            .set(self.queued.get() + (bytes.len() - before) as u64);
        self.changed.notify_one();
    }

    fn end(&self, how: Ending) {
        self.ending.set(how);
        self.changed.notify_one();
    }

    /// The connection ends once all is written.
    pub fn close(&self) {
        if self.ending.get() == Ending::Not {
            self.end(Ending::Gently);
        }
    }

    /// The same for one whose place is wanted.
    pub fn give_way(&self) {
        if self.ending.get() != Ending::Cut {
            self.end(Ending::Swiftly);
        }
    }

    /// The connection ends now; what was not written never is.
    pub fn cut(&self) {
        self.bytes.borrow_mut().clear();
        self.end(Ending::Cut);
    }

    /// Something came before the end that is owed an answer: the connection goes on.
    pub fn go_on(&self) {
        if self.ending.get() != Ending::Cut {
            self.ending.set(Ending::Not);
        }
    }

    pub fn is_closing(&self) -> bool {
        self.ending.get() != Ending::Not
    }

    /// It ends as soon as it is written, and its place is wanted.
    pub fn gives_way(&self) -> bool {
        matches!(self.ending.get(), Ending::Swiftly | Ending::Cut)
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
    timeout(within, TcpStream::connect(address))
        .await
        .unwrap_or(Err(ErrorKind::TimedOut.into()))
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

/// Reads what has come, past what the runtime knows of it; nothing where none has. The buffer is nobody's for longer:
/// one kept over a wait would be each connection's.
fn take_last(stream: &TcpStream, mut each: impl FnMut(&[u8])) -> std::io::Result<Option<usize>> {
    let mut buffer = [0; READ];
    match (&*SockRef::from(stream)).read(&mut buffer) {
        Ok(n) => {
            each(&buffer[..n]);
            Ok(Some(n))
        }
        Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(e) => Err(e),
    }
}

/// Serves one connection until it breaks or `out` is closed and written. After the last feed only writing
/// goes on: whoever is fed closes `out` when nothing more is owed.
async fn served(
    stream: &TcpStream,
    out: &Out,
    reading: &mut bool,
    fed: &mut impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    loop {
        out.flush(stream)?;
        if out.is_closing() && out.is_empty() {
            return Ok(());
        }
        tokio::select! {
            ready = stream.readable(), if *reading && out.unread() < UNREAD_MOST => {
                ready?;
                *reading = take_in(stream, fed)?;
            }
            ready = stream.writable(), if out.unread() > 0 => ready?,
            () = out.changed.notified() => {}
        }
    }
}

/// Serves one connection until it breaks or `out` is closed and written; what its peer sends then is nobody's.
pub async fn drive(
    stream: &TcpStream,
    out: &Out,
    mut fed: impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    served(stream, out, &mut true, &mut fed).await
}

/// The same for a peer who may send until it has seen the end. What had come before is read first, past what the
/// runtime knows of it: this process may have been held up between its coming and the end, and a req in it is
/// owed an answer on this connection, which goes on for it.
pub async fn drive_peer(
    stream: &TcpStream,
    out: &Out,
    mut fed: impl FnMut(&[u8]) -> bool,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut reading = true;
    let mut left = LAST_READS;
    loop {
        served(stream, out, &mut reading, &mut fed).await?;
        if out.ending.get() == Ending::Cut || left == 0 {
            break;
        }
        left -= 1;
        if reading {
            let mut more = true;
            match take_last(stream, |bytes| more = fed(bytes))? {
                Some(n) => reading = more && n > 0,
                None => break,
            }
        }
        if !out.is_closing() {
            left = LAST_READS;
        } else if !reading && out.is_empty() {
            break;
        }
    }
    if !out.gives_way() {
        linger(stream, out).await;
    }
    Ok(())
}

/// Tells the peer that nothing more is sent and reads on to its end, within bounds, or until the place of this
/// connection is wanted. What is read crossed the end: its sender sends it again on another connection.
async fn linger(stream: &TcpStream, out: &Out) {
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut bytes = 0;
    let to_the_end = async {
        while bytes < LINGER_BYTES && stream.readable().await.is_ok() {
            match take_in(stream, &mut |read: &[u8]| {
                bytes += read.len();
                bytes < LINGER_BYTES
            }) {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    };
    let wanted = async {
        while !out.gives_way() {
            out.changed.notified().await;
        }
    };
    let _ = timeout(LINGER, async {
        tokio::select! {
            () = to_the_end => {}
            () = wanted => {}
        }
    })
    .await;
}

/// Serves a link of our own making: it is over once the peer sends no more, or nothing that can be read.
pub async fn drive_link(
    stream: &TcpStream,
    out: &Out,
    mut fed: impl FnMut(&[u8]) -> bool,
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
        Lines {
            part: vec![],
            longest,
        }
    }

    /// Half a line was read.
    pub fn amid(&self) -> bool {
        !self.part.is_empty()
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
