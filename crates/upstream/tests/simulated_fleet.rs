//! Simulated fleets of servers before their backends, each case with several seeds: which backends are ejected, how
//! soon, and which are not. `crates/server/tests/routes` has cases with real processes.

use madderbay::time::Duration;
use madderbay_testkit::backend_simulation::{
    BackendFault, BackendFleetSetup, BackendSimulation, RoutingPolicy,
};
use madderbay_upstream::Settings;
use std::ops::Range;

const SEEDS: Range<u64> = 0..4;
const HEALTHY: BackendFault = BackendFault::Slow(1.0);
const TEN_TIMES_SLOWER: BackendFault = BackendFault::Slow(10.0);
/// The backend with a fault, where one of them has it.
const FAULTY: usize = 3;

/// A simulated fleet. Times are in milliseconds since the start.
struct Fleet {
    world: BackendSimulation,
}

impl Fleet {
    /// A fleet that has run for five seconds without failures and ejections.
    fn stable(setup: BackendFleetSetup, seed: u64) -> Fleet {
        let world = BackendSimulation::new(setup, seed);
        let mut fleet = Fleet { world };
        fleet.run(5_000);
        let success = fleet.success_rate(1_000..5_000);
        assert!(success > 0.995, "{success}");
        assert_eq!(fleet.world.ejections, 0, "{:?}", fleet.world.log);
        fleet
    }

    /// Twelve servers and ten backends.
    fn standard(seed: u64) -> Fleet {
        Fleet::stable(BackendFleetSetup::of(12, 10), seed)
    }

    fn run(&mut self, millis: u64) {
        self.world.run(Duration::from_millis(millis));
    }

    fn set_mode(&mut self, backends: Range<usize>, mode: BackendFault) {
        for backend in backends {
            self.world.mode(backend, mode);
        }
    }

    fn set_faulty(&mut self, mode: BackendFault) {
        self.world.mode(FAULTY, mode);
    }

    /// The fraction of the calls that succeeded.
    fn success_rate(&self, time: Range<u64>) -> f64 {
        self.world.kept(time.start, time.end)
    }

    /// Attempts for each first attempt.
    fn attempts_per_call(&self, time: Range<u64>) -> f64 {
        self.world.load(time.start, time.end)
    }

    /// The fraction of all attempts that reached a backend.
    fn traffic(&self, backend: usize, time: Range<u64>) -> f64 {
        self.world.part(backend, time.start, time.end)
    }

    /// After how long a backend's traffic of a second is under a bound.
    fn time_until_under(&self, backend: usize, from: u64, bound: f64) -> Option<u64> {
        self.world.until(backend, from, true, bound)
    }

    /// After how long a backend's traffic of a second is at least a bound.
    fn time_until_over(&self, backend: usize, from: u64, bound: f64) -> Option<u64> {
        self.world.until(backend, from, false, bound)
    }

    /// For how long a backend was out of selection, in seconds, summed over the servers.
    fn ejected_seconds(&self, backend: usize, time: Range<u64>) -> f64 {
        self.world.out(backend, time.start, time.end)
    }

    /// The most attempts that reached a backend in a tenth of a second.
    fn peak_attempts(&self, backend: usize, time: Range<u64>) -> u32 {
        let rows = self.world.between(time.start, time.end);
        rows.iter().map(|row| row.at[backend]).max().unwrap_or(0)
    }
}

/// One of ten backends is faulty: traffic leaves it within seconds, few calls fail, and it returns once repaired.
#[test]
fn traffic_leaves_a_faulty_backend_and_returns_after_repair() {
    for mode in [
        TEN_TIMES_SLOWER,
        BackendFault::Fails,
        BackendFault::Silent,
        BackendFault::Down,
    ] {
        for seed in SEEDS {
            let mut fleet = Fleet::standard(seed);
            fleet.set_faulty(mode);
            fleet.run(10_000);
            // Only probes are left. Slowness shows only in a comparison of several calls.
            let limit = match mode {
                BackendFault::Slow(_) => 3_000,
                BackendFault::Silent => 1_500,
                BackendFault::Fails | BackendFault::Down => 1_000,
            };
            let left = fleet.time_until_under(FAULTY, 5_000, 0.04);
            assert!(
                left.is_some_and(|millis| millis <= limit),
                "{mode:?} seed {seed}: left after {left:?}"
            );
            let success = fleet.success_rate(5_000..15_000);
            assert!(success > 0.985, "{mode:?} seed {seed}: {success:.3}");
            fleet.set_faulty(HEALTHY);
            fleet.run(30_000);
            let returned = fleet.time_until_over(FAULTY, 15_000, 0.06);
            assert!(
                returned.is_some_and(|millis| millis < 20_000),
                "{mode:?} seed {seed}: returned after {returned:?}"
            );
        }
    }
}

