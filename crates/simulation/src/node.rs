//! One simulated server: the program's own core, membership, quotas and backends as one process, on a machine with a
//! clock and an engine of its own.
//!
//! A node owns its state and is given time, lines and datagrams. It schedules nothing and draws no chance.

mod assembly;
mod client;
mod process;

pub(crate) use client::{Answer, AnswerMatch, PendingRequest};
pub(crate) use process::Process;

use crate::clock::NodeClock;
use crate::event_queue::Event;
use crate::history::History;
use crate::ids::{ServerId, ServerIncarnation};
use assembly::ProcessBuilder;
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::Settings;

/// Datagrams beyond this number of held events are lost while a process is stopped.
const MAX_HELD_EVENTS: usize = 500;
/// A node without any timer wakes up after this time.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The least time between two turns by a timer.
const MIN_WAKE_UP_DELAY: Duration = Duration::from_micros(20);
/// No wake-up is scheduled.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX);

/// A machine and the process on it.
pub(crate) struct Node {
    id: ServerId,
    clock: NodeClock,
    incarnation: u32,
    is_up: bool,
    is_stopped: bool,
    /// The multiple of the usual request rate.
    load: f64,
    next_wake_up: Timestamp,
    held_events: Vec<Event>,
    process: Process,
}

impl Node {
    /// A machine whose process starts for the first time.
    pub(crate) fn new(
        id: ServerId,
        clock: NodeClock,
        now: Timestamp,
        seed: u64,
        history: &History,
        settings: &Settings,
    ) -> Node {
        let incarnation = 1;
        let builder = ProcessBuilder::new(id, incarnation, &clock, now, seed, history);
        Node {
            id,
            incarnation,
            is_up: true,
            is_stopped: false,
            load: 1.0,
            next_wake_up: NEVER,
            held_events: vec![],
            process: builder.start_process(settings),
            clock,
        }
    }

    /// Starts the process again, as a new incarnation.
    pub(crate) fn restart(
        &mut self,
        now: Timestamp,
        seed: u64,
        history: &History,
        settings: &Settings,
    ) {
        self.incarnation += 1;
        let builder =
            ProcessBuilder::new(self.id, self.incarnation, &self.clock, now, seed, history);
        self.process = builder.start_process(settings);
        self.held_events.clear();
        (self.is_up, self.is_stopped) = (true, false);
        self.next_wake_up = NEVER;
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        self.is_up = false;
        self.held_events.clear();
        self.process.drop_connections();
    }

    /// Pauses the process, if it runs.
    pub(crate) fn stop(&mut self) {
        self.is_stopped = self.is_up;
    }

    /// Goes on with a paused process. Returns the events that were held for it.
    pub(crate) fn resume(&mut self) -> Vec<Event> {
        self.is_stopped = false;
        std::mem::take(&mut self.held_events)
    }

    /// The server and the present start of it.
    pub(crate) fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            server: self.id,
            incarnation: self.incarnation,
        }
    }

    /// Whether a process runs, paused or not.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up
    }

    /// Whether the process is paused.
    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Whether this incarnation is the one that runs, paused or not.
    pub(crate) fn is_running(&self, target: ServerIncarnation) -> bool {
        self.is_up && self.incarnation == target.incarnation
    }

    /// The multiple of the usual request rate.
    pub(crate) fn load(&self) -> f64 {
        self.load
    }

    pub(crate) fn set_load(&mut self, load: f64) {
        self.load = load;
    }

    pub(crate) fn process(&self) -> &Process {
        &self.process
    }

    pub(crate) fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Gives an event back that can be delivered now. An event for a paused process is held; one for a process that
    /// does not run any more is dropped.
    pub(crate) fn deliver_or_hold(
        &mut self,
        target: ServerIncarnation,
        event: Event,
    ) -> Option<Event> {
        if !self.is_running(target) {
            return None;
        }
        if !self.is_stopped {
            return Some(event);
        }
        let is_datagram = matches!(event, Event::Datagram { .. });
        if self.held_events.len() < MAX_HELD_EVENTS || !is_datagram {
            self.held_events.push(event);
        }
        None
    }

    /// A datagram arrives from another server.
    pub(crate) fn receive_datagram(
        &mut self,
        now: Timestamp,
        sender: std::net::SocketAddr,
        bytes: &[u8],
    ) {
        let reading = self.clock.advance_to(now);
        self.process.receive_datagram(reading, sender, bytes);
    }

    /// One turn: the engine works up to now, due timers fire, and the core settles what came. Returns the lines of the
    /// engine to its server.
    pub(crate) fn run_turn(&mut self, now: Timestamp) -> Vec<String> {
        let reading = self.clock.advance_to(now);
        self.process.run_turn(now, reading)
    }

    /// Whether a wake-up that fires now is the one that was scheduled last. Others were put off, or were replaced by
    /// an earlier one.
    pub(crate) fn take_wake_up(&mut self, target: ServerIncarnation, now: Timestamp) -> bool {
        let is_due = self.is_running(target) && !self.is_stopped && self.next_wake_up <= now;
        if is_due {
            self.next_wake_up = NEVER;
        }
        is_due
    }

    /// When the next wake-up is to be scheduled; none if one that is scheduled suffices.
    pub(crate) fn schedule_wake_up(&mut self, now: Timestamp) -> Option<Timestamp> {
        let fleet_timeout = self.process.fleet_timeout();
        let deadlines = [
            self.process.core_deadline(),
            self.process.engine_deadline(),
            fleet_timeout.map(|reading| self.clock.true_time_of(reading)),
        ];
        let earliest = deadlines.into_iter().flatten().min();
        let next = earliest
            .unwrap_or(now + IDLE_INTERVAL)
            .max(now + MIN_WAKE_UP_DELAY);
        let is_needed = next < self.next_wake_up || self.next_wake_up <= now;
        if !is_needed {
            return None;
        }
        self.next_wake_up = next;
        Some(next)
    }
}
