//! Helpers that the measuring examples share: runs with several seeds, and settings.

use madderbay_testkit::measurement::seeds::run_seeds;
use madderbay_testkit::measurement::settings;

#[test]
fn runs_each_seed_once_and_returns_results_in_seed_order() {
    for threads in [1, 3, 20] {
        let results = run_seeds(2..12, threads, |seed| seed * 10);
        let expected: Vec<u64> = (2..12).map(|seed| seed * 10).collect();
        assert_eq!(results, expected, "{threads} threads");
    }
}

#[test]
fn with_quota_changes_only_the_quota() {
    for text in [settings::FLEET, settings::TRIPS] {
        let mut before: serde_json::Value = serde_json::from_str(text).expect("settings");
        let changed = settings::with_quota(text, 2.4);
        let after: serde_json::Value = serde_json::from_str(&changed).expect("settings");
        before["family_info"]["dep_share"] = 2.4.into();
        assert_eq!(after, before);
    }
}

#[test]
fn settings_without_load_shedding_differ_only_in_two_bounds() {
    let mut before: serde_json::Value = serde_json::from_str(settings::FLEET).expect("settings");
    let changed = settings::fleet_without_load_shedding();
    let after: serde_json::Value = serde_json::from_str(&changed).expect("settings");
    before["rules"]["tip_multiple"] = 40.0.into();
    before["family_info"]["memory_kb"] = 400_000.0.into();
    assert_eq!(after, before);
}
