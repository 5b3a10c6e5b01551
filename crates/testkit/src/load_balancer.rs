//! Fake load balancers: they send a seeded open-loop load of requests over a few connections and
//! record the outcome of each request.
//!
//! # What is simulated
//!
//! Requests are sent at random times with a given mean rate, regardless of how fast they are
//! answered. A new connection is opened when each of the others has as many requests in flight as
//! the protocol allows, or was announced by the server to be closing. Answers are matched to
//! requests by connection and id; each request must get exactly one.
//!
//! # Faults
//!
//! None. A load may be ended early. If the server does not answer, the load waits for as long as
//! the clients would wait.

mod kind_id;
mod outcomes;

pub use kind_id::KindId;
pub use outcomes::{goodput, latencies, rule_violations};

use crate::unix_ms;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Upper bound on what one step of the loop counts towards the wait for answers, so that a stall of
/// this process does not count as waiting. A step without an event takes [`MAX_RECEIVE_TIME`].
const MAX_WAIT_PER_STEP: Duration = Duration::from_millis(10);
/// Interval between attempts to connect to a server that is gone.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests in flight on one connection, given by the protocol.
const MAX_IN_FLIGHT: usize = 32;
/// Error code of a request that was rejected and never ran.
const REJECTED: i64 = -32002;
/// Minimum time to wait for answers between two sends.
const MIN_RECEIVE_TIME: Duration = Duration::from_millis(1);
/// Maximum time to wait for answers in one step, so that `tick` is called a few hundred times a
/// second.
const MAX_RECEIVE_TIME: Duration = Duration::from_millis(4);

/// A kind of request: all its requests go to one handler.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name of the handler.
    pub handler: String,
    /// Relative weight with which this kind is drawn.
    pub weight: f64,
    /// Latency objective of the handler.
    pub latency_objective: Duration,
    /// Whether the requests have idempotency keys.
    pub idempotency_key: bool,
    /// Tenant of the requests.
    pub tenant: &'static str,
}

/// Send rates: the time since the start of the load from which a rate applies, and the rate in
/// requests per second.
pub type Rates = Vec<(Duration, f64)>;

/// An answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request has a result.
    Completed,
    /// The request was rejected, with a Retry-After in milliseconds.
    Rejected(u64),
    /// The request failed with an error.
    Failed,
}

/// One request and its answers.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Kind of the request.
    pub kind: KindId,
    /// Name by which the engine is told that the request was answered.
    pub name: String,
    /// Body of the request's run, in base64; unique to the request.
    pub body: String,
    /// Time at which the request was sent, since the start of the load.
    pub sent: Duration,
    /// All answers to the request, with their times since the start of the load.
    pub answers: Vec<(Answer, Duration)>,
}

impl RequestRecord {
    /// Reports whether the request has exactly one answer, and this is a result within the latency
    /// objective.
    pub fn in_time(&self, latency_objective: Duration) -> bool {
        matches!(self.answers[..], [(Answer::Completed, at)] if at.saturating_sub(self.sent) <= latency_objective)
    }
}

struct Connection {
    stream: TcpStream,
    /// Number of requests in flight.
    in_flight: usize,
    /// JSON-RPC id of the last request.
    last_id: u64,
    /// Whether the server has announced that it is closing the connection.
    is_draining: bool,
}

/// What a connection's thread reports.
enum Received {
    Line {
        connection: usize,
        line: String,
        at: Instant,
    },
    ConnectionLost,
}

/// Description of a load on one server.
pub struct Load {
    /// Kinds of requests that are sent.
    pub kinds: Vec<RequestKind>,
    /// Send rates over time.
    pub rates: Rates,
    /// Time for which requests are sent.
    pub length: Duration,
    /// Seed that determines the times, kinds and names of the requests.
    pub seed: u64,
    /// Timeout of each request in milliseconds, which is also sent with it.
    pub timeout_ms: u64,
}

impl Load {
    /// Sends all requests, waits for the answers and returns the records of all requests.
    /// `answered` is called with the name of each request that gets its first answer, and `tick`
    /// with the time since the start of the load, a few hundred times a second.
    pub fn run(
        &self,
        server: SocketAddr,
        answered: impl FnMut(&str),
        tick: impl FnMut(Duration),
    ) -> Vec<RequestRecord> {
        self.run_while(server, answered, tick, || true)
    }

