//! How simulated backends handle the attempts that reach them.
//!
//! A [`SimulatedBackend`] owns its queue and the slots in use. It does not select backends and does
//! not retry.

use super::ids::SimulatedBackendId;
use super::{BACKEND_DELAY, BackendFault, BackendSimulation, Event, ZoneCut};
use madderbay::time::Duration;
use madderbay_upstream::AttemptOutcome;
use std::collections::VecDeque;

/// Fraction of the mean call time that each call takes at least; the rest is drawn from an
/// exponential distribution.
const FIXED_WORK_FRACTION: f64 = 0.5;

/// State of one simulated backend.
pub(super) struct SimulatedBackend {
    pub(super) fault: BackendFault,
    /// Attempts that wait for a slot.
    queue: VecDeque<u64>,
    /// Number of slots in use. An attempt that was given up keeps its slot until its work is done.
    slots_in_use: usize,
}

impl SimulatedBackend {
    pub(super) fn new() -> SimulatedBackend {
        SimulatedBackend {
            fault: BackendFault::HEALTHY,
            queue: VecDeque::new(),
            slots_in_use: 0,
        }
    }
}

impl BackendSimulation {
    /// Handles the arrival of an attempt at its backend. Drops it if it was given up or a fault
    /// cuts the connection.
    pub(super) fn attempt_arrives(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let backend_id = attempt.backend;
        let server = &self.servers[attempt.server.index()];
        let cut = ZoneCut {
            zone: server.zone,
            backend: backend_id,
        };
        if server.is_cut_off || self.zone_cuts.contains(&cut) {
            return;
        }
        self.last_row().attempts_by_backend[backend_id.index()] += 1;
        let backend = &mut self.backends[backend_id.index()];
        match backend.fault {
            BackendFault::Silent => {}
            BackendFault::Down => self.reply(id, AttemptOutcome::NotConnected),
            BackendFault::Failing => self.reply(id, AttemptOutcome::Failed),
            BackendFault::Slow { .. } if backend.slots_in_use >= self.setup.backend_concurrency => {
                backend.queue.push_back(id);
            }
            BackendFault::Slow { factor } => {
                backend.slots_in_use += 1;
                self.begin_work(id, factor);
            }
        }
    }

    /// Schedules the arrival of an attempt's outcome at its server.
    fn reply(&mut self, attempt: u64, outcome: AttemptOutcome) {
        let at = self.now + BACKEND_DELAY;
        self.push(at, Event::AttemptEnds { attempt, outcome });
    }

    /// Starts the work on an attempt and schedules its end; the work takes `factor` times as long
    /// as usual.
    fn begin_work(&mut self, id: u64, factor: f64) {
        let mean_seconds = self.setup.mean_call_time.as_secs_f64() * factor;
        let drawn_seconds = self.draw_exponential(mean_seconds * (1.0 - FIXED_WORK_FRACTION));
        let seconds = mean_seconds * FIXED_WORK_FRACTION + drawn_seconds;
        if let Some(attempt) = self.attempts.get(&id) {
            let work_ends = Event::WorkEnds {
                attempt: id,
                backend: attempt.backend,
            };
            self.push(self.now + Duration::from_secs_f64(seconds), work_ends);
        }
    }

    /// Finishes the work on an attempt: replies if it was not given up, and passes its slot on.
    pub(super) fn work_ends(&mut self, id: u64, backend: SimulatedBackendId) {
        let BackendFault::Slow { factor } = self.backends[backend.index()].fault else {
            return;
        };
        if self.attempts.contains_key(&id) {
            self.reply(id, AttemptOutcome::Success);
        }
        self.begin_next(backend, factor);
    }

    /// Frees a slot and gives it to the next queued attempt that was not given up.
    fn begin_next(&mut self, backend: SimulatedBackendId, factor: f64) {
        let backend = &mut self.backends[backend.index()];
        backend.slots_in_use = backend.slots_in_use.saturating_sub(1);
        while let Some(next) = backend.queue.pop_front() {
            if self.attempts.contains_key(&next) {
                backend.slots_in_use += 1;
                self.begin_work(next, factor);
                return;
            }
        }
    }

    /// Disconnects all attempts at a backend and clears its queue.
    pub(super) fn disconnect(&mut self, backend: SimulatedBackendId) {
        let at_backend = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.backend == backend);
        let mut disconnected: Vec<u64> = at_backend.map(|(id, _)| *id).collect();
        disconnected.sort_unstable();
        for id in disconnected {
            self.reply(id, AttemptOutcome::Disconnected);
        }
        let backend = &mut self.backends[backend.index()];
        backend.queue.clear();
        backend.slots_in_use = 0;
    }
}
