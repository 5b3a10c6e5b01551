//! Each known defect violates the invariant that guards against it. Without the defect nothing is violated, and the
//! history with the defect can be shrunk.

mod support;

use madderbay_simulation::{
    BackendFault, BackendId, Defect, Fault, Features, History, Invariant, ScheduledFault, ServerId,
    shrink, simulate,
};
use support::small_fleet;

const SEED: u64 = 1;

fn violates(history: &History, invariant: Invariant) -> bool {
    let report = simulate(history, SEED);
    let mut violations = report.violations.iter();
    violations.any(|violation| violation.invariant == invariant)
}

/// Asserts that the invariant is violated with the defect, that nothing is violated without it, and that the history
/// can be shrunk.
fn assert_detected(defect: Defect, invariant: Invariant, defect_free: &History) {
    assert_eq!(
        simulate(defect_free, SEED).violations,
        [],
        "without the defect"
    );
    let defective = History {
        defect: Some(defect),
        ..defect_free.clone()
    };
    assert!(violates(&defective, invariant), "{defective}");
    let shortest = shrink(&defective, SEED, invariant);
    assert!(shortest.faults.len() <= defective.faults.len());
    assert!(violates(&shortest, invariant), "shrunk: {shortest}");
    assert_eq!(History::parse("x", &shortest.to_string()), Ok(shortest));
}

fn all_backends(fault: BackendFault) -> Vec<ScheduledFault> {
    let fault_of = |backend| Fault::Backend {
        backend,
        fault: Some(fault),
    };
    (0..3)
        .map(|index| ScheduledFault::new(5_000, fault_of(BackendId(index))))
        .collect()
}

/// Sets the load of each second server to `even`, beginning with the first, and of the others to `odd`.
fn uneven_load(at_ms: u64, even: f64, odd: f64) -> impl Iterator<Item = ScheduledFault> {
    (0..6).map(move |index| {
        let server = ServerId(index);
        let factor = if index % 2 == 0 { even } else { odd };
        ScheduledFault::new(at_ms, Fault::Load { server, factor })
    })
}

#[test]
fn detects_lost_answers() {
    let invariant = Invariant::OneAnswerPerRequest;
    assert_detected(Defect::LostAnswers, invariant, &small_fleet());
}

#[test]
fn detects_repeated_runs() {
    let invariant = Invariant::NoDuplicateEffects;
    assert_detected(Defect::RepeatedRuns, invariant, &small_fleet());
}

#[test]
fn detects_lease_terms_shorter_than_calls() {
    // Half of the servers are busy, with quota leased from the others, which reclaim their own quota during a
    // partition.
    let mut faults = all_backends(BackendFault::Slow { factor: 30.0 });
    faults.extend(uneven_load(6_000, 5.0, 0.05));
    faults.push(ScheduledFault::new(12_000, Fault::PartitionHalves));
    faults.extend(uneven_load(12_000, 5.0, 5.0));
    faults.push(ScheduledFault::new(20_000, Fault::Heal));
    let history = History {
        quota: 12,
        seconds: 21,
        features: Features {
            membership: true,
            quota: true,
            ..Features::NONE
        },
        faults,
        ..small_fleet()
    };
    let invariant = Invariant::QuotaNeverExceeded;
    assert_detected(Defect::ShortLeaseTerms, invariant, &history);
}

#[test]
fn detects_unbounded_retries() {
    let history = History {
        seconds: 20,
        // Concurrency limits adapt to the backends, and would admit only a few calls.
        features: Features {
            backends: true,
            ..Features::NONE
        },
        faults: all_backends(BackendFault::Failing),
        ..small_fleet()
    };
    let invariant = Invariant::BoundedRetries;
    assert_detected(Defect::UnboundedRetries, invariant, &history);
}

#[test]
fn detects_endless_suspicion() {
    let history = History {
        faults: vec![ScheduledFault::new(5_000, Fault::Kill(ServerId(4)))],
        ..small_fleet()
    };
    let invariant = Invariant::ViewsConverge;
    assert_detected(Defect::EndlessSuspicion, invariant, &history);
}
