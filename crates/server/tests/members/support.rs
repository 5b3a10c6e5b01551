//! Support for the tests of the fleet's view: fleets started by a script, a server without a fleet, and load on one
//! server.

use crate::common::SETTINGS;
use crate::machine::StallMonitor;
use crate::program::program;
use crate::watched_fleet::WatchedFleet;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::Script;
use madderbay_testkit::load_balancer::{Load, RequestKind, rule_violations};
use madderbay_testkit::registry;
use madderbay_testkit::server::{Dependencies, Server, command, configuration};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};
use std::sync::mpsc::Receiver;
use std::time::Duration as StdDuration;

/// Requests per second of a load.
const REQUESTS_PER_SECOND: f64 = 60.0;

/// Plays a script on a new fleet and asserts that every condition of the script is met. Returns the fleet.
pub(crate) fn start_fleet<'a>(script: &str, monitor: &'a StallMonitor) -> WatchedFleet<'a> {
    let work = |handler: &str, calls| HandlerWork::new(handler, (2.0, 6.0), calls);
    let works = [
        work("search", true),
        work("quote", false),
        work("book", true),
    ];
    let script = Script::read("test", script).expect("a valid script");
    let processes = ProcessFleet::new(script.setup.clone(), program(), SETTINGS, &works, 7);
    let mut fleet = WatchedFleet { processes, monitor };
    script.play(&mut fleet).expect("every condition is met");
    fleet
}

/// Runs `madderbay members` with a control socket and returns its output.
pub(crate) fn query_cli(socket: &Path, flags: &[&str]) -> Output {
    command(program(), None)
        .args(["members", "--socket"])
        .arg(socket)
        .args(flags)
        .stdout(Stdio::piped())
        .output()
        .expect("the program runs")
}

/// Creates a directory for this test program in the system's folder for temporary files.
pub(crate) fn temporary_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("madderbay-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    directory
}

/// Returns the configuration of a server without an engine or a fleet, and the reports that its registry receives.
pub(crate) fn standalone_configuration() -> (String, Receiver<String>) {
    let (registry, reports) = registry::start();
    let dependencies = Dependencies {
        engine: registry,
        registry,
        catalogue: registry,
    };
    (
        configuration("127.0.0.1:0", dependencies, 128, 300, SETTINGS),
        reports,
    )
}

/// Returns the contents of an operator file that enables only a control socket.
pub(crate) fn control_section(socket: &Path) -> String {
    format!("[control]\nsocket = {}\n", socket.display())
}

/// Starts a server that has only a control socket.
pub(crate) fn start_with_control_socket(socket: &Path) -> Server {
    let (text, reports) = standalone_configuration();
    // The registry's thread runs as long as the receiver of its reports exists.
    std::mem::forget(reports);
    Server::start(program(), &text, Some(&control_section(socket)))
}

fn request_kinds() -> Vec<RequestKind> {
    let kind = |handler: &str, weight, has_key| RequestKind {
        handler: handler.into(),
        weight,
        latency_objective: StdDuration::from_secs(2),
        idempotency_key: has_key,
        tenant: "acme",
    };
    vec![
        kind("search", 0.4, false),
        kind("quote", 0.4, false),
        kind("book", 0.2, true),
    ]
}

/// Result of a load.
pub(crate) struct LoadResult {
    pub requests: usize,
    /// One text for each rule that was broken.
    pub violations: Vec<String>,
}

/// Sends requests to one server for some seconds.
pub(crate) fn run_load(server: SocketAddr, engine: &Engine, seconds: u64, seed: u64) -> LoadResult {
    let load = Load {
        kinds: request_kinds(),
        rates: vec![(StdDuration::ZERO, REQUESTS_PER_SECOND)],
        length: StdDuration::from_secs(seconds),
        seed,
        timeout_ms: 5_000,
    };
    let records = load.run(server, |name| engine.answered(name), |_| ());
    LoadResult {
        requests: records.len(),
        violations: rule_violations(&records, &load.kinds, &engine.stats().bodies),
    }
}
