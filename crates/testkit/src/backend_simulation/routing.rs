//! Selection of the backend for an attempt, by the routing policy of the simulation.
//!
//! The server's upstream manager selects the backend under the policies that use it; simple
//! algorithms select it under the others. This module never sends an attempt.

use super::calls::Attempt;
use super::ids::{SimulatedBackendId, SimulatedServerId};
use super::setup::{HANDLER, backend_at};
use super::{BackendSimulation, RoutingPolicy};
use madderbay::time::Duration;
use madderbay_upstream::{FailedCall, RetryPolicy, UpstreamAttempt};

/// Maximum number of retries of a call under [`RoutingPolicy::LeastInFlight`].
const MAX_PLAIN_RETRIES: u32 = 2;
/// Retry policy under [`RoutingPolicy::LeastInFlight`], which does not take latencies into account.
const PLAIN_RETRY_POLICY: RetryPolicy = RetryPolicy {
    typical_latency: Duration::ZERO,
};

/// The backend that was selected for an attempt.
pub(super) struct Target {
    pub(super) backend: SimulatedBackendId,
    /// The attempt as known to the server's upstream manager, if that selected the backend.
    pub(super) upstream_attempt: Option<UpstreamAttempt>,
}

impl Target {
    /// Creates the target for a backend that an upstream manager selected.
    pub(super) fn picked(attempt: UpstreamAttempt) -> Target {
        Target {
            backend: backend_at(attempt.address),
            upstream_attempt: Some(attempt),
        }
    }

    /// Creates the target for a backend that was selected without an upstream manager.
    fn plain(backend: SimulatedBackendId) -> Target {
        Target {
            backend,
            upstream_attempt: None,
        }
    }
}

impl BackendSimulation {
    /// Selects a backend for the first attempt of a call.
    pub(super) fn pick_first(&mut self, server: SimulatedServerId) -> Target {
        match self.setup.routing {
            RoutingPolicy::ManagerWithGossip | RoutingPolicy::ManagerWithoutGossip => {
                let upstream = &mut self.servers[server.index()].upstream;
                let attempt = upstream.pick(self.now, HANDLER);
                Target::picked(attempt.expect("the handler has backends"))
            }
            RoutingPolicy::RoundRobin => Target::plain(self.pick_next(server)),
            RoutingPolicy::LeastInFlight => Target::plain(self.pick_least_in_flight(server, None)),
        }
    }

    /// Selects a backend for a retry; `None` if the policy allows no retry.
    pub(super) fn pick_for_retry(
        &mut self,
        former: &Attempt,
        call: FailedCall,
        retries: u32,
    ) -> Option<Target> {
        match (self.setup.routing, &former.upstream_attempt) {
            (
                RoutingPolicy::ManagerWithGossip | RoutingPolicy::ManagerWithoutGossip,
                Some(upstream_attempt),
            ) => {
                let upstream = &mut self.servers[former.server.index()].upstream;
                let retry = upstream.retry(self.now, upstream_attempt, call);
                retry.ok().map(Target::picked)
            }
            (RoutingPolicy::LeastInFlight, _) if retries < MAX_PLAIN_RETRIES => {
                PLAIN_RETRY_POLICY.check(call).ok()?;
                let backend = self.pick_least_in_flight(former.server, Some(former.backend));
                Some(Target::plain(backend))
            }
            _ => None,
        }
    }

    /// Selects the backend after the one that a server used last.
    fn pick_next(&mut self, server: SimulatedServerId) -> SimulatedBackendId {
        let server = &mut self.servers[server.index()];
        server.last_used = (server.last_used + 1) % self.setup.backends;
        SimulatedBackendId::new(server.last_used)
    }

    /// Selects the backend with the fewest attempts of a server in flight. Ties are broken by
    /// order, starting at a randomly drawn backend.
    fn pick_least_in_flight(
        &mut self,
        server: SimulatedServerId,
        avoid: Option<SimulatedBackendId>,
    ) -> SimulatedBackendId {
        let backends = self.setup.backends;
        let first = (self.random.rand_float() * backends as f64) as usize;
        let in_flight = &self.servers[server.index()].in_flight;
        (0..backends)
            .map(|offset| SimulatedBackendId::new((first + offset) % backends))
            .filter(|backend| Some(*backend) != avoid)
            .min_by_key(|backend| in_flight[backend.index()])
            .unwrap_or(SimulatedBackendId::new(0))
    }
}
