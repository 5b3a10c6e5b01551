//! What the tests of shared quotas share: fleets of processes, requests to one server, and waiting for a condition.

use crate::common::SETTINGS;
use crate::machine::StallMonitor;
use crate::start::start_server;
use madderbay::time::Duration;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, ActionError, Condition, Fleet};
use madderbay_testkit::load_balancer::{Answer, Load, RequestKind, RequestRecord, rule_violations};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration as StdDuration;

/// Longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_millis(20_000);

/// The program under test.
pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}

/// Settings with capacity for the runs of a server that may use all of a budget.
pub(crate) fn settings() -> String {
    SETTINGS
        .replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0")
        .replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
}

/// What the engine does for one handler: work of so many milliseconds, least and most, with a call or without.
pub(crate) fn work(handler: &str, ms: (f64, f64), calls: bool) -> HandlerWork {
    HandlerWork {
        handler: handler.into(),
        ms,
        calls,
    }
}

/// A fleet whose servers are watched for stalls of the machine as they are started.
pub(crate) struct WatchedFleet<'a> {
    pub fleet: ProcessFleet,
    pub monitor: &'a StallMonitor,
}

impl Fleet for WatchedFleet<'_> {
    fn act(&mut self, action: &Action) -> Result<(), ActionError> {
        self.fleet.act(action)?;
        if let Action::Start { who, .. } = action {
            self.monitor
                .watch(self.fleet.server(*who).expect("runs").pid());
        }
        Ok(())
    }

    fn unmet(&mut self, condition: &Condition) -> Option<String> {
        self.fleet.unmet(condition)
    }

    fn pass(&mut self) {
        self.fleet.pass();
    }

    fn at(&self) -> Duration {
        self.fleet.at()
    }
}

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
        let began = self.at();
        while let Some(missing) = self.unmet(condition) {
            assert!(
                self.at().saturating_sub(began) < CONDITION_TIMEOUT,
                "{missing}"
            );
            self.pass();
        }
    }

    /// Where requests to a server go.
    pub(crate) fn target(&self, server: usize) -> LoadTarget {
        LoadTarget {
            engine: self.fleet.engine(server).clone(),
            address: self.fleet.server(server).expect("runs").address,
        }
    }
}

/// A server's address and its own engine.
pub(crate) struct LoadTarget {
    engine: Engine,
    address: SocketAddr,
}

/// Requests of one kind.
pub(crate) fn kind(handler: &str, part: f64, keyed: bool, tenant: &'static str) -> RequestKind {
    RequestKind {
        handler: handler.into(),
        weight: part,
        latency_objective: StdDuration::from_secs(3),
        idempotency_key: keyed,
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
    let load = Load {
        kinds: kinds.to_vec(),
        rates: vec![(StdDuration::ZERO, plan.per_second)],
        length: StdDuration::from_secs(plan.seconds),
        seed: plan.per_second as u64,
        timeout_ms: plan.client_timeout_ms,
    };
    let records = load.run(to.address, |name| to.engine.answered(name), |_| ());
    let violations = rule_violations(&records, kinds, &to.engine.stats().bodies);
    assert!(violations.is_empty(), "{violations:?}");
    records
}

/// Whether a request was completed, with one answer.
pub(crate) fn is_completed(record: &RequestRecord) -> bool {
    matches!(record.answers[..], [(Answer::Completed, _)])
}
