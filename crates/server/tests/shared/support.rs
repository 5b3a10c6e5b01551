//! Support for the tests of shared quotas: fleets of processes, requests to one server, and waiting for a condition.

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
    /// Starts this many servers and waits until their views of the fleet agree.
    pub(crate) fn start(&mut self, servers: usize) {
        for server in 0..servers {
            self.act(&start_server(server)).expect("the server starts");
        }
        self.wait_for(&Condition::Settled);
    }

    /// Waits until a condition is met.
    pub(crate) fn wait_for(&mut self, condition: &Condition) {
        self.wait_while(CONDITION_TIMEOUT, |fleet| fleet.unmet(condition));
    }

    /// Returns the address of a server and its engine.
    pub(crate) fn target(&self, server: usize) -> LoadTarget {
        LoadTarget {
            engine: self.processes.engine(server).clone(),
            address: self
                .processes
                .server(server)
                .expect("the server runs")
                .address,
        }
    }
}

/// The address of a server, and the engine of that server.
pub(crate) struct LoadTarget {
    engine: Engine,
    address: SocketAddr,
}

/// Returns a kind of request with a latency objective of three seconds.
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

/// Rate and length of a load, and how long its clients wait for an answer.
pub(crate) struct LoadPlan {
    pub per_second: f64,
    pub seconds: u64,
    pub client_timeout_ms: u64,
}

/// Sends requests to a server and asserts that no rule of requests was broken. Returns a record of each request.
pub(crate) fn send(to: LoadTarget, kinds: &[RequestKind], plan: &LoadPlan) -> Vec<RequestRecord> {
    send_while(to, kinds, plan, || true)
}

/// Does the same as [`send`], but sends no more requests once `is_on` returns false.
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

/// Reports whether a request got exactly one answer, a completed result.
pub(crate) fn is_completed(record: &RequestRecord) -> bool {
    matches!(record.answers[..], [(Answer::Completed, _)])
}
