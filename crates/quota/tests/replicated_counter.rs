//! Compares the counters of simulated fleets with the true counts: estimates must stay within their
//! error bounds through loss, partitions, crashes and pauses. Also tests single counters with
//! snapshots in any order and with many keys.

mod support;

use madderbay::time::{Duration, Timestamp};
use madderbay_quota::counter::{CounterSettings, ReplicatedCounter, SnapshotSource};
use madderbay_quota::{CountEstimate, CounterSnapshot, name_hash};
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use support::{act, start};

const WINDOW: Duration = Duration::from_millis(5_000);
/// Interval at which the estimates of all servers are compared with the true counts.
const CHECK_INTERVAL_MS: u64 = 250;

/// Returns a fleet of `servers` with one counter. All servers have started and have the same view.
fn settled_fleet(servers: usize, seed: u64) -> SimulatedFleet {
    let down_retention = Duration::from_millis(30_000);
    let setup = FleetSetup {
        window: Some(WINDOW),
        down_retention,
        ..FleetSetup::of(servers)
    };
    let mut sim = SimulatedFleet::new(setup, seed);
    sim.log = Some(vec![]);
    (0..servers).for_each(|server| act(&mut sim, start(server)));
    while let Some(reason) = sim.unmet(&Condition::Settled) {
        assert!(sim.at() < Duration::from_millis(40_000), "{reason}");
        sim.pass();
    }
    sim
}

/// Returns a running server's estimate of a key, which the simulation compares with the true count.
fn estimate(sim: &mut SimulatedFleet, server: usize, key: u32, fair_rate: f64) -> CountEstimate {
    try_estimate(sim, server, key, fair_rate).expect("a running server")
}

fn try_estimate(
    sim: &mut SimulatedFleet,
    server: usize,
    key: u32,
    fair_rate: f64,
) -> Option<CountEstimate> {
    sim.checked_estimate(server, key, fair_rate)
}

/// Sets the rate at which requests with a key arrive at a server from now on.
fn set_rate(sim: &mut SimulatedFleet, server: usize, key: u32, per_second: f64) {
    sim.set_request_rate(server, key, per_second);
}

/// Advances the simulation and checks that the estimates of all running servers stay within their
/// bounds.
fn check_estimates_for(sim: &mut SimulatedFleet, keys: &[u32], ms: u64) {
    for _ in 0..ms / CHECK_INTERVAL_MS {
        sim.run(Duration::from_millis(CHECK_INTERVAL_MS));
        let running: Vec<usize> = sim.running().map(|server| server.0).collect();
        for server in running {
            for key in keys {
                try_estimate(sim, server, *key, 1.0);
            }
        }
    }
    let log = sim.log.iter().flatten();
    let violations: Vec<&String> = log.filter(|line| line.contains(" tells ")).collect();
    assert_eq!(
        sim.out_of_bounds.0, 0,
        "of {}: {violations:?}",
        sim.out_of_bounds.1
    );
}

#[test]
fn estimates_stay_within_their_bounds_through_faults() {
    for seed in 0..6 {
        let servers = 7;
        let mut sim = settled_fleet(servers, seed);
        let (acme, zenith) = (name_hash("acme"), name_hash("zenith"));
        for server in 0..servers {
            set_rate(&mut sim, server, acme, 20.0 + 3.0 * server as f64);
        }
        set_rate(&mut sim, 2, zenith, 4.0);
        let keys = [acme, zenith, name_hash("nobody")];
        check_estimates_for(&mut sim, &keys, 12_000);
        // Without faults the estimate is exact.
        let (exact, truth) = (estimate(&mut sim, 0, acme, 1.0), sim.truth(acme));
        let bounds = (exact.stale_servers, exact.low, exact.high);
        assert_eq!(bounds, (0, f64::from(truth), f64::from(truth)));
        assert!(truth > 600, "{truth}");
        let (loss, duplication, corruption) = (Some(0.2), Some(0.1), Some(0.05));
        act(
            &mut sim,
            Action::Network {
                loss,
                duplication,
                corruption,
                delay: None,
            },
        );
        check_estimates_for(&mut sim, &keys, 6_000);
        act(&mut sim, Action::Cut(vec![vec![0, 1, 2], vec![3, 4, 5, 6]]));
        set_rate(&mut sim, 5, acme, 110.0);
        check_estimates_for(&mut sim, &keys, 10_000);
        act(&mut sim, Action::Kill(1));
        check_estimates_for(&mut sim, &keys, 2_000);
        act(&mut sim, Action::Heal);
        act(&mut sim, start(1));
        act(&mut sim, Action::Stop(3));
        check_estimates_for(&mut sim, &keys, 6_000);
        act(&mut sim, Action::Continue(3));
        act(&mut sim, Action::Drain(4));
        check_estimates_for(&mut sim, &keys, 8_000);
    }
}

/// The estimate for partitioned servers decays to their fair rate. It neither drops to zero nor
/// stays at their last known rate.
#[test]
fn stale_servers_decay_to_their_fair_rate() {
    let servers = 4;
    let mut sim = settled_fleet(servers, 3);
    let acme = name_hash("acme");
    (0..servers).for_each(|server| set_rate(&mut sim, server, acme, 50.0));
    check_estimates_for(&mut sim, &[acme], 12_000);
    let fair_rate = 10.0;
    let value = |sim: &mut SimulatedFleet| estimate(sim, 0, acme, fair_rate).value;
    assert!((900.0..1_100.0).contains(&value(&mut sim)));
    act(&mut sim, Action::Cut(vec![vec![0], vec![1, 2, 3]]));
    sim.run(Duration::from_millis(8_000));
    let after_8_s = value(&mut sim);
    sim.run(Duration::from_millis(17_000));
    let after_25_s = value(&mut sim);
    // 250 counts of the server itself, and 50 of each of the three others, whose fair rate is 10
    // per second.
    assert!(
        after_8_s > after_25_s && (395.0..460.0).contains(&after_25_s),
        "{after_8_s} and {after_25_s}"
    );
}

