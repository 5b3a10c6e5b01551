//! Executes a soak run: starts the real server with fake dependencies, sends it the requests and signals of the plan,
//! and injects the plan's faults.

use super::SETTINGS;
use super::clients::{Clients, SentRequest, TIMEOUT_MS};
use super::plan::{HANDLERS, Plan, SHUTDOWN_MS, Signal, Step, TimedStep};
use crate::catalogue::Catalogue;
use crate::engine::{Engine, EngineStats, HandlerWork};
use crate::registry::Registry;
use crate::server::{Dependencies, Server, configuration};
use std::collections::{BTreeSet, HashMap};
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Number of cores of the fake engine.
const ENGINE_CORES: f64 = 4.0;
/// Minimum and maximum work of a run on one core, in milliseconds.
const RUN_MS: (f64, f64) = (2.0, 20.0);
/// Number of calls that the fake catalogue processes concurrently.
const CATALOGUE_SLOTS: usize = 16;
/// Time for which a call occupies its slot of the fake catalogue.
const CATALOGUE_CALL_TIME: Duration = Duration::from_millis(10);
/// Maximum number of connections of the server.
const MAX_SOCKETS: usize = 128;
/// Maximum time of a single wait for answers.
const RECEIVE_STEP: Duration = Duration::from_millis(5);
/// Time after the end of the plan for which answers that the server sent before the kill are still read.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(20);
/// Timeout for a log line while no counter has been printed yet.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for a log line after the first counter. It is short because the server prints all counters at once.
const NEXT_COUNTER_TIMEOUT: Duration = Duration::from_millis(200);
/// Prefix of the log line of a counter.
const COUNTER_PREFIX: &str = "counter ";

/// The results of a soak run.
pub struct PlayRecord {
    /// All requests, in the order of sending.
    pub requests: Vec<SentRequest>,
    /// Statistics of the fake engine.
    pub engine: EngineStats,
    /// The server's counters at the end of the phase without faults, after all answers.
    pub counters: HashMap<String, u64>,
    /// The lines of the server's log at the level `debug`, except the counters that are in `counters`.
    pub log: Vec<String>,
    /// The server's exit status; `None` if it had to be killed.
    pub exit_status: Option<i32>,
}

/// Executes a plan against a server started from this binary, and returns the results.
///
/// # Panics
///
/// If the server or a fake does not start, or the server does not exit by itself.
pub fn play(program: &Path, plan: &Plan) -> PlayRecord {
    let engine = Engine::start(ENGINE_CORES, handler_work(), plan.seed);
    let catalogue = Catalogue::start(CATALOGUE_SLOTS, CATALOGUE_CALL_TIME);
    let registry = Registry::start();
    let dependencies = Dependencies {
        engine: engine.address,
        registry: registry.address,
        catalogue: catalogue.address,
    };
    let text = configuration(
        "127.0.0.1:0",
        dependencies,
        MAX_SOCKETS,
        SHUTDOWN_MS,
        SETTINGS,
    );
    let mut server = Server::start_with_debug_log(program, &text, None);
    server.log_at("engine: up");
    let log = server.follow();
    let mut lines = vec![];
    let mut soak_run = SoakRun::new(plan, &server, &engine, &text);
    let (before, after) = plan.steps_around_fault_free_end();
    soak_run.execute_steps(before, plan.fault_free_end);
    soak_run.await_answers();
    let counters = read_counters(&server, &log, &mut lines);
    soak_run.resume_plan_at(plan.fault_free_end);
    soak_run.execute_steps(after, plan.kill);
    soak_run.receive_last_answers();
    let requests = soak_run.clients.into_requests();
    let status = server.ended_within(Duration::ZERO);
    let engine = engine.stats();
    drop(server);
    lines.extend(log.iter().map(|(_, line)| line));
    PlayRecord {
        requests,
        engine,
        counters,
        log: lines,
        exit_status: status.and_then(|status| status.code()),
    }
}

/// Returns the work that the engine does for each handler.
fn handler_work() -> Vec<HandlerWork> {
    let calls = [true, false, true];
    let handlers = HANDLERS.iter().zip(calls);
    handlers
        .map(|(handler, calls)| HandlerWork::new(handler, RUN_MS, calls))
        .collect()
}

/// State of a soak run in progress.
struct SoakRun<'a> {
    server: &'a Server,
    engine: &'a Engine,
    /// The configuration that the server was started with.
    configuration: &'a str,
    clients: Clients,
    began: Instant,
    /// Delay of the plan's clock: the time spent on waiting for outstanding answers and reading the counters.
    plan_delay: Duration,
    /// Pending withdrawals: the time of each, and the number of the request to withdraw.
    withdrawals: BTreeSet<(Duration, usize)>,
}

