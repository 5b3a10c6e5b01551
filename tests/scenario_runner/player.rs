//! Plays a script: passes its events to the decision module and evaluates its checks.

use super::actions::ActionLog;
use super::events::{Event, EventKind, START};
use super::script::{Script, Step, StepKind};
use madderbay::decide::Decider;
use madderbay::interface::{Ceiling, Gauges};
use madderbay::time::{Duration, Timestamp};

/// Interval of the timer.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// A script that is being played.
pub(crate) struct Player<'a> {
    script: &'a Script,
    decider: Decider,
    started: bool,
    now: Timestamp,
    last_tick: Timestamp,
    run_queue: Option<f64>,
    ceilings: Vec<Ceiling>,
    log: ActionLog,
    /// Index of the last event line's first action.
    line_start: usize,
    failures: Vec<String>,
}

impl<'a> Player<'a> {
    pub(crate) fn new(script: &'a Script) -> Player<'a> {
        Player {
            script,
            decider: script.setup.decider(START),
            started: false,
            now: START,
            last_tick: START,
            run_queue: None,
            ceilings: vec![],
            log: ActionLog::default(),
            line_start: 0,
            failures: vec![],
        }
    }

    /// Plays all lines and returns a line of text for each failed check.
    pub(crate) fn play(mut self) -> Vec<String> {
        for step in &self.script.steps {
            match &step.kind {
                StepKind::Events(events) => self.play_events(events),
                StepKind::Check(check) => {
                    self.settle();
                    let status = self.decider.status();
                    if !check.holds(&self.log, self.line_start, &status) {
                        self.add_failure(step);
                    }
                }
            }
        }
        self.failures
    }

    /// Plays the events of one line. The actions of the server's start count with those of the
    /// first event line.
    fn play_events(&mut self, events: &[Event]) {
        self.line_start = self.log.len();
        if !self.started {
            self.started = true;
            self.decider.on_start(&mut self.log);
        }
        for event in events {
            self.advance_to(event.at);
            self.play_event(&event.kind);
        }
    }

    /// Advances the clock: first the current batch settles, then the timer fires at each tick.
    fn advance_to(&mut self, until: Timestamp) {
        if until > self.now {
            self.settle();
        }
        while self.last_tick + TICK_INTERVAL < until {
            self.last_tick = self.last_tick + TICK_INTERVAL;
            self.now = self.now.max(self.last_tick);
            let gauges = Gauges {
                run_queue: self.run_queue,
            };
            self.decider.on_tick(self.now, &gauges, &mut self.log);
            self.settle();
        }
        self.now = self.now.max(until);
    }

    fn settle(&mut self) {
        self.decider.settle(self.now, &mut self.log);
    }

    fn play_event(&mut self, event: &EventKind) {
        let now = self.now;
        let log = &mut self.log;
        match event {
            EventKind::Request(arrival) => self.decider.on_arrival(now, arrival, log),
            EventKind::RunEnded {
                id,
                outcome,
                run_time,
            } => self.decider.on_run_ended(now, *id, *outcome, *run_time),
            EventKind::CallNeeded { id } => self.decider.on_call_needed(now, *id, log),
            EventKind::CallFinished {
                id,
                outcome,
                call_time,
            } => self
                .decider
                .on_call_finished(now, *id, *outcome, *call_time, log),
            EventKind::ClientGone { id } => self.decider.on_client_gone(now, *id, log),
            EventKind::Drain { remaining } => self.decider.drain(now, *remaining),
            EventKind::Ceiling(ceiling) => self.set_ceiling(ceiling),
            EventKind::RunQueue { runs } => self.run_queue = Some(*runs),
            EventKind::Pause { duration } => self.last_tick = now + *duration,
            EventKind::Wait => {}
        }
    }

    /// Sets the ceiling of a group of handlers; it replaces the group's former one.
    fn set_ceiling(&mut self, ceiling: &Ceiling) {
        self.ceilings.retain(|c| c.handlers != ceiling.handlers);
        self.ceilings.push(ceiling.clone());
        self.decider.set_ceilings(&self.ceilings);
    }

    fn add_failure(&mut self, step: &Step) {
        let name = &self.script.name;
        let (line, text) = (step.line, &step.text);
        let actions = self.log.tail(self.line_start);
        self.failures
            .push(format!("{name}:{line}: {text}  actions {actions:?}"));
    }
}
