//! A way to a backend that can be cut: connections pass it, or nothing that is sent does any more.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often a way that is cut is looked at again.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Gate {
    /// Leads to an address.
    pub fn in_front_of(address: SocketAddr) -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let gate = Gate {
            address: listener.local_addr().expect("an address"),
            cut: Arc::default(),
        };
        let cut = gate.cut.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let Ok(other) = TcpStream::connect(address) else {
                    continue;
                };
                let (back, forth) = (stream.try_clone(), other.try_clone());
                let (Ok(back), Ok(forth)) = (back, forth) else {
                    continue;
                };
                let (one, two) = (cut.clone(), cut.clone());
                std::thread::spawn(move || carry(stream, other, &one));
                std::thread::spawn(move || carry(forth, back, &two));
            }
        });
        gate
    }

    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

/// Bytes of one direction, held back while the way is cut.
fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 4_096];
    while let Ok(n) = from.read(&mut bytes) {
        while cut.load(Ordering::Relaxed) {
            std::thread::sleep(LOOK);
        }
        if n == 0 || to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
