//! Calls of the simulated servers with their attempts, retries and hedges, until they succeed or
//! end.
//!
//! [`routing`](super::routing) and the server's upstream manager decide which backend an attempt
//! goes to and whether a call is retried.

use super::ids::{SimulatedBackendId, SimulatedServerId};
use super::routing::Target;
use super::{BACKEND_DELAY, BackendSimulation, Event};
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{AttemptOutcome, FailedCall, HedgeCandidate, UpstreamAttempt};

/// One attempt in flight.
pub(super) struct Attempt {
    call: u64,
    pub(super) server: SimulatedServerId,
    pub(super) backend: SimulatedBackendId,
    /// The attempt as known to the server's upstream manager, if that selected the backend.
    pub(super) upstream_attempt: Option<UpstreamAttempt>,
}

/// One call in flight.
pub(super) struct Call {
    server: SimulatedServerId,
    started_at: Timestamp,
    /// Ids of its attempts in flight.
    attempts: Vec<u64>,
    retries: u32,
}

impl BackendSimulation {
    /// Handles the arrival of a call at a server: sends its first attempt and schedules its timeout
    /// and its hedge.
    pub(super) fn call_arrives(&mut self, server: SimulatedServerId) {
        let id = self.new_id();
        let call = Call {
            server,
            started_at: self.now,
            attempts: vec![],
            retries: 0,
        };
        self.calls.insert(id, call);
        self.last_row().first_attempts += 1;
        let deadline = self.now + self.setup.timeout;
        self.push(deadline, Event::CallTimesOut { call: id });
        let target = self.pick_first(server);
        let hedge_delay = self.hedge_delay(server, &target);
        self.send_attempt(id, target);
        if let Some(delay) = hedge_delay {
            self.push(self.now + delay, Event::HedgeDue { call: id });
        }
    }

    /// Returns the time after which the first attempt of a call is hedged; `None` if it is not
    /// hedged.
    fn hedge_delay(&mut self, server: SimulatedServerId, first: &Target) -> Option<Duration> {
        let first = first.upstream_attempt.as_ref()?;
        let call = HedgeCandidate {
            is_idempotent: self.setup.is_idempotent,
            is_under_quota: false,
            timeout: self.setup.timeout,
        };
        let upstream = &mut self.servers[server.index()].upstream;
        upstream.hedge_delay(self.now, first, call).ok()
    }

    /// Sends an attempt of a call.
    fn send_attempt(&mut self, call_id: u64, target: Target) {
        let id = self.new_id();
        let call = self.calls.get_mut(&call_id).expect("the call is in flight");
        call.attempts.push(id);
        let attempt = Attempt {
            call: call_id,
            server: call.server,
            backend: target.backend,
            upstream_attempt: target.upstream_attempt,
        };
        self.servers[attempt.server.index()].in_flight[attempt.backend.index()] += 1;
        self.attempts.insert(id, attempt);
        let arrives = Event::AttemptArrives { attempt: id };
        self.push(self.now + BACKEND_DELAY, arrives);
    }

    /// Removes an attempt from its server and its call, and reports its outcome to the upstream
    /// manager.
    fn finish_attempt(&mut self, id: u64, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let server = &mut self.servers[attempt.server.index()];
        let in_flight = &mut server.in_flight[attempt.backend.index()];
        *in_flight = in_flight.saturating_sub(1);
        if let Some(upstream_attempt) = &attempt.upstream_attempt {
            server.upstream.finish(self.now, upstream_attempt, outcome);
        }
        if let Some(call) = self.calls.get_mut(&attempt.call) {
            call.attempts.retain(|other| *other != id);
        }
        Some(attempt)
    }

    /// Handles the arrival of an attempt's outcome at its server. Does nothing if the server has
    /// given the attempt up.
    pub(super) fn attempt_ends(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(attempt) = self.finish_attempt(id, outcome) else {
            return;
        };
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        if outcome == AttemptOutcome::Success {
            self.call_succeeds(attempt.call, id);
        } else if call.attempts.is_empty() {
            self.retry_or_end(&attempt, outcome);
        }
    }

    /// Retries a call whose last attempt in flight has failed if the policy allows it; ends the
    /// call otherwise.
    fn retry_or_end(&mut self, former: &Attempt, outcome: AttemptOutcome) {
        let Some(call) = self.calls.get(&former.call) else {
            return;
        };
        let retries = call.retries;
        let failed = FailedCall {
            outcome,
            is_idempotent: self.setup.is_idempotent,
            time_left: self.time_left(call),
        };
        match self.pick_for_retry(former, failed, retries) {
            Some(target) => {
                self.last_row().retries += 1;
                let call = self
                    .calls
                    .get_mut(&former.call)
                    .expect("the call is in flight");
                call.retries += 1;
                self.send_attempt(former.call, target);
            }
            None => self.call_ends(former.call),
        }
    }

    /// Returns the time until the deadline of a call.
    fn time_left(&self, call: &Call) -> Duration {
        (call.started_at + self.setup.timeout) - self.now
    }

    /// Completes a call by one of its attempts; attempts that were sent earlier have lost to that
    /// one.
    fn call_succeeds(&mut self, id: u64, attempt: u64) {
        let call = &self.calls[&id];
        let others = call.attempts.iter().copied();
        let earlier: Vec<u64> = others.filter(|other| *other < attempt).collect();
        let latency = self.now - call.started_at;
        let row = self.row_at(call.started_at);
        self.rows[row].succeeded += 1;
        self.latencies_ms.push(latency.as_secs_f64() * 1e3);
        for other in earlier {
            self.finish_attempt(other, AttemptOutcome::LostToHedge);
        }
        self.call_ends(id);
    }

    /// Sends the hedge of a call if only its first attempt is in flight and the upstream manager
    /// allows it.
    pub(super) fn hedge_due(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let [only] = call.attempts[..] else {
            return;
        };
        let time_left = self.time_left(call);
        let server = call.server;
        let only = self.attempts.get(&only);
        let Some(in_flight) = only.and_then(|attempt| attempt.upstream_attempt.as_ref()) else {
            return;
        };
        let upstream = &mut self.servers[server.index()].upstream;
        if let Ok(hedge) = upstream.hedge(self.now, in_flight, time_left) {
            self.last_row().retries += 1;
            self.send_attempt(id, Target::picked(hedge));
        }
    }

    /// Ends a call that is still in flight at its timeout.
    pub(super) fn call_times_out(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        for attempt in call.attempts.clone() {
            self.finish_attempt(attempt, AttemptOutcome::TimedOut);
        }
        self.call_ends(id);
    }

    /// Ends a call, counts it in the row in which it began, and cancels the attempts that are left.
    fn call_ends(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let row = self.row_at(call.started_at);
        self.rows[row].calls += 1;
        for attempt in call.attempts {
            self.finish_attempt(attempt, AttemptOutcome::Cancelled);
        }
    }
}
