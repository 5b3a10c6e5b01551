//! Simulations without a known defect: they are deterministic, violate no invariant, and answer most requests in time.

mod support;

use madderbay_simulation::{Features, History, SecondRow, simulate};
use support::{fraction_in_time, small_fleet};

#[test]
fn same_seed_gives_the_same_report_and_another_seed_other_rows() {
    let history = small_fleet().with_random_faults(3, 12);
    assert_eq!(simulate(&history, 3), simulate(&history, 3));
    assert_ne!(simulate(&history, 3).rows, simulate(&history, 4).rows);
}

#[test]
fn random_faults_violate_no_invariant() {
    for seed in 100..116 {
        let history = small_fleet().with_random_faults(seed, 16);
        let report = simulate(&history, seed);
        assert_eq!(report.violations, [], "seed {seed}:\n{history}");
        let fraction = fraction_in_time(&report.rows);
        assert!(fraction > 0.5, "seed {seed}: {fraction}");
    }
}

#[test]
fn each_feature_runs_without_the_others() {
    let membership = Features {
        membership: true,
        ..Features::NONE
    };
    let quota = Features {
        quota: true,
        ..membership
    };
    let backends = Features {
        backends: true,
        ..Features::NONE
    };
    let concurrency = Features {
        concurrency: true,
        ..Features::NONE
    };
    let feature_sets = [
        Features::NONE,
        membership,
        quota,
        backends,
        concurrency,
        Features::ALL,
    ];
    for features in feature_sets {
        let history = History {
            features,
            seconds: 15,
            ..small_fleet()
        };
        let report = simulate(&history, 9);
        assert_eq!(report.violations, [], "{features}");
        let fraction = fraction_in_time(&report.rows[10..14]);
        assert!(fraction > 0.97, "{features}: {fraction}");
    }
}

#[test]
fn json_field_names_of_rows_are_stable() {
    let json = serde_json::to_string(&SecondRow::default()).unwrap();
    let expected = "{\"second\":0,\"asked\":[0,0,0],\"kept\":[0,0,0],\"shed\":0,\"errored\":0,\"peak\":0,\"calls\":0,\
                    \"running\":0,\"apart\":0,\"left_out\":0,\"bytes\":0}";
    assert_eq!(json, expected);
}
