//! Fake load balancers: a seeded open load of requests over a few connections, and what became of
//! each request.
//!
//! # What is simulated
//!
//! Requests are sent at random times with a given mean rate, however fast they are answered. A
//! connection is opened when all others have as many requests in flight as the protocol allows, or
//! are announced to close. Answers are matched with requests by connection and id; each request has
//! to get exactly one.
//!
//! # Faults
//!
//! None. A load may be ended early; a server that does not answer is waited for as long as the
//! clients wait.

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

/// What one step of the loop counts at most towards the wait for answers, so that a stall of this process is no wait.
/// A step without an event takes [`MAX_RECEIVE_TIME`].
const MAX_WAIT_PER_STEP: Duration = Duration::from_millis(10);
/// The time between two attempts to connect with a server that is gone.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Requests in flight on one connection, as the protocol limits them.
const MAX_IN_FLIGHT: usize = 32;
/// The error code of a request that was rejected and never ran.
const REJECTED: i64 = -32002;
/// The shortest time for which answers are awaited between two sendings.
const MIN_RECEIVE_TIME: Duration = Duration::from_millis(1);
/// The longest time for which answers are awaited in one step, so that a caller is called a few hundred times a second.
const MAX_RECEIVE_TIME: Duration = Duration::from_millis(4);

/// Requests of one handler.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The handler's name.
    pub handler: String,
    /// The weight with which this kind is drawn.
    pub weight: f64,
    /// The latency objective.
    pub latency_objective: Duration,
    /// Whether its requests have idempotency keys.
    pub idempotency_key: bool,
    /// The tenant.
    pub tenant: &'static str,
}

/// The requests a second from each time on.
pub type Rates = Vec<(Duration, f64)>;

/// What a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It has a result.
    Completed,
    /// It was rejected, with a Retry-After in milliseconds.
    Rejected(u64),
    /// It has an error.
    Failed,
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its kind.
    pub kind: KindId,
    /// The name by which the engine learns of its answer.
    pub name: String,
    /// The body of its run, base64; no other request has the same.
    pub body: String,
    /// When it was sent, since the beginning of the load.
    pub sent: Duration,
    /// All answers to it, with their times since the beginning of the load.
    pub answers: Vec<(Answer, Duration)>,
}

impl RequestRecord {
    /// Whether it has exactly one answer, a result within the latency objective.
    pub fn in_time(&self, latency_objective: Duration) -> bool {
        matches!(self.answers[..], [(Answer::Completed, at)] if at.saturating_sub(self.sent) <= latency_objective)
    }
}

struct Connection {
    stream: TcpStream,
    /// Requests in flight.
    in_flight: usize,
    /// The id of the last request.
    last_id: u64,
    /// The server has announced that it closes it.
    is_draining: bool,
}

/// What the thread of a connection has read.
enum Received {
    Line {
        connection: usize,
        line: String,
        at: Instant,
    },
    ConnectionLost,
}

/// A load on one server.
pub struct Load {
    /// What is sent.
    pub kinds: Vec<RequestKind>,
    /// How much is sent from when on.
    pub rates: Rates,
    /// For how long requests are sent.
    pub length: Duration,
    /// Determines the times, the kinds and the names of the requests.
    pub seed: u64,
    /// The timeout of each request in milliseconds, which it also carries.
    pub timeout_ms: u64,
}

impl Load {
    /// Sends all requests and waits for the answers. `answered` is called with the name of each
    /// request that gets its first answer, `tick` with the time since the beginning, a few hundred
    /// times a second.
    pub fn run(
        &self,
        server: SocketAddr,
        answered: impl FnMut(&str),
        tick: impl FnMut(Duration),
    ) -> Vec<RequestRecord> {
        self.run_while(server, answered, tick, || true)
    }

    /// The same, but sends nothing more once `on` is false.
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

    /// The rate at a time since the beginning.
    fn rate_at(&self, at: Duration) -> f64 {
        let mut rates = self.rates.iter().rev();
        rates.find(|rate| rate.0 <= at).map_or(1.0, |rate| rate.1)
    }

    /// The kind that a number from 0 to 1 draws.
    fn draw_kind(&self, drawn: f64) -> KindId {
        let mut rest = drawn * self.kinds.iter().map(|kind| kind.weight).sum::<f64>();
        let kind = self.kinds.iter().position(|kind| {
            rest -= kind.weight;
            rest < 0.0
        });
        KindId::new(kind.unwrap_or(self.kinds.len() - 1))
    }

    /// A request as it is sent.
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

/// How long the last answers have been waited for since all was sent, in steps of the loop that were not held up.
#[derive(Default)]
struct AnswerWait {
    waited: Duration,
    last_step: Duration,
}

impl AnswerWait {
    /// Counts the time since the step before; all is sent at `length`.
    fn step(&mut self, now: Duration, length: Duration) {
        if now >= length {
            self.waited += (now - self.last_step.max(length)).min(MAX_WAIT_PER_STEP);
        }
        self.last_step = now;
    }

    /// Whether that is longer than a timeout in milliseconds.
    fn exceeds(&self, timeout_ms: u64) -> bool {
        self.waited > Duration::from_millis(timeout_ms)
    }
}

/// A load that is being sent.
struct Run<'a> {
    load: &'a Load,
    server: SocketAddr,
    random: oorandom::Rand64,
    connections: Vec<Connection>,
    /// For the threads of the connections.
    sender: Sender<Received>,
    received: Receiver<Received>,
    records: Vec<RequestRecord>,
    /// The index of each record by its connection and id.
    record_by_id: HashMap<(usize, u64), usize>,
    began: Instant,
    /// When the next request is to be sent.
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

    /// Sends the requests that are due by now, but for those after the end of the load.
    fn send_until(&mut self, now: Duration, length: Duration) {
        while self.next_send <= now && self.next_send < length {
            let rate = self.load.rate_at(self.next_send);
            let Some(connection) = self.free_connection() else {
                // The server is gone: what can't be sent is not counted.
                self.next_send = now + RECONNECT_INTERVAL;
                return;
            };
            self.send_request(connection);
            let gap = -(1.0 - self.random.rand_float()).ln() / rate;
            self.next_send += Duration::from_secs_f64(gap);
        }
    }

    /// A connection that may have one more request; `None` if no more can be opened.
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
        let reader = stream.try_clone().expect("a second handle");
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

    /// Takes in what the server has sent; waits for it until the next request is due, but a short time at most.
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

    /// Takes in one line; lines that are no JSON are ignored.
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

/// Passes on each line of a connection, and its end.
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

/// What a message that has an id answers.
fn answer_in(message: &Value) -> Answer {
    let error = &message["error"];
    match error["code"].as_i64() {
        None => Answer::Completed,
        Some(REJECTED) => Answer::Rejected(error["data"]["cooldown"].as_u64().unwrap_or(0)),
        Some(_) => Answer::Failed,
    }
}
