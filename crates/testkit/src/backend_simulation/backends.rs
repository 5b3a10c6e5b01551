//! What backends do with the attempts that reach them.

use super::{BACKEND_DELAY, BackendFault, BackendSimulation, Event};
use madderbay::time::Duration;
use madderbay_upstream::AttemptOutcome;
use std::collections::VecDeque;

/// The part of a call's mean time that each call takes at least; the rest is drawn.
const FIXED_WORK: f64 = 0.5;

/// One backend.
pub(super) struct Backend {
    pub(super) fault: BackendFault,
    /// Attempts that wait for a slot.
    queue: VecDeque<u64>,
    /// Slots in use. An attempt that was given up keeps its slot until its work is done.
    busy: usize,
}

impl Backend {
    pub(super) fn new() -> Backend {
        Backend {
            fault: BackendFault::Slow(1.0),
            queue: VecDeque::new(),
            busy: 0,
        }
    }
}

impl BackendSimulation {
    /// An attempt reaches its backend, unless it was given up or a cut is in between.
    pub(super) fn attempt_arrives(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let index = attempt.backend;
        let node = &self.nodes[attempt.server];
        if node.cut_off || self.cuts.contains(&(node.zone, index)) {
            return;
        }
        self.last_row().at[index] += 1;
        let backend = &mut self.backends[index];
        match backend.fault {
            BackendFault::Silent => {}
            BackendFault::Down => self.reply(id, AttemptOutcome::NotConnected),
            BackendFault::Fails => self.reply(id, AttemptOutcome::Failed),
            BackendFault::Slow(_) if backend.busy >= self.setup.slots => {
                backend.queue.push_back(id);
            }
            BackendFault::Slow(times) => {
                backend.busy += 1;
                self.work(id, times);
            }
        }
    }

    /// The server will learn of an outcome.
    fn reply(&mut self, attempt: u64, outcome: AttemptOutcome) {
        let at = self.now + BACKEND_DELAY;
        self.push(at, Event::AttemptEnds { attempt, outcome });
    }

    /// A backend begins to work on an attempt, and takes this many times as long as usual.
    fn work(&mut self, id: u64, times: f64) {
        let mean = self.setup.call.as_secs_f64() * times;
        let took = mean * FIXED_WORK + self.draw(mean * (1.0 - FIXED_WORK));
        if let Some(attempt) = self.attempts.get(&id) {
            let worked = Event::AttemptWorked {
                attempt: id,
                backend: attempt.backend,
            };
            self.push(self.now + Duration::from_secs_f64(took), worked);
        }
    }

    /// The work on an attempt is done, and its slot is free for the next one.
    pub(super) fn attempt_worked(&mut self, id: u64, backend: usize) {
        let BackendFault::Slow(times) = self.backends[backend].fault else {
            return;
        };
        if self.attempts.contains_key(&id) {
            self.reply(id, AttemptOutcome::Success);
        }
        self.work_on_next(backend, times);
    }

    /// Frees a slot, and gives it to the next attempt in the queue that was not given up.
    fn work_on_next(&mut self, index: usize, times: f64) {
        let backend = &mut self.backends[index];
        backend.busy = backend.busy.saturating_sub(1);
        while let Some(next) = backend.queue.pop_front() {
            if self.attempts.contains_key(&next) {
                backend.busy += 1;
                self.work(next, times);
                return;
            }
        }
    }

    /// All attempts at a backend are disconnected.
    pub(super) fn disconnect(&mut self, index: usize) {
        let here = self.attempts.iter().filter(|(_, a)| a.backend == index);
        let mut lost: Vec<u64> = here.map(|(id, _)| *id).collect();
        lost.sort_unstable();
        for id in lost {
            self.reply(id, AttemptOutcome::Disconnected);
        }
        self.backends[index].queue.clear();
        self.backends[index].busy = 0;
    }
}
