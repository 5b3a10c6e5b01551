//! Loads on real servers, and what became of their requests. It owns no server.

use crate::engine::Engine;
use crate::fleet::processes::ProcessFleet;
use crate::load_balancer::{Load, RequestKind, RequestRecord, rule_violations};
use std::net::SocketAddr;
use std::thread::ScopedJoinHandle;
use std::time::Duration;

/// A kind of request of the only tenant: the weight with which it is drawn, its latency objective,
/// and whether its requests have idempotency keys.
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

/// What became of a load or of several.
#[derive(Default)]
pub struct LoadResult {
    /// All requests.
    pub records: Vec<RequestRecord>,
    /// The number of violated rules.
    pub violations: usize,
}

/// A server to load, with the engine that has to learn of its answers.
#[derive(Clone)]
pub struct LoadTarget {
    /// Where the server listens.
    pub server: SocketAddr,
    /// Its engine.
    pub engine: Engine,
}

impl LoadTarget {
    /// A server of a fleet.
    ///
    /// # Panics
    ///
    /// If it does not run.
    pub fn of(fleet: &ProcessFleet, server: usize) -> LoadTarget {
        LoadTarget {
            server: fleet.server(server).expect("runs").address,
            engine: fleet.engine(server).clone(),
        }
    }

    /// Sends a load and waits for the answers; `tick` is given the time since the beginning, a few
    /// hundred times a second.
    pub fn send(&self, load: &Load, tick: impl FnMut(Duration)) -> Vec<RequestRecord> {
        load.run(self.server, |name| self.engine.answered(name), tick)
    }

    /// The violated rules of a load that was sent, a line each.
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

/// Waits for the loads of several servers and adds them up.
///
/// # Panics
///
/// If one has panicked.
pub fn join_loads(loads: Vec<ScopedJoinHandle<'_, LoadResult>>) -> LoadResult {
    let mut all = LoadResult::default();
    for load in loads {
        let result = load.join().expect("loaded");
        all.records.extend(result.records);
        all.violations += result.violations;
    }
    all
}
