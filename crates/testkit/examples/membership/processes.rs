//! Measurements of real processes: the faults of a table row, the cost of membership, and a flood
//! of datagrams that are rejected.

use crate::row::{Row, print_table_head, settle};
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, FleetSetup};
use madderbay_testkit::load_balancer::{KindId, Load, RequestRecord, latencies};
use madderbay_testkit::measurement::fleets::{act, release_binary, start_all};
use madderbay_testkit::measurement::loads::{LoadTarget, request_kind};
use madderbay_testkit::measurement::report::{cpu_ms_per_request, table_head};
use madderbay_testkit::measurement::settings;
use madderbay_testkit::registry::Registry;
use madderbay_testkit::server::{Dependencies, Server, configuration};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time over which the processor time of a row is measured.
const MEASURED_TIME: Duration = Duration::from_secs(5);
/// Time over which the processor time of idle servers is measured.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// Length of the load under a flood, in seconds.
const FLOOD_SECS: u64 = 10;
/// Requests per second of the load under a flood.
const FLOOD_RATE: f64 = 200.0;
/// Seed of the load under a flood.
const FLOOD_SEED: u64 = 3;
/// Size of a datagram of a flood, in bytes.
const FLOOD_DATAGRAM_BYTES: usize = 200;
/// Time between two bursts of datagrams of a flood.
const FLOOD_PAUSE: Duration = Duration::from_millis(1);
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(2);
/// Time that clients wait for an answer, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 5_000;
/// Number of cores of the engine of a server without a fleet.
const ENGINE_CORES: f64 = 2.0;
/// Maximum number of connections of a server without a fleet.
const MAX_SOCKETS: usize = 128;
/// Maximum time of the shutdown of a server without a fleet, in milliseconds.
const SHUTDOWN_MS: u64 = 500;

fn works() -> Vec<HandlerWork> {
    let work = |handler, calls| HandlerWork::new(handler, (2.0, 6.0), calls);
    vec![
        work("search", true),
        work("quote", false),
        work("book", true),
    ]
}

/// Returns a load of all three handlers for `secs` seconds, with `rate` requests per second.
pub(crate) fn load(seed: u64, secs: u64, rate: f64) -> Load {
    let kind = |handler, weight, idempotency_key| {
        request_kind(handler, weight, LATENCY_OBJECTIVE, idempotency_key)
    };
    Load {
        kinds: vec![
            kind("search", 0.4, false),
            kind("quote", 0.4, false),
            kind("book", 0.2, true),
        ],
        rates: vec![(Duration::ZERO, rate)],
        length: Duration::from_secs(secs),
        seed,
        timeout_ms: REQUEST_TIMEOUT_MS,
    }
}

/// Starts a fleet and waits until it has settled. Returns the fleet and the time that it took to
/// settle, in seconds.
pub(crate) fn started_fleet(setup: FleetSetup, seed: u64) -> (ProcessFleet, f64) {
    let servers = setup.servers;
    let mut fleet = ProcessFleet::new(setup, &release_binary(), settings::FLEET, &works(), seed);
    start_all(&mut fleet, 0..servers);
    let settled = settle(&mut fleet);
    (fleet, settled)
}

/// Plays the faults in fleets of several sizes with several loss rates, and prints the table.
pub(crate) fn measure(seeds: u64) {
    print_table_head("processes, loss");
    for servers in [5, 12, 40] {
        for loss in [0.0, 0.1, 0.3] {
            let mut row = Row::default();
            for seed in 0..seeds {
                let setup = FleetSetup::of(servers);
                let mut fleet =
                    ProcessFleet::new(setup, &release_binary(), settings::FLEET, &[], seed);
                act(&mut fleet, Action::loss(loss));
                row.play(&mut fleet, servers, |fleet, row| {
                    let cpu_before = fleet.cpu();
                    let began = Instant::now();
                    std::thread::sleep(MEASURED_TIME);
                    let server_secs = began.elapsed().as_secs_f64() * (servers - 1) as f64;
                    row.cpu
                        .push((fleet.cpu() - cpu_before) / server_secs * 100.0);
                });
            }
            row.print_line(&format!("{servers}, {loss}"));
        }
    }
}

