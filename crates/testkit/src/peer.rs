//! One end of a connection, which a test drives line by line.
//!
//! Data that does not arrive within [`WAIT_TIMEOUT`](crate::WAIT_TIMEOUT), and any error of the
//! connection, fails the test: the methods panic.

use crate::WAIT_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

/// Beginning of a query for the engine's load gauges.
const GAUGES_QUERY: &str = "{\"msg\":\"STAT\",\"cookie\":";

/// Start of the range of loopback addresses for listeners; each listener gets an address of its
/// own.
const FIRST_LISTENER_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 64, 0, 0);
/// Number of address ranges; a process selects its range by its process id.
const ADDRESS_RANGES: u32 = 64;
/// Number of addresses in the range of one process.
const ADDRESSES_OF_RANGE: u32 = 1 << 16;

/// Listens on a free port of a loopback address that no other listener of this process uses.
///
/// The system soon reuses the port of a closed listener. On a shared address, a program that still
/// tries to reach the closed listener would connect to the fake of another test.
///
/// # Panics
///
/// If no port is free.
pub fn loopback_listener() -> TcpListener {
    TcpListener::bind((next_listener_address(), 0)).expect("a free loopback port")
}

fn next_listener_address() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let range = std::process::id() % ADDRESS_RANGES;
    let number = 1 + COUNT.fetch_add(1, Ordering::Relaxed) % (ADDRESSES_OF_RANGE - 1);
    Ipv4Addr::from(u32::from(FIRST_LISTENER_ADDRESS) + range * ADDRESSES_OF_RANGE + number)
}

/// One end of a connection, with a read buffer.
pub struct Peer(
    /// The connection, with its read buffer.
    pub BufReader<TcpStream>,
);

impl Peer {
    /// Takes over a connection and sets its read timeout.
    ///
    /// # Panics
    ///
    /// If its timeout can't be set.
    pub fn new(stream: TcpStream) -> Peer {
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("read timeout is set");
        Peer(BufReader::new(stream))
    }

    /// Waits for the next connection of a listener.
    ///
    /// # Panics
    ///
    /// If the listener fails.
    pub fn accept(listener: &TcpListener) -> Peer {
        Peer::new(listener.accept().expect("listener accepts a connection").0)
    }

    /// Writes `text` to the connection.
    ///
    /// # Panics
    ///
    /// If the connection fails.
    pub fn say(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .expect("text is written");
    }

    /// Returns the next line without its line ending; empty at the end of the connection.
    ///
    /// # Panics
    ///
    /// If no line arrives in time.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line arrives in time");
        line.trim_end().to_string()
    }

    /// Returns the commands to an engine that have arrived so far, one per line. Queries for the
    /// load gauges among them are answered and left out.
    ///
    /// # Panics
    ///
    /// If the connection fails.
    pub fn pending(&mut self) -> String {
        let mut found = String::new();
        while self.has_pending() {
            let line = self.line();
            if !self.answer_gauges(&line) {
                found += &(line + "\n");
            }
        }
        found
    }

    /// Reports whether bytes have arrived that were not read yet.
    fn has_pending(&mut self) -> bool {
        if !self.0.buffer().is_empty() {
            return true;
        }
        self.0
            .get_ref()
            .set_nonblocking(true)
            .expect("blocking mode is set");
        let received = self.0.fill_buf().map(<[u8]>::len);
        self.0
            .get_ref()
            .set_nonblocking(false)
            .expect("blocking mode is set");
        received.unwrap_or(0) > 0
    }

    /// Answers a query for the load gauges and returns true; returns false if the line is something
    /// else.
    fn answer_gauges(&mut self, line: &str) -> bool {
        let Some(rest) = line.strip_prefix(GAUGES_QUERY) else {
            return false;
        };
        let cookie = rest.trim_end_matches('}');
        self.say(&format!(
            "{{\"msg\":\"STATS\",\"cookie\":{cookie},\"stats\":[0.1,1,0.1,1]}}\n"
        ));
        true
    }

    /// Returns the next `len` bytes.
    ///
    /// # Panics
    ///
    /// If they don't arrive in time.
    pub fn bytes(&mut self, len: usize) -> Vec<u8> {
        let mut bytes = vec![0; len];
        self.0
            .read_exact(&mut bytes)
            .expect("the bytes arrive in time");
        bytes
    }

    /// Returns the next command to an engine. Queries for the load gauges before it are answered.
    ///
    /// # Panics
    ///
    /// If no command arrives in time.
    pub fn command(&mut self) -> String {
        let began = Instant::now();
        loop {
            let line = self.line();
            assert!(began.elapsed() < WAIT_TIMEOUT, "no command arrived in time");
            if !self.answer_gauges(&line) {
                return line;
            }
        }
    }
}
