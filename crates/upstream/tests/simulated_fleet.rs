//! Fleets before backends, simulated, each case over a few seeds: who is left out, how soon, and who is not.
//! `crates/server/tests/routes.rs` plays cases on real processes.

use madderbay::time::Duration;
use madderbay_testkit::routes::{Mode, Setup, Way, World};

const SEEDS: std::ops::Range<u64> = 0..4;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A world that has been calm for five seconds.
fn calm(setup: Setup, seed: u64) -> World {
    let mut world = World::new(setup, seed);
    world.run(ms(5_000));
    assert!(
        world.kept(1_000, 5_000) > 0.995,
        "{}",
        world.kept(1_000, 5_000)
    );
    assert_eq!(world.ejections, 0, "{:?}", world.log);
    world
}

/// One of ten fares ill in each way; all get off it within a second and a half, and little is lost.
#[test]
fn the_fleet_gets_off_one_that_is_slow_fails_or_is_silent() {
    for mode in [Mode::Slow(10.0), Mode::Fails, Mode::Silent, Mode::Down] {
        for seed in SEEDS {
            let mut world = calm(Setup::of(12, 10), seed);
            world.mode(3, mode);
            world.run(ms(10_000));
            // What is left are trials. One that is slow is told from the others by a few calls each.
            let off = world.until(3, 5_000, true, 0.04);
            let term = match mode {
                Mode::Slow(_) => 3_000,
                Mode::Silent => 1_500,
                _ => 1_000,
            };
            assert!(
                off.is_some_and(|t| t <= term),
                "{mode:?} seed {seed}: off after {off:?}"
            );
            let kept = world.kept(5_000, 15_000);
            assert!(kept > 0.985, "{mode:?} seed {seed}: kept {kept:.3}");
            world.mode(3, Mode::Slow(1.0));
            world.run(ms(30_000));
            let back = world.until(3, 15_000, false, 0.06);
            assert!(
                back.is_some_and(|t| t < 20_000),
                "{mode:?} seed {seed}: back after {back:?}"
            );
        }
    }
}

/// At less than a call a backend a second words of others tell in time; each server alone takes far longer.
#[test]
fn few_calls_are_enough_where_they_are_told() {
    let setup = |way| Setup {
        rate: 5.0,
        way,
        ..Setup::of(60, 10)
    };
    for seed in SEEDS {
        let kept = |way| {
            let mut world = calm(setup(way), seed);
            world.mode(3, Mode::Fails);
            world.run(ms(5_000));
            (
                world.until(3, 5_000, true, 0.03),
                world.part(3, 6_000, 10_000),
            )
        };
        let ((shared, part), (alone, lone)) = (kept(Way::Shared), kept(Way::Alone));
        assert!(
            shared.is_some_and(|t| t <= 2_000),
            "seed {seed}: {shared:?}"
        );
        // What is left of its calls are trials.
        assert!(
            part < lone && alone.is_none_or(|t| t > 2_000),
            "seed {seed}: {part:.4}, {lone:.4}, {alone:?}"
        );
    }
}

/// A cut between a zone and a backend: the others go on using it.
#[test]
fn bad_for_one_zone_is_bad_for_that_zone_alone() {
    for seed in SEEDS {
        let settings = madderbay_upstream::Settings {
            min_local_fraction: 1.0,
            max_ejected_fraction: 0.5,
            ..Default::default()
        };
        let mut world = calm(
            Setup {
                zones: 3,
                settings,
                ..Setup::of(18, 6)
            },
            seed,
        );
        // All of a zone's own are cut off from it, so that its calls go to the others.
        world.cuts = vec![(0, 0), (0, 3)];
        world.run(ms(15_000));
        let kept = world.kept(6_000, 20_000);
        assert!(kept > 0.97, "seed {seed}: {kept:.3}");
        // Those of the other zones did not leave it out for a word of the one that is cut off.
        let out = world.out(0, 6_000, 20_000);
        assert!(
            out < 6.0 * 14.0 * 1.05,
            "seed {seed}: {out:.0} server-seconds without b0"
        );
    }
}