/// Prints the processor time and the response times of requests while datagrams arrive that are not
/// of the fleet.
pub(crate) fn measure_flood() {
    let headings = [
        "rejected datagrams a second",
        "p50, p99 of requests, ms",
        "CPU a request, ms",
        "CPU, % of a core",
    ];
    println!("{}", table_head(&headings));
    for datagrams_per_second in [0, 10_000] {
        let (fleet, _) = started_fleet(FleetSetup::of(3), 1);
        let server = fleet.server(0).expect("the server is running");
        let cpu_before = server.cpu();
        let records = load_under_flood(&fleet, datagrams_per_second);
        let cpu = server.cpu() - cpu_before;
        let mut all = latencies(&records, KindId::new(0));
        for kind in (1..3).map(KindId::new) {
            all.add(latencies(&records, kind))
                .expect("the histograms have the same range");
        }
        println!(
            "| {datagrams_per_second} | {}, {} | {:.2} | {:.1} |",
            all.value_at_quantile(0.5),
            all.value_at_quantile(0.99),
            cpu_ms_per_request(cpu, records.len()),
            cpu / FLOOD_SECS as f64 * 100.0
        );
    }
}

fn load_under_flood(fleet: &ProcessFleet, datagrams_per_second: u32) -> Vec<RequestRecord> {
    let address = fleet
        .datagram_address(0)
        .expect("the server receives datagrams");
    let target = LoadTarget::of(fleet, 0);
    let keep_sending = AtomicBool::new(true);
    std::thread::scope(|scope| {
        scope.spawn(|| flood(address, datagrams_per_second, &keep_sending));
        let records = target.send(&load(FLOOD_SEED, FLOOD_SECS, FLOOD_RATE), |_| ());
        keep_sending.store(false, Ordering::Relaxed);
        records
    })
}

/// Sends datagrams that are not of the fleet, while `keep_sending` is true.
fn flood(to: SocketAddr, datagrams_per_second: u32, keep_sending: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let began = Instant::now();
    let mut sent: u64 = 0;
    while keep_sending.load(Ordering::Relaxed) {
        let due = began.elapsed().as_secs_f64() * f64::from(datagrams_per_second);
        while sent < due as u64 {
            let _ = socket.send_to(&[sent as u8; FLOOD_DATAGRAM_BYTES], to);
            sent += 1;
        }
        std::thread::sleep(FLOOD_PAUSE);
    }
}

/// Prints the processor time of idle servers with and without membership.
pub(crate) fn measure_idle_cost() {
    for servers in [5, 12] {
        let (fleet, _) = started_fleet(FleetSetup::of(servers), 1);
        let in_fleet = (0..servers).filter_map(|server| fleet.server(server));
        let with = idle_cpu(&in_fleet.collect::<Vec<_>>());
        drop(fleet);
        let alone: Vec<(Server, Registry)> = (0..servers).map(start_alone).collect();
        let without = idle_cpu(&alone.iter().map(|(server, _)| server).collect::<Vec<_>>());
        println!(
            "{servers} servers, % of a core each: {with:.3} with, {without:.3} without, {:.3} of membership",
            with - without
        );
    }
}

/// Starts a server without a fleet.
fn start_alone(seed: usize) -> (Server, Registry) {
    let engine = Engine::start(ENGINE_CORES, works(), seed as u64).address;
    let registry = Registry::start();
    let dependencies = Dependencies {
        engine,
        registry: registry.address,
        catalogue: engine,
    };
    let listen = "127.0.0.1:0";
    let text = configuration(
        listen,
        dependencies,
        MAX_SOCKETS,
        SHUTDOWN_MS,
        settings::FLEET,
    );
    (Server::start(&release_binary(), &text, None), registry)
}

/// Returns the mean processor time of the servers while they are idle, in percent of a core.
fn idle_cpu(servers: &[&Server]) -> f64 {
    let cpu = || servers.iter().map(|server| server.cpu()).sum::<f64>();
    let cpu_before = cpu();
    let began = Instant::now();
    std::thread::sleep(IDLE_TIME);
    (cpu() - cpu_before) / began.elapsed().as_secs_f64() / servers.len() as f64 * 100.0
}
