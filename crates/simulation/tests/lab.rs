//! The laboratory itself: the same seed gives the same rows, drawn histories break nothing, and known faults, one in
//! each part, are found and shrunk.

use madderbay_simulation::{
    BackendFault, BackendId, Defect, Fault, Features, History, Invariant, ScheduledFault, ServerId,
    shrink, simulate,
};

fn small() -> History {
    History {
        servers: 6,
        backends: 3,
        zones: 3,
        seconds: 36,
        requests_per_second: 15.0,
        quota: 36,
        ..History::default()
    }
}

#[test]
fn one_seed_one_history() {
    let drawn = small().with_drawn_faults(3, 12);
    assert_eq!(simulate(&drawn, 3), simulate(&drawn, 3));
    assert_ne!(simulate(&drawn, 3).rows, simulate(&drawn, 4).rows);
}

#[test]
fn drawn_histories_break_nothing() {
    for seed in 100..116 {
        let drawn = small().with_drawn_faults(seed, 16);
        let found = simulate(&drawn, seed);
        assert!(
            found.violations.is_empty(),
            "seed {seed}: {:?}\n{drawn}",
            found.violations
        );
        let done: u32 = found.rows.iter().flat_map(|r| r.answered_in_time).sum();
        let asked: u32 = found.rows.iter().flat_map(|r| r.requests).sum();
        assert!(
            f64::from(done) > 0.5 * f64::from(asked),
            "seed {seed}: {done} of {asked}"
        );
    }
}

#[test]
fn each_part_plays_alone() {
    let off = Features::default();
    let feature_sets = [
        off,
        Features {
            membership: true,
            ..off
        },
        Features {
            membership: true,
            quota: true,
            ..off
        },
        Features {
            backends: true,
            ..off
        },
        Features {
            concurrency: true,
            ..off
        },
        Features::ALL,
    ];
    for features in feature_sets {
        let found = simulate(
            &History {
                features,
                seconds: 15,
                ..small()
            },
            9,
        );
        assert!(
            found.violations.is_empty(),
            "{features}: {:?}",
            found.violations
        );
        let last = &found.rows[10..14];
        let (done, asked) = last.iter().fold((0, 0), |sum, r| {
            (
                sum.0 + r.answered_in_time.iter().sum::<u32>(),
                sum.1 + r.requests.iter().sum::<u32>(),
            )
        });
        assert!(
            f64::from(done) > 0.97 * f64::from(asked),
            "{features}: {done} of {asked}"
        );
    }
}

fn backend_fault(index: usize, fault: BackendFault) -> Fault {
    Fault::Backend {
        backend: BackendId(index),
        fault: Some(fault),
    }
}

/// What breaks, and under which faults it does.
fn planted(defect: Defect) -> (Invariant, Vec<ScheduledFault>) {
    match defect {
        Defect::LostAnswers => (Invariant::OneAnswerEach, vec![]),
        Defect::RepeatedRuns => (Invariant::NoEffectTwice, vec![]),
        Defect::ShortLeaseTerms => {
            // Work at half of the servers, lent to by the others, whose own comes back in the middle of a cut.
            let load = |at, one: f64, other: f64| {
                (0..6).map(move |s| {
                    ScheduledFault::new(
                        at,
                        Fault::Load {
                            server: ServerId(s),
                            factor: if s % 2 == 0 { one } else { other },
                        },
                    )
                })
            };
            let mut faults: Vec<ScheduledFault> = (0..3)
                .map(|b| {
                    ScheduledFault::new(
                        5_000,
                        backend_fault(b, BackendFault::Slow { factor: 30.0 }),
                    )
                })
                .collect();
            faults.extend(load(6_000, 5.0, 0.05));
            faults.push(ScheduledFault::new(12_000, Fault::Halves));
            faults.extend(load(12_000, 5.0, 5.0));
            faults.push(ScheduledFault::new(20_000, Fault::Heal));
            (Invariant::QuotaNeverExceeded, faults)
        }
        Defect::UnboundedRetries => {
            let faults = (0..3)
                .map(|b| ScheduledFault::new(5_000, backend_fault(b, BackendFault::Failing)))
                .collect();
            (Invariant::BoundedRetries, faults)
        }
        Defect::EndlessSuspicion => (
            Invariant::ViewsSettle,
            vec![ScheduledFault::new(5_000, Fault::Kill(ServerId(4)))],
        ),
    }
}

#[test]
fn known_faults_are_found_and_shrunk() {
    for defect in Defect::ALL {
        let name = defect.name();
        let (invariant, faults) = planted(defect);
        let mut sound = History { faults, ..small() };
        if defect == Defect::ShortLeaseTerms {
            sound.quota = 12;
            sound.features = Features {
                membership: true,
                quota: true,
                ..Features::default()
            };
            sound.seconds = 21;
        } else if defect == Defect::UnboundedRetries {
            // Limits that follow what lies below would let few calls go at all.
            sound.features = Features {
                backends: true,
                ..Features::default()
            };
            sound.seconds = 20;
        }
        let found = simulate(&sound, 1);
        assert!(
            found.violations.is_empty(),
            "{name} without the fault: {:?}",
            found.violations
        );
        let ill = History {
            defect: Some(defect),
            ..sound
        };
        let found = simulate(&ill, 1);
        assert!(
            found.violations.iter().any(|b| b.invariant == invariant),
            "{name}: {:?}",
            found.violations
        );
        let least = shrink(&ill, 1, invariant);
        assert!(least.faults.len() <= ill.faults.len());
        assert!(
            simulate(&least, 1)
                .violations
                .iter()
                .any(|b| b.invariant == invariant),
            "{name} shrunk"
        );
        assert_eq!(History::parse("x", &least.to_string()), Ok(least));
    }
}
