//! A simulation of an upstream and its callers, in simulated time. Calls wait for a slot of the
//! upstream in the order of their start. A seed determines all random numbers. Shared by the tests
//! of the adaptive limit and by `examples/ways`.

mod policy;
mod scenario;
mod trace;

use madderbay::time::Timestamp;
use madderbay_concurrency::limit::{Completion, Permit};
use std::collections::VecDeque;
use trace::SAMPLE_INTERVAL_MS;

pub(crate) use policy::{EndedCall, FixedLimit, LimitPolicy};
pub(crate) use scenario::{Behavior, FAULT_MS, RECOVERY_MS, Scenario, WARM_MS};
pub(crate) use trace::{Sample, Trace};

/// Length of a step of the simulation, in ms.
const STEP_MS: u64 = 1;
/// Time for which an abandoned call still runs upstream, in ms.
const ABANDONED_CALL_LIFETIME_MS: u64 = 200;
/// Part of the timeout of a call, as a multiple of the mean latency, as in the decision module.
const TIMEOUT_FACTOR: f64 = 8.0;
/// Constant part of the timeout of a call, and so its minimum, in ms.
const MIN_TIMEOUT_MS: f64 = 40.0;
/// Weight of the newest call in the mean latency.
const LATENCY_WEIGHT: f64 = 0.1;

struct Call {
    permit: Option<Permit>,
    started_ms: u64,
    /// Remaining work, in ms at normal speed.
    work_left: f64,
    abandoned_ms: Option<u64>,
    failed: bool,
}

impl Call {
    fn is_over(&self) -> bool {
        self.work_left <= 0.0 || self.failed
    }
}

/// Returns the time on the clock of the simulation, in ms after its start.
pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1_000)
}

/// Runs a scenario with a policy.
pub(crate) fn simulate(scenario: &Scenario, policy: &mut dyn LimitPolicy) -> Trace {
    let mut simulation = Simulation::new(scenario, policy);
    for ms in (0..scenario.length_ms).step_by(STEP_MS as usize) {
        simulation.step(ms);
    }
    Trace {
        samples: simulation.samples,
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: &'a mut dyn LimitPolicy,
    random: oorandom::Rand64,
    behavior: Behavior,
    /// Calls that occupy the upstream, in the order of their start.
    calls: VecDeque<Call>,
    /// Arrival time, in ms, of each wanted call that has not started.
    waiting: VecDeque<u64>,
    in_flight: usize,
    succeeded: u32,
    failed: u32,
    mean_latency_ms: f64,
    samples: Vec<Sample>,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: &'a mut dyn LimitPolicy) -> Simulation<'a> {
        Simulation {
            scenario,
            policy,
            random: oorandom::Rand64::new(u128::from(scenario.seed)),
            behavior: Behavior::Slow(1.0),
            calls: VecDeque::new(),
            waiting: VecDeque::new(),
            in_flight: 0,
            succeeded: 0,
            failed: 0,
            mean_latency_ms: scenario.call_ms,
            samples: vec![],
        }
    }

    fn step(&mut self, ms: u64) {
        let mut phases = self.scenario.phases.iter().rev();
        if let Some(phase) = phases.find(|p| p.from_ms <= ms) {
            self.behavior = phase.behavior;
        }
        self.execute_calls();
        for ended in self.remove_ended_calls(ms) {
            self.report_end(ms, ended);
        }
        self.add_wanted_calls(ms);
        let is_sample = ms.is_multiple_of(SAMPLE_INTERVAL_MS);
        if is_sample {
            self.policy.tick(at(ms));
        }
        self.start_calls(ms);
        if is_sample {
            self.samples.push(Sample {
                limit: self.policy.limit(),
                in_flight: self.calls.len(),
                succeeded: self.succeeded,
                failed: self.failed,
            });
        }
    }

    /// Advances the oldest calls, which occupy the slots of the upstream.
    fn execute_calls(&mut self) {
        let scenario = self.scenario;
        let load = self.calls.len() as f64 / scenario.slots as f64;
        let speed = match self.behavior {
            Behavior::Slow(factor) => {
                1.0 / (factor * (1.0 + scenario.overload_slowdown * (load - 1.0).max(0.0)))
            }
            Behavior::Failing => 1.0,
            Behavior::Silent => 0.0,
        };
        let others = scenario.other_callers.min(scenario.slots - 1);
        for call in self.calls.iter_mut().take(scenario.slots - others) {
            call.work_left -= STEP_MS as f64 * speed;
            call.failed |= matches!(self.behavior, Behavior::Failing);
        }
    }

    /// Removes the calls that ended, and those whose lifetime after they were abandoned is over.
    /// Abandons calls that exceed their timeout. Returns the calls whose callers learn of their
    /// end.
    fn remove_ended_calls(&mut self, ms: u64) -> Vec<EndedCall> {
        let timeout_ms = (TIMEOUT_FACTOR * self.mean_latency_ms + MIN_TIMEOUT_MS) as u64;
        let mut ended = vec![];
        self.calls.retain_mut(|call| {
            let latency_ms = ms - call.started_ms;
            let mut report = |completion| {
                let permit = call.permit;
                ended.push(EndedCall {
                    permit,
                    completion,
                    latency_ms,
                });
            };
            if call.is_over() {
                if call.abandoned_ms.is_none() {
                    report(if call.failed {
                        Completion::Failure
                    } else {
                        Completion::Success
                    });
                }
                return false;
            }
            if call.abandoned_ms.is_none() && latency_ms > timeout_ms {
                call.abandoned_ms = Some(ms);
                report(Completion::TimedOut);
            }
            call.abandoned_ms
                .is_none_or(|since| ms < since + ABANDONED_CALL_LIFETIME_MS)
        });
        ended
    }

    fn report_end(&mut self, ms: u64, call: EndedCall) {
        if call.completion != Completion::Failure {
            let deviation_ms = call.latency_ms as f64 - self.mean_latency_ms;
            self.mean_latency_ms += LATENCY_WEIGHT * deviation_ms;
        }
        self.succeeded += u32::from(call.completion == Completion::Success);
        self.failed += u32::from(call.completion != Completion::Success);
        self.policy.completed(at(ms), &call, self.in_flight);
        self.in_flight -= 1;
    }

    fn add_wanted_calls(&mut self, ms: u64) {
        if self.random.rand_float() < self.scenario.per_second * STEP_MS as f64 / 1e3 {
            self.waiting.push_back(ms);
        }
        let max_wait_ms = self.scenario.max_wait_ms;
        self.waiting
            .retain(|arrived_ms| ms - arrived_ms < max_wait_ms);
    }

    /// Starts calls up to the limit, the newest first, as the decision module does.
    fn start_calls(&mut self, ms: u64) {
        let scenario = self.scenario;
        while !self.waiting.is_empty()
            && self.in_flight
                < self
                    .policy
                    .allowed_in_flight()
                    .min(scenario.caller_capacity)
        {
            self.waiting.pop_back();
            self.in_flight += 1;
            let exponential = -(1.0 - self.random.rand_float()).ln();
            self.calls.push_back(Call {
                permit: self.policy.started(at(ms)),
                started_ms: ms,
                work_left: scenario.call_ms
                    * (1.0 - scenario.spread + scenario.spread * exponential),
                abandoned_ms: None,
                failed: false,
            });
        }
        if !self.waiting.is_empty() && self.in_flight < scenario.caller_capacity {
            self.policy.saturated();
        }
    }
}
