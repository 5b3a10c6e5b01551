//! One simulated backend. It processes a fixed number of calls at a time, and other calls wait in a queue.

use crate::fault::BackendFault;
use crate::ids::ServerIncarnation;
use madderbay::time::Duration;
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};

/// The fraction of the mean call time that is constant. The rest is exponentially distributed.
const FIXED_TIME_FRACTION: f64 = 0.5;

/// A call from a server to a backend.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamCall {
    pub(crate) caller: ServerIncarnation,
    /// The id of the caller's connection that carries the call.
    pub(crate) connection: u64,
    pub(crate) request: String,
    pub(crate) has_idempotency_key: bool,
}

/// What a backend does with an arriving call.
pub(crate) enum CallDisposition {
    /// The backend processes the call for this time.
    Running(Duration),
    /// The call waits for a free slot, or forever if the backend never answers.
    Waiting,
    /// The backend answers at once that the call failed.
    Failed,
}

/// A call that a backend has started to process, and the time that this takes.
pub(crate) struct StartedCall {
    pub(crate) call_id: u64,
    pub(crate) duration: Duration,
}

/// The calls at one backend. The caller assigns call ids in ascending order.
pub(crate) struct Backend {
    fault: Option<BackendFault>,
    slots: usize,
    mean_call_s: f64,
    busy_slots: usize,
    queue: VecDeque<u64>,
    calls: BTreeMap<u64, UpstreamCall>,
    keyed_completions: BTreeMap<String, u32>,
}

impl Backend {
    /// Creates a healthy backend that processes `slots` calls at a time, each taking `mean_call` on average.
    pub(crate) fn new(slots: usize, mean_call: Duration) -> Backend {
        Backend {
            fault: None,
            slots,
            mean_call_s: mean_call.as_secs_f64(),
            busy_slots: 0,
            queue: VecDeque::new(),
            calls: BTreeMap::new(),
            keyed_completions: BTreeMap::new(),
        }
    }

    /// Reports whether the backend is down, so that connections to it break.
    pub(crate) fn is_down(&self) -> bool {
        self.fault == Some(BackendFault::Down)
    }

    /// Sets or clears the backend's fault. Calls that are already at the backend stay there.
    pub(crate) fn set_fault(&mut self, fault: Option<BackendFault>) {
        self.fault = fault;
    }

    /// Returns how many calls of each request with an idempotency key were completed at this backend.
    pub(crate) fn keyed_completions(&self) -> &BTreeMap<String, u32> {
        &self.keyed_completions
    }

    /// Returns the calls that are waiting or in progress, in ascending order of their ids.
    pub(crate) fn calls(&self) -> impl Iterator<Item = &UpstreamCall> {
        self.calls.values()
    }

    fn draw_call_time(&self, random: &mut Rand64) -> Duration {
        let slowdown = match self.fault {
            Some(BackendFault::Slow { factor }) => factor,
            _ => 1.0,
        };
        let exponential = -(1.0 - random.rand_float()).ln();
        let time = FIXED_TIME_FRACTION + (1.0 - FIXED_TIME_FRACTION) * exponential;
        Duration::from_secs_f64(self.mean_call_s * slowdown * time)
    }

    /// Accepts an arriving call and decides whether it fails, waits or starts.
    pub(crate) fn accept(
        &mut self,
        call_id: u64,
        call: UpstreamCall,
        random: &mut Rand64,
    ) -> CallDisposition {
        if self.fault == Some(BackendFault::Failing) {
            return CallDisposition::Failed;
        }
        self.calls.insert(call_id, call);
        if self.fault == Some(BackendFault::Silent) {
            return CallDisposition::Waiting;
        }
        if self.busy_slots < self.slots {
            self.busy_slots += 1;
            CallDisposition::Running(self.draw_call_time(random))
        } else {
            self.queue.push_back(call_id);
            CallDisposition::Waiting
        }
    }

    /// Frees the slot of a call whose processing time has passed. Returns the call unless it was abandoned in the
    /// meantime.
    pub(crate) fn complete(&mut self, call_id: u64) -> Option<UpstreamCall> {
        self.busy_slots = self.busy_slots.saturating_sub(1);
        let call = self.calls.remove(&call_id)?;
        if call.has_idempotency_key {
            let completions = self.keyed_completions.entry(call.request.clone());
            *completions.or_default() += 1;
        }
        Some(call)
    }

    /// Starts the next queued call that was not abandoned.
    pub(crate) fn start_next(&mut self, random: &mut Rand64) -> Option<StartedCall> {
        while let Some(call_id) = self.queue.pop_front() {
            if self.calls.contains_key(&call_id) {
                self.busy_slots += 1;
                let duration = self.draw_call_time(random);
                return Some(StartedCall { call_id, duration });
            }
        }
        None
    }

    /// Removes the calls that `is_abandoned` selects, and returns their number. A slot that one of them uses stays busy
    /// until the processing time of the call has passed.
    pub(crate) fn abandon(&mut self, is_abandoned: impl Fn(&UpstreamCall) -> bool) -> u32 {
        let before = self.calls.len();
        self.calls.retain(|_, call| !is_abandoned(call));
        (before - self.calls.len()) as u32
    }
}
