//! The executor of the decision module's actions.
//!
//! Owns: the table of requests in flight and all that their runs, calls and answers go through. Is given: the
//! actions of the decision module, and what the event loop reports. Decides nothing; knows no socket and no
//! clock. [`actions`](super::actions) has an action each, [`answers`](super::answers) the ways to an answer,
//! [`engine_commands`](super::engine_commands) those to the engine, [`dispatch`](super::dispatch) those to
//! backends and catalogue.

use super::backend_selector::BackendRouting;
use super::deadlines::{Deadline, Deadlines, TickTimer};
use super::deferred_events::DeferredEvents;
use super::durability::DurabilityQueue;
use super::in_flight::InFlightRequests;
use super::request_limits::RequestLimits;
use super::request_observer::RequestObserver;
use super::server_status::ServerStatus;
use crate::downstream::connections::Connections;
use crate::downstream::idempotency_table::IdempotencyTable;
use crate::downstream::request_validation::RequestValidator;
use crate::support::metrics::Counters;
use crate::upstream::calls::CallDispatcher;
use crate::upstream::engine::EngineLink;
use madderbay::time::Timestamp;
use madderbay_concurrency::RequestStage;
use madderbay_concurrency::limit::Completion;
use madderbay_settings::Settings;
use madderbay_upstream::AttemptOutcome;
use std::rc::Rc;
use tokio::sync::Notify;

/// Carries out what the decision module decides.
pub(super) struct ActionExecutor {
    /// The time of the event that is being handled.
    pub(super) now: Timestamp,
    pub(super) requests: InFlightRequests,
    pub(super) connections: Connections,
    pub(super) validator: RequestValidator,
    pub(super) idempotency: IdempotencyTable,
    pub(super) engine_link: EngineLink,
    pub(super) calls: CallDispatcher,
    pub(super) limits: RequestLimits,
    pub(super) backends: BackendRouting,
    /// Results that outlast this incarnation, if the operator wants them.
    pub(super) durability: Option<DurabilityQueue>,
    pub(super) deferred_events: DeferredEvents,
    pub(super) deadlines: Deadlines,
    pub(super) tick_timer: TickTimer,
    pub(super) status: ServerStatus,
    pub(super) counters: Counters,
    /// Notified when an event has to be settled by a turn.
    pub(super) work_pending: Rc<Notify>,
}

impl ActionExecutor {
    /// An executor without requests. Results in memory take up to `max_cached_bytes`.
    pub(super) fn new(
        now: Timestamp,
        settings: &Settings,
        max_cached_bytes: usize,
    ) -> ActionExecutor {
        let mut deadlines = Deadlines::default();
        deadlines.insert(now, Deadline::Maintenance);
        ActionExecutor {
            now,
            requests: InFlightRequests::default(),
            connections: Connections::default(),
            validator: RequestValidator::new(settings),
            idempotency: IdempotencyTable::new(settings, max_cached_bytes),
            engine_link: EngineLink::default(),
            calls: CallDispatcher::default(),
            limits: RequestLimits::default(),
            backends: BackendRouting::new(settings),
            durability: None,
            deferred_events: DeferredEvents::default(),
            deadlines,
            tick_timer: TickTimer::new(now),
            status: ServerStatus::default(),
            counters: Counters::new(&settings.handler_names),
            work_pending: Rc::default(),
        }
    }

    /// Notifies the limits of an event of a request that is in flight.
    pub(super) fn observe(
        &mut self,
        id: u64,
        notify: impl Fn(&mut dyn RequestObserver, Timestamp),
    ) {
        if self.requests.get(id).is_some() {
            let now = self.now;
            self.limits.observe(|observer| notify(observer, now));
        }
    }

    /// Notifies the limits that a request is new or has reached another stage.
    pub(super) fn set_stage(&mut self, id: u64, stage: RequestStage) {
        if let Some(request) = self.requests.get(id) {
            let (now, handler) = (self.now, request.handler);
            self.limits
                .observe(|observer| observer.set_stage(now, id, handler, stage));
        }
    }

    /// Removes a request that is over, with the call that is out for it.
    pub(super) fn remove(&mut self, id: u64) {
        self.cancel_call(id);
        self.observe(id, |o, now| o.request_finished(now, id));
        if let Some(request) = self.requests.remove(id) {
            self.calls.forget(&request.name);
        }
    }

    /// Gives up the call that is out for a request, if there is one.
    pub(super) fn cancel_call(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(deadline) = request.call.take_deadline() else {
            return;
        };
        self.deadlines.remove(deadline, Deadline::CallTimeout(id));
        if !request.call.has_attempts() {
            self.calls.quit(self.now, &request.name);
        }
        self.end_attempts(id, AttemptOutcome::Cancelled);
        self.observe(id, |o, now| o.call_finished(now, id, Completion::Cancelled));
    }

    /// A request is answered or its client gone: a call for it is given up, and unless it runs it is over.
    pub(super) fn nobody_waits(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.answered = true;
        self.connections
            .request_settled(request.connection, request.rpc_id);
        if request.started {
            self.cancel_call(id);
            self.observe(id, |o, now| o.request_answered(now, id));
        } else {
            self.remove(id);
        }
    }
}
