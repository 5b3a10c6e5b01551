//! The calls of the servers: their attempts, retries and hedges, until they succeed or end.

use super::setup::backend_index;
use super::{BACKEND_DELAY, BackendSimulation, Event, RoutingPolicy};
use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{
    AttemptOutcome, FailedCall, HedgeCandidate, RetryPolicy, UpstreamAttempt,
};

/// Retries of a call under [`RoutingPolicy::LeastInHand`].
const MAX_PLAIN_RETRIES: u32 = 2;
/// Under it a retry needs some time and no more: it follows no latencies.
const PLAIN_RETRY_POLICY: RetryPolicy = RetryPolicy {
    typical_latency: Duration::ZERO,
};
/// The handler of all calls.
const HANDLER: HandlerId = HandlerId::new(0);

/// One attempt in flight.
pub(super) struct Attempt {
    call: u64,
    pub(super) server: usize,
    pub(super) backend: usize,
    /// The upstream manager's record of it, if it was picked by one.
    ticket: Option<UpstreamAttempt>,
}

/// One call in flight.
pub(super) struct Call {
    server: usize,
    began: Timestamp,
    /// Its attempts in flight.
    attempts: Vec<u64>,
    retries: u32,
}

/// Where an attempt goes.
struct Target {
    backend: usize,
    ticket: Option<UpstreamAttempt>,
}

impl Target {
    fn picked(ticket: UpstreamAttempt) -> Target {
        Target {
            backend: backend_index(ticket.address),
            ticket: Some(ticket),
        }
    }

    fn plain(backend: usize) -> Target {
        Target {
            backend,
            ticket: None,
        }
    }
}

impl BackendSimulation {
    /// A call arrives at a server, which makes its first attempt.
    pub(super) fn call_arrives(&mut self, server: usize) {
        let (id, now) = (self.new_id(), self.now);
        let call = Call {
            server,
            began: now,
            attempts: vec![],
            retries: 0,
        };
        self.calls.insert(id, call);
        self.last_row().firsts += 1;
        let timeout = self.setup.patience;
        self.push(now + timeout, Event::CallTimesOut { call: id });
        match self.setup.way {
            RoutingPolicy::Shared | RoutingPolicy::Alone => {
                let upstream = &mut self.nodes[server].upstream;
                let ticket = upstream.pick(now, HANDLER).expect("there are backends");
                let candidate = HedgeCandidate {
                    is_idempotent: self.setup.replayable,
                    is_under_quota: false,
                    timeout,
                };
                let hedge_delay = upstream.hedge_delay(now, &ticket, candidate);
                self.attempt(id, Target::picked(ticket));
                if let Ok(delay) = hedge_delay {
                    self.push(now + delay, Event::HedgeDue { call: id });
                }
            }
            RoutingPolicy::RoundRobin | RoutingPolicy::LeastInHand => {
                let backend = self.pick_plainly(server, None);
                self.attempt(id, Target::plain(backend));
            }
        }
    }

    /// Picks a backend by one of the plain policies.
    fn pick_plainly(&mut self, server: usize, avoid: Option<usize>) -> usize {
        let backends = self.setup.backends;
        let node = &mut self.nodes[server];
        if self.setup.way == RoutingPolicy::RoundRobin {
            node.last_used = (node.last_used + 1) % backends;
            return node.last_used;
        }
        let first = (self.random.rand_float() * backends as f64) as usize;
        (0..backends)
            .map(|offset| (first + offset) % backends)
            .filter(|backend| Some(*backend) != avoid)
            .min_by_key(|backend| node.in_flight[*backend])
            .unwrap_or(0)
    }

    /// Sends an attempt of a call.
    fn attempt(&mut self, call: u64, target: Target) {
        let id = self.new_id();
        let Target { backend, ticket } = target;
        let of = self.calls.get_mut(&call).expect("in flight");
        of.attempts.push(id);
        let server = of.server;
        self.nodes[server].in_flight[backend] += 1;
        let attempt = Attempt {
            call,
            server,
            backend,
            ticket,
        };
        self.attempts.insert(id, attempt);
        let arrives = Event::AttemptArrives { attempt: id };
        self.push(self.now + BACKEND_DELAY, arrives);
    }

