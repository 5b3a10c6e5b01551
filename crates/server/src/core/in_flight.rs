//! The requests in flight, each with the state that its run, its call and its answer need.
//!
//! [`InFlightRequests`] is the table of these requests, indexed by id and by the name of the
//! attempt. A request is added when it was read, and removed when it is answered and its run has
//! ended. This module does no I/O and makes no decisions.

use super::downstream_answers::Recipient;
use super::run_commands::RunCommands;
use super::upstream_call::UpstreamCall;
use crate::downstream::idempotency_table::IdempotencyKey;
use crate::downstream::request_validation::ValidatedRequest;
use crate::support::attempt_name::AttemptName;
use madderbay::decide::ANSWER_MARGIN;
use madderbay::interface::HandlerId;
use madderbay::time::Timestamp;
use std::collections::HashMap;

/// A request that was read.
pub(super) struct InFlightRequest {
    /// The name of the attempt, by which the engine and the upstream servers identify it.
    pub(super) name: AttemptName,
    /// The downstream connection that the request arrived on, and its JSON-RPC id there.
    pub(super) recipient: Recipient,
    /// The index of its handler.
    pub(super) handler: HandlerId,
    /// Its idempotency key, if it has one.
    pub(super) key: Option<IdempotencyKey>,
    /// Hash of handler and body, the same for all attempts of a key.
    pub(super) fingerprint: u64,
    /// The body as it was read; empty once the run has been started with it.
    body: Box<str>,
    /// Whether the decision module has started its run, which may have ended since.
    is_started: bool,
    /// Whether it was answered or its client is gone.
    is_settled: bool,
    /// Whether its run continued without an optional call.
    is_partial: bool,
    /// The latest time at which its answer is sent.
    pub(super) answer_deadline: Timestamp,
    /// The upstream call that its run waits for.
    pub(super) call: UpstreamCall,
    /// The engine commands of its run.
    pub(super) commands: RunCommands,
}

impl InFlightRequest {
    /// Creates the entry of a request that has just been read and whose run has not been started.
    pub(super) fn new(
        now: Timestamp,
        recipient: Recipient,
        request: &ValidatedRequest<'_>,
    ) -> InFlightRequest {
        InFlightRequest {
            name: request.name,
            recipient,
            handler: request.arrival.handler,
            key: request.key,
            fingerprint: request.fingerprint,
            body: request.body.into(),
            is_started: false,
            is_settled: false,
            is_partial: false,
            answer_deadline: (now + request.client_waits).saturating_sub(ANSWER_MARGIN),
            call: UpstreamCall::default(),
            commands: RunCommands::default(),
        }
    }

    /// Marks the run of the request as started, and returns the body for it.
    pub(super) fn start(&mut self) -> Box<str> {
        self.is_started = true;
        std::mem::take(&mut self.body)
    }

    /// Reports whether the decision module has started its run, which may have ended since.
    pub(super) fn is_started(&self) -> bool {
        self.is_started
    }

    /// Marks the request as answered or its client as gone. Returns whether it was marked already.
    pub(super) fn settle(&mut self) -> bool {
        std::mem::replace(&mut self.is_settled, true)
    }

    /// Records that its run continues without an optional call.
    pub(super) fn call_skipped(&mut self) {
        self.is_partial = true;
    }

    /// Reports whether its run continued without an optional call.
    pub(super) fn is_partial(&self) -> bool {
        self.is_partial
    }
}

/// A run that was started and whose end is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StartedRun {
    /// The id of its request.
    pub(super) request: u64,
    /// The name of the attempt, by which the engine identifies the run.
    pub(super) attempt: AttemptName,
}

/// The table of requests that are not answered or whose run has not ended.
#[derive(Default)]
pub(super) struct InFlightRequests {
    by_id: HashMap<u64, InFlightRequest>,
    ids_by_name: HashMap<AttemptName, u64>,
}

impl InFlightRequests {
    /// Adds a request. Neither its id nor its name may be in the table yet.
    pub(super) fn insert(&mut self, id: u64, request: InFlightRequest) {
        self.ids_by_name.insert(request.name, id);
        self.by_id.insert(id, request);
    }

    /// Removes and returns a request, if it is in the table.
    pub(super) fn remove(&mut self, id: u64) -> Option<InFlightRequest> {
        let request = self.by_id.remove(&id)?;
        self.ids_by_name.remove(&request.name);
        Some(request)
    }

    /// Returns the request with this id.
    pub(super) fn get(&self, id: u64) -> Option<&InFlightRequest> {
        self.by_id.get(&id)
    }

    /// Returns the request with this id.
    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// Returns the request with this id, unless it was answered or its client is gone.
    pub(super) fn unanswered(&self, id: u64) -> Option<&InFlightRequest> {
        self.by_id.get(&id).filter(|request| !request.is_settled)
    }

    /// Returns the id of the request whose attempt has this name, unless its run has ended.
    pub(super) fn id_before_end(&self, name: &AttemptName) -> Option<u64> {
        let id = self.id(name)?;
        let request = self.get(id)?;
        (!request.commands.has_run_ended()).then_some(id)
    }

    /// Returns the id of the request whose attempt has this name.
    pub(super) fn id(&self, name: &AttemptName) -> Option<u64> {
        self.ids_by_name.get(name).copied()
    }

    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of requests that still need an answer.
    pub(super) fn unanswered_count(&self) -> usize {
        self.by_id
            .values()
            .filter(|request| !request.is_settled)
            .count()
    }

    /// Returns the runs that were started and have not ended, in the order of their request ids.
    pub(super) fn started(&self) -> Vec<StartedRun> {
        let started = self
            .by_id
            .iter()
            .filter(|(_, request)| request.is_started && !request.commands.has_run_ended());
        let mut runs: Vec<StartedRun> = started
            .map(|(id, request)| StartedRun {
                request: *id,
                attempt: request.name,
            })
            .collect();
        runs.sort_unstable_by_key(|run| run.request);
        runs
    }

    /// Returns all requests, in no particular order.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut InFlightRequest> {
        self.by_id.values_mut()
    }

    /// Returns the requests for which `predicate` holds, in the order of their ids.
    pub(super) fn sorted_mut(
        &mut self,
        predicate: impl Fn(&InFlightRequest) -> bool,
    ) -> Vec<(u64, &mut InFlightRequest)> {
        let all = self.by_id.iter_mut().map(|(id, request)| (*id, request));
        let mut matching: Vec<_> = all.filter(|(_, request)| predicate(request)).collect();
        matching.sort_by_key(|(id, _)| *id);
        matching
    }
}
