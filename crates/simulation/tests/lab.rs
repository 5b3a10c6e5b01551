//! The laboratory itself: the same seed gives the same rows, drawn histories break nothing, and known faults, one in
//! each part, are found and shrunk.

use madderbay_simulation::history::{Deed, History, Ill, PLANTS, Parts, Plant};
use madderbay_simulation::{play, shrink};

fn small() -> History {
    History {
        servers: 6,
        backends: 3,
        zones: 3,
        seconds: 36,
        rate: 15.0,
        whole: 36,
        ..History::default()
    }
}

#[test]
fn one_seed_one_history() {
    let drawn = History::drawn(3, small(), 12);
    assert_eq!(play(&drawn, 3), play(&drawn, 3));
    assert_ne!(play(&drawn, 3).rows, play(&drawn, 4).rows);
}

#[test]
fn drawn_histories_break_nothing() {
    for seed in 100..116 {
        let drawn = History::drawn(seed, small(), 16);
        let found = play(&drawn, seed);
        assert!(
            found.breaches.is_empty(),
            "seed {seed}: {:?}\n{drawn}",
            found.breaches
        );
        let done: u32 = found.rows.iter().flat_map(|r| r.kept).sum();
        let asked: u32 = found.rows.iter().flat_map(|r| r.asked).sum();
        assert!(
            f64::from(done) > 0.5 * f64::from(asked),
            "seed {seed}: {done} of {asked}"
        );
    }
}

#[test]
fn each_part_plays_alone() {
    let off = Parts::default();
    let parts = [
        off,
        Parts {
            members: true,
            ..off
        },
        Parts {
            members: true,
            shared: true,
            ..off
        },
        Parts {
            routes: true,
            ..off
        },
        Parts { pools: true, ..off },
        Parts::ALL,
    ];
    for parts in parts {
        let found = play(
            &History {
                parts,
                seconds: 15,
                ..small()
            },
            9,
        );
        assert!(found.breaches.is_empty(), "{parts}: {:?}", found.breaches);
        let last = &found.rows[10..14];
        let (done, asked) = last.iter().fold((0, 0), |sum, r| {
            (
                sum.0 + r.kept.iter().sum::<u32>(),
                sum.1 + r.asked.iter().sum::<u32>(),
            )
        });
        assert!(
            f64::from(done) > 0.97 * f64::from(asked),
            "{parts}: {done} of {asked}"
        );
    }
}

/// What breaks, and under which deeds it does.
fn planted(plant: Plant) -> (&'static str, Vec<(u64, Deed)>) {
    match plant {
        Plant::Answers => ("one answer each", vec![]),
        Plant::Runs => ("no effect twice", vec![]),
        Plant::Terms => {
            // Work at half of the servers, lent to by the others, whose own comes back in the middle of a cut.
            let load = |at, one: f64, other: f64| {
                (0..6).map(move |s| (at, Deed::Load(s, if s % 2 == 0 { one } else { other })))
            };
            let mut deeds: Vec<(u64, Deed)> = (0..3)
                .map(|b| (5_000, Deed::Backend(b, Some(Ill::Slow(30.0)))))
                .collect();
            deeds.extend(load(6_000, 5.0, 0.05));
            deeds.push((12_000, Deed::Halves));
            deeds.extend(load(12_000, 5.0, 5.0));
            deeds.push((20_000, Deed::Heal));
            ("a budget is never passed", deeds)
        }
        Plant::Repeats => {
            let deeds = (0..3)
                .map(|b| (5_000, Deed::Backend(b, Some(Ill::Fails))))
                .collect();
            ("repeats within a tenth", deeds)
        }
        Plant::Suspicion => ("settles", vec![(5_000, Deed::Kill(4))]),
    }
}

#[test]
fn known_faults_are_found_and_shrunk() {
    for (name, plant) in PLANTS {
        let (rule, deeds) = planted(plant);
        let mut sound = History { deeds, ..small() };
        if plant == Plant::Terms {
            sound.whole = 12;
            sound.parts = Parts {
                members: true,
                shared: true,
                ..Parts::default()
            };
            sound.seconds = 21;
        } else if plant == Plant::Repeats {
            // Limits that follow what lies below would let few calls go at all.
            sound.parts = Parts {
                routes: true,
                ..Parts::default()
            };
            sound.seconds = 20;
        }
        let found = play(&sound, 1);
        assert!(
            found.breaches.is_empty(),
            "{name} without the fault: {:?}",
            found.breaches
        );
        let ill = History {
            plant: Some(plant),
            ..sound
        };
        let found = play(&ill, 1);
        assert!(
            found.breaches.iter().any(|b| b.rule == rule),
            "{name}: {:?}",
            found.breaches
        );
        let least = shrink(&ill, 1, rule);
        assert!(least.deeds.len() <= ill.deeds.len());
        assert!(
            play(&least, 1).breaches.iter().any(|b| b.rule == rule),
            "{name} shrunk"
        );
        assert_eq!(History::read("x", &least.to_string()), Ok(least));
    }
}
