//! Loads on real servers, and the outcomes of their requests. This module owns no server.

use crate::engine::Engine;
use crate::fleet::processes::ProcessFleet;
use crate::load_balancer::{Load, RequestKind, RequestRecord, rule_violations};
use std::net::SocketAddr;
use std::thread::ScopedJoinHandle;
use std::time::Duration;

/// Creates a kind of request of the only tenant, with the weight with which it is drawn, its
/// latency objective, and whether its requests have idempotency keys.
pub fn request_kind(
    handler: &str,
    weight: f64,
    latency_objective: Duration,
    idempotency_key: bool,
) -> RequestKind {
    RequestKind {
        handler: handler.into(),
        weight,
        latency_objective,
        idempotency_key,
        tenant: "acme",
    }
}

/// Results of one load or of several.
#[derive(Default)]
pub struct LoadResult {
    /// Records of all requests.
    pub records: Vec<RequestRecord>,
    /// Number of violations of the rules.
    pub violations: usize,
}

/// A server under load, with the engine that has to be told of its answers.
#[derive(Clone)]
pub struct LoadTarget {
    /// Address that the server listens on.
    pub server: SocketAddr,
    /// Engine of the server.
    pub engine: Engine,
}

impl LoadTarget {
    /// Returns the target for a server of a fleet.
    ///
    /// # Panics
    ///
    /// If the server is not running.
    pub fn of(fleet: &ProcessFleet, server: usize) -> LoadTarget {
        LoadTarget {
            server: fleet.server(server).expect("the server is running").address,
            engine: fleet.engine(server).clone(),
        }
    }

    /// Sends a load and waits for the answers. `tick` is called with the time since the start of
    /// the load, a few hundred times a second.
    pub fn send(&self, load: &Load, tick: impl FnMut(Duration)) -> Vec<RequestRecord> {
        load.run(self.server, |name| self.engine.answered(name), tick)
    }

    /// Checks the rules for a load that was sent, and returns one line for each violation.
    pub fn violations(&self, load: &Load, records: &[RequestRecord]) -> Vec<String> {
        rule_violations(records, &load.kinds, &self.engine.stats().bodies)
    }

    /// Sends a load, waits for the answers and checks the rules.
    pub fn measure(&self, load: &Load, tick: impl FnMut(Duration)) -> LoadResult {
        let records = self.send(load, tick);
        let violations = self.violations(load, &records).len();
        LoadResult {
            records,
            violations,
        }
    }
}

/// Waits for the loads of several servers and combines their results.
///
/// # Panics
///
/// If the thread of a load has panicked.
pub fn join_loads(loads: Vec<ScopedJoinHandle<'_, LoadResult>>) -> LoadResult {
    let mut all = LoadResult::default();
    for load in loads {
        let result = load.join().expect("the load has not panicked");
        all.records.extend(result.records);
        all.violations += result.violations;
    }
    all
}
