//! State of the fake engine: runs on the cores, the current connection and the retained notices.

use super::{EngineStats, Event, HandlerWork, RunEvent, read_lines};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::Value;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

/// Minimum step of time in which the work of runs is advanced.
const TIME_SLICE: Duration = Duration::from_millis(1);
/// Maximum wait for an event.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Maximum number of notices that are retained for the next connection.
const MAX_RETAINED_NOTICES: usize = 4_000;
/// Fraction of a run's work after which it makes its call.
const WORK_BEFORE_CALL: f64 = 0.5;

#[derive(Clone, Copy, PartialEq, Eq)]
enum RunState {
    Working,
    AwaitingCall,
    Hung,
}

struct Run {
    remaining_ms: f64,
    /// Remaining work at which the run makes its call, in milliseconds.
    call_at_remaining_ms: Option<f64>,
    state: RunState,
    started: Instant,
    /// Whether the run's request was answered already.
    answered: bool,
}

/// A notice that a server may have missed.
struct RetainedNotice {
    serial: u64,
    line: String,
}

/// State of the engine, owned by its thread.
pub(super) struct CorePool {
    cores: f64,
    works: Vec<HandlerWork>,
    random: oorandom::Rand64,
    runs: BTreeMap<String, Run>,
    /// Requests that were answered: a run that is started for one of them ends at once.
    answered_requests: HashSet<String>,
    connection: Option<TcpStream>,
    /// Number of the newest connection.
    newest_connection: u64,
    /// Whether lines from the newest connection are handled.
    is_reading: bool,
    /// Whether the server has sent `ATTACH` on the newest connection, which says the notices it
    /// has. No notices are sent before.
    is_attached: bool,
    began: Instant,
    /// Number of the newest notice.
    serial: u64,
    retained: VecDeque<RetainedNotice>,
    stats: EngineStats,
}

impl CorePool {
    pub(super) fn new(cores: f64, works: Vec<HandlerWork>, seed: u64) -> CorePool {
        CorePool {
            cores,
            works,
            random: oorandom::Rand64::new(u128::from(seed)),
            runs: BTreeMap::new(),
            answered_requests: HashSet::new(),
            connection: None,
            newest_connection: 0,
            is_reading: true,
            is_attached: false,
            began: Instant::now(),
            serial: 0,
            retained: VecDeque::new(),
            stats: EngineStats::default(),
        }
    }