    /// Like [`run`](Load::run), but sends nothing more once `keep_sending` returns false.
    pub fn run_while(
        &self,
        server: SocketAddr,
        mut answered: impl FnMut(&str),
        mut tick: impl FnMut(Duration),
        keep_sending: impl Fn() -> bool,
    ) -> Vec<RequestRecord> {
        let mut run = Run::new(self, server);
        let mut length = self.length;
        let mut wait = AnswerWait::default();
        loop {
            let now = run.began.elapsed();
            tick(now);
            if !keep_sending() {
                length = length.min(now);
            }
            wait.step(now, length);
            run.send_until(now, length);
            run.receive(&mut answered);
            let has_unanswered = run
                .records
                .iter()
                .rev()
                .any(|record| record.answers.is_empty());
            if (now >= length && !has_unanswered) || wait.exceeds(self.timeout_ms) {
                return run.records;
            }
        }
    }

    /// Returns the rate in requests per second at a time since the start of the load; 1 before the
    /// first entry of the rates.
    fn rate_at(&self, at: Duration) -> f64 {
        let mut rates = self.rates.iter().rev();
        rates.find(|rate| rate.0 <= at).map_or(1.0, |rate| rate.1)
    }

    /// Returns the kind of request that a random number from 0 to 1 selects.
    fn draw_kind(&self, drawn: f64) -> KindId {
        let mut rest = drawn * self.kinds.iter().map(|kind| kind.weight).sum::<f64>();
        let kind = self.kinds.iter().position(|kind| {
            rest -= kind.weight;
            rest < 0.0
        });
        KindId::new(kind.unwrap_or(self.kinds.len() - 1))
    }

    /// Returns the JSON-RPC line of a request.
    fn request_line(&self, id: u64, kind: KindId, name: &str, body: &str) -> String {
        let kind = &self.kinds[kind.index()];
        let key = if kind.idempotency_key {
            format!("\"replay\":\"{name}{name}\",")
        } else {
            String::new()
        };
        format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{}\",\"params\":{{\"ref\":\"{name}\",\
             \"since\":{},\"sender\":4,\"project\":\"{}\",\"allow\":{},{key}\"room\":2.5,\
             \"bytes\":\"{body}\"}}}}\n",
            kind.handler,
            unix_ms(),
            kind.tenant,
            self.timeout_ms,
        )
    }
}

/// Time spent waiting for the last answers after all requests were sent. A step of the loop that
/// was held up counts at most [`MAX_WAIT_PER_STEP`].
#[derive(Default)]
struct AnswerWait {
    waited: Duration,
    last_step: Duration,
}

impl AnswerWait {
    /// Adds the time since the previous step; `length` is the time at which all requests are sent.
    fn step(&mut self, now: Duration, length: Duration) {
        if now >= length {
            self.waited += (now - self.last_step.max(length)).min(MAX_WAIT_PER_STEP);
        }
        self.last_step = now;
    }

    /// Reports whether the wait is longer than a timeout in milliseconds.
    fn exceeds(&self, timeout_ms: u64) -> bool {
        self.waited > Duration::from_millis(timeout_ms)
    }
}

/// State of a load that is being sent.
struct Run<'a> {
    load: &'a Load,
    server: SocketAddr,
    random: oorandom::Rand64,
    connections: Vec<Connection>,
    /// Sender that is cloned for the threads of the connections.
    sender: Sender<Received>,
    received: Receiver<Received>,
    records: Vec<RequestRecord>,
    /// Index of each request's record by the request's connection and id.
    record_by_id: HashMap<(usize, u64), usize>,
    began: Instant,
    /// Time at which the next request is due, since the start of the load.
    next_send: Duration,
}

