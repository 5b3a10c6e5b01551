//! Balancers: a seeded open load of reqs over a few connections, and what became of each. Answers are checked
//! as they come: each req is to have exactly one, by the id that it was sent under.

use crate::unix_ms;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use hdrhistogram::Histogram;
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

/// Between two tries to reach a server that is gone.
const RETRY: Duration = Duration::from_millis(50);
/// What one step of the loop counts at the most towards the wait for answers, so that a stall of this process is no
/// wait. A step without an event takes about a millisecond.
const MAX_WAIT_PER_STEP: Duration = Duration::from_millis(10);
/// Open reqs on one connection: the protocol's.
const OPEN_MOST: usize = 32;

/// What is asked of one handler.
#[derive(Clone, Debug)]
pub struct RequestKind {
    pub handler: String,
    /// Its part of all reqs.
    pub part: f64,
    pub target: Duration,
    pub keyed: bool,
    pub project: &'static str,
}

/// A rate of reqs a second from a time on.
pub type Rates = Vec<(Duration, f64)>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Completed,
    /// Shed, with the milliseconds to stay away that came with it.
    Rejected(u64),
    Failed,
}

/// One req and what became of it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub handler: usize,
    pub name: String,
    /// What the run is told by, base64.
    pub body: String,
    pub sent: Duration,
    pub answers: Vec<(Answer, Duration)>,
}

impl RequestRecord {
    /// Done within the target.
    pub fn kept(&self, target: Duration) -> bool {
        matches!(self.answers[..], [(Answer::Completed, at)] if at.saturating_sub(self.sent) <= target)
    }
}

struct Conn {
    stream: TcpStream,
    open: usize,
    id: u64,
    leaving: bool,
}

enum Heard {
    Line(usize, String, Instant),
    Lost,
}

/// The load of one run against one server.
pub struct Load {
    pub kinds: Vec<RequestKind>,
    pub rates: Rates,
    pub length: Duration,
    pub seed: u64,
    pub allow_ms: u64,
}

impl Load {
    /// Sends it all and waits for the answers; `answered` hears the name of each req that got one. `at` hears
    /// the time that has passed, a few hundred times a second.
    pub fn run(
        &self,
        server: SocketAddr,
        answered: impl FnMut(&str),
        at: impl FnMut(Duration),
    ) -> Vec<RequestRecord> {
        self.run_while(server, answered, at, || true)
    }

    /// The same, and nothing more is sent once it is no longer on.
    pub fn run_while(
        &self,
        server: SocketAddr,
        mut answered: impl FnMut(&str),
        mut at: impl FnMut(Duration),
        on: impl Fn() -> bool,
    ) -> Vec<RequestRecord> {
        let mut chance = oorandom::Rand64::new(u128::from(self.seed));
        let (to, from) = channel();
        let mut conns: Vec<Conn> = vec![];
        let mut records: Vec<RequestRecord> = vec![];
        let mut open: HashMap<(usize, u64), usize> = HashMap::new();
        let began = Instant::now();
        let mut next = Duration::ZERO;
        let mut length = self.length;
        // How long all has been sent, in steps of this loop that were not held up.
        let mut waited = Duration::ZERO;
        let mut last_step = Duration::ZERO;
        loop {
            let now = began.elapsed();
            at(now);
            if !on() {
                length = length.min(now);
            }
            if now >= length {
                waited += (now - last_step.max(length)).min(MAX_WAIT_PER_STEP);
            }
            last_step = now;
            while next <= now && next < length {
                let rate = self
                    .rates
                    .iter()
                    .rev()
                    .find(|r| r.0 <= next)
                    .map_or(1.0, |r| r.1);
                let Some((conn, id)) = send_on(&mut conns, server, &to) else {
                    // The server is gone: what could not be sent is nobody's.
                    next = now + RETRY;
                    break;
                };
                let mut pick = chance.rand_float() * self.kinds.iter().map(|a| a.part).sum::<f64>();
                let handler = self.kinds.iter().position(|a| {
                    pick -= a.part;
                    pick < 0.0
                });
                let handler = handler.unwrap_or(self.kinds.len() - 1);
                let name = format!("{:016x}", chance.rand_u64());
                let body = BASE64.encode(&name);
                let line = self.line(id, handler, &name, &body);
                let _ = conns[conn].stream.write_all(line.as_bytes());
                open.insert((conn, id), records.len());
                records.push(RequestRecord {
                    handler,
                    name,
                    body,
                    sent: began.elapsed(),
                    answers: vec![],
                });
                next += Duration::from_secs_f64(-(1.0 - chance.rand_float()).ln() / rate);
            }
            hear(&from, &mut conns, |conn, id, answer, heard| {
                let Some(record) = open.get(&(conn, id)).map(|f| &mut records[*f]) else {
                    return false;
                };
                let first = record.answers.is_empty();
                if first {
                    answered(&record.name);
                }
                record
                    .answers
                    .push((answer, heard.saturating_duration_since(began)));
                first
            });
            let owed = records.iter().rev().any(|f| f.answers.is_empty());
            let gives_up = waited > Duration::from_millis(self.allow_ms);
            if (now >= length && !owed) || gives_up {
                return records;
            }
        }
    }

