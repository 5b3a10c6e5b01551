//! Counts of what the server takes in, sends and answers; one line each, in a fixed order.

use madderbay::interface::Outcome;
use madderbay::time::Duration;
use std::fmt::Write;

/// A tick later than this is counted: the module takes one that late for a pause of the process.
const LATE: Duration = Duration::from_millis(30);
/// A req read later than this after it came to the machine is counted.
const READ_LATE: Duration = Duration::from_millis(20);

/// How runs and calls end, and what their counters are called; what is none of these counts as the last.
const RUNS: [(Outcome, &str); 4] = [
    (Outcome::Completed, "done"),
    (Outcome::Failed, "errored"),
    (Outcome::Cancelled, "stopped"),
    (Outcome::AlreadyEnded, "moot"),
];
const CALLS: [(Outcome, &str); 6] = [
    (Outcome::Completed, "done"),
    (Outcome::Rejected, "shed"),
    (Outcome::Failed, "errored"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::Unreachable, "unreached"),
    (Outcome::Disconnected, "cut_off"),
];

fn count(ends: &[(Outcome, &str)], into: &mut [u64], how: Outcome) {
    let at = ends
        .iter()
        .position(|e| e.0 == how)
        .unwrap_or(ends.len() - 1);
    into[at] += 1;
}

#[derive(Default)]
pub struct Counters {
    handlers: Vec<String>,
    pub read: Vec<u64>,
    pub ran: Vec<u64>,
    done: u64,
    partial: u64,
    pub shed: u64,
    errored: u64,
    pub joined: u64,
    pub gone: u64,
    pub cut: u64,
    pub runs: u64,
    over: [u64; RUNS.len()],
    pub calls: u64,
    replies: [u64; CALLS.len()],
    pub skipped: u64,
    pub connections: u64,
    pub connections_cut: u64,
    pub connections_refused: u64,
    pub bad_lines: u64,
    pub bad_notices: u64,
    pub bad_replies: u64,
    /// Ends of runs and replies to calls that are not in hand any more.
    pub strays: u64,
    pub declined: u64,
    pub relinks: u64,
    pub reports: u64,
    pub reports_lost: u64,
    ticks: u64,
    late: u64,
    latest: Duration,
    late_reads: u64,
    latest_read: Duration,
}

impl Counters {
    pub fn new(handlers: &[String]) -> Counters {
        let none = vec![0; handlers.len()];
        Counters {
            handlers: handlers.to_vec(),
            read: none.clone(),
            ran: none,
            ..Counters::default()
        }
    }

    pub fn answered(&mut self, done: bool, partial: bool) {
        match (done, partial) {
            (true, true) => self.partial += 1,
            (true, false) => self.done += 1,
            _ => self.errored += 1,
        }
    }

    pub fn run_over(&mut self, how: Outcome) {
        count(&RUNS, &mut self.over, how);
    }

    pub fn call_over(&mut self, how: Outcome) {
        count(&CALLS, &mut self.replies, how);
    }

    pub fn tick(&mut self, late: Duration) {
        self.ticks += 1;
        self.late += u64::from(late > LATE);
        self.latest = self.latest.max(late);
    }

    pub fn read_late(&mut self, unread: Duration) {
        self.late_reads += u64::from(unread > READ_LATE);
        self.latest_read = self.latest_read.max(unread);
    }

    /// All counters; `open` reqs are owed an answer, `held` are in hand at all.
    pub fn lines(
        &self,
        open: usize,
        held: usize,
        conns: usize,
        calls: usize,
        keys: usize,
    ) -> String {
        let mut lines = Lines::of("");
        let mut line = |name: &str, value: u64| lines.add(name, value);
        for (h, name) in self.handlers.iter().enumerate() {
            line(&format!("read.{name}"), self.read[h]);
            line(&format!("ran.{name}"), self.ran[h]);
        }
        line("answered.done", self.done);
        line("answered.partial", self.partial);
        line("answered.shed", self.shed);
        line("answered.errored", self.errored);
        line("gone", self.gone);
        line("open", open as u64);
        line("in_hand", held as u64);
        line("joined", self.joined);
        line("cut", self.cut);
        line("runs.started", self.runs);
        for ((_, name), n) in RUNS.iter().zip(self.over) {
            line(&format!("runs.{name}"), n);
        }
        line("calls.made", self.calls);
        for ((_, name), n) in CALLS.iter().zip(self.replies) {
            line(&format!("calls.{name}"), n);
        }
        line("calls.out", calls as u64);
        line("calls.skipped", self.skipped);
        line("connections.accepted", self.connections);
        line("connections.open", conns as u64);
        line("connections.cut", self.connections_cut);
        line("connections.refused", self.connections_refused);
        line("keys.kept", keys as u64);
        line("bad.lines", self.bad_lines);
        line("bad.notices", self.bad_notices);
        line("bad.replies", self.bad_replies);
        line("strays", self.strays);
        line("engine.declined", self.declined);
        line("engine.links_lost", self.relinks);
        line("registry.reports", self.reports);
        line("registry.reports_lost", self.reports_lost);
        line("ticks", self.ticks);
        line("ticks.late", self.late);
        line("ticks.latest_ms", self.latest.as_micros() / 1000);
        line("reads.late", self.late_reads);
        line("reads.latest_ms", self.latest_read.as_micros() / 1000);
        lines.text
    }
}

/// Counters as lines, those of one part under its name and a point.
pub struct Lines {
    part: &'static str,
    pub text: String,
}

impl Lines {
    pub fn of(part: &'static str) -> Lines {
        Lines {
            part,
            text: String::new(),
        }
    }

    pub fn add(&mut self, name: &str, value: u64) {
        let point = if self.part.is_empty() { "" } else { "." };
        let _ = writeln!(self.text, "counter {}{point}{name} {value}", self.part);
    }
}
