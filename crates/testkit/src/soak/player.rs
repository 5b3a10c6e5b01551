//! Plays one plan: the real program between fakes, and the clients.

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

/// Cores of the fake engine.
const ENGINE_CORES: f64 = 4.0;
/// Work of a run on one core, least and most, in milliseconds.
const RUN_MS: (f64, f64) = (2.0, 20.0);
/// Calls that the fake catalogue works on at a time.
const CATALOGUE_SLOTS: usize = 16;
/// Time of a call in its slot.
const CATALOGUE_CALL_TIME: Duration = Duration::from_millis(10);
/// Connections that the server may have.
const MAX_SOCKETS: usize = 128;
/// Time for which answers are awaited at a time.
const RECEIVE_STEP: Duration = Duration::from_millis(5);
/// Time for which answers are taken in that were sent before the kill.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(20);
/// Time that printing the counters may take.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which the next counter comes: they are printed in one piece.
const NEXT_COUNTER_TIMEOUT: Duration = Duration::from_millis(200);
/// What a line of a counter begins with.
const COUNTER_PREFIX: &str = "counter ";

/// What became of a play.
pub struct PlayRecord {
    /// All requests, in the order in which they were sent.
    pub requests: Vec<SentRequest>,
    /// What the engine has seen.
    pub engine: EngineStats,
    /// The server's counters at the end, when all was answered.
    pub counters: HashMap<String, u64>,
    /// The lines of the server's log at the level `debug`, but for the counters.
    pub log: Vec<String>,
    /// The status with which the program ended by itself; nothing where it was killed.
    pub exit_status: Option<i32>,
}

/// Plays a plan with this program.
///
/// # Panics
///
/// If the program or a fake does not start, or the program does not end by itself.
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
    let mut run = Playback::new(plan, &server, &engine, &text);
    let (before, after) = plan.steps_around_fault_free_end();
    run.play_steps(before, plan.fault_free_end);
    run.await_answers();
    let counters = read_counters(&server, &log, &mut lines);
    run.resume_plan_at(plan.fault_free_end);
    run.play_steps(after, plan.kill);
    run.receive_last_answers();
    let requests = run.clients.into_requests();
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

/// What the engine does for the handlers.
fn handler_work() -> Vec<HandlerWork> {
    let calls = [true, false, true];
    let handlers = HANDLERS.iter().zip(calls);
    handlers
        .map(|(handler, calls)| HandlerWork::new(handler, RUN_MS, calls))
        .collect()
}

/// A play that goes on.
struct Playback<'a> {
    server: &'a Server,
    engine: &'a Engine,
    /// The configuration as it was at the start.
    configuration: &'a str,
    clients: Clients,
    began: Instant,
    /// How far the plan's clock stands behind: the time that reading the counters took.
    plan_delay: Duration,
    /// When which clients stop waiting.
    withdrawals: BTreeSet<(Duration, usize)>,
}

impl<'a> Playback<'a> {
    fn new(
        plan: &Plan,
        server: &'a Server,
        engine: &'a Engine,
        configuration: &'a str,
    ) -> Playback<'a> {
        let began = Instant::now();
        Playback {
            server,
            engine,
            configuration,
            clients: Clients::new(server.address, plan.seed, began),
            began,
            plan_delay: Duration::ZERO,
            withdrawals: BTreeSet::new(),
        }
    }

    /// Plays steps, each at its time, and waits until `end`.
    fn play_steps(&mut self, steps: &[TimedStep], end: Duration) {
        for timed in steps {
            self.wait_until(timed.at + self.plan_delay);
            self.play_step(timed.step);
        }
        self.wait_until(end + self.plan_delay);
    }

    /// The plan goes on from this time.
    fn resume_plan_at(&mut self, at: Duration) {
        self.plan_delay = self.began.elapsed().saturating_sub(at);
    }

    /// Takes in what had been sent before the kill, and the ends of the connections.
    fn receive_last_answers(&mut self) {
        self.clients.receive(LAST_ANSWERS_TIME);
        self.notify_engine();
    }

    /// Sends a signal. One that follows the end of the program is passed over.
    fn signal(&self, signal: Signal) {
        let name = match signal {
            Signal::Reload | Signal::ReloadTruncated => "-HUP",
            Signal::PrintCounters => "-USR1",
            Signal::Shutdown => "-TERM",
        };
        if signal == Signal::ReloadTruncated {
            let half = &self.configuration[..self.configuration.len() / 2];
            std::fs::write(&self.server.path, half).expect("written");
        } else if signal == Signal::Reload {
            std::fs::write(&self.server.path, self.configuration).expect("written");
        }
        self.server.try_signal(name);
    }

    fn play_step(&mut self, step: Step) {
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

    /// Takes in answers, and withdraws requests, until a time since the beginning.
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

    /// Waits for the answers that are owed, as long as the last client waits.
    fn await_answers(&mut self) {
        let until = self.began.elapsed() + Duration::from_millis(TIMEOUT_MS);
        while self.clients.awaits_answer() && self.began.elapsed() < until {
            self.clients.receive(RECEIVE_STEP);
            self.notify_engine();
        }
    }

    /// Tells the engine which requests are over, as the machine does that both run on.
    fn notify_engine(&mut self) {
        for name in self.clients.take_finished() {
            self.engine.answered(&name);
        }
    }
}

/// Has the server print its counters, and reads them; other lines of the log are put by.
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

/// A name and its value.
fn parse_counter(line: &str) -> Option<(String, u64)> {
    let (name, value) = line.rsplit_once(' ')?;
    Some((name.trim().to_string(), value.parse().ok()?))
}
