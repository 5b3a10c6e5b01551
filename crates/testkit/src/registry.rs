//! The registry: answers every report and passes it on.

use crate::peer::{Peer, loopback_listener};
use std::io::{BufRead, Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};

pub fn start() -> (SocketAddr, Receiver<String>) {
    let listener = loopback_listener();
    let address = listener.local_addr().expect("an address");
    let (to, from) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut peer = Peer::new(stream);
            while let Some(report) = report(&mut peer) {
                if to.send(report).is_err() {
                    return;
                }
                let _ = peer
                    .0
                    .get_mut()
                    .write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            }
        }
    });
    (address, from)
}

/// The next report on a connection: its first line and its body; nothing once it is over, however it ended.
fn report(peer: &mut Peer) -> Option<String> {
    let mut head: Vec<String> = vec![];
    while head.last().is_none_or(|l| !l.is_empty()) {
        let mut line = String::new();
        if peer.0.read_line(&mut line).ok()? == 0 {
            return None;
        }
        head.push(line.trim_end().into());
    }
    let length = head
        .iter()
        .find_map(|l| l.strip_prefix("Content-Length: "))?;
    let mut body = vec![0; length.parse().ok()?];
    peer.0.read_exact(&mut body).ok()?;
    Some(format!("{} {}", head[0], String::from_utf8_lossy(&body)))
}
