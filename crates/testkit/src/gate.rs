//! A TCP relay to a backend that can be interrupted. During an interruption, bytes are held back in
//! both directions and connections stay open. The relay owns its connections and does not interpret
//! the bytes that it carries.

use crate::peer::loopback_listener;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval between checks whether an interruption has ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of bytes that are relayed at a time.
const BUFFER_BYTES: usize = 4_096;

/// Relay to an address, with two threads for each connection.
#[derive(Clone)]
pub struct Gate {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Gate {
    /// Starts a relay to `address` on a free loopback port.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn in_front_of(address: SocketAddr) -> Gate {
        let listener = loopback_listener();
        let gate = Gate {
            address: listener.local_addr().expect("listener has a local address"),
            cut: Arc::default(),
        };
        let cut = gate.cut.clone();
        std::thread::spawn(move || accept(&listener, address, &cut));
        gate
    }

    /// Fault: interrupts the relay if `cut` is true, and ends the interruption otherwise.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Connects each client to `address`; a client that can't be connected is dropped.
fn accept(listener: &TcpListener, address: SocketAddr, cut: &Arc<AtomicBool>) {
    for client in listener.incoming().map_while(Result::ok) {
        let Ok(backend) = TcpStream::connect(address) else {
            continue;
        };
        let (Ok(to_client), Ok(from_backend)) = (client.try_clone(), backend.try_clone()) else {
            continue;
        };
        let cut_to_backend = cut.clone();
        std::thread::spawn(move || carry(client, backend, &cut_to_backend));
        let cut_to_client = cut.clone();
        std::thread::spawn(move || carry(from_backend, to_client, &cut_to_client));
    }
}

/// Relays the bytes of one direction, and holds them back while the relay is interrupted.
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
