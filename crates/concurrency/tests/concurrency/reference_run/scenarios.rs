//! Replay of an adaptive limit in simulated scenarios.

use super::{Digest, STRING_WRITE_SUCCEEDS, assert_same_lines};
use crate::simulation::{Behavior, Scenario, at, simulate};
use madderbay::time::Duration;
use madderbay_concurrency::limit::AdaptiveLimit;
use std::fmt::Write;

struct NamedScenario {
    name: &'static str,
    max: f64,
    scenario: Scenario,
}

fn scenarios() -> Vec<NamedScenario> {
    let slow = |factor| Scenario::with_fault(Behavior::Slow(factor));
    let named = |name, max, scenario| NamedScenario {
        name,
        max,
        scenario,
    };
    let few_callers = slow(20.0).with(|s| (s.per_second, s.caller_capacity) = (90.0, 15));
    let overload = slow(7.0).with(|s| (s.per_second, s.overload_slowdown) = (300.0, 0.5));
    vec![
        named("calm", 12.0, Scenario::default()),
        named(
            "slow-2-busy",
            12.0,
            slow(2.0).with(|s| s.per_second = 250.0),
        ),
        named("slow-7", 12.0, slow(7.0)),
        named(
            "slow-20-thrash",
            12.0,
            slow(20.0).with(|s| s.overload_slowdown = 0.5),
        ),
        named("slow-20-noise", 12.0, slow(20.0).with(|s| s.spread = 1.0)),
        named(
            "slow-20-others",
            12.0,
            slow(20.0).with(|s| s.other_callers = 3),
        ),
        named("fails-fast", 12.0, Scenario::with_fault(Behavior::Failing)),
        named("wide-thrash", 40.0, overload),
        named("few-hands", 80.0, few_callers),
        named("silent", 12.0, Scenario::with_fault(Behavior::Silent)),
        named("cold", 12.0, Scenario::warming_up()),
    ]
}

/// Appends each change of the limit in a scenario, then the state at its end.
fn replay_scenario(text: &mut String, named: &NamedScenario, seed: u64) {
    let start = at(0);
    let mut limit = AdaptiveLimit::new(start, 7, named.max, Duration::from_millis(200));
    let trace = simulate(
        &Scenario {
            seed,
            ..named.scenario.clone()
        },
        &mut limit,
    );
    writeln!(text, "world {} seed {seed}", named.name).expect(STRING_WRITE_SUCCEEDS);
    let (mut digest, mut last) = (Digest::new(), f64::NAN);
    for (index, sample) in trace.samples.iter().enumerate() {
        digest.add(sample.limit.to_bits());
        digest.add(sample.in_flight as u64);
        digest.add(u64::from(sample.succeeded));
        digest.add(u64::from(sample.failed));
        if sample.limit.to_bits() != last.to_bits() {
            writeln!(text, "{} {:?}", index * 10, sample.limit).expect(STRING_WRITE_SUCCEEDS);
            last = sample.limit;
        }
    }
    let end = trace.samples.last().expect("a scenario has samples");
    let (in_flight, succeeded, failed) = (end.in_flight, end.succeeded, end.failed);
    writeln!(
        text,
        "end {in_flight} {succeeded} {failed} {:016x}",
        digest.0
    )
    .expect(STRING_WRITE_SUCCEEDS);
}

#[test]
fn limits_in_scenarios_equal_recorded_ones() {
    let mut text = String::new();
    for named in scenarios() {
        for seed in [3, 4] {
            replay_scenario(&mut text, &named, seed);
        }
    }
    assert_same_lines(&text, include_str!("data/scenarios.txt"));
}
