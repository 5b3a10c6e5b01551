//! Simulated fleets of servers and their backends, each case with several seeds: which backends are ejected, how soon,
//! and which are not. `crates/server/tests/routes` has cases with real processes.

mod fleet;

use fleet::{FAULTY, Fleet};
use madderbay_testkit::backend_simulation::{
    BackendFault, BackendFleetSetup, GossipPartition, LogEntry, RoutingPolicy, SimulatedBackendId,
    SimulatedServerId, ZoneCut,
};
use madderbay_upstream::{BackendEvent, Settings};
use std::ops::Range;

const SEEDS: Range<u64> = 0..4;
const TEN_TIMES_SLOWER: BackendFault = BackendFault::Slow { factor: 10.0 };
/// The server that reaches no backend in cases with such a server.
const CUT_OFF_SERVER: SimulatedServerId = SimulatedServerId::new(0);

/// One of ten backends is faulty: traffic shifts away from it within seconds, few calls fail, and traffic returns once
/// the backend is repaired.
#[test]
fn traffic_leaves_a_faulty_backend_and_returns_after_repair() {
    for fault in [
        TEN_TIMES_SLOWER,
        BackendFault::Failing,
        BackendFault::Silent,
        BackendFault::Down,
    ] {
        for seed in SEEDS {
            let mut fleet = Fleet::standard(seed);
            fleet.set_fault(fault);
            fleet.run(10_000);
            // Only probes remain. The limit is higher for a slow backend, because slowness shows only in a comparison
            // of several calls.
            let limit = match fault {
                BackendFault::Slow { .. } => 3_000,
                BackendFault::Silent => 1_500,
                BackendFault::Failing | BackendFault::Down => 1_000,
            };
            let shifted_after = fleet
                .simulation
                .millis_until_traffic_below(FAULTY, 5_000, 0.04);
            assert!(
                shifted_after.is_some_and(|millis| millis <= limit),
                "{fault:?} seed {seed}: traffic left after {shifted_after:?}"
            );
            let success = fleet.success_rate(5_000..15_000);
            assert!(success > 0.985, "{fault:?} seed {seed}: {success:.3}");
            fleet.set_fault(BackendFault::HEALTHY);
            fleet.run(30_000);
            let returned_after = fleet
                .simulation
                .millis_until_traffic_reaches(FAULTY, 15_000, 0.06);
            assert!(
                returned_after.is_some_and(|millis| millis < 20_000),
                "{fault:?} seed {seed}: returned after {returned_after:?}"
            );
        }
    }
}

/// With less than one call a second from each server to each backend, gossip detects a fault in time. Each server alone
/// takes far longer.
#[test]
fn gossip_detects_a_fault_at_low_call_rates() {
    for seed in SEEDS {
        let result = |routing| {
            let setup = BackendFleetSetup {
                calls_per_second: 5.0,
                routing,
                ..BackendFleetSetup::new(60, 10)
            };
            let mut fleet = Fleet::stable(setup, seed);
            fleet.set_fault(BackendFault::Failing);
            fleet.run(5_000);
            let shifted_after = fleet
                .simulation
                .millis_until_traffic_below(FAULTY, 5_000, 0.03);
            (shifted_after, fleet.traffic(FAULTY, 6_000..10_000))
        };
        let (shifted_with_gossip, traffic_with_gossip) = result(RoutingPolicy::ManagerWithGossip);
        let (shifted_without_gossip, traffic_without_gossip) =
            result(RoutingPolicy::ManagerWithoutGossip);
        assert!(
            shifted_with_gossip.is_some_and(|millis| millis <= 2_000),
            "seed {seed}: {shifted_with_gossip:?}"
        );
        // Only probes remain.
        assert!(
            traffic_with_gossip < traffic_without_gossip
                && shifted_without_gossip.is_none_or(|millis| millis > 2_000),
            "seed {seed}: {traffic_with_gossip:.4}, {traffic_without_gossip:.4}, {shifted_without_gossip:?}"
        );
    }
}

/// One zone cannot reach a backend; the other zones continue to use it.
#[test]
fn backend_unreachable_from_one_zone_is_ejected_there_alone() {
    for seed in SEEDS {
        let settings = Settings {
            min_local_fraction: 1.0,
            max_ejected_fraction: 0.5,
            ..Settings::default()
        };
        let setup = BackendFleetSetup {
            zones: 3,
            settings,
            ..BackendFleetSetup::new(18, 6)
        };
        let mut fleet = Fleet::stable(setup, seed);
        // The zone reaches none of its own backends, so its calls go to the other zones.
        let cuts = [0, 3].map(|index| ZoneCut {
            zone: 0,
            backend: SimulatedBackendId::new(index),
        });
        fleet.simulation.set_zone_cuts(cuts.to_vec());
        fleet.run(15_000);
        let success = fleet.success_rate(6_000..20_000);
        assert!(success > 0.97, "seed {seed}: {success:.3}");
        // Only the six servers of that zone ejected it.
        let ejected = fleet.ejected_seconds(SimulatedBackendId::new(0), 6_000..20_000);
        assert!(
            ejected < 6.0 * 14.0 * 1.05,
            "seed {seed}: {ejected:.0} server-seconds without b0"
        );
    }
}

