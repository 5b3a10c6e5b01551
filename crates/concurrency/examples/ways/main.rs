//! Compares the limit policies that `docs/notes/pools.md` discusses in the same simulated
//! scenarios:
//!
//! `cargo run --release -p madderbay-concurrency --example ways`

mod policies;
#[path = "../../tests/concurrency/simulation/mod.rs"]
mod simulation;

use policies::policies;
use simulation::{Behavior, FAULT_MS, RECOVERY_MS, Scenario, Trace, WARM_MS, simulate};

/// Seeds over which each measure is averaged.
const SEEDS: u64 = 10;

struct NamedScenario {
    name: &'static str,
    /// Maximum limit of each policy, equal to the quota of calls.
    max: f64,
    scenario: Scenario,
    fault_from_ms: u64,
    fault_to_ms: u64,
}

fn named(name: &'static str, max: f64, scenario: Scenario) -> NamedScenario {
    NamedScenario {
        name,
        max,
        scenario,
        fault_from_ms: FAULT_MS,
        fault_to_ms: RECOVERY_MS,
    }
}

fn scenarios() -> Vec<NamedScenario> {
    let slow = |factor| Scenario::with_fault(Behavior::Slow(factor));
    let busy = |factor, per_second| slow(factor).with(|s| s.per_second = per_second);
    let cold = named("cold", 12.0, Scenario::warming_up());
    vec![
        named("no fault", 12.0, Scenario::default()),
        named("slow x2, busy", 12.0, busy(2.0, 250.0)),
        named("slow x7", 12.0, slow(7.0)),
        named("slow x20", 12.0, slow(20.0)),
        named(
            "slow x20, thrash",
            12.0,
            slow(20.0).with(|s| s.overload_slowdown = 0.5),
        ),
        named("slow x20, noise", 12.0, slow(20.0).with(|s| s.spread = 1.0)),
        named(
            "slow x20, others",
            12.0,
            slow(20.0).with(|s| s.other_callers = 3),
        ),
        named("fails fast", 12.0, Scenario::with_fault(Behavior::Failing)),
        named("high quota", 40.0, busy(7.0, 300.0)),
        named(
            "high quota, thrash",
            40.0,
            busy(7.0, 300.0).with(|s| s.overload_slowdown = 0.5),
        ),
        named("silent", 12.0, Scenario::with_fault(Behavior::Silent)),
        NamedScenario {
            fault_from_ms: 0,
            fault_to_ms: WARM_MS,
            ..cold
        },
    ]
}

/// Measures of one policy in one scenario, averaged over the seeds.
#[derive(Default)]
struct Measures {
    succeeded_in_fault: f64,
    succeeded_after: f64,
    failed: f64,
    peak: f64,
    variation: f64,
    worst_variation: f64,
}

impl Measures {
    fn add(&mut self, named: &NamedScenario, trace: &Trace) {
        let (from, to) = (named.fault_from_ms, named.fault_to_ms);
        let variation = trace.limit_variation(from + 3_000, to);
        let seeds = SEEDS as f64;
        self.succeeded_in_fault += f64::from(trace.succeeded(from, to)) / seeds;
        self.succeeded_after += f64::from(trace.succeeded(to, to + 2_000)) / seeds;
        self.failed += f64::from(trace.failed(from, to)) / seeds;
        self.peak += trace.peak_in_flight(from, to) as f64 / seeds;
        self.variation += variation / seeds;
        self.worst_variation = self.worst_variation.max(variation);
    }
}

fn measure(named: &NamedScenario, policy_index: usize) -> Measures {
    let mut measures = Measures::default();
    for seed in 0..SEEDS {
        let scenario = Scenario {
            seed,
            ..named.scenario.clone()
        };
        let mut policy = policies(named.max).swap_remove(policy_index).policy;
        measures.add(named, &simulate(&scenario, &mut *policy));
    }
    measures
}

fn main() {
    println!(
        "scenario, policy: succeeded in the fault, in the 2 s after | failed | peak | limit variation from 3 s on, worst"
    );
    for named in scenarios() {
        for (index, policy) in policies(named.max).iter().enumerate() {
            let Measures {
                succeeded_in_fault,
                succeeded_after,
                failed,
                peak,
                variation,
                worst_variation,
            } = measure(&named, index);
            println!(
                "{:18} {:9} {succeeded_in_fault:7.0} {succeeded_after:5.0} |{failed:5.0} | {peak:4.1} |{variation:5.2} {worst_variation:4.2}",
                named.name, policy.name
            );
        }
    }
}