    /// Handles events and advances the runs in between, until all handles are dropped.
    pub(super) fn run(mut self, received: &Receiver<Event>, lines: &Sender<Event>) {
        let mut worked = Instant::now();
        loop {
            let event = received.recv_timeout(self.time_to_next_transition());
            // Advances the runs up to the time of the event before the event changes them.
            let passed = worked.elapsed();
            if passed >= TIME_SLICE || self.working_runs() == 0 {
                worked = Instant::now();
                self.advance_runs(passed.as_secs_f64() * 1e3);
            }
            match event {
                Ok(event) => self.handle(event, lines),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Returns the time until the next run makes its call or ends, if no event comes before. The
    /// thread sleeps until then, so that many engines leave the machine's cores to the servers.
    fn time_to_next_transition(&self) -> Duration {
        let working = self.runs.values().filter(|r| r.state == RunState::Working);
        let min_ms = working
            .map(|run| run.remaining_ms - run.call_at_remaining_ms.unwrap_or(0.0))
            .min_by(f64::total_cmp);
        let Some(min_ms) = min_ms else {
            return IDLE_WAIT;
        };
        let wait_ms = min_ms.max(0.0) / self.cores_per_run();
        Duration::from_secs_f64(wait_ms / 1e3).clamp(TIME_SLICE, IDLE_WAIT)
    }

    /// Returns the fraction of a core that each working run gets: an even share of the cores, one
    /// core at most.
    fn cores_per_run(&self) -> f64 {
        let working = self.working_runs().max(1) as f64;
        (self.cores / working).min(1.0)
    }

    fn working_runs(&self) -> usize {
        self.runs
            .values()
            .filter(|run| run.state == RunState::Working)
            .count()
    }

    /// Advances all working runs by `ms` of real time, each by its even share of the cores.
    fn advance_runs(&mut self, ms: f64) {
        let ms_per_run = ms * self.cores_per_run();
        let (mut finished, mut calling) = (vec![], vec![]);
        for (name, run) in &mut self.runs {
            if run.state != RunState::Working {
                continue;
            }
            run.remaining_ms -= ms_per_run;
            if run
                .call_at_remaining_ms
                .is_some_and(|call_at| run.remaining_ms <= call_at)
            {
                run.call_at_remaining_ms = None;
                run.state = RunState::AwaitingCall;
                calling.push(name.clone());
            } else if run.remaining_ms <= 0.0 {
                finished.push(name.clone());
            }
        }
        for name in finished {
            self.end(&name, "good");
        }
        for name in calling {
            self.request_call(&name);
        }
    }

    /// Sends the notice that a run needs its call, or ends the run if its request was answered
    /// already.
    fn request_call(&mut self, name: &str) {
        if self.runs[name].answered {
            return self.end(name, "cut");
        }
        self.record(name, "NEED");
        let blob = BASE64.encode(name);
        self.notify(|serial| {
            format!("\"msg\":\"NEED\",\"serial\":{serial},\"call\":\"{name}\",\"blob\":\"{blob}\"")
        });
    }

    /// Ends a run; `outcome` is the protocol's word for how it ended.
    fn end(&mut self, name: &str, outcome: &str) {
        if let Some(run) = self.runs.remove(name) {
            self.report_run_ended(name, outcome, run.started.elapsed());
        }
    }

    /// Sends the notice that a run has ended.
    fn report_run_ended(&mut self, name: &str, outcome: &str, elapsed: Duration) {
        self.record(name, &format!("DONE {outcome}"));
        let ms = elapsed.as_millis();
        let blob = BASE64.encode(name);
        self.notify(|serial| {
            format!(
                "\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"{name}\",\"how\":\"{outcome}\",\
                 \"duration\":{ms},\"blob\":\"{blob}\""
            )
        });
    }

    /// Adds an event of a run to the statistics.
    fn record(&mut self, name: &str, kind: &str) {
        let event = RunEvent {
            at: self.began.elapsed(),
            kind: kind.into(),
        };
        self.stats.runs.entry(name.into()).or_default().push(event);
    }

    /// Sends and retains a notice. `members` returns the members of its JSON object, given its
    /// serial number.
    fn notify(&mut self, members: impl FnOnce(u64) -> String) {
        self.serial += 1;
        let serial = self.serial;
        let line = format!("{{{}}}\n", members(serial));
        if self.is_attached {
            self.send(&line);
        }
        self.retained.push_back(RetainedNotice { serial, line });
        if self.retained.len() > MAX_RETAINED_NOTICES {
            self.retained.pop_front();
        }
    }

    /// Writes to the current connection, if there is one.
    fn send(&mut self, line: &str) {
        if self
            .connection
            .as_mut()
            .is_some_and(|stream| stream.write_all(line.as_bytes()).is_err())
        {
            self.connection = None;
        }
    }

    fn handle(&mut self, event: Event, lines: &Sender<Event>) {
        match event {
            Event::Connected(stream) => self.handle_connected(stream, lines),
            Event::Line { connection, line }
                if connection == self.newest_connection && self.is_reading =>
            {
                self.handle_command(&line);
            }
            Event::Line { .. } => {}
            Event::RequestAnswered(name) => self.handle_request_answered(&name),
            Event::Stats(reply) => {
                let _ = reply.send(self.stats.clone());
            }
            Event::StopReading => self.is_reading = false,
            Event::HangRuns => self.hang_runs(),
            Event::BreakLink => {
                if let Some(stream) = self.connection.take() {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
        }
    }

    fn hang_runs(&mut self) {
        let names: Vec<String> = self.runs.keys().cloned().collect();
        for run in self.runs.values_mut() {
            run.state = RunState::Hung;
        }
        for name in names {
            self.record(&name, "hung");
        }
    }

    /// Reports whether a run hangs, so that no command ends it.
    fn is_hung(&self, name: &str) -> bool {
        let run = self.runs.get(name);
        run.is_some_and(|run| run.state == RunState::Hung)
    }

    /// Replaces the current connection with a new one, and starts a thread that reads it.
    fn handle_connected(&mut self, stream: TcpStream, lines: &Sender<Event>) {
        let _ = stream.set_nodelay(true);
        self.newest_connection += 1;
        self.is_reading = true;
        self.is_attached = false;
        let (connection, events) = (self.newest_connection, lines.clone());
        let reader = stream.try_clone().expect("stream can be cloned");
        std::thread::spawn(move || read_lines(connection, reader, &events));
        self.connection = Some(stream);
    }

    fn handle_request_answered(&mut self, name: &str) {
        self.answered_requests.insert(name.into());
        let Some(run) = self.runs.get_mut(name) else {
            return;
        };
        run.answered = true;
        if run.state == RunState::AwaitingCall {
            self.end(name, "cut");
        }
    }

    /// Handles one line from the server; lines that are not JSON are ignored.
    fn handle_command(&mut self, line: &str) {
        let Ok(message) = serde_json::from_str::<Value>(line) else {
            return;
        };
        let text = |key: &str| message[key].as_str().unwrap_or_default();
        let name = text("call");
        if !name.is_empty() {
            self.record(name, text("msg"));
        }
        match text("msg") {
            _ if self.is_hung(name) => {}
            "ATTACH" => self.attach(message["serial"].as_u64().unwrap_or(0)),
            "STAT" => self.send_load(text("cookie")),
            "RUN" if !self.runs.contains_key(name) => {
                self.start_run(name, text("service"), text("blob"));
            }
            "FEED" | "SKIP" => {
                if let Some(run) = self.runs.get_mut(name) {
                    run.state = RunState::Working;
                }
            }
            "HALT" => self.end(name, "cut"),
            _ => {}
        }
    }

    /// Attaches the server: sends it the retained notices after the last one that it has read.
    fn attach(&mut self, last_read: u64) {
        if last_read == 0 {
            // The server has just started: notices are numbered from the beginning again; runs
            // continue.
            self.serial = 0;
            self.retained.clear();
        }
        let missed: String = self
            .retained
            .iter()
            .filter(|notice| notice.serial > last_read)
            .map(|notice| notice.line.as_str())
            .collect();
        self.is_attached = true;
        self.send("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
        self.send(&missed);
    }

    /// Answers a query for the load gauges.
    fn send_load(&mut self, cookie: &str) {
        let working = self.working_runs() as f64;
        let used = (working / self.cores).min(1.0);
        self.send(&format!(
            "{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[{used},{working},0.1,1]}}\n"
        ));
    }

    /// Starts a run, or rejects it if its handler is not known.
    fn start_run(&mut self, name: &str, handler: &str, body: &str) {
        let Some(work) = self.works.iter().find(|work| work.handler == handler) else {
            return self.send(&format!(
                "{{\"msg\":\"NO\",\"how\":\"RUN\",\"call\":\"{name}\"}}\n"
            ));
        };
        let (min_ms, max_ms) = work.ms;
        if self.answered_requests.contains(name) {
            return self.report_run_ended(name, "gone", Duration::ZERO);
        }
        let total_ms = min_ms + (max_ms - min_ms) * self.random.rand_float();
        let run = Run {
            remaining_ms: total_ms,
            call_at_remaining_ms: work.calls.then_some(total_ms * WORK_BEFORE_CALL),
            state: RunState::Working,
            started: Instant::now(),
            answered: false,
        };
        *self.stats.bodies.entry(body.into()).or_default() += 1;
        self.runs.insert(name.into(), run);
        self.stats.peak_runs = self.stats.peak_runs.max(self.runs.len());
    }
}