/// A server whose own link is broken finds all backends faulty, and another server sends false reports. Neither affects
/// the other servers.
#[test]
fn isolated_servers_and_false_reports_cause_no_ejections() {
    for seed in SEEDS {
        let mut fleet = Fleet::standard(seed);
        let simulation = &mut fleet.simulation;
        simulation.set_cut_off(CUT_OFF_SERVER, true);
        let falsely_reported = [2, 3, 4].map(SimulatedBackendId::new).to_vec();
        simulation.set_falsely_reported(SimulatedServerId::new(5), falsely_reported);
        fleet.run(15_000);
        let by_others = |entry: &&LogEntry| {
            let is_ejection = matches!(entry.event, BackendEvent::Ejected { .. });
            is_ejection && entry.server != CUT_OFF_SERVER
        };
        let log = fleet.simulation.log();
        let ejected: Vec<&LogEntry> = log.iter().filter(by_others).collect();
        assert!(ejected.is_empty(), "seed {seed}: {ejected:?}");
        let success = fleet.success_rate(5_000..20_000);
        assert!(
            success > 0.90,
            "seed {seed}: {success:.3} with one of twelve cut off"
        );
        // A backend that is falsely reported keeps more than half of its traffic.
        let traffic = fleet.traffic(FAULTY, 8_000..20_000);
        assert!(traffic > 0.05, "seed {seed}: {traffic:.3}");
    }
}

#[test]
fn nothing_is_ejected_for_long_when_all_backends_are_slow() {
    for seed in SEEDS {
        let mut fleet = Fleet::standard(seed);
        fleet.set_faults(10, TEN_TIMES_SLOWER);
        fleet.run(10_000);
        let ejected: f64 = SimulatedBackendId::first(10)
            .map(|backend| fleet.ejected_seconds(backend, 7_000..15_000))
            .sum();
        assert!(
            ejected < 12.0 * 8.0 * 0.5,
            "seed {seed}: {ejected:.0} server-seconds"
        );
        let success = fleet.success_rate(6_000..15_000);
        assert!(success > 0.97, "seed {seed}: {success:.3}");
    }
}

/// In a complete outage, retries add at most a tenth to the load, and all backends return after it.
#[test]
fn retries_stay_within_budget_in_an_outage() {
    for fault in [
        BackendFault::Failing,
        BackendFault::Down,
        BackendFault::Silent,
    ] {
        for seed in SEEDS {
            let mut fleet = Fleet::standard(seed);
            fleet.set_faults(10, fault);
            fleet.run(20_000);
            let load = fleet.attempts_per_call(6_000..25_000);
            assert!(load <= 1.1, "{fault:?} seed {seed}: {load:.3}");
            fleet.set_faults(10, BackendFault::HEALTHY);
            fleet.run(15_000);
            let success = fleet.success_rate(28_000..40_000);
            assert!(
                success > 0.99,
                "{fault:?} seed {seed}: {success:.3} after it"
            );
        }
    }
}

/// Three times the load that the backends can serve, for five seconds: no retry storm persists after the overload.
#[test]
fn retry_storm_ends_with_the_overload() {
    for seed in SEEDS {
        // Ten backends with four slots each and 20 ms per call serve 2,000 calls a second.
        let setup = BackendFleetSetup {
            backend_concurrency: 4,
            calls_per_second: 75.0,
            ..BackendFleetSetup::new(12, 10)
        };
        let mut fleet = Fleet::stable(setup, seed);
        fleet.simulation.set_calls_per_second(500.0);
        fleet.run(5_000);
        fleet.simulation.set_calls_per_second(75.0);
        fleet.run(10_000);
        let load = fleet.attempts_per_call(5_000..10_000);
        assert!(load <= 1.12, "{load:.3}");
        let success = fleet.success_rate(14_000..20_000);
        assert!(success > 0.98, "seed {seed}: {success:.3} once it is over");
    }
}

/// A backend that fails and recovers every second is ejected for longer each time.
#[test]
fn flapping_backend_is_ejected_for_longer() {
    for seed in SEEDS {
        let mut fleet = Fleet::standard(seed);
        for _ in 0..15 {
            fleet.set_fault(BackendFault::Down);
            fleet.run(1_000);
            fleet.set_fault(BackendFault::HEALTHY);
            fleet.run(1_000);
        }
        let success = fleet.success_rate(7_000..35_000);
        assert!(success > 0.98, "seed {seed}: {success:.3}");
        let ejected = fleet.ejected_seconds(FAULTY, 25_000..35_000);
        assert!(ejected > 12.0 * 10.0 * 0.4, "{ejected:.0}");
    }
}