/// One server whose own link is bad finds all bad; it is not believed, and one that lies is not either.
#[test]
fn a_witness_that_finds_all_bad_or_lies_convinces_nobody() {
    for seed in SEEDS {
        let mut world = calm(Setup::of(12, 10), seed);
        world.cut_off(0, true);
        world.lies(5, vec![2, 3, 4]);
        world.run(ms(15_000));
        let others = world
            .log
            .iter()
            .filter(|l| l.contains("ejected for") && !l.contains(" n1:"));
        assert_eq!(others.count(), 0, "seed {seed}: {:?}", world.log);
        let kept = world.kept(5_000, 20_000);
        assert!(
            kept > 0.90,
            "seed {seed}: {kept:.3} with one of twelve cut off"
        );
        // What is lied about keeps most of its calls.
        assert!(
            world.part(3, 8_000, 20_000) > 0.05,
            "seed {seed}: {:.3}",
            world.part(3, 8_000, 20_000)
        );
    }
}

/// All slow at once: none is worse than the others, and nobody is left out for long.
#[test]
fn all_slow_at_once_leaves_nobody_out() {
    for seed in SEEDS {
        let mut world = calm(Setup::of(12, 10), seed);
        (0..10).for_each(|b| world.mode(b, Mode::Slow(10.0)));
        world.run(ms(10_000));
        let out: f64 = (0..10).map(|b| world.out(b, 7_000, 15_000)).sum();
        assert!(
            out < 12.0 * 8.0 * 0.5,
            "seed {seed}: {out:.0} server-seconds"
        );
        let kept = world.kept(6_000, 15_000);
        assert!(kept > 0.97, "seed {seed}: {kept:.3}");
    }
}

/// Under a full outage repeats add a tenth at the most; and nothing is left out for ever after it.
#[test]
fn a_full_outage_is_not_buried_under_repeats() {
    for mode in [Mode::Fails, Mode::Down, Mode::Silent] {
        for seed in SEEDS {
            let mut world = calm(Setup::of(12, 10), seed);
            (0..10).for_each(|b| world.mode(b, mode));
            world.run(ms(20_000));
            let load = world.load(6_000, 25_000);
            assert!(load <= 1.1, "{mode:?} seed {seed}: {load:.3}");
            (0..10).for_each(|b| world.mode(b, Mode::Slow(1.0)));
            world.run(ms(15_000));
            let kept = world.kept(28_000, 40_000);
            assert!(kept > 0.99, "{mode:?} seed {seed}: {kept:.3} after it");
        }
    }
}

/// Three times what the backends can bear, for five seconds: what is left of it dies within seconds.
#[test]
fn a_storm_of_repeats_dies() {
    for seed in SEEDS {
        // Ten backends of four slots and 20 ms bear 2,000 a second.
        let mut world = calm(
            Setup {
                slots: 4,
                rate: 75.0,
                ..Setup::of(12, 10)
            },
            seed,
        );
        world.rate(500.0);
        world.run(ms(5_000));
        world.rate(75.0);
        world.run(ms(10_000));
        assert!(
            world.load(5_000, 10_000) <= 1.12,
            "{:.3}",
            world.load(5_000, 10_000)
        );
        let kept = world.kept(14_000, 20_000);
        assert!(kept > 0.98, "seed {seed}: {kept:.3} once it is over");
    }
}

/// One that is up and down each second is left out longer and longer.
#[test]
fn one_that_flaps_is_left_out_longer() {
    for seed in SEEDS {
        let mut world = calm(Setup::of(12, 10), seed);
        for _ in 0..15 {
            world.mode(3, Mode::Down);
            world.run(ms(1_000));
            world.mode(3, Mode::Slow(1.0));
            world.run(ms(1_000));
        }
        let kept = world.kept(7_000, 35_000);
        assert!(kept > 0.98, "seed {seed}: {kept:.3}");
        assert!(
            world.out(3, 25_000, 35_000) > 12.0 * 10.0 * 0.4,
            "{:.0}",
            world.out(3, 25_000, 35_000)
        );
    }
}

