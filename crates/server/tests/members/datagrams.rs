//! Rejected datagrams, and the sockets of a server that is not in a fleet.

use crate::machine::{StallMonitor, run_fleet_case};
use crate::program::program;
use crate::support::{run_load, standalone_configuration, start_fleet};
use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Condition, FleetSetup, Script, Step};
use madderbay_testkit::server::Server;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration as StdDuration, Instant};

/// A flood has more datagrams than this.
const MIN_FLOOD: u64 = 10_000;
/// Datagrams per second of a flood.
const FLOOD_PER_SECOND: f64 = 10_000.0;
/// Pause between two bursts of a flood.
const FLOOD_PAUSE: StdDuration = StdDuration::from_micros(500);

/// Sends datagrams that are not of the fleet to a server while the flag is set, and until there are more than
/// [`MIN_FLOOD`]. Returns how many were sent.
fn flood(to: SocketAddr, is_on: &AtomicBool) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (began, mut sent) = (Instant::now(), 0u64);
    while is_on.load(Ordering::Relaxed) || sent <= MIN_FLOOD {
        while sent < (began.elapsed().as_secs_f64() * FLOOD_PER_SECOND) as u64 {
            let _ = socket.send_to(&[sent as u8; 200], to);
            sent += 1;
        }
        std::thread::sleep(FLOOD_PAUSE);
    }
    sent
}

#[test]
fn foreign_datagrams_affect_neither_answers_nor_membership() {
    run_fleet_case(check_service_during_flood);
}

fn check_service_during_flood(monitor: &StallMonitor) {
    let mut fleet = start_fleet("servers 3\nstart all\nsettle 20s", monitor);
    let is_on = AtomicBool::new(true);
    let flooded = fleet
        .processes
        .datagram_address(0)
        .expect("the server listens for datagrams");
    let (sent, load) = std::thread::scope(|scope| {
        let flood = scope.spawn(|| flood(flooded, &is_on));
        let address = fleet.processes.server(0).expect("the program runs").address;
        let load = run_load(address, fleet.processes.engine(0), 4, 11);
        is_on.store(false, Ordering::Relaxed);
        (flood.join().expect("the flood thread does not panic"), load)
    });
    assert!(
        sent > MIN_FLOOD && load.requests > 100,
        "{sent} datagrams beside {} requests",
        load.requests
    );
    assert!(load.violations.is_empty(), "{:?}", load.violations);
    let settle = Step::Within(Condition::Settled, Duration::from_millis(10_000));
    let script = Script {
        setup: FleetSetup::of(3),
        steps: vec![(0, settle)],
    };
    script.play(&mut fleet).expect("the views agree");
}

/// Without an enabled `[members]` section, no datagram socket is opened, so that nothing is sent.
#[test]
fn opens_no_datagram_socket_without_members_section() {
    let (text, _reports) = standalone_configuration();
    let off = "[members]\nenabled = off\nlisten = 127.0.0.1:0\nadvertise = 127.0.0.1:1\n";
    for operator in [None, Some(off)] {
        let server = Server::start(program(), &text, operator);
        let open = |kind: &str| count_sockets(&server, kind);
        assert_eq!(open("udp") + open("udp6"), 0);
        assert!(open("tcp") > 0, "no TCP socket of the server is found");
    }
}

/// Returns the number of sockets of one kind, such as `udp`, that a server has open.
fn count_sockets(server: &Server, kind: &str) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{}/net/{kind}", server.pid()));
    let table = table.expect("the table of sockets");
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", server.pid()));
    let targets: Vec<String> = descriptors
        .expect("descriptors")
        .flatten()
        .filter_map(|f| std::fs::read_link(f.path()).ok())
        .map(|target| target.to_string_lossy().to_string())
        .collect();
    let inode = |l: &str| l.split_whitespace().nth(9).map(|i| format!("socket:[{i}]"));
    let sockets = table.lines().skip(1).filter_map(inode);
    sockets.filter(|socket| targets.contains(socket)).count()
}