    /// The server lets go of an attempt and reports its outcome to the upstream manager.
    fn finish(&mut self, id: u64, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let node = &mut self.nodes[attempt.server];
        let in_flight = &mut node.in_flight[attempt.backend];
        *in_flight = in_flight.saturating_sub(1);
        if let Some(ticket) = &attempt.ticket {
            node.upstream.finish(self.now, ticket, outcome);
        }
        if let Some(call) = self.calls.get_mut(&attempt.call) {
            call.attempts.retain(|other| *other != id);
        }
        Some(attempt)
    }

    /// The outcome of an attempt reaches the server, unless that has given it up.
    pub(super) fn attempt_ends(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(attempt) = self.finish(id, outcome) else {
            return;
        };
        let Some(call) = self.calls.get(&attempt.call) else {
            return;
        };
        if outcome == AttemptOutcome::Success {
            return self.call_succeeds(attempt.call, id);
        }
        if !call.attempts.is_empty() {
            return;
        }
        let failed = FailedCall {
            outcome,
            is_idempotent: self.setup.replayable,
            time_left: self.time_left(call),
        };
        let retries = call.retries;
        match self.pick_for_retry(&attempt, failed, retries) {
            Some(target) => {
                self.last_row().again += 1;
                let call = self.calls.get_mut(&attempt.call).expect("in flight");
                call.retries += 1;
                self.attempt(attempt.call, target);
            }
            None => self.call_ends(attempt.call),
        }
    }

    /// The time until the deadline of a call.
    fn time_left(&self, call: &Call) -> Duration {
        (call.began + self.setup.patience) - self.now
    }

    /// Picks a backend for a retry; `None` if the policy allows no retry.
    fn pick_for_retry(
        &mut self,
        former: &Attempt,
        call: FailedCall,
        retries: u32,
    ) -> Option<Target> {
        match (self.setup.way, &former.ticket) {
            (RoutingPolicy::Shared | RoutingPolicy::Alone, Some(ticket)) => {
                let upstream = &mut self.nodes[former.server].upstream;
                let retry = upstream.retry(self.now, ticket, call);
                retry.ok().map(Target::picked)
            }
            (RoutingPolicy::LeastInHand, _) if retries < MAX_PLAIN_RETRIES => {
                PLAIN_RETRY_POLICY.check(call).ok()?;
                let backend = self.pick_plainly(former.server, Some(former.backend));
                Some(Target::plain(backend))
            }
            _ => None,
        }
    }

    /// A call succeeds by one of its attempts; earlier ones have lost to that one.
    fn call_succeeds(&mut self, id: u64, attempt: u64) {
        let call = &self.calls[&id];
        let earlier = call.attempts.iter().copied();
        let earlier: Vec<u64> = earlier.filter(|other| *other < attempt).collect();
        let took = self.now - call.began;
        let row = self.row_of(call.began);
        self.rows[row].good += 1;
        self.times.push(took.as_secs_f64() * 1e3);
        for other in earlier {
            self.finish(other, AttemptOutcome::LostToHedge);
        }
        self.call_ends(id);
    }

    /// Sends a hedge if the call still has its only attempt in flight and the upstream manager
    /// allows it.
    pub(super) fn hedge(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let [first] = call.attempts[..] else {
            return;
        };
        let first = self.attempts.get(&first);
        let Some(ticket) = first.and_then(|attempt| attempt.ticket.clone()) else {
            return;
        };
        let time_left = self.time_left(call);
        let upstream = &mut self.nodes[call.server].upstream;
        if let Ok(hedge) = upstream.hedge(self.now, &ticket, time_left) {
            self.last_row().again += 1;
            self.attempt(id, Target::picked(hedge));
        }
    }

    /// A call that is still in flight at its timeout ends.
    pub(super) fn call_times_out(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        for attempt in call.attempts.clone() {
            self.finish(attempt, AttemptOutcome::TimedOut);
        }
        self.call_ends(id);
    }

    /// A call ends and counts in the row in which it began; attempts that are left are cancelled.
    fn call_ends(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let row = self.row_of(call.began);
        self.rows[row].calls += 1;
        for attempt in call.attempts {
            self.finish(attempt, AttemptOutcome::Cancelled);
        }
    }
}