impl<'a> SoakRun<'a> {
    fn new(
        plan: &Plan,
        server: &'a Server,
        engine: &'a Engine,
        configuration: &'a str,
    ) -> SoakRun<'a> {
        let began = Instant::now();
        SoakRun {
            server,
            engine,
            configuration,
            clients: Clients::new(server.address, plan.seed, began),
            began,
            plan_delay: Duration::ZERO,
            withdrawals: BTreeSet::new(),
        }
    }

    /// Executes each step at its time, then waits until `end`.
    fn execute_steps(&mut self, steps: &[TimedStep], end: Duration) {
        for timed in steps {
            self.wait_until(timed.at + self.plan_delay);
            self.execute_step(timed.step);
        }
        self.wait_until(end + self.plan_delay);
    }

    /// Sets the plan's clock to this time, so that the plan continues from there.
    fn resume_plan_at(&mut self, at: Duration) {
        self.plan_delay = self.began.elapsed().saturating_sub(at);
    }

    /// Receives the answers that were sent before the kill, and the ends of the connections.
    fn receive_last_answers(&mut self) {
        self.clients.receive(LAST_ANSWERS_TIME);
        self.notify_engine();
    }

    /// Sends a signal to the server. Ignored if the server has exited.
    fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Reload | Signal::ReloadTruncated => "-HUP",
            Signal::PrintCounters => "-USR1",
            Signal::Shutdown => "-TERM",
        };
        if signal == Signal::ReloadTruncated {
            let half = &self.configuration[..self.configuration.len() / 2];
            std::fs::write(&self.server.path, half).expect("a writable configuration file");
        } else if signal == Signal::Reload {
            std::fs::write(&self.server.path, self.configuration)
                .expect("a writable configuration file");
        }
        self.server.try_signal(name);
    }

    fn execute_step(&mut self, step: Step) {
        match step {
            Step::Send(request) => {
                let number = self.clients.send(request);
                if let (Some(number), Some(withdraw_after)) = (number, request.withdraw_after) {
                    let at = self.began.elapsed() + withdraw_after;
                    self.withdrawals.insert((at, number));
                }
            }
            Step::StopReading => self.engine.stop_reading(),
            Step::BreakLink => self.engine.break_link(),
            Step::HangRuns => self.engine.hang_runs(),
            Step::OpenConnections(count) => self.clients.open_connections(count),
            Step::Signal(signal) => self.signal(signal),
        }
    }

    /// Receives answers and withdraws requests until `until`, a time since the beginning of the soak run.
    fn wait_until(&mut self, until: Duration) {
        loop {
            let now = self.began.elapsed();
            while let Some((at, number)) = self.withdrawals.first().copied() {
                if at > now {
                    break;
                }
                self.withdrawals.remove(&(at, number));
                self.clients.withdraw(number);
            }
            self.notify_engine();
            if now >= until {
                return;
            }
            let next = self.withdrawals.first().map_or(until, |(at, _)| *at);
            let wait = next.min(until).saturating_sub(now);
            self.clients.receive(wait.min(RECEIVE_STEP));
        }
    }

    /// Waits for the outstanding answers, for at most the timeout of a request.
    fn await_answers(&mut self) {
        let until = self.began.elapsed() + Duration::from_millis(TIMEOUT_MS);
        while self.clients.awaits_answer() && self.began.elapsed() < until {
            self.clients.receive(RECEIVE_STEP);
            self.notify_engine();
        }
    }

    /// Tells the engine which requests were answered or withdrawn, as the machine that runs both the server and the
    /// engine does.
    fn notify_engine(&mut self) {
        for name in self.clients.take_finished() {
            self.engine.answered(&name);
        }
    }
}

/// Makes the server print its counters and reads them from its log. Appends all other log lines to `lines`.
fn read_counters(
    server: &Server,
    log: &Receiver<(Instant, String)>,
    lines: &mut Vec<String>,
) -> HashMap<String, u64> {
    server.signal("-USR1");
    let mut counters = HashMap::new();
    let mut wait = COUNTERS_TIMEOUT;
    while let Ok((_, line)) = log.recv_timeout(wait) {
        match line.strip_prefix(COUNTER_PREFIX).and_then(parse_counter) {
            Some((name, value)) => {
                counters.insert(name, value);
                wait = NEXT_COUNTER_TIMEOUT;
            }
            None => lines.push(line),
        }
    }
    counters
}

/// Parses a counter's name and value. Returns `None` if the line does not end with a number.
fn parse_counter(line: &str) -> Option<(String, u64)> {
    let (name, value) = line.rsplit_once(' ')?;
    Some((name.trim().to_string(), value.parse().ok()?))
}
