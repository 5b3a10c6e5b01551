//! Client load for servers that share a quota of calls: it gives each server the demand that the
//! script sets.

use super::{Node, ProcessFleet, name, quota_call_time};
use crate::load_balancer::{Load, RequestKind, RequestRecord, rule_violations};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration as StdDuration;

/// Time for which a client waits for its answer, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 4_000;
/// Latency objective of the requests.
const LATENCY_OBJECTIVE: StdDuration = StdDuration::from_secs(2);
/// Length of a load, longer than any script runs. A load is ended with `stop_sending` instead.
const MAX_LOAD_LENGTH: StdDuration = StdDuration::from_secs(600);

/// A load on one server, sent by a thread of its own. Each request makes one upstream call.
pub(super) struct ClientLoad {
    /// Whether the thread still sends requests.
    sending: Arc<AtomicBool>,
    records: JoinHandle<Vec<RequestRecord>>,
    /// The server was killed, stopped, continued or drained during the load, so requests may have
    /// no answer.
    interrupted: bool,
}

impl ClientLoad {
    /// Stops sending requests. Outstanding answers are still awaited.
    fn stop_sending(&self) {
        self.sending.store(false, Ordering::Relaxed);
    }
}

impl ProcessFleet {
    /// Ends a server's load and starts one for its present demand, if the server runs and has
    /// demand.
    pub(super) fn restart_load(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.loads.iter().for_each(ClientLoad::stop_sending);
        let (Some(server), Some(quota)) = (&node.server, &self.setup.budget) else {
            return;
        };
        if node.demand == 0 {
            return;
        }
        let call_secs = quota_call_time(quota).as_secs_f64();
        let load = Load {
            kinds: request_kinds(),
            rates: vec![(StdDuration::ZERO, f64::from(node.demand) / call_secs)],
            length: MAX_LOAD_LENGTH,
            seed: self.began.elapsed().as_nanos() as u64,
            timeout_ms: REQUEST_TIMEOUT_MS,
        };
        let address = server.address;
        let engine = node.engine.clone();
        let sending = Arc::new(AtomicBool::new(true));
        let flag = sending.clone();
        let records = std::thread::spawn(move || {
            let is_sending = || flag.load(Ordering::Relaxed);
            load.run_while(address, |name| engine.answered(name), |_| (), is_sending)
        });
        node.loads.push(ClientLoad {
            sending,
            records,
            interrupted: false,
        });
    }

    /// Ends a server's load because the server is about to be signalled or killed.
    pub(super) fn interrupt_load(&mut self, index: usize) {
        for load in &mut self.nodes[index].loads {
            load.interrupted = true;
            load.stop_sending();
        }
    }

    /// Ends the loads of all servers. Returns the number of requests sent and one line for each
    /// rule violation.
    ///
    /// # Panics
    ///
    /// If the thread of a load has panicked.
    pub fn finish_loads(&mut self) -> (usize, Vec<String>) {
        let mut requests = 0;
        let mut violations = vec![];
        for node in &self.nodes {
            node.loads.iter().for_each(ClientLoad::stop_sending);
        }
        for node in &mut self.nodes {
            for load in std::mem::take(&mut node.loads) {
                requests += finish(load, node, &mut violations);
            }
        }
        (requests, violations)
    }
}

/// Waits for the end of a load, adds its rule violations to `violations`, and returns the number of
/// its requests.
fn finish(load: ClientLoad, node: &Node, violations: &mut Vec<String>) -> usize {
    let records = load
        .records
        .join()
        .expect("the load thread ends without a panic");
    let bodies = node.engine.stats().bodies;
    let found = rule_violations(&records, &request_kinds(), &bodies);
    // Requests to a server that was signalled or killed may have no answer.
    let is_expected = |violation: &String| load.interrupted && violation.contains(" answers");
    violations.extend(
        found
            .into_iter()
            .filter(|violation| !is_expected(violation))
            .map(|violation| format!("{}: {violation}", name(node.name))),
    );
    records.len()
}

fn request_kinds() -> Vec<RequestKind> {
    vec![RequestKind {
        handler: "book".into(),
        weight: 1.0,
        latency_objective: LATENCY_OBJECTIVE,
        idempotency_key: true,
        tenant: "acme",
    }]
}
