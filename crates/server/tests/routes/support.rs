//! Support for the tests of backends: a fleet of servers with backends, load on each server, and the rules that hold at
//! the end of the load.

use crate::ample_capacity;
use crate::machine::StallMonitor;
use crate::program::program;
use crate::start::start_server;
use crate::watched_fleet::WatchedFleet;
use madderbay::time::Duration;
use madderbay_testkit::catalogue::{Behavior, Catalogue};
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::{BackendReport, ProcessFleet};
use madderbay_testkit::fleet::script::{Condition, Fleet, FleetSetup};
use madderbay_testkit::gate::Gate;
use madderbay_testkit::load_balancer::{KindId, Load, RequestKind, RequestRecord, rule_violations};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration as StdDuration;

pub(crate) const SERVERS: usize = 3;
pub(crate) const BACKENDS: usize = 5;
/// Requests per second and server: three calls per second to each backend.
const REQUESTS_PER_SECOND: f64 = 20.0;
/// Behavior of a healthy backend.
pub(crate) const HEALTHY: Behavior = Behavior::Slow(1.0);

/// Longest wait for a condition; longer than any ejection.
const CONDITION_TIMEOUT: Duration = Duration::from_millis(100_000);
/// Upper bound on the length of the load, longer than two waits. The load ends earlier, when the test has finished.
const MAX_LOAD: StdDuration = StdDuration::from_secs(240);
/// Response time within which an answer counts as in time.
const ANSWER_TARGET: StdDuration = StdDuration::from_secs(2);
/// How long the clients wait for an answer.
const CLIENT_TIMEOUT_MS: u64 = 3_000;
/// Index in [`request_kinds`] of the kind with an idempotency key.
const BOOK_KIND: KindId = KindId::new(1);
/// Index in [`request_kinds`] of the kind without an idempotency key.
const SEARCH_KIND: KindId = KindId::new(0);

/// A server's reports on its backends, by name: state, fraction of the full weight, and recent failures of calls.
pub(crate) type BackendStates = HashMap<String, BackendReport>;

/// Records of the requests of one load, and a text for each rule that was broken.
type LoadResult = (Vec<RequestRecord>, Vec<String>);

/// Returns settings with capacity for all requests: only the backends limit what is answered.
fn settings() -> String {
    ample_capacity::settings().replace("\"dep_share\": 8.0", "\"dep_share\": 60.0")
}

fn request_kinds() -> Vec<RequestKind> {
    let kind = |handler: &str, weight, has_key| RequestKind {
        handler: handler.into(),
        weight,
        latency_objective: ANSWER_TARGET,
        idempotency_key: has_key,
        tenant: "acme",
    };
    vec![kind("search", 3.0, false), kind("book", 1.0, true)]
}

/// Starts a healthy backend.
pub(crate) fn start_backend() -> Catalogue {
    Catalogue::start(100, StdDuration::from_millis(20))
}

/// Returns the section of the operator file for the backend with this number, whose name is `b` and the number.
pub(crate) fn backend_section(number: usize, address: SocketAddr) -> String {
    format!("[backend b{number}]\naddress = {address}\nhandlers = search, book\n")
}

/// Results of the load on all servers.
pub(crate) struct LoadSummary {
    /// Fraction of searches, which may run twice, that were answered in time.
    pub searches: f64,
    /// Fraction of bookings, which may not run twice, that were answered in time.
    pub bookings: f64,
    pub requests: usize,
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (searches, bookings) = (self.searches, self.bookings);
        write!(f, "[{searches}, {bookings}] of {}", self.requests)
    }
}

/// Servers with backends, and load on all servers. The first server reaches the backends through gates.
pub(crate) struct BackendFleet<'a> {
    pub servers: WatchedFleet<'a>,
    pub backends: Vec<Catalogue>,
    pub gates: Vec<Gate>,
    is_loading: Arc<AtomicBool>,
    loads: Vec<JoinHandle<LoadResult>>,
}

