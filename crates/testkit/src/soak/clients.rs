//! The clients of a soak run. They send requests over a small number of connections, withdraw some of them, and record
//! every answer.

use super::plan::{HANDLERS, IDEMPOTENCY_KEY_HANDLER, PlannedRequest};
use crate::unix_ms;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Time for which a client waits for an answer, in milliseconds. Each request contains this timeout.
pub(super) const TIMEOUT_MS: u64 = 3_000;
/// Maximum number of requests in flight on one connection, set by the protocol.
const MAX_IN_FLIGHT_PER_CONNECTION: usize = 32;
/// A new connection is opened when every connection has at least this many requests in flight.
const NEW_CONNECTION_THRESHOLD: usize = 8;
/// Maximum number of connections that are opened during a soak run.
const MAX_CONNECTIONS: usize = 100;
/// Error code of a request that was rejected and never ran.
const REJECTED: i64 = -32002;

/// An answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The result of a run, in base64.
    Served(String),
    /// The request was rejected and did not run.
    Rejected,
    /// The request failed.
    Failed,
}

/// A request that was sent, with its answers.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request as planned.
    pub planned: PlannedRequest,
    /// Name of the attempt.
    pub name: String,
    /// Body in base64, unique to this request.
    pub body: String,
    /// Time of sending, since the beginning of the soak run.
    pub sent: Duration,
    /// Time at which the client withdrew the request, that is, stopped waiting for its answer.
    pub withdrawn: Option<Duration>,
    /// All answers with their times since the beginning of the soak run.
    pub answers: Vec<(ClientAnswer, Duration)>,
    /// Time at which the connection ended, if the request had no answer by then.
    pub disconnected: Option<Duration>,
}

struct Connection {
    stream: TcpStream,
    /// Number of requests in flight.
    in_flight: usize,
    /// Id of the last request.
    last_id: u64,
    /// Whether the connection has ended.
    is_closed: bool,
}

/// A line received on a connection, or the end of the connection if `line` is `None`.
struct Received {
    connection: usize,
    line: Option<String>,
    at: Instant,
}

/// The connection on which a request was sent, and its id there.
#[derive(Clone, Copy)]
struct RequestLocation {
    connection: usize,
    id: u64,
}

/// The clients of the server under test.
pub(super) struct Clients {
    server: SocketAddr,
    seed: u64,
    began: Instant,
    connections: Vec<Connection>,
    sender: Sender<Received>,
    received: Receiver<Received>,
    requests: Vec<SentRequest>,
    /// Location of each request, by its number.
    locations: Vec<RequestLocation>,
    /// Number of a request by its connection and id.
    request_of: HashMap<(usize, u64), usize>,
    /// Names of the requests that were answered or withdrawn since the last `take_finished`.
    finished: Vec<String>,
}

impl Clients {
    /// Creates clients that have no connection yet.
    pub(super) fn new(server: SocketAddr, seed: u64, began: Instant) -> Clients {
        let (sender, received) = channel();
        Clients {
            server,
            seed,
            began,
            connections: vec![],
            sender,
            received,
            requests: vec![],
            locations: vec![],
            request_of: HashMap::new(),
            finished: vec![],
        }
    }

    /// Sends a request and returns its number. Returns `None` and sends nothing if there is no connection for it.
    pub(super) fn send(&mut self, planned: PlannedRequest) -> Option<usize> {
        let connection = self.select_connection()?;
        let number = self.requests.len();
        let name = format!("{:08x}{number:08x}", self.seed as u32);
        let body = BASE64.encode(&name);
        let chosen = &mut self.connections[connection];
        chosen.in_flight += 1;
        chosen.last_id += 1;
        let id = chosen.last_id;
        let line = request_line(id, planned.handler, &name, &body);
        let _ = chosen.stream.write_all(line.as_bytes());
        self.request_of.insert((connection, id), number);
        self.locations.push(RequestLocation { connection, id });
        self.requests.push(SentRequest {
            planned,
            name,
            body,
            sent: self.began.elapsed(),
            withdrawn: None,
            answers: vec![],
            disconnected: None,
        });
        Some(number)
    }

    /// Withdraws a request: its client stops waiting and tells the server so. Does nothing if the request is answered.
    pub(super) fn withdraw(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if !request.answers.is_empty() {
            return;
        }
        request.withdrawn = Some(self.began.elapsed());
        self.finished.push(request.name.clone());
        let RequestLocation { connection, id } = self.locations[number];
        let line =
            format!("{{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{{\"id\":{id}}}}}\n");
        let connection = &mut self.connections[connection];
        connection.in_flight -= 1;
        let _ = connection.stream.write_all(line.as_bytes());
    }

