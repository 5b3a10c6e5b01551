//! Real processes: the faults of a row, what the view costs, and a flood of foreign datagrams.

use crate::row::{Row, print_head, settle};
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, FleetSetup};
use madderbay_testkit::load_balancer::{Load, RequestRecord, latencies};
use madderbay_testkit::measurement::fleets::{act, release_binary, start_all};
use madderbay_testkit::measurement::loads::{LoadTarget, request_kind};
use madderbay_testkit::measurement::report::table_head;
use madderbay_testkit::registry::Registry;
use madderbay_testkit::server::{Dependencies, Server, configuration};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("../../src/measurement/settings/fleet.json");
/// The time over which the processor time of a row is measured.
const CALM: Duration = Duration::from_secs(5);
/// The time over which the processor time of idle servers is measured.
const IDLE_TIME: Duration = Duration::from_secs(20);
/// The load under a flood: its length in seconds and its requests a second.
const FLOOD_SECS: u64 = 10;
const FLOOD_RATE: f64 = 200.0;
const FLOOD_DATAGRAM_BYTES: usize = 200;

fn works() -> Vec<HandlerWork> {
    let work = |handler, calls| HandlerWork::new(handler, (2.0, 6.0), calls);
    vec![
        work("search", true),
        work("quote", false),
        work("book", true),
    ]
}

pub(crate) fn load(seed: u64, secs: u64, rate: f64) -> Load {
    let kind = |handler, part, keyed| request_kind(handler, part, Duration::from_secs(2), keyed);
    Load {
        kinds: vec![
            kind("search", 0.4, false),
            kind("quote", 0.4, false),
            kind("book", 0.2, true),
        ],
        rates: vec![(Duration::ZERO, rate)],
        length: Duration::from_secs(secs),
        seed,
        timeout_ms: 5_000,
    }
}

/// A fleet that has started and settled; and how long the latter took in seconds.
pub(crate) fn started_fleet(setup: FleetSetup, seed: u64) -> (ProcessFleet, f64) {
    let servers = setup.servers;
    let mut fleet = ProcessFleet::new(setup, release_binary(), SETTINGS, &works(), seed);
    start_all(&mut fleet, 0..servers);
    let settled = settle(&mut fleet);
    (fleet, settled)
}

/// Prints the table of the faults.
pub(crate) fn measure(seeds: u64) {
    print_head("processes, loss");
    for servers in [5, 12, 40] {
        for loss in [0.0, 0.1, 0.3] {
            let mut row = Row::default();
            for seed in 0..seeds {
                let setup = FleetSetup::of(servers);
                let mut fleet = ProcessFleet::new(setup, release_binary(), SETTINGS, &[], seed);
                act(&mut fleet, Action::loss(loss));
                row.play(&mut fleet, servers, |fleet, row| {
                    let (cpu_before, began) = (fleet.cpu(), Instant::now());
                    std::thread::sleep(CALM);
                    let server_secs = began.elapsed().as_secs_f64() * (servers - 1) as f64;
                    row.cpu
                        .push((fleet.cpu() - cpu_before) / server_secs * 100.0);
                });
            }
            row.print(&format!("{servers}, {loss}"));
        }
    }
}

/// Prints what requests cost and take while foreign datagrams arrive.
pub(crate) fn measure_flood() {
    let heads = [
        "strays a second",
        "50, 99% of reqs within, ms",
        "CPU a req, ms",
        "CPU, % of a core",
    ];
    println!("{}", table_head(&heads));
    for datagrams_per_second in [0, 10_000] {
        let (fleet, _) = started_fleet(FleetSetup::of(3), 1);
        let server = fleet.server(0).expect("runs");
        let cpu_before = server.cpu();
        let records = load_under_flood(&fleet, datagrams_per_second);
        let cpu = server.cpu() - cpu_before;
        let mut all = latencies(&records, 0);
        (1..3).for_each(|handler| all.add(latencies(&records, handler)).expect("added"));
        println!(
            "| {datagrams_per_second} | {}, {} | {:.2} | {:.1} |",
            all.value_at_quantile(0.5),
            all.value_at_quantile(0.99),
            cpu * 1e3 / records.len() as f64,
            cpu / FLOOD_SECS as f64 * 100.0
        );
    }
}

fn load_under_flood(fleet: &ProcessFleet, datagrams_per_second: u32) -> Vec<RequestRecord> {
    let address = fleet.datagram_address(0).expect("it receives datagrams");
    let target = LoadTarget::of(fleet, 0);
    let on = AtomicBool::new(true);
    std::thread::scope(|scope| {
        scope.spawn(|| flood(address, datagrams_per_second, &on));
        let records = target.send(&load(3, FLOOD_SECS, FLOOD_RATE), |_| ());
        on.store(false, Ordering::Relaxed);
        records
    })
}

/// Sends datagrams that belong to no fleet, while it is on.
fn flood(to: SocketAddr, datagrams_per_second: u32, on: &AtomicBool) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (began, mut sent) = (Instant::now(), 0u64);
    while on.load(Ordering::Relaxed) {
        let due = began.elapsed().as_secs_f64() * f64::from(datagrams_per_second);
        while sent < due as u64 {
            let _ = socket.send_to(&[sent as u8; FLOOD_DATAGRAM_BYTES], to);
            sent += 1;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Prints the processor time of idle servers, with the view and without.
pub(crate) fn measure_idle_cost() {
    for servers in [5, 12] {
        let (fleet, _) = started_fleet(FleetSetup::of(servers), 1);
        let in_fleet = (0..servers).filter_map(|server| fleet.server(server));
        let with = idle_cpu(&in_fleet.collect::<Vec<_>>());
        drop(fleet);
        let alone: Vec<(Server, Registry)> = (0..servers).map(start_alone).collect();
        let without = idle_cpu(&alone.iter().map(|(server, _)| server).collect::<Vec<_>>());
        println!(
            "{servers} servers, % of a core each: {with:.3} with, {without:.3} without, {:.3} the view's",
            with - without
        );
    }
}

/// A server without a fleet.
fn start_alone(seed: usize) -> (Server, Registry) {
    let engine = Engine::start(2.0, works(), seed as u64).address;
    let registry = Registry::start();
    let dependencies = Dependencies {
        engine,
        registry: registry.address,
        catalogue: engine,
    };
    let text = configuration("127.0.0.1:0", dependencies, 128, 500, SETTINGS);
    (Server::start(release_binary(), &text, None), registry)
}

/// The processor time of each server while nothing happens, in percent of a core.
fn idle_cpu(servers: &[&Server]) -> f64 {
    let cpu = || servers.iter().map(|server| server.cpu()).sum::<f64>();
    let (before, began) = (cpu(), Instant::now());
    std::thread::sleep(IDLE_TIME);
    (cpu() - before) / began.elapsed().as_secs_f64() / servers.len() as f64 * 100.0
}
