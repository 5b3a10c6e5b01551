//! Replay of the limiter with random requests.

use super::configs::configs;
use super::{Digest, STRING_WRITE_SUCCEEDS, assert_same_lines, recorded_name};
use crate::simulation::at;
use crate::support::{QUOTE, call_requirements};
use madderbay::interface::HandlerId;
use madderbay::time::Timestamp;
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{ConcurrencyConfig, ConcurrencyLimiter, RequestStage};
use std::fmt::Write;

/// Progress of a request of [`RandomRequests`].
#[derive(Clone, Copy)]
enum Progress {
    Queued,
    Started,
    AwaitingCall,
    Calling,
    Finishing,
}

struct OpenRequest {
    id: u64,
    handler: HandlerId,
    progress: Progress,
}

/// A limiter with random requests, whose phases alternate between calls that mostly succeed, fail
/// and time out.
struct RandomRequests {
    limiter: ConcurrencyLimiter,
    random: oorandom::Rand64,
    open: Vec<OpenRequest>,
    last_id: u64,
    ms: u64,
}

impl RandomRequests {
    fn new(index: usize, config: ConcurrencyConfig) -> RandomRequests {
        RandomRequests {
            limiter: ConcurrencyLimiter::new(at(0), 11, config, &call_requirements()),
            random: oorandom::Rand64::new(500 + index as u128),
            open: vec![],
            last_id: 0,
            ms: 30_000,
        }
    }

    fn now(&self) -> Timestamp {
        at(self.ms)
    }

    fn step(&mut self, phase: u64) {
        let draw = self.random.rand_float();
        if draw < 0.2 && self.open.len() < 60 {
            self.add_request();
        } else if draw < 0.85 && !self.open.is_empty() {
            let index = self.random.rand_range(0..self.open.len() as u64) as usize;
            self.advance_request(index, phase);
        } else if draw < 0.86 {
            self.limiter
                .set_call_quota(4.0 + 12.0 * self.random.rand_float());
        } else if draw < 0.862 {
            self.limiter.process_stalled(self.now());
        } else if draw < 0.863 {
            self.ms = self.ms.saturating_sub(self.random.rand_range(0..1_000));
        } else {
            self.ms += self.random.rand_range(0..60);
        }
    }

    fn add_request(&mut self) {
        self.last_id += 1;
        let handler = HandlerId::new(self.random.rand_range(0..4) as usize);
        self.limiter
            .set_stage(self.now(), self.last_id, handler, RequestStage::Queued);
        self.open.push(OpenRequest {
            id: self.last_id,
            handler,
            progress: Progress::Queued,
        });
    }

    fn advance_request(&mut self, index: usize, phase: u64) {
        let OpenRequest {
            id,
            handler,
            progress,
        } = self.open[index];
        let (now, draw) = (self.now(), self.random.rand_float());
        self.open[index].progress = match progress {
            Progress::Queued => {
                self.limiter
                    .set_stage(now, id, handler, RequestStage::Running);
                Progress::Started
            }
            Progress::Started if handler != QUOTE && draw < 0.8 => {
                self.limiter
                    .set_stage(now, id, handler, RequestStage::AwaitingCall);
                Progress::AwaitingCall
            }
            Progress::AwaitingCall if draw < 0.1 => {
                self.limiter.call_skipped(now, id);
                Progress::Finishing
            }
            Progress::AwaitingCall => self.start_call(id, handler, draw),
            Progress::Calling => self.end_call(id, phase, draw),
            Progress::Started | Progress::Finishing => {
                self.limiter.request_finished(now, id);
                self.open.swap_remove(index);
                return;
            }
        };
    }

    /// Starts a call if the limit allows it. Otherwise the request keeps waiting for a call, and
    /// some such requests are answered meanwhile.
    fn start_call(&mut self, id: u64, handler: HandlerId, draw: f64) -> Progress {
        let now = self.now();
        let usage = self.limiter.call_usage();
        if usage.is_none_or(|calls| (calls.in_flight as f64) < calls.limit) {
            self.limiter
                .set_stage(now, id, handler, RequestStage::Calling);
            return Progress::Calling;
        }
        if draw > 0.9 {
            self.limiter.request_answered(now, id);
        }
        Progress::AwaitingCall
    }