impl Run<'_> {
    fn new(load: &Load, server: SocketAddr) -> Run<'_> {
        let (sender, received) = channel();
        Run {
            load,
            server,
            random: oorandom::Rand64::new(u128::from(load.seed)),
            connections: vec![],
            sender,
            received,
            records: vec![],
            record_by_id: HashMap::new(),
            began: Instant::now(),
            next_send: Duration::ZERO,
        }
    }

    /// Sends the requests that are due by `now`, except those after the end of the load.
    fn send_until(&mut self, now: Duration, length: Duration) {
        while self.next_send <= now && self.next_send < length {
            let rate = self.load.rate_at(self.next_send);
            let Some(connection) = self.free_connection() else {
                // The server is gone; requests that can't be sent are not counted.
                self.next_send = now + RECONNECT_INTERVAL;
                return;
            };
            self.send_request(connection);
            let gap = -(1.0 - self.random.rand_float()).ln() / rate;
            self.next_send += Duration::from_secs_f64(gap);
        }
    }

    /// Returns a connection on which one more request may be sent; `None` if all are full and no
    /// other can be opened.
    fn free_connection(&mut self) -> Option<usize> {
        let is_free = |connection: &Connection| {
            !connection.is_draining && connection.in_flight < MAX_IN_FLIGHT
        };
        if let Some(index) = self.connections.iter().position(is_free) {
            return Some(index);
        }
        let stream = TcpStream::connect(self.server).ok()?;
        let _ = stream.set_nodelay(true);
        let index = self.connections.len();
        let reader = stream.try_clone().expect("stream can be cloned");
        let sender = self.sender.clone();
        std::thread::spawn(move || read_lines(index, reader, &sender));
        self.connections.push(Connection {
            stream,
            in_flight: 0,
            last_id: 0,
            is_draining: false,
        });
        Some(index)
    }

    /// Draws a request and sends it.
    fn send_request(&mut self, index: usize) {
        let connection = &mut self.connections[index];
        connection.in_flight += 1;
        connection.last_id += 1;
        let id = connection.last_id;
        let kind = self.load.draw_kind(self.random.rand_float());
        let name = format!("{:016x}", self.random.rand_u64());
        let body = BASE64.encode(&name);
        let line = self.load.request_line(id, kind, &name, &body);
        let _ = connection.stream.write_all(line.as_bytes());
        self.record_by_id.insert((index, id), self.records.len());
        self.records.push(RequestRecord {
            kind,
            name,
            body,
            sent: self.began.elapsed(),
            answers: vec![],
        });
    }

    /// Handles what the server has sent. Waits for it until the next request is due, but at least
    /// [`MIN_RECEIVE_TIME`] and at most [`MAX_RECEIVE_TIME`].
    fn receive(&mut self, answered: &mut impl FnMut(&str)) {
        let until_next = self.next_send.saturating_sub(self.began.elapsed());
        let mut wait = until_next.clamp(MIN_RECEIVE_TIME, MAX_RECEIVE_TIME);
        while let Ok(received) = self.received.recv_timeout(wait) {
            wait = Duration::ZERO;
            if let Received::Line {
                connection,
                line,
                at,
            } = received
            {
                self.handle_line(connection, &line, at, answered);
            }
        }
    }

    /// Handles one line from the server; lines that are not JSON are ignored.
    fn handle_line(
        &mut self,
        connection: usize,
        line: &str,
        at: Instant,
        answered: &mut impl FnMut(&str),
    ) {
        let Ok(message) = serde_json::from_str::<Value>(line) else {
            return;
        };
        if message["method"] == "leaving" {
            self.connections[connection].is_draining = true;
        }
        let record = message["id"]
            .as_u64()
            .and_then(|id| self.record_by_id.get(&(connection, id)));
        let Some(record) = record.map(|index| &mut self.records[*index]) else {
            return;
        };
        if record.answers.is_empty() {
            answered(&record.name);
            self.connections[connection].in_flight -= 1;
        }
        let after = at.saturating_duration_since(self.began);
        record.answers.push((answer_in(&message), after));
    }
}

/// Sends each line of a connection, and then its end, to the load's thread.
fn read_lines(connection: usize, stream: TcpStream, sender: &Sender<Received>) {
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let at = Instant::now();
        let received = Received::Line {
            connection,
            line,
            at,
        };
        if sender.send(received).is_err() {
            return;
        }
    }
    let _ = sender.send(Received::ConnectionLost);
}

/// Returns the answer that a message with an id carries.
fn answer_in(message: &Value) -> Answer {
    let error = &message["error"];
    match error["code"].as_i64() {
        None => Answer::Completed,
        Some(REJECTED) => Answer::Rejected(error["data"]["cooldown"].as_u64().unwrap_or(0)),
        Some(_) => Answer::Failed,
    }
}
