//! Partitions between servers and backends, and among servers: one server's view alone does not convince the others.

use crate::machine::{StallMonitor, run_fleet_case};
use crate::program::program;
use crate::support::{BACKENDS, BackendFleet, HEALTHY, SERVERS};
use madderbay_testkit::catalogue::Behavior;
use madderbay_testkit::fleet::script::{Action, Fleet};
use std::process::Command;

/// All connections between one server and the backends are cut, so that its calls fail at all backends. The other
/// servers eject none.
#[test]
fn isolated_server_ejects_no_backend_for_others() {
    run_fleet_case(isolate_first_server);
}

fn isolate_first_server(monitor: &StallMonitor) {
    let mut fleet = BackendFleet::start(6, monitor);
    fleet.gates.iter().for_each(|g| g.cut(true));
    fleet.wait_while("calls of the first to fail", |f| {
        // Calls fail at most of the backends, so the server ejects none.
        f.missing_at(0, |states| {
            (states.values().filter(|b| b.failures > 0).count() < 3).then(|| format!("{states:?}"))
        })
    });
    let before = fleet.calls_completed();
    fleet.wait_while("the others to go on", |f| {
        let silent = (1..SERVERS).find_map(|server| {
            f.missing_at(server, |states| {
                assert!(
                    states.values().all(|b| b.state == "in"),
                    "n{}: {states:?}",
                    server + 1
                );
                None
            })
        });
        silent.or_else(|| (f.calls_completed() - before < 100).then(|| "few calls".into()))
    });
    fleet.gates.iter().for_each(|g| g.cut(false));
    fleet.wait_while("the first to have all in", |f| {
        f.missing_at(0, |states| {
            let is_out = |state: &str| state != "in" && state != "rising";
            let any_out = states.values().any(|b| is_out(&b.state));
            any_out.then(|| format!("{states:?}"))
        })
    });
    let load = fleet.finish();
    assert!(load.searches > 0.5, "{load}");
}

/// The connection between one server and one backend is cut: that server ejects the backend, the others keep using it.
#[test]
fn backend_cut_off_from_one_server_is_ejected_there_alone() {
    run_fleet_case(cut_first_server_off_one_backend);
}

fn cut_first_server_off_one_backend(monitor: &StallMonitor) {
    let mut fleet = BackendFleet::start(9, monitor);
    fleet.gates[2].cut(true);
    fleet.wait_until_ejected(2, &[1, 2]);
    let before = fleet.backends[2].stats().done;
    fleet.wait_while("the others to use it", |f| {
        let silent = (1..SERVERS).find_map(|server| {
            f.missing_at(server, |states| {
                assert!(states["b2"].state == "in", "n{}: {states:?}", server + 1);
                None
            })
        });
        silent.or_else(|| (f.backends[2].stats().done < before + 40).then(|| "few calls".into()))
    });
    fleet.gates[2].cut(false);
    fleet.wait_until_readmitted(2);
    let load = fleet.finish();
    assert!(load.searches > 0.97 && load.bookings > 0.9, "{load}");
}

/// A backend becomes healthy while the fleet is partitioned. All servers use it eventually, and `madderbay routes`
/// reports all backends after the partition is healed.
#[test]
fn readmits_backend_over_partition() {
    run_fleet_case(readmit_while_partitioned);
}

fn readmit_while_partitioned(monitor: &StallMonitor) {
    let mut fleet = BackendFleet::start(8, monitor);
    fleet.backends[3].set_behavior(Behavior::Fails);
    fleet.wait_until_ejected(3, &[]);
    fleet
        .servers
        .act(&Action::Cut(vec![vec![0], vec![1, 2]]))
        .expect("the partition is applied");
    fleet.backends[3].set_behavior(HEALTHY);
    fleet.wait_until_readmitted(3);
    fleet
        .servers
        .act(&Action::Heal)
        .expect("the partition is healed");
    assert_cli_reports_backends(&fleet);
    fleet.finish();
}

fn assert_cli_reports_backends(fleet: &BackendFleet) {
    let output = Command::new(program())
        .args(["routes", "--json", "--socket"])
        .arg(fleet.servers.processes.socket(1))
        .output()
        .expect("the program runs");
    let report: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("one line, an object");
    let backends = report["backends"].as_array().expect("backends");
    assert_eq!(backends.len(), BACKENDS);
    for b in backends {
        assert!(
            b["name"].is_string()
                && b["weight"].is_f64()
                && b["seen"].is_u64()
                && b["heard_from"].is_u64()
        );
        assert!(
            ["in", "rising", "ejected", "trial"].contains(&b["state"].as_str().expect("a state")),
            "{b}"
        );
    }
}
