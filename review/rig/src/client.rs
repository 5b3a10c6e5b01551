//! A stand-in of a load balancer: one connection to one server, and the requests sent on it.

use crate::engine::Engine;
use crate::record::{Record, unix_ms};
use crate::text::{member, number};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed(String),
}

/// One try of a request, as its client sees it.
#[derive(Clone, Debug)]
pub struct Try {
    pub reference: String,
    pub key: String,
    pub sent_ms: u64,
    pub allow_ms: u64,
    pub answers: Vec<(u64, Answer)>,
    /// The client has given up, or its side has broken the connection.
    pub gone: bool,
    /// The server's side has ended the connection without an answer.
    pub lost_connection: bool,
}

/// All tries of a play, in the order in which they were sent.
pub type Tries = Arc<Mutex<Vec<Try>>>;

struct Open {
    /// Index in the list of tries, by JSON-RPC id.
    tries: HashMap<u64, usize>,
    last_id: u64,
    leaving: bool,
    ended: bool,
    broken_by_us: bool,
}

#[derive(Clone)]
pub struct Client {
    server: String,
    stream: Arc<TcpStream>,
    open: Arc<Mutex<Open>>,
    tries: Tries,
    engine: Engine,
    record: Arc<Record>,
}

impl Client {
    pub fn connect(
        server: &str,
        address: SocketAddr,
        engine: &Engine,
        tries: &Tries,
        record: &Arc<Record>,
    ) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let client = Client {
            server: server.into(),
            stream: Arc::new(stream),
            open: Arc::new(Mutex::new(Open {
                tries: HashMap::new(),
                last_id: 0,
                leaving: false,
                ended: false,
                broken_by_us: false,
            })),
            tries: tries.clone(),
            engine: engine.clone(),
            record: record.clone(),
        };
        let reading = client.clone();
        std::thread::spawn(move || reading.read());
        Ok(client)
    }

    /// Reports whether a new request may be sent on this connection.
    pub fn is_usable(&self) -> bool {
        let open = self.open.lock().unwrap();
        !open.leaving && !open.ended && open.tries.len() < 32
    }

    /// Sends one request; returns its index in the list of tries. An empty key sends none.
    pub fn send(&self, class: &str, reference: &str, key: &str, body: &str, allow_ms: u64) -> Option<usize> {
        let mut open = self.open.lock().unwrap();
        if open.ended {
            return None;
        }
        open.last_id += 1;
        let id = open.last_id;
        let since = unix_ms();
        let replay = if key.is_empty() { String::new() } else { format!(",\"replay\":\"{key}\"") };
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{class}\",\"params\":{{\"ref\":\"{reference}\",\"since\":{since},\"sender\":1,\"project\":\"acme\",\"allow\":{allow_ms},\"effort\":5.0,\"room\":20.0,\"class_rank\":0.5{replay},\"bytes\":\"{body}\"}}}}\n"
        );
        self.engine.request_came(reference, class, body);
        let index = {
            let mut tries = self.tries.lock().unwrap();
            tries.push(Try {
                reference: reference.into(),
                key: key.into(),
                sent_ms: self.record.ms(),
                allow_ms,
                answers: vec![],
                gone: false,
                lost_connection: false,
            });
            tries.len() - 1
        };
        open.tries.insert(id, index);
        self.record.line(format!("{}: sent {class} {reference} key {key}", self.server));
        if (&*self.stream).write_all(line.as_bytes()).is_err() {
            self.tries.lock().unwrap()[index].lost_connection = true;
        }
        Some(index)
    }

    /// Gives up a request.
    pub fn forget(&self, index: usize) {
        let open = self.open.lock().unwrap();
        let Some((id, _)) = open.tries.iter().find(|(_, i)| **i == index) else { return };
        let line = format!("{{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{{\"id\":{id}}}}}\n");
        let reference = {
            let mut tries = self.tries.lock().unwrap();
            tries[index].gone = true;
            tries[index].reference.clone()
        };
        self.record.line(format!("{}: forget {reference}", self.server));
        self.engine.request_over(&reference);
        let _ = (&*self.stream).write_all(line.as_bytes());
    }

    /// Breaks the connection from the client's side.
    pub fn break_off(&self) {
        self.open.lock().unwrap().broken_by_us = true;
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn read(&self) {
        let reader = self.stream.try_clone().map(BufReader::new);
        for line in reader.into_iter().flat_map(BufRead::lines) {
            let Ok(line) = line else { break };
            if line.contains("\"leaving\"") {
                self.open.lock().unwrap().leaving = true;
                continue;
            }
            let Some(id) = number(&line, "id") else { continue };
            let code = member(&line, "code").map(str::to_string);
            let answer = match code.as_deref() {
                None => Answer::Served(member(&line, "bytes").unwrap_or_default().into()),
                Some("-32002") => Answer::Refused,
                Some(_) => Answer::Failed(line.clone()),
            };
            let index = self.open.lock().unwrap().tries.get(&id).copied();
            let Some(index) = index else {
                self.record.line(format!("{}: answer to no request: {line}", self.server));
                continue;
            };
            let reference = {
                let mut tries = self.tries.lock().unwrap();
                let ms = self.record.ms();
                tries[index].answers.push((ms, answer.clone()));
                tries[index].reference.clone()
            };
            let kind = match &answer {
                Answer::Served(_) => "served",
                Answer::Refused => "refused",
                Answer::Failed(_) => "failed",
            };
            self.record.line(format!("{}: answer to {reference}: {kind}", self.server));
            self.engine.request_over(&reference);
        }
        let mut open = self.open.lock().unwrap();
        open.ended = true;
        let mut tries = self.tries.lock().unwrap();
        for index in open.tries.values() {
            let one = &mut tries[*index];
            if one.answers.is_empty() {
                if open.broken_by_us {
                    one.gone = true;
                } else {
                    one.lost_connection = true;
                }
                self.engine.request_over(&one.reference);
            }
        }
    }
}
