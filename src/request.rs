//! The table of requests, queued or in flight, under small slots.
//!
//! Owns the stage of each request, and the memory and load that follow from it. Is given identifiers from outside.
//! Decides nothing.

use crate::interface::{Actions, Arrival, HandlerId, TenantId};
use crate::slots::{KeySlot, RequestSlot};
use crate::time::{Duration, Timestamp};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for its start. A request that has just arrived is in this stage too.
    #[default]
    Queued,
    /// Waits for another attempt of the same request to start.
    AwaitingOtherStart,
    /// Waits for the answer of another attempt.
    Joined,
    /// Runs on the cores, or waits for one.
    Running,
    /// Its run waits at an upstream call that is not in flight.
    AtCall,
    /// Its run waits for an upstream call in flight.
    Calling,
}

impl Stage {
    /// The stages that may follow. A request may end in any stage.
    ///
    /// ```text
    /// arrival -> Queued -> Running <-> AtCall <-> Calling
    ///              ^ |                  Calling -> Running
    ///              | v
    ///   AwaitingOtherStart -> Joined <- Queued
    /// ```
    const fn successors(self) -> &'static [Stage] {
        match self {
            Stage::Queued => &[Stage::AwaitingOtherStart, Stage::Joined, Stage::Running],
            Stage::AwaitingOtherStart => &[Stage::Queued, Stage::Joined],
            Stage::Joined => &[],
            Stage::Running => &[Stage::AtCall],
            // Back to itself where the place of a run that should have ended is released.
            Stage::AtCall => &[Stage::Running, Stage::Calling, Stage::AtCall],
            Stage::Calling => &[Stage::Running, Stage::AtCall],
        }
    }

    /// Whether the run has begun.
    pub(crate) fn has_started(self) -> bool {
        matches!(self, Stage::Running | Stage::AtCall | Stage::Calling)
    }

    /// Whether the request waits for its own start or for that of another attempt.
    pub(crate) fn awaits_start(self) -> bool {
        matches!(self, Stage::Queued | Stage::AwaitingOtherStart)
    }
}

/// How long the end of a run that nobody waits for has been expected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndWatch {
    /// Times that it should have ended.
    pub(crate) checks: u32,
    /// Of these, the times that other runs ended meanwhile.
    pub(crate) checks_with_other_ends: u32,
    /// Of these, the times that the engine had no run on its cores.
    pub(crate) checks_with_idle_cores: u32,
    /// Runs that had ended when the end was last expected.
    pub(crate) ended_runs: u64,
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
    /// The client's estimate of the work.
    pub(crate) work_hint: Option<Duration>,
    /// Identifier of the attempt that this one names; 0 for none.
    pub(crate) retry_of: u64,
    /// Priority weight, set on arrival.
    pub(crate) weight: f64,
    /// When its run was started.
    pub(crate) started: Timestamp,
    /// EqResv allowance for its run.
    pub(crate) allowance: Duration,
    /// Its run went on without an optional call.
    pub(crate) call_skipped: bool,
    /// Its answer is final, or its client has gone: nobody waits for its run.
    pub(crate) settled: bool,
    /// Attempts of its calls that failed.
    pub(crate) failed_calls: u32,
    /// Its idempotency key, if it has one.
    pub(crate) key: Option<KeySlot>,
    /// How long the end of its run has been expected, once nobody waits for it.
    pub(crate) end_watch: EndWatch,
    memory_kb: f64,
    stage: Stage,
    /// Its run should have ended long ago, and counts no more.
    is_released: bool,
    /// Its run on the cores should have ended long ago, and does not stand for the load.
    is_overdue: bool,
}

impl Request {
    /// A request that has just been read.
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

    /// Whether its run goes on without waiting for a call.
    pub(crate) fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }

    /// Whether its run waits for an upstream call in flight.
    pub(crate) fn is_calling(&self) -> bool {
        self.stage == Stage::Calling
    }

    /// Whether its run says something of the load: not one that should have ended long ago, or before others did.
    fn reflects_load(&self) -> bool {
        self.has_started() && !self.is_overdue && !self.is_released
    }

    /// Moves the request to a stage that may follow the present one.
    fn enter(&mut self, stage: Stage) {
        debug_assert!(
            self.stage.successors().contains(&stage),
            "{:?} to {stage:?}",
            self.stage
        );
        self.stage = stage;
    }
}

/// Runs and calls in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) runs: usize,
    pub(crate) calls: usize,
}

/// The runs that are on the cores, or wait for one.
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
    /// Of these, the runs that are overdue.
    overdue: usize,
    handler_loads: Vec<Load>,
}

impl Index<RequestSlot> for RequestTable {
    type Output = Request;

    fn index(&self, slot: RequestSlot) -> &Request {
        &self.requests[slot]
    }
}

impl IndexMut<RequestSlot> for RequestTable {
    fn index_mut(&mut self, slot: RequestSlot) -> &mut Request {
        &mut self.requests[slot]
    }
}

impl RequestTable {
    /// A run takes `running_factor` times the request's memory while queued.
    pub(crate) fn new(handlers: usize, running_factor: f64) -> RequestTable {
        RequestTable {
            handler_loads: vec![Load::default(); handlers],
            running_factor,
            ..RequestTable::default()
        }
    }

    pub(crate) fn get(&self, slot: RequestSlot) -> Option<&Request> {
        self.requests.get(slot)
    }

