//! The registry: answers every report and passes it on.

use crate::peer::{Peer, local};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};

pub fn start() -> (SocketAddr, Receiver<String>) {
    let listener = local();
    let address = listener.local_addr().expect("an address");
    let (to, from) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let mut peer = Peer::new(stream);
            while let Some(report) = report(&mut peer) {
                if to.send(report).is_err() {
                    return;
                }
                peer.say("HTTP/1.1 204 No Content\r\n\r\n");
            }
        }
    });
    (address, from)
}

/// The next report on a connection: its first line and its body.
fn report(peer: &mut Peer) -> Option<String> {
    let mut head = vec![];
    while head.last().is_none_or(|l: &String| !l.is_empty()) {
        let line = peer.line();
        if line.is_empty() && head.is_empty() {
            return None;
        }
        head.push(line);
    }
    let length = head.iter().find_map(|l| l.strip_prefix("Content-Length: ")).expect("a length");
    let body = peer.bytes(length.parse().expect("a number"));
    Some(format!("{} {}", head[0], String::from_utf8_lossy(&body)))
}
