//! One simulated server: a process made of the program's own core, membership, quotas and backend selection, on a
//! machine with its own clock and engine.
//!
//! A node owns its state and receives the time, lines and datagrams from its caller. It schedules no events and draws
//! no random numbers.

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

/// While a process is stopped, datagrams are lost once this many events are held for it.
const MAX_HELD_EVENTS: usize = 500;
/// Time until the next wake-up of a node that has no timer.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The shortest time from a turn to the next wake-up.
const MIN_WAKE_UP_DELAY: Duration = Duration::from_micros(20);
/// The value of `next_wake_up` when no wake-up is scheduled.
const NEVER: Timestamp = Timestamp::from_micros(u64::MAX);

/// A machine and the process on it.
pub(crate) struct Node {
    id: ServerId,
    clock: NodeClock,
    incarnation: u32,
    is_up: bool,
    is_stopped: bool,
    /// The load factor: the multiple of the usual request rate that the clients send.
    load: f64,
    next_wake_up: Timestamp,
    held_events: Vec<Event>,
    process: Process,
}

impl Node {
    /// Creates a machine and starts the first incarnation of its process.
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

    /// Starts the process again as a new incarnation.
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

    /// Pauses the process if it is up.
    pub(crate) fn stop(&mut self) {
        self.is_stopped = self.is_up;
    }

    /// Continues a paused process. Returns the events that were held for it.
    pub(crate) fn resume(&mut self) -> Vec<Event> {
        self.is_stopped = false;
        std::mem::take(&mut self.held_events)
    }

    /// Returns the current incarnation of the server.
    pub(crate) fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            server: self.id,
            incarnation: self.incarnation,
        }
    }

    /// Reports whether the process is up, paused or not.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up
    }

    /// Reports whether the process is paused.
    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped
    }

    /// Reports whether `target` is the current incarnation and its process is up, paused or not.
    pub(crate) fn is_running(&self, target: ServerIncarnation) -> bool {
        self.is_up && self.incarnation == target.incarnation
    }

    /// The load factor: the multiple of the usual request rate that the clients send.
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

    /// Returns the event if it can be delivered now. Holds an event for a paused process, except for a datagram when
    /// [`MAX_HELD_EVENTS`] are held already. Drops an event for an incarnation that no longer runs.
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

    /// Delivers a datagram from another server.
    pub(crate) fn receive_datagram(
        &mut self,
        now: Timestamp,
        sender: std::net::SocketAddr,
        bytes: &[u8],
    ) {
        let reading = self.clock.advance_to(now);
        self.process.receive_datagram(reading, sender, bytes);
    }

    /// Runs one turn: advances the engine to `now`, fires due timers and runs the core's event loop. Returns the
    /// engine's notices to the server.
    pub(crate) fn run_turn(&mut self, now: Timestamp) -> Vec<String> {
        let reading = self.clock.advance_to(now);
        self.process.run_turn(now, reading)
    }

    /// Reports whether a wake-up that fires now is the one that was scheduled last, and clears it. Other wake-ups were
    /// postponed or replaced by an earlier one.
    pub(crate) fn take_wake_up(&mut self, target: ServerIncarnation, now: Timestamp) -> bool {
        let is_due = self.is_running(target) && !self.is_stopped && self.next_wake_up <= now;
        if is_due {
            self.next_wake_up = NEVER;
        }
        is_due
    }

    /// Returns the time at which to schedule the next wake-up, or `None` if the one that is scheduled suffices.
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
