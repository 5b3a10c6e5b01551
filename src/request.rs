//! The table of requests that are queued or in flight, each under a slot.
//!
//! Keeps the stage of each request, and the memory and load that follow from the stages. The identifiers of requests
//! are assigned by the caller.

use crate::interface::{Actions, Arrival, HandlerId, TenantId};
use crate::slots::{KeySlot, RequestSlot};
use crate::time::{Duration, Timestamp};
use slotmap::SlotMap;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// Progress of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for its own start. A request that has just arrived is in this stage too.
    #[default]
    Queued,
    /// Waits for another attempt of the same request to start.
    AwaitingOtherStart,
    /// Waits for the answer of another attempt of the same request.
    Joined,
    /// Runs on a core, or waits for one.
    Running,
    /// Its run waits for an upstream call that is not in flight.
    AtCall,
    /// Its run waits for an upstream call in flight.
    Calling,
}

impl Stage {
    /// Returns the stages that may follow. A request may end in any stage.
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
            // `AtCall` may follow itself: `release_run` sets it for a run that should have ended.
            Stage::AtCall => &[Stage::Running, Stage::Calling, Stage::AtCall],
            Stage::Calling => &[Stage::Running, Stage::AtCall],
        }
    }

    /// Reports whether the run has started.
    pub(crate) fn has_started(self) -> bool {
        matches!(self, Stage::Running | Stage::AtCall | Stage::Calling)
    }

    /// Reports whether the request waits for its own start or for that of another attempt.
    pub(crate) fn awaits_start(self) -> bool {
        matches!(self, Stage::Queued | Stage::AwaitingOtherStart)
    }
}

/// Counts the checks on a settled request whose run should have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndWatch {
    /// Checks at which the run should have ended, but had not.
    pub(crate) checks: u32,
    /// Of these, the checks at which other runs had ended meanwhile.
    pub(crate) checks_with_other_ends: u32,
    /// Of these, the checks at which the engine had no run on its cores.
    pub(crate) checks_with_idle_cores: u32,
    /// Total number of runs that had ended when the server last began to wait for the end of this run.
    pub(crate) ended_runs: u64,
}

/// One request. Its stage and memory are changed only by the methods of [`RequestTable`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) handler: HandlerId,
    pub(crate) tenant: TenantId,
    /// When it reached the machine; it may have been read later.
    pub(crate) reached: Timestamp,
    /// Instant until which an answer meets the latency objective.
    pub(crate) objective: Timestamp,
    /// When the client stops waiting.
    pub(crate) deadline: Timestamp,
    /// The client's estimate of the request's work.
    pub(crate) work_hint: Option<Duration>,
    /// Identifier of the attempt that this one retries; 0 for none.
    pub(crate) retry_of: u64,
    /// Priority weight, set on arrival.
    pub(crate) weight: f64,
    /// When its run was started.
    pub(crate) started: Timestamp,
    /// EqResv allowance for its run.
    pub(crate) allowance: Duration,
    /// Whether its run continued without an optional call.
    pub(crate) call_skipped: bool,
    /// Whether it was answered or its client is gone, so that nobody waits for its run.
    pub(crate) settled: bool,
    /// Number of failed attempts of its upstream calls.
    pub(crate) failed_calls: u32,
    /// Its idempotency key, if it has one.
    pub(crate) key: Option<KeySlot>,
    /// Checks on the end of its run, once the request is settled.
    pub(crate) end_watch: EndWatch,
    memory_kb: f64,
    stage: Stage,
    /// Whether its run should have ended long ago and no longer counts as in flight.
    is_released: bool,
    /// Whether its run on the cores should have ended long ago and is left out of load measurements.
    is_overdue: bool,
}

impl Request {
    /// Returns a request that has just been read.
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

    /// Reports whether its run has started and has not ended.
    pub(crate) fn has_started(&self) -> bool {
        self.stage.has_started()
    }

    /// Reports whether its run has started and does not wait for a call.
    pub(crate) fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }

    /// Reports whether its run waits for an upstream call in flight.
    pub(crate) fn is_calling(&self) -> bool {
        self.stage == Stage::Calling
    }

    /// Reports whether its run is evidence of the load. A run that should have ended long ago, or before other runs
    /// that have ended, is not.
    fn reflects_load(&self) -> bool {
        self.has_started() && !self.is_overdue && !self.is_released
    }

    /// Moves the request to a stage that may follow its current one.
    fn enter(&mut self, stage: Stage) {
        debug_assert!(
            self.stage.successors().contains(&stage),
            "{:?} to {stage:?}",
            self.stage
        );
        self.stage = stage;
    }
}