#[test]
fn rare_key_of_many_servers_is_counted() {
    let servers = 60;
    let mut sim = settled_fleet(servers, 5);
    let rare = name_hash("rare");
    for server in 0..servers {
        (0..20).for_each(|key| set_rate(&mut sim, server, 1_000 + key, 2.0));
        set_rate(&mut sim, server, rare, 0.2);
    }
    check_estimates_for(&mut sim, &[rare], 20_000);
    let counted = estimate(&mut sim, 7, rare, 0.2);
    let truth = f64::from(sim.truth(rare));
    assert!((30.0..90.0).contains(&truth), "{truth}");
    assert!(truth >= counted.low && truth <= counted.high);
}

fn settings() -> CounterSettings {
    CounterSettings {
        name: "tenants".into(),
        window: WINDOW,
        max_per_second: 1_000.0,
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

/// Counts a hundred thousand keys: memory is bounded, and the estimates of heavy keys are within
/// their error bounds.
#[test]
fn many_keys_take_bounded_memory() {
    let mut counter = ReplicatedCounter::new(at(0), settings());
    let mut random = oorandom::Rand64::new(9);
    let heavy = name_hash("heavy");
    let mut truth = 0;
    for ms in 0..8_000u64 {
        for _ in 0..12 {
            counter.add(at(ms), random.rand_range(0..100_000) as u32, 1);
        }
        if ms % 10 == 0 {
            counter.add(at(ms), heavy, 1);
            // The window of the final estimate: time slots 3 to 12.
            truth += u32::from((1_500..6_500).contains(&ms));
        }
    }
    let local = counter.local_estimate(at(8_000), heavy);
    let truth = f64::from(truth);
    assert!(
        local.low <= truth && truth <= local.high,
        "{local:?}, {truth}"
    );
    assert!(local.bound() < 100.0 && local.value > 450.0, "{local:?}");
    let own = SnapshotSource {
        server: &"n1".into(),
        incarnation: 1,
    };
    let snapshots = counter.snapshots(at(8_000), own, 0.0, 10);
    assert_eq!(snapshots.len(), 1);
    assert!(counter.heaviest_keys(1_000).len() <= 256 * 14);
}

/// Returns snapshots of five servers, each with two incarnations, at three times.
fn snapshots_of_five_servers(key: u32) -> Vec<CounterSnapshot> {
    let mut snapshots = vec![];
    for server in 0..5u64 {
        let name = format!("n{server}").as_str().into();
        for incarnation in 0..2u64 {
            let own = SnapshotSource {
                server: &name,
                incarnation,
            };
            let mut counter = ReplicatedCounter::new(at(0), settings());
            (0..200).for_each(|n| counter.add(at(n * 20), key, 1 + server as u32));
            for ms in [2_000, 3_000, 4_000] {
                snapshots.extend(counter.snapshots(at(ms), own, 0.0, 0));
            }
        }
    }
    snapshots
}

#[test]
fn order_and_duplication_of_snapshots_change_nothing() {
    let key = name_hash("acme");
    let snapshots = snapshots_of_five_servers(key);
    let now = at(4_200);
    let own = SnapshotSource {
        server: &"own".into(),
        incarnation: 1,
    };
    let merge = |snapshots: &[CounterSnapshot]| {
        let mut counter = ReplicatedCounter::new(at(0), settings());
        for snapshot in snapshots {
            counter.handle_snapshot(now, Duration::ZERO, snapshot.clone(), own);
        }
        (
            counter.estimate(now, key, 0.0),
            counter.tracked_incarnations(),
        )
    };
    let merged = merge(&snapshots);
    assert_eq!(merged.1, 10);
    let mut random = oorandom::Rand64::new(4);
    for _ in 0..50 {
        let mut shuffled: Vec<_> = snapshots.iter().chain(&snapshots).cloned().collect();
        for i in (1..shuffled.len()).rev() {
            shuffled.swap(i, random.rand_range(0..i as u64 + 1) as usize);
        }
        assert_eq!(merge(&shuffled), merged);
    }
}

/// The largest possible incarnation number, which a peer may send, supersedes smaller ones like any
/// other.
#[test]
fn largest_incarnation_supersedes_former_ones() {
    let key = name_hash("acme");
    let now = at(4_200);
    let own = SnapshotSource {
        server: &"own".into(),
        incarnation: 1,
    };
    let estimate_with = |incarnations: [u64; 2]| {
        let mut merged = ReplicatedCounter::new(at(0), settings());
        for incarnation in incarnations {
            let server = &"n1".into();
            let source = SnapshotSource {
                server,
                incarnation,
            };
            let mut counter = ReplicatedCounter::new(at(0), settings());
            (0..200).for_each(|n| counter.add(at(n * 20), key, 1));
            for snapshot in counter.snapshots(at(4_000), source, 0.0, 0) {
                merged.handle_snapshot(now, Duration::ZERO, snapshot, own);
            }
        }
        merged.estimate(now, key, 0.0)
    };
    let expected = estimate_with([5, 6]);
    assert_eq!(estimate_with([5, u64::MAX]), expected);
    assert_eq!(estimate_with([u64::MAX, 5]), expected);
}
