//! A stand-in of the catalogue that all servers share. Each server reaches it at an address of its own,
//! so each call is known by its server.
//!
//! A call is in flight from the moment its FETCH is read until its reply is written. A call that is given
//! up, by QUIT or by the end of its connection, goes on for the time that the settings give an abandoned
//! call, or until it would have ended, whichever is first.

use crate::later::Later;
use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Call {
    server: String,
    id: String,
    connection: u64,
    ends: Instant,
    given_up: bool,
}

/// The calls in flight at one moment, by server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Level {
    pub ms: u64,
    pub all: usize,
    pub given_up: usize,
    pub by_server: Vec<(String, usize)>,
}

#[derive(Default)]
struct State {
    calls: HashMap<u64, Call>,
    connections: HashMap<u64, TcpStream>,
    last: u64,
    levels: Vec<Level>,
    fetched: Vec<(u64, String, String)>,
    /// Addresses that have moved.
    closed: Vec<SocketAddr>,
}

#[derive(Clone)]
pub struct Catalogue {
    state: Arc<Mutex<State>>,
    call_ms: Arc<Mutex<u64>>,
    linger_ms: u64,
    later: Later,
    record: Arc<Record>,
}

impl Catalogue {
    pub fn start(call_ms: u64, linger_ms: u64, later: &Later, record: &Arc<Record>) -> Catalogue {
        Catalogue {
            state: Arc::default(),
            call_ms: Arc::new(Mutex::new(call_ms)),
            linger_ms,
            later: later.clone(),
            record: record.clone(),
        }
    }

    /// Opens an address for one server.
    pub fn address_for(&self, server: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let (catalogue, server) = (self.clone(), server.to_string());
        let _ = listener.set_nonblocking(true);
        std::thread::spawn(move || {
            while !catalogue.state.lock().unwrap().closed.contains(&address) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (catalogue, server) = (catalogue.clone(), server.clone());
                std::thread::spawn(move || catalogue.serve(stream, address, &server));
            }
        });
        address
    }

    pub fn set_call_ms(&self, ms: u64) {
        *self.call_ms.lock().unwrap() = ms;
    }

    /// All levels so far, one for each change.
    pub fn levels(&self) -> Vec<Level> {
        self.state.lock().unwrap().levels.clone()
    }

    /// All calls that came so far: milliseconds, server and body.
    pub fn fetched(&self) -> Vec<(u64, String, String)> {
        self.state.lock().unwrap().fetched.clone()
    }

    pub fn in_flight(&self) -> usize {
        self.state.lock().unwrap().calls.len()
    }

    /// The address has moved: it accepts nothing new, and open connections are closed after 1.5 s.
    pub fn close_address(&self, address: SocketAddr) {
        self.state.lock().unwrap().closed.push(address);
        let catalogue = self.clone();
        self.later.after(1_500, move || {
            catalogue.record.line(format!("catalogue: connections at {address} are closed"));
            catalogue.close_connections_at(address);
        });
    }

    /// Closes the open connections at an address.
    pub fn close_connections_at(&self, address: SocketAddr) {
        let state = self.state.lock().unwrap();
        for stream in state.connections.values() {
            if stream.local_addr().ok() == Some(address) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn serve(&self, stream: TcpStream, address: SocketAddr, server: &str) {
        let _ = stream.set_nodelay(true);
        let connection = {
            let mut state = self.state.lock().unwrap();
            state.last += 1;
            let number = state.last;
            let Ok(clone) = stream.try_clone() else { return };
            state.connections.insert(number, clone);
            number
        };
        let _ = self.read(&stream, connection, server);
        let mut state = self.state.lock().unwrap();
        state.connections.remove(&connection);
        let open: Vec<u64> = state
            .calls
            .iter()
            .filter(|(_, call)| call.connection == connection && !call.given_up)
            .map(|(number, _)| *number)
            .collect();
        for number in open {
            self.give_up(&mut state, number, &format!("connection at {address} ended"));
        }
    }

    fn read(&self, stream: &TcpStream, connection: u64, server: &str) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut line = String::new();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
                ["FETCH", id, _, length] => {
                    let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                    reader.read_exact(&mut body)?;
                    let body = String::from_utf8_lossy(&body).trim_end().to_string();
                    self.fetch(connection, server, id, &body);
                }
                ["QUIT", id] => {
                    let mut state = self.state.lock().unwrap();
                    self.give_up_former(&mut state, server, id, "QUIT");
                }
                _ => return Ok(()),
            }
        }
    }

    fn give_up_former(&self, state: &mut State, server: &str, id: &str, why: &str) {
        let former: Vec<u64> = state
            .calls
            .iter()
            .filter(|(_, call)| call.server == server && call.id == id && !call.given_up)
            .map(|(number, _)| *number)
            .collect();
        for number in former {
            self.give_up(state, number, why);
        }
    }

    fn fetch(&self, connection: u64, server: &str, id: &str, body: &str) {
        let mut state = self.state.lock().unwrap();
        self.give_up_former(&mut state, server, id, "a second call");
        state.last += 1;
        let number = state.last;
        let call_ms = *self.call_ms.lock().unwrap();
        state.calls.insert(
            number,
            Call {
                server: server.into(),
                id: id.into(),
                connection,
                ends: Instant::now() + Duration::from_millis(call_ms),
                given_up: false,
            },
        );
        let ms = self.record.ms();
        state.fetched.push((ms, server.into(), body.into()));
        self.level(&mut state, &format!("call of {id} from {server} begins"));
        let catalogue = self.clone();
        self.later.after(call_ms, move || catalogue.end(number));
    }

    /// The call is done: its reply is written, if anybody waits.
    fn end(&self, number: u64) {
        let mut state = self.state.lock().unwrap();
        let Some(call) = state.calls.remove(&number) else { return };
        if !call.given_up
            && let Some(stream) = state.connections.get_mut(&call.connection)
        {
            let reply = format!("{} DATA 2\r\nok\r\n", call.id);
            let _ = stream.write_all(reply.as_bytes());
        }
        self.level(&mut state, &format!("call of {} from {} ends", call.id, call.server));
    }

    fn give_up(&self, state: &mut State, number: u64, why: &str) {
        let linger = Duration::from_millis(self.linger_ms);
        let Some(call) = state.calls.get_mut(&number) else { return };
        call.given_up = true;
        let what = format!("call of {} from {} is given up: {why}", call.id, call.server);
        if call.ends > Instant::now() + linger {
            let catalogue = self.clone();
            self.later.after(self.linger_ms, move || catalogue.end(number));
        }
        self.level(state, &what);
    }

    fn level(&self, state: &mut State, what: &str) {
        let mut by_server: Vec<(String, usize)> = vec![];
        for call in state.calls.values() {
            match by_server.iter_mut().find(|(server, _)| *server == call.server) {
                Some((_, count)) => *count += 1,
                None => by_server.push((call.server.clone(), 1)),
            }
        }
        by_server.sort();
        let level = Level {
            ms: self.record.ms(),
            all: state.calls.len(),
            given_up: state.calls.values().filter(|call| call.given_up).count(),
            by_server,
        };
        self.record.line(format!(
            "catalogue: {what}; in flight {} {:?}, of these given up {}",
            level.all, level.by_server, level.given_up
        ));
        state.levels.push(level);
    }
}
