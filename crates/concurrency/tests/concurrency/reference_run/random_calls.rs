//! Replay of an adaptive limit with random calls.

use super::{Digest, STRING_WRITE_SUCCEEDS, assert_same_lines, recorded_name};
use crate::simulation::at;
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::{AdaptiveLimit, Completion, Permit};
use std::fmt::Write;

/// An adaptive limit with random calls, whose phases alternate between fast, slow, failing and
/// abandoned calls.
struct RandomCalls {
    limit: AdaptiveLimit,
    max: f64,
    random: oorandom::Rand64,
    open: Vec<Permit>,
    ms: u64,
}

impl RandomCalls {
    fn new(seed: u64) -> RandomCalls {
        let max = [1.0, 4.0, 8.0, 12.5, 40.0, 80.0][seed as usize];
        let lifetime = Duration::from_millis([0, 200, 50, 0, 400, 200][seed as usize]);
        RandomCalls {
            limit: AdaptiveLimit::new(at(0), seed, max, lifetime),
            max,
            random: oorandom::Rand64::new(u128::from(100 + seed)),
            open: vec![],
            ms: 20_000,
        }
    }

    fn now(&self) -> Timestamp {
        at(self.ms)
    }

    fn step(&mut self, phase: u64) {
        let draw = self.random.rand_float();
        if draw < 0.4 {
            self.start_call();
        } else if draw < 0.75 {
            self.end_call(phase);
        } else if draw < 0.752 {
            self.limit
                .set_max(self.max * (0.5 + self.random.rand_float()));
        } else if draw < 0.7525 {
            self.ms = self.ms.saturating_sub(self.random.rand_range(0..1_500));
        } else {
            self.ms += self.random.rand_range(0..if phase == 1 { 60 } else { 15 });
        }
    }

    fn start_call(&mut self) {
        if self.limit.in_flight() < self.limit.allowed_in_flight() {
            self.open.push(self.limit.acquire(self.now()));
        } else {
            self.limit.record_saturation();
        }
    }

    fn end_call(&mut self, phase: u64) {
        if self.open.is_empty() {
            return;
        }
        let index = self.random.rand_range(0..self.open.len() as u64) as usize;
        let permit = self.open.swap_remove(index);
        let draw = self.random.rand_float();
        let completion = match phase {
            2 if draw < 0.7 => Completion::Failure,
            3 if draw < 0.8 => Completion::TimedOut,
            _ if draw < 0.02 => Completion::Failure,
            _ if draw < 0.04 => Completion::TimedOut,
            _ if draw < 0.06 => Completion::Cancelled,
            _ => Completion::Success,
        };
        let stalled = self.random.rand_float() < 0.03;
        self.limit.release(self.now(), permit, completion, stalled);
    }
}

#[test]
fn limits_after_random_calls_equal_recorded_ones() {
    let mut text = String::new();
    for seed in 0..6 {
        let mut calls = RandomCalls::new(seed);
        let mut digest = Digest::new();
        writeln!(text, "limit {seed} of {:?}", calls.max).expect(STRING_WRITE_SUCCEEDS);
        for step in 0..6_000u64 {
            calls.step((step / 750) % 4);
            if let Some(change) = calls.limit.tick(calls.now()) {
                let (from, limit) = (change.from, calls.limit.limit());
                let (cause, allowed) =
                    (recorded_name(change.cause), calls.limit.allowed_in_flight());
                writeln!(text, "{step} {from:?} {limit:?} {cause} {allowed}")
                    .expect(STRING_WRITE_SUCCEEDS);
            }
            digest.add(calls.limit.limit().to_bits());
            digest.add(calls.limit.minimum_latency_secs().map_or(0, f64::to_bits));
            digest.add(calls.limit.allowed_in_flight() as u64);
            digest.add(calls.limit.in_flight() as u64);
        }
        writeln!(text, "end {:016x}", digest.0).expect(STRING_WRITE_SUCCEEDS);
    }
    assert_same_lines(&text, include_str!("data/limit_events.txt"));
}
