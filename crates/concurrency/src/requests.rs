//! The requests in flight: the stage of each, and the counters of their handlers.
//!
//! The counters are kept in a [`HandlerTable`] and always agree with the stages of the requests. No
//! limit is decided here.

use crate::handlers::HandlerTable;
use crate::limit::Permit;
use crate::request_stage::RequestStage;
use madderbay::interface::{CallRequirement, HandlerId};
use madderbay::time::{Duration, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Time for which a run that waits for a call keeps its permit after its request was answered. The
/// engine ends such a run at once or not at all.
const ANSWERED_RUN_TIMEOUT: Duration = Duration::from_millis(2_000);

pub(crate) struct Request {
    handler: HandlerId,
    stage: RequestStage,
    started_at: Timestamp,
    /// Permit of the call in flight, if its upstream has a limit.
    permit: Option<Permit>,
    /// Whether the request was answered at least [`ANSWERED_RUN_TIMEOUT`] ago while its run still
    /// waits for a call. Such a run occupies no permit of its pool.
    hung: bool,
}

impl Request {
    pub(crate) fn handler(&self) -> HandlerId {
        self.handler
    }

    pub(crate) fn set_permit(&mut self, permit: Permit) {
        self.permit = Some(permit);
    }

    pub(crate) fn take_permit(&mut self) -> Option<Permit> {
        self.permit.take()
    }
}

/// An answered request whose run may still be in flight.
struct AnsweredRequest {
    id: u64,
    /// When its run counts as hung, if it still waits for a call.
    hung_at: Timestamp,
}

pub(crate) struct RequestTable {
    requests: HashMap<u64, Request>,
    answered: VecDeque<AnsweredRequest>,
    handlers: HandlerTable,
}

impl RequestTable {
    pub(crate) fn new(call_requirements: &[CallRequirement]) -> RequestTable {
        RequestTable {
            requests: HashMap::new(),
            answered: VecDeque::new(),
            handlers: HandlerTable::new(call_requirements),
        }
    }

    pub(crate) fn handlers(&self) -> &HandlerTable {
        &self.handlers
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn get(&self, id: u64) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Moves a request to a stage; adds the request if it is new. A known request keeps its
    /// handler.
    pub(crate) fn set_stage(
        &mut self,
        now: Timestamp,
        id: u64,
        handler: HandlerId,
        stage: RequestStage,
    ) -> &mut Request {
        let known = self.requests.contains_key(&id);
        let request = self.requests.entry(id).or_insert(Request {
            handler,
            stage,
            started_at: now,
            permit: None,
            hung: false,
        });
        if known {
            remove_from_counters(&mut self.handlers, request);
            if request.stage == RequestStage::Queued {
                request.started_at = now;
            }
        }
        request.hung = false;
        request.stage = stage;
        *self.handlers.get_mut(request.handler).counter_mut(stage) += 1;
        request
    }

    /// Ends the call of a request and moves the request to its next stage. Returns `None` if no
    /// call of the request is in flight.
    pub(crate) fn end_call(&mut self, id: u64, next: RequestStage) -> Option<&mut Request> {
        let request = self.requests.get_mut(&id)?;
        if request.stage != RequestStage::Calling {
            return None;
        }
        let load = self.handlers.get_mut(request.handler);
        load.calling -= 1;
        *load.counter_mut(next) += 1;
        request.stage = next;
        Some(request)
    }

    /// Registers that a run of the handler continued without its call.
    pub(crate) fn record_skipped_call(&mut self, now: Timestamp, handler: HandlerId) {
        self.handlers.get_mut(handler).call_skipped_at = Some(now);
    }

    /// Removes a request; returns whether it was known.
    pub(crate) fn remove(&mut self, now: Timestamp, id: u64) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        remove_from_counters(&mut self.handlers, &request);
        if request.stage != RequestStage::Queued {
            let duration = now - request.started_at;
            self.handlers
                .get_mut(request.handler)
                .record_run(duration.as_secs_f64());
        }
        true
    }

    /// Registers that a request was answered while its run continues.
    pub(crate) fn record_answered(&mut self, now: Timestamp, id: u64) {
        if self.requests.contains_key(&id) {
            let hung_at = now + ANSWERED_RUN_TIMEOUT;
            self.answered.push_back(AnsweredRequest { id, hung_at });
        }
    }

    /// Frees the permits of runs that still wait for a call long after their requests were
    /// answered. Otherwise an engine that never ends such runs would block their pool forever.
    /// Returns whether any permit was freed.
    pub(crate) fn release_hung_runs(&mut self, now: Timestamp) -> bool {
        let mut released = false;
        while let Some(answered) = self.answered.pop_front_if(|a| a.hung_at <= now) {
            let Some(request) = self.requests.get_mut(&answered.id) else {
                continue;
            };
            if request.stage == RequestStage::AwaitingCall && !request.hung {
                remove_from_counters(&mut self.handlers, request);
                request.hung = true;
                self.handlers.get_mut(request.handler).hung += 1;
                released = true;
            }
        }
        released
    }
}

/// Removes a request from the counter of its current stage.
fn remove_from_counters(handlers: &mut HandlerTable, request: &Request) {
    let load = handlers.get_mut(request.handler);
    let counter = if request.hung {
        &mut load.hung
    } else {
        load.counter_mut(request.stage)
    };
    *counter = counter.saturating_sub(1);
}