/// All are restarted one after the other, while servers restart too; few calls are lost.
#[test]
fn a_rolling_restart_of_all() {
    for seed in SEEDS {
        let mut world = calm(Setup::of(12, 10), seed);
        for b in 0..10 {
            world.mode(b, Mode::Down);
            world.restart(b);
            world.run(ms(1_500));
            world.mode(b, Mode::Slow(1.0));
            world.run(ms(500));
        }
        let kept = world.kept(5_000, 25_000);
        assert!(kept > 0.985, "seed {seed}: {kept:.3}");
    }
}

/// A backend comes back while the fleet is cut into halves, or deaf: each half finds it by itself.
#[test]
fn a_return_during_a_cut_is_found_by_both_sides() {
    for deaf in [false, true] {
        for seed in SEEDS {
            let mut world = calm(Setup::of(12, 10), seed);
            world.mode(3, Mode::Fails);
            world.run(ms(5_000));
            (world.split, world.deaf) = (!deaf, deaf);
            world.run(ms(1_000));
            world.mode(3, Mode::Slow(1.0));
            world.run(ms(35_000));
            let part = world.part(3, 38_000, 46_000);
            assert!(part > 0.05, "deaf {deaf} seed {seed}: {part:.3}");
        }
    }
}

/// Three hundred servers see one backend return: its load rises by and by, and does not bury it.
#[test]
fn three_hundred_do_not_come_back_at_once() {
    let mut world = calm(
        Setup {
            rate: 10.0,
            ..Setup::of(300, 10)
        },
        7,
    );
    world.mode(3, Mode::Fails);
    world.run(ms(8_000));
    world.mode(3, Mode::Slow(1.0));
    world.run(ms(30_000));
    let fair = 300.0 * 10.0 / 10.0 * 0.1;
    let most = world
        .between(13_000, 25_000)
        .iter()
        .map(|r| r.at[3])
        .max()
        .unwrap_or(0);
    assert!(
        f64::from(most) < 2.0 * fair,
        "{most} in a tenth of a second, fair is {fair}"
    );
    assert!(
        world.part(3, 40_000, 43_000) > 0.06,
        "{:.3}",
        world.part(3, 40_000, 43_000)
    );
    assert!(world.kept(5_000, 43_000) > 0.99);
}

/// Addresses change under load: no call in hand is lost, one that is gone gets none, and one that is new gets few at
/// first and its part after 10 s.
#[test]
fn a_list_that_changes_under_load_loses_nothing() {
    for seed in SEEDS {
        let mut world = calm(Setup::of(6, 12), seed);
        world.reload(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
        world.run(ms(2_000));
        world.reload(&[4, 5, 6, 7, 8, 9, 10, 11]);
        world.run(ms(23_000));
        assert!(
            world.kept(5_000, 29_900) > 0.999,
            "{}",
            world.kept(5_000, 29_900)
        );
        assert_eq!(
            (world.part(0, 7_200, 30_000), world.part(11, 5_200, 6_900)),
            (0.0, 0.0)
        );
        let (first, risen) = (world.part(11, 7_000, 8_000), world.part(11, 17_500, 29_500));
        assert!(first > 0.0 && first < 0.06, "{first}");
        assert!(risen > 0.08, "{risen}");
    }
}

/// Calls that may not run twice are made again only where it is proven that nothing ran.
#[test]
fn what_may_have_run_is_not_made_again() {
    for (mode, again) in [
        (Mode::Fails, false),
        (Mode::Silent, false),
        (Mode::Down, true),
    ] {
        let mut world = calm(
            Setup {
                replayable: false,
                ..Setup::of(12, 10)
            },
            5,
        );
        (0..5).for_each(|b| world.mode(b, mode));
        world.run(ms(5_000));
        let load = world.load(5_500, 10_000);
        assert_eq!(load > 1.0, again, "{mode:?}: {load:.3}");
    }
}
