//! The backends that the fleet shares, and its calls in flight at them.

use super::{Backend, CallDisposition, StartedCall, UpstreamCall};
use crate::fault::BackendFault;
use crate::ids::{BackendId, ServerIncarnation};
use madderbay::time::Duration;
use oorandom::Rand64;
use std::collections::BTreeMap;

/// The number of calls that each backend processes at a time.
const SLOTS_PER_BACKEND: usize = 40;
/// The mean processing time of a call at a healthy backend.
const MEAN_CALL_TIME: Duration = Duration::from_millis(25);

/// The outcome of a call's arrival at a backend.
pub(crate) struct AcceptedCall {
    pub(crate) call_id: u64,
    pub(crate) disposition: CallDisposition,
}

/// All backends of the fleet. Call ids are unique across them.
pub(crate) struct BackendSet {
    backends: Vec<Backend>,
    calls_in_flight: u32,
    last_call_id: u64,
}

impl BackendSet {
    /// Creates `backends` healthy backends.
    pub(crate) fn new(backends: usize) -> BackendSet {
        let healthy = |_| Backend::new(SLOTS_PER_BACKEND, MEAN_CALL_TIME);
        BackendSet {
            backends: (0..backends).map(healthy).collect(),
            calls_in_flight: 0,
            last_call_id: 0,
        }
    }

    /// Returns the number of calls that are waiting or in progress at the backends.
    pub(crate) fn calls_in_flight(&self) -> u32 {
        self.calls_in_flight
    }

    /// Reports whether a backend is down, so that connections to it break.
    pub(crate) fn is_down(&self, backend: BackendId) -> bool {
        self.backends[backend.0].is_down()
    }

    /// Accepts a call at a backend. A call that does not fail at once is in flight.
    pub(crate) fn accept(
        &mut self,
        backend: BackendId,
        call: UpstreamCall,
        random: &mut Rand64,
    ) -> AcceptedCall {
        self.last_call_id += 1;
        let call_id = self.last_call_id;
        let disposition = self.backends[backend.0].accept(call_id, call, random);
        if !matches!(disposition, CallDisposition::Failed) {
            self.calls_in_flight += 1;
        }
        AcceptedCall {
            call_id,
            disposition,
        }
    }

    /// Completes a call whose processing time has passed. Returns the call unless it was abandoned in the meantime.
    pub(crate) fn complete(&mut self, backend: BackendId, call_id: u64) -> Option<UpstreamCall> {
        let call = self.backends[backend.0].complete(call_id)?;
        self.calls_in_flight -= 1;
        Some(call)
    }

    /// Starts the next queued call at a backend.
    pub(crate) fn start_next(
        &mut self,
        backend: BackendId,
        random: &mut Rand64,
    ) -> Option<StartedCall> {
        self.backends[backend.0].start_next(random)
    }

    /// Abandons the calls of a closed connection.
    pub(crate) fn abandon_connection(&mut self, caller: ServerIncarnation, connection: u64) {
        self.abandon(|call| call.caller == caller && call.connection == connection);
    }

    /// Abandons the calls of a killed server.
    pub(crate) fn abandon_caller(&mut self, caller: ServerIncarnation) {
        self.abandon(|call| call.caller == caller);
    }

    fn abandon(&mut self, is_abandoned: impl Fn(&UpstreamCall) -> bool) {
        for backend in &mut self.backends {
            self.calls_in_flight -= backend.abandon(&is_abandoned);
        }
    }

    /// Sets or clears the fault of a backend. If the backend goes down or its fault is cleared, its calls end without
    /// an answer and are returned.
    pub(crate) fn set_fault(
        &mut self,
        backend: BackendId,
        fault: Option<BackendFault>,
    ) -> Vec<UpstreamCall> {
        let backend = &mut self.backends[backend.0];
        backend.set_fault(fault);
        if !matches!(fault, None | Some(BackendFault::Down)) {
            return vec![];
        }
        let lost = backend.calls().cloned().collect();
        self.calls_in_flight -= backend.abandon(|_| true);
        lost
    }

    /// Returns how many calls of each request with an idempotency key were completed, across all backends.
    pub(crate) fn keyed_completions(&self) -> BTreeMap<&str, u32> {
        let mut completions: BTreeMap<&str, u32> = BTreeMap::new();
        for (request, count) in self.backends.iter().flat_map(Backend::keyed_completions) {
            *completions.entry(request).or_default() += count;
        }
        completions
    }
}