    fn line(&self, id: u64, handler: usize, name: &str, body: &str) -> String {
        let kind = &self.kinds[handler];
        let key = if kind.keyed {
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
            kind.project,
            self.allow_ms,
        )
    }
}

/// A connection with room for one more req, and that req's id on it.
fn send_on(conns: &mut Vec<Conn>, server: SocketAddr, to: &Sender<Heard>) -> Option<(usize, u64)> {
    let fit = |c: &Conn| !c.leaving && c.open < OPEN_MOST;
    let at = if let Some(at) = conns.iter().position(fit) {
        at
    } else {
        let stream = TcpStream::connect(server).ok()?;
        let _ = stream.set_nodelay(true);
        let (no, reader, to) = (
            conns.len(),
            stream.try_clone().expect("a second handle"),
            to.clone(),
        );
        std::thread::spawn(move || {
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                if to.send(Heard::Line(no, line, Instant::now())).is_err() {
                    return;
                }
            }
            let _ = to.send(Heard::Lost);
        });
        conns.push(Conn {
            stream,
            open: 0,
            id: 0,
            leaving: false,
        });
        no
    };
    conns[at].open += 1;
    conns[at].id += 1;
    Some((at, conns[at].id))
}

/// Takes in what the server said, for a millisecond at least.
fn hear(
    from: &Receiver<Heard>,
    conns: &mut [Conn],
    mut each: impl FnMut(usize, u64, Answer, Instant) -> bool,
) {
    let mut wait = Duration::from_millis(1);
    while let Ok(heard) = from.recv_timeout(wait) {
        wait = Duration::ZERO;
        let Heard::Line(conn, line, at) = heard else {
            continue;
        };
        let Ok(said) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        if said["method"] == "leaving" {
            conns[conn].leaving = true;
        }
        let Some(id) = said["id"].as_u64() else {
            continue;
        };
        let answer = match said["error"]["code"].as_i64() {
            None => Answer::Completed,
            Some(-32002) => {
                Answer::Rejected(said["error"]["data"]["cooldown"].as_u64().unwrap_or(0))
            }
            Some(_) => Answer::Failed,
        };
        if each(conn, id, answer, at) {
            conns[conn].open -= 1;
        }
    }
}

/// Of the reqs of a handler sent from one time to another: how many, and the part that was kept.
pub fn kept(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    handler: usize,
    from: Duration,
    to: Duration,
) -> (usize, f64) {
    let of: Vec<&RequestRecord> = records
        .iter()
        .filter(|f| f.handler == handler && f.sent >= from && f.sent < to)
        .collect();
    let kept = of.iter().filter(|f| f.kept(kinds[handler].target)).count();
    (of.len(), kept as f64 / of.len().max(1) as f64)
}

/// The times, in milliseconds, after which reqs of a handler were done.
pub fn latencies(records: &[RequestRecord], handler: usize) -> Histogram<u64> {
    let mut found = Histogram::new(3).expect("three digits");
    for record in records.iter().filter(|f| f.handler == handler) {
        if let [(Answer::Completed, at)] = record.answers[..] {
            let _ = found.record(at.saturating_sub(record.sent).as_millis() as u64);
        }
    }
    found
}

/// The rules, as far as callers and engine can tell: exactly one answer each, nothing keyed run twice,
/// nothing shed that was run. One line for each breach.
pub fn rule_violations(
    records: &[RequestRecord],
    kinds: &[RequestKind],
    bodies: &HashMap<String, u32>,
) -> Vec<String> {
    let mut found = vec![];
    for record in records {
        let name = &record.name;
        if record.answers.len() != 1 {
            found.push(format!("{name} got {} answers", record.answers.len()));
        }
        let runs = bodies.get(&record.body).copied().unwrap_or(0);
        if runs > 1 && kinds[record.handler].keyed {
            found.push(format!("{name} ran {runs} times"));
        }
        if runs > 0
            && kinds[record.handler].keyed
            && matches!(record.answers[..], [(Answer::Rejected(_), _)])
        {
            found.push(format!("{name} was shed although it ran"));
        }
    }
    found
}
