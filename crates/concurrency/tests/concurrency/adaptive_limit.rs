//! Tests of the adaptive limit with a simulated upstream that is slow, failing, silent, cold,
//! shared with other callers, or has noisy latency.

use crate::simulation::{
    Behavior, FAULT_MS, FixedLimit, LimitPolicy, RECOVERY_MS, Scenario, Trace, WARM_MS, at,
    simulate,
};
use madderbay::time::Duration;
use madderbay_concurrency::limit::AdaptiveLimit;

const MAX_LIMIT: f64 = 12.0;

fn adaptive(max: f64) -> AdaptiveLimit {
    AdaptiveLimit::new(at(0), 7, max, Duration::from_millis(200))
}

/// One measure of both policies, each summed over ten seeds.
struct Comparison {
    adaptive: f64,
    fixed: f64,
}

/// Compares the adaptive limit with a fixed limit at the same maximum.
fn compare(scenario: &Scenario, max: f64, measure: impl Fn(&Trace) -> f64) -> Comparison {
    let sum = |policy: &dyn Fn() -> Box<dyn LimitPolicy>| -> f64 {
        let traces = (0..10).map(|seed| {
            let scenario = Scenario {
                seed,
                ..scenario.clone()
            };
            simulate(&scenario, &mut *policy())
        });
        traces.map(|trace| measure(&trace)).sum()
    };
    Comparison {
        adaptive: sum(&|| Box::new(adaptive(max))),
        fixed: sum(&|| Box::new(FixedLimit(max))),
    }
}

/// A slow upstream is no reason for fewer calls: throughput stays near what the slots of the
/// upstream allow.
#[test]
fn keeps_throughput_when_upstream_slows_down() {
    for factor in [2.0, 7.0, 20.0] {
        for (spread, other_callers) in [(0.3, 0), (1.0, 0), (0.3, 3)] {
            let scenario = Scenario {
                spread,
                other_callers,
                ..Scenario::with_fault(Behavior::Slow(factor))
            };
            let Comparison { adaptive, fixed } = compare(&scenario, MAX_LIMIT, |trace| {
                f64::from(trace.succeeded(FAULT_MS, RECOVERY_MS))
            });
            let case = format!("{factor} times slower, spread {spread}");
            assert!(adaptive > 0.9 * fixed, "{case}: {adaptive} of {fixed}");
        }
    }
}

/// If concurrency reduces the throughput of the upstream and the maximum is far too high, the limit
/// falls and throughput rises.
#[test]
fn reduces_concurrency_when_upstream_is_overloaded() {
    let scenario = Scenario {
        overload_slowdown: 0.5,
        per_second: 300.0,
        ..Scenario::with_fault(Behavior::Slow(7.0))
    };
    let throughput = compare(&scenario, 40.0, |trace| {
        f64::from(trace.succeeded(FAULT_MS, RECOVERY_MS))
    });
    let Comparison { adaptive, fixed } = throughput;
    assert!(
        adaptive > 1.5 * fixed,
        "{adaptive} calls, {fixed} at the fixed limit"
    );
    let peak = compare(&scenario, 40.0, |trace| {
        trace.peak_in_flight(RECOVERY_MS - 2_000, RECOVERY_MS) as f64
    });
    let Comparison { adaptive, fixed } = peak;
    assert!(
        adaptive < 0.7 * fixed,
        "{adaptive} in flight, {fixed} at the fixed limit"
    );
}

/// For maxima from too low to ten times too high: once calls are slow, the limit approaches what
/// the slots sustain, although the callers never have as many calls in flight as the highest maxima
/// allow, and no throughput is lost.
#[test]
fn lowers_limit_from_excessive_maximum_to_sustained_concurrency() {
    for max in [2.0, 6.0, 12.0, 40.0, 80.0] {
        let (mut mean_limit, mut adaptive_succeeded, mut fixed_succeeded) = (0.0, 0.0, 0.0);
        for seed in 0..10 {
            let fault = Scenario::with_fault(Behavior::Slow(20.0));
            let scenario = Scenario {
                seed,
                per_second: 90.0,
                caller_capacity: 15,
                ..fault
            };
            let trace = simulate(&scenario, &mut adaptive(max));
            let steady = trace.samples_between(FAULT_MS + 3_000, RECOVERY_MS);
            mean_limit += steady.iter().map(|s| s.limit).sum::<f64>() / 500.0 / 10.0;
            adaptive_succeeded += f64::from(trace.succeeded(FAULT_MS, RECOVERY_MS));
            let fixed = simulate(&scenario, &mut FixedLimit(max.min(8.0)));
            fixed_succeeded += f64::from(fixed.succeeded(FAULT_MS, RECOVERY_MS));
        }
        assert!(
            mean_limit <= 14.0 && mean_limit >= 0.8 * max.min(5.0),
            "maximum {max}: {mean_limit:.1}"
        );
        assert!(
            adaptive_succeeded > 0.85 * fixed_succeeded,
            "maximum {max}: {adaptive_succeeded} calls, {fixed_succeeded} at a fixed limit of the slots"
        );
    }
}

