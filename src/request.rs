//! The table of requests, queued or in flight, under small slots. Owns each request's stage, and the memory and
//! load that follow from it; is given identifiers from outside and decides nothing.

use crate::idempotency::KeySlot;
use crate::interface::{Actions, Arrival, HandlerId, TenantId};
use crate::time::{Duration, Timestamp};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

new_key_type! {
    /// Slot of a request in the table.
    pub(crate) struct RequestSlot;
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    #[default]
    Queued,
    /// Waits for another attempt of the same request to start.
    Following,
    /// Waits for another attempt's answer.
    Joined,
    Running,
    /// Waits at a call that is not in flight.
    AtCall,
    Calling,
}

impl Stage {
    fn has_started(self) -> bool {
        matches!(self, Stage::Running | Stage::AtCall | Stage::Calling)
    }
}

/// One request. Its stage and memory change by the table's methods only.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) handler: HandlerId,
    pub(crate) tenant: TenantId,
    /// When it reached the machine, read or not.
    pub(crate) reached: Timestamp,
    /// The latency objective as an instant.
    pub(crate) objective: Timestamp,
    /// When the client stops waiting.
    pub(crate) deadline: Timestamp,
    pub(crate) work_hint: Option<Duration>,
    /// Identifier of the attempt that this one names; 0 for none.
    pub(crate) retry_of: u64,
    /// Priority weight, set by the arrival stage that weighs it.
    pub(crate) weight: f64,
    pub(crate) started: Timestamp,
    /// EqResv allowance for its run.
    pub(crate) allowance: Duration,
    pub(crate) call_skipped: bool,
    pub(crate) answered: bool,
    pub(crate) failed_calls: u32,
    pub(crate) key: Option<KeySlot>,
    memory_kb: f64,
    stage: Stage,
    /// It should have ended long ago, and counts as a run no more.
    slot_released: bool,
}

impl Request {
    pub(crate) fn new(
        arrival: &Arrival,
        reached: Timestamp,
        objective: Timestamp,
        deadline: Timestamp,
    ) -> Request {
        Request {
            id: arrival.id,
            handler: arrival.handler,
            tenant: arrival.tenant,
            reached,
            objective,
            deadline,
            work_hint: arrival.work_hint.filter(|hint| *hint > Duration::ZERO),
            memory_kb: arrival.memory_kb,
            retry_of: arrival.retry_of,
            ..Request::default()
        }
    }

    pub(crate) fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether its run has begun and has not ended.
    pub(crate) fn has_started(&self) -> bool {
        self.stage.has_started()
    }
}

/// Runs and calls in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) runs: usize,
    pub(crate) calls: usize,
}

/// Runs that hold a core.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunAges {
    pub(crate) runs: f64,
    /// Sum of their ages.
    pub(crate) seconds: f64,
}

/// All requests of this server that have not ended.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: SlotMap<RequestSlot, Request>,
    slot_of: HashMap<u64, RequestSlot>,
    queued_kb: f64,
    running_kb: f64,
    /// Memory of a run as a multiple of the request's memory while queued.
    running_factor: f64,
    running: usize,
    handler_loads: Vec<Load>,
}

impl Index<RequestSlot> for RequestTable {
    type Output = Request;

    fn index(&self, r: RequestSlot) -> &Request {
        &self.requests[r]
    }
}

impl IndexMut<RequestSlot> for RequestTable {
    fn index_mut(&mut self, r: RequestSlot) -> &mut Request {
        &mut self.requests[r]
    }
}

impl RequestTable {
    /// A run takes `running_factor` times the request's memory while queued.
    pub(crate) fn new(handlers: usize, running_factor: f64) -> RequestTable {
        let handler_loads = vec![Load::default(); handlers];
        RequestTable {
            handler_loads,
            running_factor,
            ..RequestTable::default()
        }
    }

    pub(crate) fn get(&self, r: RequestSlot) -> Option<&Request> {
        self.requests.get(r)
    }

    /// The request of this identifier, if there is one and the condition holds for it.
    pub(crate) fn find(
        &self,
        id: u64,
        condition: impl Fn(&Request) -> bool,
    ) -> Option<RequestSlot> {
        self.slot_of
            .get(&id)
            .copied()
            .filter(|r| condition(&self.requests[*r]))
    }

    /// Runs that hold a core, and the sum of their ages in seconds.
    pub(crate) fn ages_on_cores(&self, now: Timestamp) -> RunAges {
        let on_cores = self.requests.values().filter(|r| r.stage == Stage::Running);
        on_cores.fold(RunAges::default(), |sum, r| RunAges {
            runs: sum.runs + 1.0,
            seconds: sum.seconds + (now - r.started).as_secs_f64(),
        })
    }

