//! Stand-ins for the catalogue and the registry, after the protocol page.

use crate::text::Random;
use crate::world::World;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for which a call that was given up may still be held.
const LINGER: Duration = Duration::from_millis(150);

/// What the catalogue does with calls.
#[derive(Default)]
pub struct Habits {
    /// Time of a call, in microseconds.
    pub micros: AtomicU64,
    /// Calls in 1000 that are turned away.
    pub later: AtomicU64,
    /// Calls in 1000 that fail.
    pub fault: AtomicU64,
    /// Calls in 1000 whose reply never comes: the connection is closed instead. The call has run.
    pub reset: AtomicU64,
    /// Calls in 1000 whose reply never comes; the connection stays open. The call has run.
    pub silent: AtomicU64,
    /// Replies in 1000 that arrive twice.
    pub twice: AtomicU64,
    /// Replies in 1000 that are spoilt.
    pub spoilt: AtomicU64,
}

#[derive(Clone)]
pub struct Catalogue {
    pub address: SocketAddr,
    pub habits: Arc<Habits>,
    world: World,
    random: Arc<Mutex<Random>>,
    /// Calls that it holds, those that were given up included.
    pub held: Arc<AtomicI64>,
}

impl Catalogue {
    pub fn start(world: &World, seed: u64) -> Catalogue {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let catalogue = Catalogue {
            address: listener.local_addr().expect("a local address"),
            habits: Arc::default(),
            world: world.clone(),
            random: Arc::new(Mutex::new(Random::new(seed))),
            held: Arc::default(),
        };
        catalogue.habits.micros.store(2_000, Ordering::Relaxed);
        catalogue.listen(listener);
        catalogue
    }

    pub fn also_listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a local address");
        self.listen(listener);
        address
    }

    fn listen(&self, listener: TcpListener) {
        let catalogue = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let catalogue = catalogue.clone();
                std::thread::spawn(move || catalogue.serve(stream));
            }
        });
    }

    fn chance(&self, permille: &AtomicU64) -> bool {
        let permille = permille.load(Ordering::Relaxed);
        self.random
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .chance(permille)
    }

    fn serve(&self, stream: TcpStream) {
        let closed = Arc::new(AtomicBool::new(false));
        self.serve_until_closed(stream, &closed);
        closed.store(true, Ordering::Relaxed);
    }

    /// Holds a call for this time, or until a while after its connection was closed.
    fn hold(held: &AtomicI64, closed: &AtomicBool, micros: u64) {
        let until = Instant::now() + Duration::from_micros(micros);
        while Instant::now() < until && !closed.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(2).min(until - Instant::now().min(until)));
        }
        if closed.load(Ordering::Relaxed) {
            std::thread::sleep(LINGER.min(until.saturating_duration_since(Instant::now())));
        }
        held.fetch_sub(1, Ordering::Relaxed);
    }

    fn serve_until_closed(&self, stream: TcpStream, closed: &Arc<AtomicBool>) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut lines = BufReader::new(stream.try_clone().ok()?);
        let out = Arc::new(Mutex::new(stream));
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            if words[0] == "QUIT" {
                continue;
            }
            if words[0] != "FETCH" || words.len() != 4 {
                self.world
                    .broken(format!("the catalogue was sent what is no call: {line}"));
                return None;
            }
            let name = words[1].to_string();
            let mut body = vec![0; words[3].parse::<usize>().ok()? + 2];
            lines.read_exact(&mut body).ok()?;
            let expected = format!("call of {name}\r\n");
            if body != expected.as_bytes() {
                self.world
                    .broken(format!("the call of {name} reached the catalogue changed"));
            }
            let h = &self.habits;
            if self.chance(&h.later) {
                let _ = out
                    .lock()
                    .ok()?
                    .write_all(format!("{name} LATER\r\n").as_bytes());
                continue;
            }
            self.world.note(format!("catalogue: call of {name} runs"));
            self.world.with(|t| {
                if let Some(t) = t.tries.get_mut(&name) {
                    t.calls += 1;
                }
            });
            let (fault, reset, spoilt) = (
                self.chance(&h.fault),
                self.chance(&h.reset),
                self.chance(&h.spoilt),
            );
            let twice = self.chance(&h.twice);
            self.held.fetch_add(1, Ordering::Relaxed);
            let (held, closed) = (self.held.clone(), closed.clone());
            if self.chance(&h.silent) {
                std::thread::spawn(move || Self::hold(&held, &closed, 60_000_000));
                continue;
            }
            let micros = h.micros.load(Ordering::Relaxed);
            let out = out.clone();
            std::thread::spawn(move || {
                Self::hold(&held, &closed, micros);
                let reply = format!("reply to {name}");
                let data = format!("{name} DATA {}\r\n{reply}\r\n", reply.len());
                let Ok(mut out) = out.lock() else { return };
                let _ = if fault {
                    out.write_all(format!("{name} FAULT\r\n").as_bytes())
                } else if reset {
                    out.shutdown(std::net::Shutdown::Both)
                } else if spoilt {
                    out.write_all(format!("{name} DATA 99999999999\r\nxx").as_bytes())
                } else if twice {
                    out.write_all(format!("{data}{data}").as_bytes())
                } else {
                    out.write_all(data.as_bytes())
                };
            });
        }
    }
}

/// Starts a registry that accepts every report. Returns its address.
pub fn registry(world: &World) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let world = world.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = world.clone();
            std::thread::spawn(move || report(stream, &world));
        }
    });
    address
}

fn report(mut stream: TcpStream, world: &World) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?);
    let mut last = String::new();
    loop {
        let mut length = 0;
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_ascii_lowercase();
            if let Some(n) = line.strip_prefix("content-length:") {
                length = n.trim().parse().ok()?;
            }
            if line.is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        lines.read_exact(&mut body).ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        if body != last {
            world.note(format!("registry: {body}"));
            last = body;
        }
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
    }
}