/// Within two seconds after a recovery, throughput is about what it would be with a fixed limit,
/// and the calls in flight never exceed the maximum by more than eight.
#[test]
fn restores_throughput_within_two_seconds_of_recovery() {
    for behavior in [Behavior::Slow(20.0), Behavior::Failing, Behavior::Silent] {
        let scenario = Scenario::with_fault(behavior);
        let Comparison {
            adaptive: adaptive_succeeded,
            fixed,
        } = compare(&scenario, MAX_LIMIT, |trace| {
            f64::from(trace.succeeded(RECOVERY_MS, RECOVERY_MS + 2_000))
        });
        assert!(
            adaptive_succeeded > 0.9 * fixed,
            "after {behavior:?}: {adaptive_succeeded} of {fixed}"
        );
        for seed in 0..10 {
            let scenario = Scenario {
                seed,
                ..Scenario::with_fault(behavior)
            };
            let trace = simulate(&scenario, &mut adaptive(MAX_LIMIT));
            let succeeded = trace.succeeded(RECOVERY_MS, RECOVERY_MS + 2_000);
            let peak = trace.peak_in_flight(RECOVERY_MS, RECOVERY_MS + 2_000);
            assert!(succeeded > 0, "after {behavior:?}, seed {seed}");
            assert!(
                peak <= MAX_LIMIT as usize + 8,
                "{peak} in flight after {behavior:?}, seed {seed}"
            );
        }
    }
}

/// Fast failures are not mistaken for low latency.
#[test]
fn makes_few_calls_while_upstream_fails_fast() {
    let scenario = Scenario::with_fault(Behavior::Failing);
    let Comparison { adaptive, fixed } = compare(&scenario, MAX_LIMIT, |trace| {
        f64::from(trace.failed(FAULT_MS, RECOVERY_MS))
    });
    assert!(
        adaptive < 0.3 * fixed,
        "{adaptive} failed, {fixed} at the fixed limit"
    );
}

/// An upstream that is slow from the start is not mistaken for an overloaded one, and the end of
/// its warm-up is noticed.
#[test]
fn keeps_throughput_while_upstream_warms_up() {
    let scenario = Scenario::warming_up();
    let cold = compare(&scenario, MAX_LIMIT, |trace| {
        f64::from(trace.succeeded(0, WARM_MS))
    });
    let Comparison { adaptive, fixed } = cold;
    assert!(adaptive > 0.93 * fixed, "{adaptive} of {fixed} while cold");
    let warm = compare(&scenario, MAX_LIMIT, |trace| {
        f64::from(trace.succeeded(WARM_MS, WARM_MS + 2_000))
    });
    let Comparison { adaptive, fixed } = warm;
    assert!(adaptive > 0.93 * fixed, "{adaptive} of {fixed} once warm");
}

/// From three seconds after the start and after the end of a fault, the limit varies by less than a
/// fifth of its mean. In fewer than one period in 16 it may vary more, because of a single probe.
#[test]
fn limit_stabilizes_within_three_seconds() {
    let (mut unstable, mut periods) = (0, 0);
    for seed in 0..24 {
        for factor in [2.0, 7.0, 20.0] {
            for slots in [4, 8, 11] {
                let scenario = Scenario {
                    seed,
                    slots,
                    ..Scenario::with_fault(Behavior::Slow(factor))
                };
                let trace = simulate(&scenario, &mut adaptive(MAX_LIMIT));
                periods += 2;
                let during = trace.limit_variation(FAULT_MS + 3_000, RECOVERY_MS);
                let after = trace.limit_variation(RECOVERY_MS + 3_000, 20_000);
                for variation in [during, after] {
                    unstable += u32::from(variation >= 0.2);
                    let case = format!("seed {seed}, {factor} times slower, {slots} slots");
                    assert!(variation < 1.0, "{case}: {variation}");
                }
            }
        }
    }
    assert!(
        unstable * 16 < periods,
        "limit unstable in {unstable} of {periods} periods"
    );
}