    /// The started request that reached the machine first.
    pub(crate) fn oldest_started(&self) -> Option<&Request> {
        self.requests
            .values()
            .filter(|r| r.has_started())
            .min_by_key(|r| r.reached)
    }

    /// Whether no request of the handler is queued or in flight.
    pub(crate) fn is_idle(&self, handler: HandlerId) -> bool {
        self.requests.values().all(|r| r.handler != handler)
    }

    /// All requests and their slots, in the order of the slots.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (RequestSlot, &mut Request)> {
        self.requests.iter_mut()
    }

    /// Runs in flight.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Memory of all requests, in kB.
    pub(crate) fn memory_kb(&self) -> f64 {
        self.queued_kb + self.running_kb * self.running_factor
    }

    /// Memory that a queued request takes more once it runs, in kB.
    pub(crate) fn growth_kb(&self, r: RequestSlot) -> f64 {
        self.requests[r].memory_kb * (self.running_factor - 1.0)
    }

    /// The load of a group of handlers.
    pub(crate) fn load(&self, handlers: &[HandlerId]) -> Load {
        let loads = handlers
            .iter()
            .filter_map(|h| self.handler_loads.get(h.index()));
        loads.fold(Load::default(), |sum, l| Load {
            runs: sum.runs + l.runs,
            calls: sum.calls + l.calls,
        })
    }

    /// Adds a queued request.
    pub(crate) fn add(&mut self, request: Request) -> RequestSlot {
        let (id, memory_kb) = (request.id, request.memory_kb);
        let r = self.requests.insert(request);
        self.slot_of.insert(id, r);
        self.queued_kb += memory_kb;
        r
    }

    /// Moves a request that has not started to another waiting stage.
    pub(crate) fn wait(&mut self, r: RequestSlot, stage: Stage) {
        debug_assert!(!stage.has_started() && !self.requests[r].stage.has_started());
        self.requests[r].stage = stage;
    }

    pub(crate) fn start(&mut self, r: RequestSlot, now: Timestamp, allowance: Duration) {
        let request = &mut self.requests[r];
        (request.stage, request.started, request.allowance) = (Stage::Running, now, allowance);
        self.queued_kb -= request.memory_kb;
        self.running_kb += request.memory_kb;
        self.running += 1;
        self.handler_loads[request.handler.index()].runs += 1;
    }

    /// Moves a started request to another started stage.
    pub(crate) fn set_run_stage(&mut self, r: RequestSlot, stage: Stage) {
        debug_assert!(stage.has_started() && self.requests[r].stage.has_started());
        let request = &mut self.requests[r];
        let calls = &mut self.handler_loads[request.handler.index()].calls;
        *calls -= usize::from(request.stage == Stage::Calling);
        *calls += usize::from(stage == Stage::Calling);
        request.stage = stage;
    }

    /// The request's call came back: its run goes on, or waits at the call that failed.
    pub(crate) fn finish_call(&mut self, r: RequestSlot, completed: bool) {
        self.set_run_stage(
            r,
            if completed {
                Stage::Running
            } else {
                Stage::AtCall
            },
        );
        self.requests[r].failed_calls += u32::from(!completed);
    }

    /// The run goes on without the call that it waits at.
    pub(crate) fn skip_call(&mut self, r: RequestSlot, out: &mut dyn Actions) {
        self.set_run_stage(r, Stage::Running);
        self.requests[r].call_skipped = true;
        out.skip_call(self.requests[r].id);
    }

    /// A run at a call that should have ended long ago counts no more, but its memory stays taken.
    pub(crate) fn release_run(&mut self, r: RequestSlot) {
        self.set_run_stage(r, Stage::AtCall);
        let request = &mut self.requests[r];
        if !std::mem::replace(&mut request.slot_released, true) {
            self.running -= 1;
            self.handler_loads[request.handler.index()].runs -= 1;
        }
    }

    pub(crate) fn remove(&mut self, r: RequestSlot) {
        let Some(request) = self.requests.remove(r) else {
            return;
        };
        self.slot_of.remove(&request.id);
        if !request.stage.has_started() {
            self.queued_kb -= request.memory_kb;
            return;
        }
        self.running_kb -= request.memory_kb;
        self.running -= usize::from(!request.slot_released);
        let load = &mut self.handler_loads[request.handler.index()];
        load.runs -= usize::from(!request.slot_released);
        load.calls -= usize::from(request.stage == Stage::Calling);
    }
}