    /// Receives answers and the ends of connections for this duration.
    pub(super) fn receive(&mut self, wait: Duration) {
        let until = Instant::now() + wait;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let Ok(received) = self.received.recv_timeout(left) else {
                return;
            };
            self.handle_received(&received);
        }
    }

    /// Takes the names of the requests that were answered or withdrawn since the last call.
    pub(super) fn take_finished(&mut self) -> Vec<String> {
        std::mem::take(&mut self.finished)
    }

    /// Returns all requests that were sent, with their answers.
    pub(super) fn into_requests(self) -> Vec<SentRequest> {
        self.requests
    }

    /// Reports whether any client still waits for an answer on an open connection.
    pub(super) fn awaits_answer(&self) -> bool {
        let is_awaited = |request: &SentRequest| {
            let is_over = request.withdrawn.is_some() || request.disconnected.is_some();
            request.answers.is_empty() && !is_over
        };
        self.requests.iter().any(is_awaited)
    }

    /// Opens this many connections, or fewer if the server refuses some or the maximum is reached.
    pub(super) fn open_connections(&mut self, count: usize) {
        for _ in 0..count {
            self.connect();
        }
    }

    /// Returns the connection with the fewest requests in flight that may have one more, or a new one. A connection is
    /// used even if the server has announced that it will close it.
    fn select_connection(&mut self) -> Option<usize> {
        let is_free = |connection: &Connection| {
            !connection.is_closed && connection.in_flight < MAX_IN_FLIGHT_PER_CONNECTION
        };
        let connections = self.connections.iter().enumerate();
        let free = connections.filter(|(_, connection)| is_free(connection));
        let least_used = free.min_by_key(|(_, connection)| connection.in_flight);
        match least_used {
            Some((index, connection)) if connection.in_flight < NEW_CONNECTION_THRESHOLD => {
                Some(index)
            }
            Some((index, _)) => self.connect().or(Some(index)),
            None => self.connect(),
        }
    }

    /// Opens a connection. Returns `None` if the server refuses it or the maximum is reached.
    fn connect(&mut self) -> Option<usize> {
        if self.connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        let stream = TcpStream::connect(self.server).ok()?;
        let _ = stream.set_nodelay(true);
        let index = self.connections.len();
        let reader = stream.try_clone().expect("a second handle of the stream");
        let sender = self.sender.clone();
        std::thread::spawn(move || read_lines(index, reader, &sender));
        self.connections.push(Connection {
            stream,
            in_flight: 0,
            last_id: 0,
            is_closed: false,
        });
        Some(index)
    }

    /// Handles a received line or the end of a connection. Ignores lines that are not JSON, and messages without the id
    /// of a request.
    fn handle_received(&mut self, received: &Received) {
        let connection = received.connection;
        let Some(line) = &received.line else {
            return self.handle_connection_end(connection, received.at);
        };
        let Ok(message) = serde_json::from_str::<Value>(line) else {
            return;
        };
        let id = message["id"].as_u64();
        let Some(number) = id.and_then(|id| self.request_of.get(&(connection, id))) else {
            return;
        };
        let request = &mut self.requests[*number];
        if request.answers.is_empty() && request.withdrawn.is_none() {
            self.connections[connection].in_flight -= 1;
            self.finished.push(request.name.clone());
        }
        let at = received.at.saturating_duration_since(self.began);
        request.answers.push((parse_answer(&message), at));
    }

    /// Handles the end of a connection. Its requests without an answer will never get one.
    fn handle_connection_end(&mut self, connection: usize, at: Instant) {
        self.connections[connection].is_closed = true;
        let at = at.saturating_duration_since(self.began);
        let locations = self.locations.iter().zip(&mut self.requests);
        let on_connection = locations.filter(|(location, _)| location.connection == connection);
        for (_, request) in on_connection.filter(|(_, request)| request.answers.is_empty()) {
            request.disconnected = Some(at);
        }
    }
}

/// Returns the JSON line of a request.
fn request_line(id: u64, handler: usize, name: &str, body: &str) -> String {
    let key = if handler == IDEMPOTENCY_KEY_HANDLER {
        format!("\"replay\":\"{name}{name}\",")
    } else {
        String::new()
    };
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{}\",\"params\":{{\"ref\":\"{name}\",\"since\":{},\
         \"sender\":4,\"project\":\"acme\",\"allow\":{TIMEOUT_MS},{key}\"room\":2.5,\"bytes\":\"{body}\"}}}}\n",
        HANDLERS[handler],
        unix_ms(),
    )
}

/// Reads the lines of a connection and sends each to the channel, followed by the end of the connection.
fn read_lines(connection: usize, stream: TcpStream, sender: &Sender<Received>) {
    let lines = BufReader::new(stream).lines().map_while(Result::ok);
    for line in lines.map(Some).chain([None]) {
        let at = Instant::now();
        let received = Received {
            connection,
            line,
            at,
        };
        if sender.send(received).is_err() {
            return;
        }
    }
}

/// Converts a response message to an answer.
fn parse_answer(message: &Value) -> ClientAnswer {
    let error = &message["error"];
    match error["code"].as_i64() {
        None => ClientAnswer::Served(
            message["result"]["bytes"]
                .as_str()
                .unwrap_or_default()
                .into(),
        ),
        Some(REJECTED) => ClientAnswer::Rejected,
        Some(_) => ClientAnswer::Failed,
    }
}