/// Numbers of runs and calls in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) runs: usize,
    pub(crate) calls: usize,
}

/// Number and total age of the runs that are on a core or wait for one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunAges {
    pub(crate) runs: f64,
    /// Sum of the ages of these runs, in seconds.
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
    /// Number of the runs in flight that are overdue.
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
    /// Returns an empty table. A run takes `running_factor` times the memory of the queued request.
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

    /// Returns the slot of the request with this identifier, if there is one and the condition holds for it.
    pub(crate) fn find(
        &self,
        id: u64,
        condition: impl Fn(&Request) -> bool,
    ) -> Option<RequestSlot> {
        let slot = self.slot_of.get(&id).copied()?;
        condition(&self.requests[slot]).then_some(slot)
    }

    /// Returns the number of runs on the cores that are evidence of the load, and the sum of their ages.
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

    /// Returns the started request that reached the machine first, among those whose runs are evidence of the load.
    pub(crate) fn oldest_started(&self) -> Option<&Request> {
        let started = self.requests.values().filter(|r| r.reflects_load());
        started.min_by_key(|r| r.reached)
    }

    /// Reports whether no request of the handler is queued or in flight.
    pub(crate) fn is_idle(&self, handler: HandlerId) -> bool {
        self.requests.values().all(|r| r.handler != handler)
    }

    /// Iterates over all requests and their slots, in the order of the slots.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (RequestSlot, &mut Request)> {
        self.requests.iter_mut()
    }

    /// Returns the number of runs in flight.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Reports whether no run is in flight, or only overdue ones.
    pub(crate) fn is_idle_except_overdue(&self) -> bool {
        self.running == self.overdue
    }

    /// Returns the number of runs in flight that are not overdue.
    pub(crate) fn running_on_time(&self) -> usize {
        self.running - self.overdue
    }

    /// Marks the run of a settled request, which is on the cores, as overdue.
    pub(crate) fn set_overdue(&mut self, slot: RequestSlot) {
        let request = &mut self.requests[slot];
        debug_assert!(request.settled && request.is_running());
        self.overdue += usize::from(!std::mem::replace(&mut request.is_overdue, true));
    }

    /// Returns the memory of all requests, in kB.
    pub(crate) fn memory_kb(&self) -> f64 {
        self.queued_kb + self.running_kb * self.running_factor
    }

    /// Returns the additional memory that a queued request takes once it runs, in kB.
    pub(crate) fn growth_kb(&self, slot: RequestSlot) -> f64 {
        self.requests[slot].memory_kb * (self.running_factor - 1.0)
    }

    /// Returns the runs and calls in flight of a group of handlers.
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

    /// Moves a request that has not started to another stage before the start.
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

    /// Moves a started request to another stage after the start.
    pub(crate) fn set_run_stage(&mut self, slot: RequestSlot, stage: Stage) {
        debug_assert!(stage.has_started());
        let request = &mut self.requests[slot];
        let calls = &mut self.handler_loads[request.handler.index()].calls;
        *calls -= usize::from(request.stage == Stage::Calling);
        *calls += usize::from(stage == Stage::Calling);
        request.enter(stage);
    }

    /// Records the end of the request's call. If the call completed, the run continues; otherwise it still waits.
    pub(crate) fn finish_call(&mut self, slot: RequestSlot, completed: bool) {
        let stage = if completed {
            Stage::Running
        } else {
            Stage::AtCall
        };
        self.set_run_stage(slot, stage);
        self.requests[slot].failed_calls += u32::from(!completed);
    }

    /// Lets the run continue without the call that it is waiting for.
    pub(crate) fn skip_call(&mut self, slot: RequestSlot, out: &mut dyn Actions) {
        self.set_run_stage(slot, Stage::Running);
        self.requests[slot].call_skipped = true;
        out.skip_call(self.requests[slot].id);
    }

    /// Stops counting a run at a call, which should have ended long ago, as in flight. Its memory stays in use.
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
