//! A fake registry that answers every load report and hands it to the test.
//!
//! # What is simulated
//!
//! The registry accepts one connection after the other on loopback, reads HTTP requests that have a
//! `Content-Length`, and answers each with `204 No Content`. It keeps no list of servers.
//!
//! # Faults
//!
//! None. A test that needs a failing registry acts as the registry itself with a
//! [`Peer`](crate::peer::Peer).

use crate::peer::{Peer, loopback_listener};
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};

/// Handle to a fake registry. Its thread ends with the first report after the handle is dropped.
pub struct Registry {
    /// Address that the registry listens on.
    pub address: SocketAddr,
    /// Reports in the order of arrival, each as its request line, a space and its body.
    pub reports: Receiver<String>,
}

impl Registry {
    /// Starts a registry on a free loopback port.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start() -> Registry {
        let listener = loopback_listener();
        let address = listener.local_addr().expect("listener has a local address");
        let (sender, reports) = channel();
        std::thread::spawn(move || serve(&listener, &sender));
        Registry { address, reports }
    }
}

/// Starts a [`Registry`] and returns its address and the receiver of its reports.
pub fn start() -> (SocketAddr, Receiver<String>) {
    let Registry { address, reports } = Registry::start();
    (address, reports)
}

/// Answers reports until the receiver of the reports is dropped.
fn serve(listener: &TcpListener, reports: &Sender<String>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let mut peer = Peer::new(stream);
        while let Some(report) = read_report(&mut peer) {
            if reports.send(report).is_err() {
                return;
            }
            let _ = peer
                .0
                .get_mut()
                .write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        }
    }
}

/// Reads the next report of a connection and returns its request line and its body; `None` once the
/// connection has ended for any reason.
fn read_report(peer: &mut Peer) -> Option<String> {
    let mut head: Vec<String> = vec![];
    while head.last().is_none_or(|line| !line.is_empty()) {
        let mut line = String::new();
        if peer.0.read_line(&mut line).ok()? == 0 {
            return None;
        }
        head.push(line.trim_end().into());
    }
    let length = head
        .iter()
        .find_map(|line| line.strip_prefix("Content-Length: "))?;
    let mut body = vec![0; length.parse().ok()?];
    peer.0.read_exact(&mut body).ok()?;
    Some(format!("{} {}", head[0], String::from_utf8_lossy(&body)))
}
