//! What was sent, run and answered: the one record that all stand-ins share and that the rules are checked on.

use crate::text::unix_ms;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The final answer of one try.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed,
    /// The connection ended without a whole answer.
    Lost,
}

/// One try of a request.
#[derive(Clone, Debug)]
pub struct Try {
    pub class: String,
    pub key: Option<String>,
    pub body: String,
    /// Incarnation of the server that it was written to.
    pub life: u64,
    pub since_ms: u64,
    pub allow_ms: u64,
    /// Memory that is booked for it, in KB.
    pub room: f64,
    pub answer: Option<Answer>,
    pub answered_ms: u64,
    pub answers: u32,
    /// The client gave up, or its server was killed: no answer is owed.
    pub gone: bool,
    /// Runs that the engine started, in Unix milliseconds.
    pub runs: Vec<u64>,
    pub calls: u32,
}

#[derive(Default)]
pub struct Tables {
    pub tries: HashMap<String, Try>,
    pub order: Vec<String>,
    pub record: Vec<String>,
    pub broken: Vec<String>,
    next_name: u64,
    next_key: u64,
}

/// The shared record.
#[derive(Clone)]
pub struct World {
    pub started: Instant,
    started_ms: u64,
    tables: Arc<(Mutex<Tables>, Condvar)>,
}

impl World {
    pub fn new() -> World {
        World {
            started: Instant::now(),
            started_ms: unix_ms(),
            tables: Arc::default(),
        }
    }

    pub fn with<T>(&self, act: impl FnOnce(&mut Tables) -> T) -> T {
        let mut tables = self.tables.0.lock().unwrap_or_else(|e| e.into_inner());
        let result = act(&mut tables);
        self.tables.1.notify_all();
        result
    }

    /// Adds a line to the record, with the time since the start.
    pub fn note(&self, line: impl AsRef<str>) {
        let ms = self.started.elapsed().as_micros() as f64 / 1000.0;
        let line = format!("{ms:10.1} {}", line.as_ref());
        self.with(|t| t.record.push(line));
    }

    /// Records that a rule was broken.
    pub fn broken(&self, line: impl AsRef<str>) {
        self.note(format!("BROKEN {}", line.as_ref()));
        let line = line.as_ref().to_string();
        self.with(|t| t.broken.push(line));
    }

    pub fn new_name(&self) -> String {
        let stamp = self.started_ms;
        self.with(|t| {
            t.next_name += 1;
            format!("{:08x}{:08x}", stamp as u32, t.next_name as u32)
        })
    }

    pub fn new_key(&self) -> String {
        let stamp = self.started_ms;
        self.with(|t| {
            t.next_key += 1;
            format!("{stamp:016x}{:016x}", t.next_key)
        })
    }

    /// Waits until the condition holds, or the time is over. Returns whether it holds.
    pub fn wait(&self, limit: Duration, holds: impl Fn(&Tables) -> bool) -> bool {
        let until = Instant::now() + limit;
        let mut tables = self.tables.0.lock().unwrap_or_else(|e| e.into_inner());
        loop {
            if holds(&tables) {
                return true;
            }
            let now = Instant::now();
            if now >= until {
                return false;
            }
            let step = (until - now).min(Duration::from_millis(20));
            tables = self
                .tables
                .1
                .wait_timeout(tables, step)
                .unwrap_or_else(|e| e.into_inner())
                .0;
        }
    }

    /// Returns the answer of a try, waiting for it.
    pub fn answer(&self, name: &str, limit: Duration) -> Option<Answer> {
        let has = |t: &Tables| t.tries.get(name).is_some_and(|t| t.answer.is_some());
        self.wait(limit, has);
        self.with(|t| t.tries.get(name).and_then(|t| t.answer.clone()))
    }

    /// Writes the record to a file.
    pub fn save(&self, path: &str) {
        if let Ok(mut file) = std::fs::File::create(path) {
            self.with(|t| {
                for line in &t.record {
                    let _ = writeln!(file, "{line}");
                }
            });
        }
    }
}
