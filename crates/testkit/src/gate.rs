//! A way to a backend that can be cut: while it is, bytes are held back in both directions and
//! connections stay open.

use crate::peer::loopback_listener;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The time between two checks whether a cut is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes that are carried at a time.
const BUFFER_BYTES: usize = 4_096;

/// A way to an address, with threads of its own for each connection.
#[derive(Clone)]
pub struct Gate {
    /// Where the way begins.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Gate {
    /// Starts a way to an address, on a free loopback port.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn in_front_of(address: SocketAddr) -> Gate {
        let listener = loopback_listener();
        let gate = Gate {
            address: listener.local_addr().expect("an address"),
            cut: Arc::default(),
        };
        let cut = gate.cut.clone();
        std::thread::spawn(move || accept(&listener, address, &cut));
        gate
    }

    /// Fault: cuts the way, or ends the cut.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Connects each client with the address; one that can't be connected is dropped.
fn accept(listener: &TcpListener, address: SocketAddr, cut: &Arc<AtomicBool>) {
    for client in listener.incoming().map_while(Result::ok) {
        let Ok(backend) = TcpStream::connect(address) else {
            continue;
        };
        let (Ok(to_client), Ok(from_backend)) = (client.try_clone(), backend.try_clone()) else {
            continue;
        };
        let (cut_forth, cut_back) = (cut.clone(), cut.clone());
        std::thread::spawn(move || carry(client, backend, &cut_forth));
        std::thread::spawn(move || carry(from_backend, to_client, &cut_back));
    }
}

/// Carries the bytes of one direction, and holds them back while the way is cut.
fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut bytes) {
        while cut.load(Ordering::Relaxed) {
            std::thread::sleep(CHECK_INTERVAL);
        }
        if length == 0 || to.write_all(&bytes[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
