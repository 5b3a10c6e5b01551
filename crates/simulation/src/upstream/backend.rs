//! One simulated backend: it works on a fixed number of calls at a time, and other calls wait in a queue.

use crate::fault::BackendFault;
use crate::ids::ServerIncarnation;
use madderbay::time::Duration;
use oorandom::Rand64;
use std::collections::{BTreeMap, VecDeque};

/// The part of a call's time that does not vary.
const FIXED_TIME_FRACTION: f64 = 0.5;

/// A call of a server to a backend.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UpstreamCall {
    pub(crate) caller: ServerIncarnation,
    /// The number of the caller's connection that carries the call.
    pub(crate) connection: u64,
    pub(crate) request: String,
    pub(crate) has_idempotency_key: bool,
}

/// What a backend does with a call that arrives.
pub(crate) enum CallDisposition {
    /// It works on the call for this long.
    Running(Duration),
    /// The call waits, perhaps for ever.
    Waiting,
    /// It answers at once that the call failed.
    Failed,
}

/// A call that a backend began to work on, and how long it takes.
pub(crate) struct StartedCall {
    pub(crate) call_id: u64,
    pub(crate) duration: Duration,
}

/// Owns the calls at one backend. Call ids are given by the caller and grow.
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
    /// A healthy backend that works on `slots` calls at a time, each of `mean_call` on average.
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

    /// Whether connections to it break.
    pub(crate) fn is_down(&self) -> bool {
        self.fault == Some(BackendFault::Down)
    }

    /// Sets or clears its fault. Calls that are at the backend stay there.
    pub(crate) fn set_fault(&mut self, fault: Option<BackendFault>) {
        self.fault = fault;
    }

    /// How often each request with an idempotency key was called to the end here, by request.
    pub(crate) fn keyed_completions(&self) -> &BTreeMap<String, u32> {
        &self.keyed_completions
    }

    /// The calls that wait or are worked on, in the order of their ids.
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

    /// A call arrives.
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

    /// The time of a call is over and its slot free. Returns the call, unless it was abandoned meanwhile.
    pub(crate) fn complete(&mut self, call_id: u64) -> Option<UpstreamCall> {
        self.busy_slots = self.busy_slots.saturating_sub(1);
        let call = self.calls.remove(&call_id)?;
        if call.has_idempotency_key {
            let completions = self.keyed_completions.entry(call.request.clone());
            *completions.or_default() += 1;
        }
        Some(call)
    }

    /// Begins to work on the next call in the queue that was not abandoned.
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

    /// Forgets the calls that `is_abandoned` names, and returns their number. A slot that one of them uses stays busy
    /// until its time is over.
    pub(crate) fn abandon(&mut self, is_abandoned: impl Fn(&UpstreamCall) -> bool) -> u32 {
        let before = self.calls.len();
        self.calls.retain(|_, call| !is_abandoned(call));
        (before - self.calls.len()) as u32
    }
}