    /// The request of this identifier, if there is one and the condition holds for it.
    pub(crate) fn find(
        &self,
        id: u64,
        condition: impl Fn(&Request) -> bool,
    ) -> Option<RequestSlot> {
        let slot = self.slot_of.get(&id).copied()?;
        condition(&self.requests[slot]).then_some(slot)
    }

    /// The runs on the cores that say something of the load, and the sum of their ages in seconds.
    pub(crate) fn ages_on_cores(&self, now: Timestamp) -> RunAges {
        let mut ages = RunAges::default();
        for request in self.requests.values() {
            if request.is_running() && request.reflects_load() {
                ages.runs += 1.0;
                ages.seconds += (now - request.started).as_secs_f64();
            }
        }
        ages
    }

    /// The started request that reached the machine first, of those that say something of the load.
    pub(crate) fn oldest_started(&self) -> Option<&Request> {
        let started = self.requests.values().filter(|r| r.reflects_load());
        started.min_by_key(|r| r.reached)
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

    /// Whether no run is in flight, or only runs that are overdue.
    pub(crate) fn is_idle_except_overdue(&self) -> bool {
        self.running == self.overdue
    }

    /// Runs in flight that are not overdue.
    pub(crate) fn running_on_time(&self) -> usize {
        self.running - self.overdue
    }

    /// A run on the cores that nobody waits for is overdue.
    pub(crate) fn set_overdue(&mut self, slot: RequestSlot) {
        let request = &mut self.requests[slot];
        debug_assert!(request.settled && request.is_running());
        self.overdue += usize::from(!std::mem::replace(&mut request.is_overdue, true));
    }

    /// Memory of all requests, in kB.
    pub(crate) fn memory_kb(&self) -> f64 {
        self.queued_kb + self.running_kb * self.running_factor
    }

    /// Memory that a queued request takes more once it runs, in kB.
    pub(crate) fn growth_kb(&self, slot: RequestSlot) -> f64 {
        self.requests[slot].memory_kb * (self.running_factor - 1.0)
    }

    /// The load of a group of handlers.
    pub(crate) fn load(&self, handlers: &[HandlerId]) -> Load {
        let mut sum = Load::default();
        for handler in handlers {
            if let Some(load) = self.handler_loads.get(handler.index()) {
                sum.runs += load.runs;
                sum.calls += load.calls;
            }
        }
        sum
    }

    /// Adds a queued request.
    pub(crate) fn add(&mut self, request: Request) -> RequestSlot {
        self.queued_kb += request.memory_kb;
        let id = request.id;
        let slot = self.requests.insert(request);
        self.slot_of.insert(id, slot);
        slot
    }

    /// Moves a request that has not started to another waiting stage.
    pub(crate) fn wait(&mut self, slot: RequestSlot, stage: Stage) {
        debug_assert!(!stage.has_started() && !self.requests[slot].has_started());
        self.requests[slot].enter(stage);
    }

    /// Starts the run of a queued request.
    pub(crate) fn start(&mut self, slot: RequestSlot, now: Timestamp, allowance: Duration) {
        let request = &mut self.requests[slot];
        request.enter(Stage::Running);
        request.started = now;
        request.allowance = allowance;
        self.queued_kb -= request.memory_kb;
        self.running_kb += request.memory_kb;
        self.running += 1;
        self.handler_loads[request.handler.index()].runs += 1;
    }

    /// Moves a started request to another started stage.
    pub(crate) fn set_run_stage(&mut self, slot: RequestSlot, stage: Stage) {
        debug_assert!(stage.has_started());
        let request = &mut self.requests[slot];
        let calls = &mut self.handler_loads[request.handler.index()].calls;
        *calls -= usize::from(request.stage == Stage::Calling);
        *calls += usize::from(stage == Stage::Calling);
        request.enter(stage);
    }

    /// The request's call came back: its run goes on, or waits at the call that failed.
    pub(crate) fn finish_call(&mut self, slot: RequestSlot, completed: bool) {
        let stage = if completed {
            Stage::Running
        } else {
            Stage::AtCall
        };
        self.set_run_stage(slot, stage);
        self.requests[slot].failed_calls += u32::from(!completed);
    }

    /// The run goes on without the call that it waits at.
    pub(crate) fn skip_call(&mut self, slot: RequestSlot, out: &mut dyn Actions) {
        self.set_run_stage(slot, Stage::Running);
        self.requests[slot].call_skipped = true;
        out.skip_call(self.requests[slot].id);
    }

    /// A run at a call that should have ended long ago counts no more, but its memory stays taken.
    pub(crate) fn release_run(&mut self, slot: RequestSlot) {
        self.set_run_stage(slot, Stage::AtCall);
        let request = &mut self.requests[slot];
        if !request.is_released {
            request.is_released = true;
            self.running -= 1;
            self.handler_loads[request.handler.index()].runs -= 1;
        }
    }

    pub(crate) fn remove(&mut self, slot: RequestSlot) {
        let Some(request) = self.requests.remove(slot) else {
            return;
        };
        self.slot_of.remove(&request.id);
        if !request.has_started() {
            self.queued_kb -= request.memory_kb;
            return;
        }
        self.running_kb -= request.memory_kb;
        self.running -= usize::from(!request.is_released);
        self.overdue -= usize::from(request.is_overdue);
        let load = &mut self.handler_loads[request.handler.index()];
        load.runs -= usize::from(!request.is_released);
        load.calls -= usize::from(request.stage == Stage::Calling);
    }
}