impl<'a> BackendFleet<'a> {
    /// Starts backends, servers and load, and waits until every backend is used.
    pub(crate) fn start(seed: u64, monitor: &'a StallMonitor) -> BackendFleet<'a> {
        let backends: Vec<Catalogue> = (0..BACKENDS).map(|_| start_backend()).collect();
        let gates: Vec<Gate> = backends
            .iter()
            .map(|backend| Gate::in_front_of(backend.address))
            .collect();
        let servers = start_servers(&backends, &gates, seed, monitor);
        let mut fleet = BackendFleet {
            servers,
            backends,
            gates,
            is_loading: Arc::new(AtomicBool::new(true)),
            loads: vec![],
        };
        (0..SERVERS).for_each(|server| fleet.start_load(server));
        fleet.wait_while("all to be used", |f| {
            let idle = f.backends.iter().filter(|b| b.stats().done < 30).count();
            (idle > 0).then(|| format!("{idle} had few calls"))
        });
        fleet
    }

    fn start_load(&mut self, server: usize) {
        let engine = self.servers.processes.engine(server).clone();
        let address = self
            .servers
            .processes
            .server(server)
            .expect("the server runs")
            .address;
        let is_loading = self.is_loading.clone();
        let load = Load {
            kinds: request_kinds(),
            rates: vec![(StdDuration::ZERO, REQUESTS_PER_SECOND)],
            length: MAX_LOAD,
            seed: server as u64,
            timeout_ms: CLIENT_TIMEOUT_MS,
        };
        self.loads.push(std::thread::spawn(move || {
            let is_on = || is_loading.load(Ordering::Relaxed);
            let records = load.run_while(address, |name| engine.answered(name), |_| (), is_on);
            let violations = rule_violations(&records, &load.kinds, &engine.stats().bodies);
            (records, violations)
        }));
    }

    /// Waits until `missing` returns `None`; it describes what is still missing.
    pub(crate) fn wait_while(
        &mut self,
        what: &str,
        missing: impl Fn(&mut BackendFleet) -> Option<String>,
    ) {
        let began = self.servers.at();
        while let Some(missing) = missing(self) {
            assert!(
                self.servers.at().saturating_sub(began) < CONDITION_TIMEOUT,
                "waits for {what}: {missing}"
            );
            self.servers.pass();
        }
    }

    /// Returns what is missing in a server's reports on its backends, or that the server does not answer.
    pub(crate) fn missing_at(
        &self,
        server: usize,
        missing: impl FnOnce(&BackendStates) -> Option<String>,
    ) -> Option<String> {
        match self.servers.processes.backends(server) {
            Some(states) => missing(&states),
            None => Some(format!("n{} does not answer", server + 1)),
        }
    }

    /// Waits until all servers except some have ejected a backend.
    pub(crate) fn wait_until_ejected(&mut self, backend: usize, except: &[usize]) {
        self.wait_for_state(backend, true, except);
    }

    /// Waits until all servers use a backend.
    pub(crate) fn wait_until_readmitted(&mut self, backend: usize) {
        self.wait_for_state(backend, false, &[]);
    }

    fn wait_for_state(&mut self, backend: usize, ejected: bool, except: &[usize]) {
        let name = format!("b{backend}");
        let what = format!("{name} to be {}", if ejected { "out" } else { "in" });
        self.wait_while(&what, |fleet| {
            let mut others = (0..SERVERS).filter(|s| !except.contains(s));
            others.find_map(|server| {
                fleet.missing_at(server, |states| {
                    let BackendReport { state, weight, .. } = states.get(&name)?;
                    let is_ejected =
                        state == "ejected" || state == "trial" || *weight < 0.2 && state == "in";
                    (is_ejected != ejected).then(|| format!("n{}: {states:?}", server + 1))
                })
            })
        });
    }

    /// Returns the number of calls that all backends have received.
    pub(crate) fn calls_received(&self) -> u32 {
        self.backends.iter().map(|b| b.stats().received).sum()
    }

    /// Returns the number of calls that all backends have completed.
    pub(crate) fn calls_completed(&self) -> u32 {
        self.backends.iter().map(|b| b.stats().done).sum()
    }

    /// Returns the number of requests that the engines of all servers have started to run.
    pub(crate) fn requests_started(&self) -> u32 {
        let engines = (0..SERVERS).map(|server| self.servers.processes.engine(server));
        engines.map(|e| e.stats().bodies.len() as u32).sum()
    }

    /// Waits until the backends have received `calls` further calls.
    pub(crate) fn wait_for_calls(&mut self, calls: u32) {
        let before = self.calls_received();
        self.wait_while("some calls", |f| {
            (f.calls_received() < before + calls).then(|| "too few".into())
        });
    }

    /// Ends the load and asserts that no rule was broken.
    pub(crate) fn finish(self) -> LoadSummary {
        self.is_loading.store(false, Ordering::Relaxed);
        let mut records = vec![];
        for load in self.loads {
            let (sent, violations) = load.join().expect("the load thread does not panic");
            assert!(violations.is_empty(), "{violations:?}");
            records.extend(sent);
        }
        assert_no_repeated_calls(&self.backends, &records);
        LoadSummary {
            searches: answered_in_time(&records, SEARCH_KIND),
            bookings: answered_in_time(&records, BOOK_KIND),
            requests: records.len(),
        }
    }
}

/// Starts the servers and waits until their views of the fleet agree.
fn start_servers<'a>(
    backends: &[Catalogue],
    gates: &[Gate],
    seed: u64,
    monitor: &'a StallMonitor,
) -> WatchedFleet<'a> {
    let work = |handler: &str| HandlerWork::new(handler, (1.0, 2.0), true);
    let works = [work("search"), work("book")];
    let setup = FleetSetup::of(SERVERS);
    let mut processes = ProcessFleet::new(setup, program(), &settings(), &works, seed);
    let direct: Vec<SocketAddr> = backends.iter().map(|b| b.address).collect();
    let gated: Vec<SocketAddr> = gates.iter().map(|g| g.address).collect();
    for (server, own) in processes.each.iter_mut().enumerate() {
        let addresses = if server == 0 { &gated } else { &direct };
        let sections = addresses.iter().enumerate();
        let sections: String = sections.map(|(n, at)| backend_section(n, *at)).collect();
        *own = format!("[routes]\nenabled = on\n{sections}");
    }
    let mut servers = WatchedFleet { processes, monitor };
    for server in 0..SERVERS {
        servers
            .act(&start_server(server))
            .expect("the server starts");
    }
    servers.wait_while(CONDITION_TIMEOUT, |s| s.unmet(&Condition::Settled));
    servers
}

/// Asserts that no call of a request with an idempotency key was done more than once, at one backend or at several.
fn assert_no_repeated_calls(backends: &[Catalogue], records: &[RequestRecord]) {
    let mut calls: HashMap<String, u32> = HashMap::new();
    for backend in backends {
        for (name, n) in backend.stats().done_by_name {
            *calls.entry(name).or_default() += n;
        }
    }
    let bookings = records.iter().filter(|r| r.kind == BOOK_KIND);
    let twice: Vec<&str> = bookings
        .map(|r| r.name.as_str())
        .filter(|name| calls.get(*name).copied().unwrap_or(0) > 1)
        .collect();
    assert!(twice.is_empty(), "called twice: {twice:?}");
}

/// Returns the fraction of the requests of a kind that were answered in time.
fn answered_in_time(records: &[RequestRecord], kind: KindId) -> f64 {
    let of: Vec<&RequestRecord> = records.iter().filter(|r| r.kind == kind).collect();
    let in_time = of.iter().filter(|r| r.in_time(ANSWER_TARGET)).count();
    in_time as f64 / of.len().max(1) as f64
}