    fn end_call(&mut self, id: u64, phase: u64, draw: f64) -> Progress {
        let completion = match phase {
            1 if draw < 0.6 => Completion::Failure,
            2 if draw < 0.6 => Completion::TimedOut,
            _ if draw < 0.05 => Completion::Cancelled,
            _ => Completion::Success,
        };
        self.limiter.call_finished(self.now(), id, completion);
        if completion == Completion::Success {
            Progress::Finishing
        } else {
            Progress::AwaitingCall
        }
    }

    /// Computes the ceilings for a random number of workers, adds them to the digest, and returns
    /// them as a line.
    fn ceilings(&mut self, digest: &mut Digest) -> String {
        let workers = 6.0 + 6.0 * self.random.rand_float();
        let number = |n: usize| {
            if n == usize::MAX {
                "-".into()
            } else {
                n.to_string()
            }
        };
        let mut parts = vec![];
        for ceiling in self.limiter.ceilings(at(self.ms), workers) {
            ceiling
                .handlers
                .iter()
                .for_each(|handler| digest.add(handler.index() as u64));
            digest.add(ceiling.runs as u64);
            digest.add(ceiling.calls as u64);
            let interval_secs = ceiling.start_interval.as_secs_f64();
            digest.add(interval_secs.to_bits());
            let handlers: String = ceiling
                .handlers
                .iter()
                .map(|handler| handler.index().to_string())
                .collect();
            let (runs, calls) = (number(ceiling.runs), number(ceiling.calls));
            parts.push(format!("{handlers}:{runs}/{calls}/{interval_secs:?}"));
        }
        parts.join(" ")
    }

    fn add_state(&self, digest: &mut Digest) {
        for handler in self.limiter.reserved() {
            digest.add(100 + handler.index() as u64);
        }
        for upstream in self.limiter.upstream_usage() {
            digest.add(upstream.calls.limit.to_bits());
            digest.add(upstream.calls.in_flight as u64);
        }
        for pool in self.limiter.pool_usage() {
            let counters = [
                pool.queued,
                pool.runs,
                pool.calls,
                pool.max_runs,
                pool.max_calls,
            ];
            counters
                .iter()
                .for_each(|counter| digest.add(*counter as u64));
        }
        digest.add(self.limiter.hung() as u64);
    }
}

#[test]
fn ceilings_after_random_requests_equal_recorded_ones() {
    let mut text = String::new();
    for (index, (name, config)) in configs().into_iter().enumerate() {
        let mut requests = RandomRequests::new(index, config);
        let mut digest = Digest::new();
        writeln!(text, "plan {name}").expect(STRING_WRITE_SUCCEEDS);
        for step in 0..4_000u64 {
            requests.step((step / 800) % 3);
            if requests.limiter.is_stale(requests.now()) {
                let ceilings = requests.ceilings(&mut digest);
                if step % 250 == 0 {
                    writeln!(text, "{step} {ceilings}").expect(STRING_WRITE_SUCCEEDS);
                }
            }
            let taken = requests.limiter.take_limit_changes();
            for change in taken.changes {
                let cause = recorded_name(change.cause);
                writeln!(text, "{step} {:?} {:?} {cause}", change.from, change.to)
                    .expect(STRING_WRITE_SUCCEEDS);
            }
            digest.add(taken.dropped);
            requests.add_state(&mut digest);
        }
        let (changes, open) = (requests.limiter.change_count(), requests.limiter.len());
        writeln!(text, "end {changes} {open} {:016x}", digest.0).expect(STRING_WRITE_SUCCEEDS);
    }
    assert_same_lines(&text, include_str!("data/limiter_events.txt"));
}