/// All backends are restarted one after the other while servers restart too: few calls fail.
#[test]
fn rolling_restart_of_backends_and_servers_loses_few_calls() {
    for seed in SEEDS {
        let mut fleet = Fleet::standard(seed);
        for n in 0..10 {
            let (backend, server) = (SimulatedBackendId::new(n), SimulatedServerId::new(n));
            let simulation = &mut fleet.simulation;
            simulation.set_backend_fault(backend, BackendFault::Down);
            simulation.restart(server);
            fleet.run(1_500);
            let simulation = &mut fleet.simulation;
            simulation.set_backend_fault(backend, BackendFault::HEALTHY);
            fleet.run(500);
        }
        let success = fleet.success_rate(5_000..25_000);
        assert!(success > 0.985, "seed {seed}: {success:.3}");
    }
}

/// A backend is repaired while the fleet is split into halves, or while no server receives any gossip.
#[test]
fn repaired_backend_returns_without_gossip() {
    for partition in [GossipPartition::Halves, GossipPartition::Isolated] {
        for seed in SEEDS {
            let mut fleet = Fleet::standard(seed);
            fleet.set_fault(BackendFault::Failing);
            fleet.run(5_000);
            fleet.simulation.set_gossip_partition(partition);
            fleet.run(1_000);
            fleet.set_fault(BackendFault::HEALTHY);
            fleet.run(35_000);
            let traffic = fleet.traffic(FAULTY, 38_000..46_000);
            assert!(traffic > 0.05, "{partition:?} seed {seed}: {traffic:.3}");
        }
    }
}

/// Three hundred servers see one backend recover: its load grows slowly enough.
#[test]
fn many_servers_return_to_a_backend_gradually() {
    let setup = BackendFleetSetup {
        calls_per_second: 10.0,
        ..BackendFleetSetup::new(300, 10)
    };
    let mut fleet = Fleet::stable(setup, 7);
    fleet.set_fault(BackendFault::Failing);
    fleet.run(8_000);
    fleet.set_fault(BackendFault::HEALTHY);
    fleet.run(30_000);
    let equal_share = 300.0 * 10.0 / 10.0 * 0.1;
    let peak = fleet.peak_attempts(FAULTY, 13_000..25_000);
    assert!(
        f64::from(peak) < 2.0 * equal_share,
        "{peak} in a tenth of a second, an equal share is {equal_share}"
    );
    let traffic = fleet.traffic(FAULTY, 40_000..43_000);
    assert!(traffic > 0.06, "{traffic:.3}");
    assert!(fleet.success_rate(5_000..43_000) > 0.99);
}

/// The list of backends changes under load: no call in flight is lost, a removed backend gets no calls, and an added
/// one gets few at first and its share after ten seconds.
#[test]
fn reload_under_load_loses_no_calls() {
    for seed in SEEDS {
        let mut fleet = Fleet::stable(BackendFleetSetup::new(6, 12), seed);
        fleet.reload(0..10);
        fleet.run(2_000);
        fleet.reload(4..12);
        fleet.run(23_000);
        let success = fleet.success_rate(5_000..29_900);
        assert!(success > 0.999, "{success}");
        let (removed, added) = (SimulatedBackendId::new(0), SimulatedBackendId::new(11));
        assert_eq!(fleet.traffic(removed, 7_200..30_000), 0.0);
        assert_eq!(fleet.traffic(added, 5_200..6_900), 0.0);
        let first = fleet.traffic(added, 7_000..8_000);
        assert!(first > 0.0 && first < 0.06, "{first}");
        let later = fleet.traffic(added, 17_500..29_500);
        assert!(later > 0.08, "{later}");
    }
}

/// Calls that may not run twice are retried only if they certainly did not run.
#[test]
fn calls_that_are_not_idempotent_are_retried_only_if_never_executed() {
    for (fault, is_retried) in [
        (BackendFault::Failing, false),
        (BackendFault::Silent, false),
        (BackendFault::Down, true),
    ] {
        let setup = BackendFleetSetup {
            is_idempotent: false,
            ..BackendFleetSetup::new(12, 10)
        };
        let mut fleet = Fleet::stable(setup, 5);
        fleet.set_faults(5, fault);
        fleet.run(5_000);
        let load = fleet.attempts_per_call(5_500..10_000);
        assert_eq!(load > 1.0, is_retried, "{fault:?}: {load:.3}");
    }
}