/// With less than one call a second at each backend, gossip finds a fault in time; each server alone takes far longer.
#[test]
fn gossip_finds_a_fault_with_few_calls() {
    for seed in SEEDS {
        let result = |way| {
            let setup = BackendFleetSetup {
                rate: 5.0,
                way,
                ..BackendFleetSetup::of(60, 10)
            };
            let mut fleet = Fleet::stable(setup, seed);
            fleet.set_faulty(BackendFault::Fails);
            fleet.run(5_000);
            let left = fleet.time_until_under(FAULTY, 5_000, 0.03);
            (left, fleet.traffic(FAULTY, 6_000..10_000))
        };
        let (left_with_gossip, traffic_with_gossip) = result(RoutingPolicy::Shared);
        let (left_alone, traffic_alone) = result(RoutingPolicy::Alone);
        assert!(
            left_with_gossip.is_some_and(|millis| millis <= 2_000),
            "seed {seed}: {left_with_gossip:?}"
        );
        // Only probes are left.
        assert!(
            traffic_with_gossip < traffic_alone && left_alone.is_none_or(|millis| millis > 2_000),
            "seed {seed}: {traffic_with_gossip:.4}, {traffic_alone:.4}, {left_alone:?}"
        );
    }
}

/// One zone cannot reach a backend; the other zones go on using it.
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
            ..BackendFleetSetup::of(18, 6)
        };
        let mut fleet = Fleet::stable(setup, seed);
        // The zone reaches none of its own backends, so that its calls go to the other zones.
        fleet.world.cuts = vec![(0, 0), (0, 3)];
        fleet.run(15_000);
        let success = fleet.success_rate(6_000..20_000);
        assert!(success > 0.97, "seed {seed}: {success:.3}");
        // Only the six servers of that zone ejected it.
        let ejected = fleet.ejected_seconds(0, 6_000..20_000);
        assert!(
            ejected < 6.0 * 14.0 * 1.05,
            "seed {seed}: {ejected:.0} server-seconds without b0"
        );
    }
}

/// A server whose own link is broken finds all backends faulty, and another one sends false reports. Neither has any
/// effect on the others.
#[test]
fn reports_of_isolated_or_lying_servers_eject_nothing() {
    for seed in SEEDS {
        let mut fleet = Fleet::standard(seed);
        fleet.world.cut_off(0, true);
        fleet.world.lies(5, vec![2, 3, 4]);
        fleet.run(15_000);
        let log = &fleet.world.log;
        let by_others = |line: &&String| line.contains("ejected for") && !line.contains(" n1:");
        assert_eq!(
            log.iter().filter(by_others).count(),
            0,
            "seed {seed}: {log:?}"
        );
        let success = fleet.success_rate(5_000..20_000);
        assert!(
            success > 0.90,
            "seed {seed}: {success:.3} with one of twelve cut off"
        );
        // A backend that is falsely reported keeps more than half of its traffic.
        let traffic = fleet.traffic(3, 8_000..20_000);
        assert!(traffic > 0.05, "seed {seed}: {traffic:.3}");
    }
}

