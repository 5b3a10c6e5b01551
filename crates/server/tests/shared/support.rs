//! What the tests of shared quotas share: fleets of processes, requests to one server, and waiting for a condition.

use crate::start::start_server;
use crate::watched_fleet::WatchedFleet;
use madderbay::time::Duration;
use madderbay_testkit::engine::Engine;
use madderbay_testkit::fleet::script::{Condition, Fleet};
use madderbay_testkit::load_balancer::{Answer, Load, RequestKind, RequestRecord, rule_violations};
use std::net::SocketAddr;
use std::time::Duration as StdDuration;

/// Longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_millis(20_000);

impl WatchedFleet<'_> {
    /// Starts this many servers and waits until they agree.
    pub(crate) fn start(&mut self, servers: usize) {
        for server in 0..servers {
            self.act(&start_server(server)).expect("started");
        }
        self.wait_for(&Condition::Settled);
    }

    /// Waits until a condition is met.
    pub(crate) fn wait_for(&mut self, condition: &Condition) {
        self.wait_while(CONDITION_TIMEOUT, |fleet| fleet.unmet(condition));
    }

    /// Where requests to a server go.
    pub(crate) fn target(&self, server: usize) -> LoadTarget {
        LoadTarget {
            engine: self.processes.engine(server).clone(),
            address: self.processes.server(server).expect("runs").address,
        }
    }
}

/// A server's address and its own engine.
pub(crate) struct LoadTarget {
    engine: Engine,
    address: SocketAddr,
}

/// Requests of one kind.
pub(crate) fn request_kind(
    handler: &str,
    weight: f64,
    has_key: bool,
    tenant: &'static str,
) -> RequestKind {
    RequestKind {
        handler: handler.into(),
        weight,
        latency_objective: StdDuration::from_secs(3),
        idempotency_key: has_key,
        tenant,
    }
}

/// How many requests are sent, and how long the clients wait.
pub(crate) struct LoadPlan {
    pub per_second: f64,
    pub seconds: u64,
    pub client_timeout_ms: u64,
}

/// Sends requests to a server and asserts that no rule was broken; gives what became of them.
pub(crate) fn send(to: LoadTarget, kinds: &[RequestKind], plan: &LoadPlan) -> Vec<RequestRecord> {
    send_while(to, kinds, plan, || true)
}

/// The same, but sends nothing more once `is_on` is false.
pub(crate) fn send_while(
    to: LoadTarget,
    kinds: &[RequestKind],
    plan: &LoadPlan,
    is_on: impl Fn() -> bool,
) -> Vec<RequestRecord> {
    let load = Load {
        kinds: kinds.to_vec(),
        rates: vec![(StdDuration::ZERO, plan.per_second)],
        length: StdDuration::from_secs(plan.seconds),
        seed: plan.per_second as u64,
        timeout_ms: plan.client_timeout_ms,
    };
    let records = load.run_while(to.address, |name| to.engine.answered(name), |_| (), is_on);
    let violations = rule_violations(&records, kinds, &to.engine.stats().bodies);
    assert!(violations.is_empty(), "{violations:?}");
    records
}

/// Whether a request was completed, with one answer.
pub(crate) fn is_completed(record: &RequestRecord) -> bool {
    matches!(record.answers[..], [(Answer::Completed, _)])
}
