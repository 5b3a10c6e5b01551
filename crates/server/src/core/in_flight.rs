//! The requests in flight: what the run, the call and the answer of each still need.
//!
//! Owns: the table of these requests, by id and by the name of the attempt. Is given: requests that were read,
//! until they are answered and their runs are over. Does no I/O and decides nothing.

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
    /// The name of the attempt, which the engine and the upstream servers know it by.
    pub(super) name: AttemptName,
    /// The downstream connection that it came on, and its JSON-RPC id there.
    pub(super) recipient: Recipient,
    /// The index of its handler.
    pub(super) handler: HandlerId,
    /// Its idempotency key, if it has one.
    pub(super) key: Option<IdempotencyKey>,
    /// Hash of handler and body, the same for all attempts of a key.
    pub(super) fingerprint: u64,
    /// The body as it was read, until the run has it.
    body: Box<str>,
    /// The decision module has started its run.
    is_started: bool,
    /// It was answered, or its client is gone.
    is_settled: bool,
    /// Its run went on without an optional call.
    is_partial: bool,
    /// When its answer leaves at the latest.
    pub(super) answer_deadline: Timestamp,
    /// The call that its run waits at.
    pub(super) call: UpstreamCall,
    /// The engine commands of its run.
    pub(super) commands: RunCommands,
}

impl InFlightRequest {
    /// A request that has just been read on a connection and is not started.
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

    /// The decision module starts the run of the request. Gives the body, which the run has from now on.
    pub(super) fn start(&mut self) -> Box<str> {
        self.is_started = true;
        std::mem::take(&mut self.body)
    }

    /// Whether the decision module has started its run.
    pub(super) fn is_started(&self) -> bool {
        self.is_started
    }

    /// The request is answered, or its client gone. Returns whether it was so already.
    pub(super) fn settle(&mut self) -> bool {
        std::mem::replace(&mut self.is_settled, true)
    }

    /// Its run goes on without an optional call.
    pub(super) fn call_skipped(&mut self) {
        self.is_partial = true;
    }

    /// Whether its run went on without an optional call.
    pub(super) fn is_partial(&self) -> bool {
        self.is_partial
    }
}

/// A run that was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StartedRun {
    /// The id of its request.
    pub(super) request: u64,
    /// The name of the attempt, by which the engine knows the run.
    pub(super) attempt: AttemptName,
}

/// The table of requests whose answer or run is open.
#[derive(Default)]
pub(super) struct InFlightRequests {
    by_id: HashMap<u64, InFlightRequest>,
    ids_by_name: HashMap<AttemptName, u64>,
}

impl InFlightRequests {
    /// Enters a request; neither its id nor its name is in the table yet.
    pub(super) fn insert(&mut self, id: u64, request: InFlightRequest) {
        self.ids_by_name.insert(request.name, id);
        self.by_id.insert(id, request);
    }

    /// Removes a request, if it is in the table.
    pub(super) fn remove(&mut self, id: u64) -> Option<InFlightRequest> {
        let request = self.by_id.remove(&id)?;
        self.ids_by_name.remove(&request.name);
        Some(request)
    }

    /// The request with this id.
    pub(super) fn get(&self, id: u64) -> Option<&InFlightRequest> {
        self.by_id.get(&id)
    }

    /// The request with this id.
    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut InFlightRequest> {
        self.by_id.get_mut(&id)
    }

    /// The request with this id, unless it was answered or its client is gone.
    pub(super) fn unanswered(&self, id: u64) -> Option<&InFlightRequest> {
        self.by_id.get(&id).filter(|request| !request.is_settled)
    }

    /// The id of the request by the name of its attempt.
    pub(super) fn id(&self, name: &AttemptName) -> Option<u64> {
        self.ids_by_name.get(name).copied()
    }

    /// The number of requests.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The number of requests that are owed an answer.
    pub(super) fn unanswered_count(&self) -> usize {
        self.by_id
            .values()
            .filter(|request| !request.is_settled)
            .count()
    }

    /// The runs that were started, in the order of the requests' ids.
    pub(super) fn started(&self) -> Vec<StartedRun> {
        let started = self.by_id.iter().filter(|(_, request)| request.is_started);
        let mut runs: Vec<StartedRun> = started
            .map(|(id, request)| StartedRun {
                request: *id,
                attempt: request.name,
            })
            .collect();
        runs.sort_unstable_by_key(|run| run.request);
        runs
    }

    /// All requests, in no order.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut InFlightRequest> {
        self.by_id.values_mut()
    }

    /// The requests for which `predicate` holds, in the order of their ids.
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