#[test]
fn nothing_is_ejected_for_long_when_all_backends_are_slow() {
    for seed in SEEDS {
        let mut fleet = Fleet::standard(seed);
        fleet.set_mode(0..10, TEN_TIMES_SLOWER);
        fleet.run(10_000);
        let ejected: f64 = (0..10)
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

/// In a complete outage retries add a tenth of the load at most, and all backends return after it.
#[test]
fn retries_stay_within_budget_in_an_outage() {
    for mode in [
        BackendFault::Fails,
        BackendFault::Down,
        BackendFault::Silent,
    ] {
        for seed in SEEDS {
            let mut fleet = Fleet::standard(seed);
            fleet.set_mode(0..10, mode);
            fleet.run(20_000);
            let load = fleet.attempts_per_call(6_000..25_000);
            assert!(load <= 1.1, "{mode:?} seed {seed}: {load:.3}");
            fleet.set_mode(0..10, HEALTHY);
            fleet.run(15_000);
            let success = fleet.success_rate(28_000..40_000);
            assert!(
                success > 0.99,
                "{mode:?} seed {seed}: {success:.3} after it"
            );
        }
    }
}

/// Three times the load that the backends can serve, for five seconds: no retry storm outlives it.
#[test]
fn retry_storm_ends_with_the_overload() {
    for seed in SEEDS {
        // Ten backends with four slots and 20 ms a call serve 2,000 calls a second.
        let setup = BackendFleetSetup {
            slots: 4,
            rate: 75.0,
            ..BackendFleetSetup::of(12, 10)
        };
        let mut fleet = Fleet::stable(setup, seed);
        fleet.world.rate(500.0);
        fleet.run(5_000);
        fleet.world.rate(75.0);
        fleet.run(10_000);
        let load = fleet.attempts_per_call(5_000..10_000);
        assert!(load <= 1.12, "{load:.3}");
        let success = fleet.success_rate(14_000..20_000);
        assert!(success > 0.98, "seed {seed}: {success:.3} once it is over");
    }
}

/// A backend that fails and recovers each second is ejected for longer each time.
#[test]
fn flapping_backend_is_ejected_for_longer() {
    for seed in SEEDS {
        let mut fleet = Fleet::standard(seed);
        for _ in 0..15 {
            fleet.set_faulty(BackendFault::Down);
            fleet.run(1_000);
            fleet.set_faulty(HEALTHY);
            fleet.run(1_000);
        }
        let success = fleet.success_rate(7_000..35_000);
        assert!(success > 0.98, "seed {seed}: {success:.3}");
        let ejected = fleet.ejected_seconds(FAULTY, 25_000..35_000);
        assert!(ejected > 12.0 * 10.0 * 0.4, "{ejected:.0}");
    }
}

/// All backends are restarted one after the other, while servers restart too: few calls fail.
#[test]
fn rolling_restart_of_backends_and_servers_loses_few_calls() {
    for seed in SEEDS {
        let mut fleet = Fleet::standard(seed);
        for n in 0..10 {
            fleet.world.mode(n, BackendFault::Down);
            fleet.world.restart(n);
            fleet.run(1_500);
            fleet.world.mode(n, HEALTHY);
            fleet.run(500);
        }
        let success = fleet.success_rate(5_000..25_000);
        assert!(success > 0.985, "seed {seed}: {success:.3}");
    }
}

/// A backend is repaired while the fleet is split into halves, or while no server receives any gossip.
#[test]
fn repaired_backend_is_found_without_gossip() {
    for isolated in [false, true] {
        for seed in SEEDS {
            let mut fleet = Fleet::standard(seed);
            fleet.set_faulty(BackendFault::Fails);
            fleet.run(5_000);
            (fleet.world.split, fleet.world.deaf) = (!isolated, isolated);
            fleet.run(1_000);
            fleet.set_faulty(HEALTHY);
            fleet.run(35_000);
            let traffic = fleet.traffic(FAULTY, 38_000..46_000);
            assert!(
                traffic > 0.05,
                "isolated {isolated} seed {seed}: {traffic:.3}"
            );
        }
    }
}

/// Three hundred servers see one backend recover: its load grows slowly enough.
#[test]
fn many_servers_return_to_a_backend_gradually() {
    let setup = BackendFleetSetup {
        rate: 10.0,
        ..BackendFleetSetup::of(300, 10)
    };
    let mut fleet = Fleet::stable(setup, 7);
    fleet.set_faulty(BackendFault::Fails);
    fleet.run(8_000);
    fleet.set_faulty(HEALTHY);
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
        let mut fleet = Fleet::stable(BackendFleetSetup::of(6, 12), seed);
        fleet.world.reload(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
        fleet.run(2_000);
        fleet.world.reload(&[4, 5, 6, 7, 8, 9, 10, 11]);
        fleet.run(23_000);
        let success = fleet.success_rate(5_000..29_900);
        assert!(success > 0.999, "{success}");
        assert_eq!(fleet.traffic(0, 7_200..30_000), 0.0);
        assert_eq!(fleet.traffic(11, 5_200..6_900), 0.0);
        let first = fleet.traffic(11, 7_000..8_000);
        assert!(first > 0.0 && first < 0.06, "{first}");
        let later = fleet.traffic(11, 17_500..29_500);
        assert!(later > 0.08, "{later}");
    }
}

/// Calls that may not run twice get a retry only where it is certain that they did not run.
#[test]
fn calls_that_are_not_idempotent_are_retried_only_if_never_executed() {
    for (mode, is_retried) in [
        (BackendFault::Fails, false),
        (BackendFault::Silent, false),
        (BackendFault::Down, true),
    ] {
        let setup = BackendFleetSetup {
            replayable: false,
            ..BackendFleetSetup::of(12, 10)
        };
        let mut fleet = Fleet::stable(setup, 5);
        fleet.set_mode(0..5, mode);
        fleet.run(5_000);
        let load = fleet.attempts_per_call(5_500..10_000);
        assert_eq!(load > 1.0, is_retried, "{mode:?}: {load:.3}");
    }
}
