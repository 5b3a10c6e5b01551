//! The limit policies that the example compares.

use crate::simulation::{EndedCall, FixedLimit, LimitPolicy, at};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::{AdaptiveLimit, Completion, Permit};

/// Lower bound on a latency as the policies measure it, in seconds.
const MIN_LATENCY_SECS: f64 = 1e-3;

impl EndedCall {
    fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms)
    }

    fn latency_secs(&self) -> f64 {
        self.latency().as_secs_f64().max(MIN_LATENCY_SECS)
    }
}

/// Additive increase, multiplicative decrease. The limit grows by 1/limit for each successful call
/// that takes less than twice the best latency. It falls by a tenth for each call that is slower or
/// does not succeed, at most once within the latency of such a call.
struct Aimd {
    limit: f64,
    max: f64,
    best_secs: f64,
    no_decrease_until: Timestamp,
}

impl Aimd {
    fn new(max: f64) -> Aimd {
        Aimd {
            limit: max,
            max,
            best_secs: 1.0,
            no_decrease_until: at(0),
        }
    }
}

impl LimitPolicy for Aimd {
    fn limit(&self) -> f64 {
        self.limit
    }
    fn completed(&mut self, now: Timestamp, call: &EndedCall, _: usize) {
        let secs = call.latency_secs();
        if call.completion == Completion::Success {
            self.best_secs = self.best_secs.min(secs);
        }
        if call.completion == Completion::Success && secs < 2.0 * self.best_secs {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        } else if now >= self.no_decrease_until {
            self.limit = (self.limit * 0.9).max(1.0);
            self.no_decrease_until = now + call.latency();
        }
    }
}

/// Latency gradient: multiplies the limit by the ratio of the long-term to the short-term mean
/// latency, and adds capacity for a queue of the square root of the limit.
struct Gradient {
    limit: f64,
    max: f64,
    long_secs: f64,
    short_secs: f64,
}

impl Gradient {
    fn new(max: f64) -> Gradient {
        Gradient {
            limit: max,
            max,
            long_secs: 0.025,
            short_secs: 0.025,
        }
    }
}

impl LimitPolicy for Gradient {
    fn limit(&self) -> f64 {
        self.limit
    }
    fn completed(&mut self, _: Timestamp, call: &EndedCall, in_flight: usize) {
        if call.completion == Completion::Failure {
            return;
        }
        let secs = call.latency_secs();
        self.short_secs += 0.1 * (secs - self.short_secs);
        self.long_secs += 0.003 * (secs - self.long_secs);
        self.long_secs = self.long_secs.min(self.short_secs * 2.0);
        if (in_flight as f64) < self.limit * 0.5 {
            return;
        }
        let gradient = (1.5 * self.long_secs / self.short_secs).clamp(0.5, 1.0);
        let next = self.limit * gradient + self.limit.sqrt();
        self.limit = (self.limit * 0.8 + next * 0.2).clamp(1.0, self.max);
    }
}

/// A queue estimate as in TCP Vegas: the calls in flight minus those that the best latency
/// explains.
struct Vegas {
    limit: f64,
    max: f64,
    best_secs: f64,
    latency_sum_secs: f64,
    samples: u32,
}

impl Vegas {
    fn new(max: f64) -> Vegas {
        Vegas {
            limit: max,
            max,
            best_secs: 1.0,
            latency_sum_secs: 0.0,
            samples: 0,
        }
    }
}

impl LimitPolicy for Vegas {
    fn limit(&self) -> f64 {
        self.limit
    }
    fn completed(&mut self, _: Timestamp, call: &EndedCall, _: usize) {
        if call.completion == Completion::Failure {
            return;
        }
        self.latency_sum_secs += call.latency_secs();
        self.samples += 1;
        if f64::from(self.samples) < self.limit {
            return;
        }
        let secs = self.latency_sum_secs / f64::from(self.samples);
        self.latency_sum_secs = 0.0;
        self.samples = 0;
        self.best_secs = self.best_secs.min(secs);
        let queue = self.limit * (1.0 - self.best_secs / secs);
        if queue < 3.0 {
            self.limit += 1.0;
        } else if queue > 6.0 {
            self.limit -= 1.0;
        }
        self.limit = self.limit.clamp(1.0, self.max);
    }
}

/// The call time account of the decision module: call seconds accrue at a fraction of the quota,
/// and the fraction falls as calls slow down.
struct CallTimeAccount {
    quota: f64,
    credit_secs: f64,
    updated_at: Timestamp,
    mean_secs: f64,
    best_secs: f64,
    in_flight: usize,
}

impl CallTimeAccount {
    fn new(quota: f64) -> CallTimeAccount {
        CallTimeAccount {
            quota,
            credit_secs: 0.0,
            updated_at: at(0),
            mean_secs: 0.025,
            best_secs: 0.025,
            in_flight: 0,
        }
    }

    fn fraction(&self) -> f64 {
        (0.9 * 1.2 * self.best_secs / self.mean_secs).clamp(0.27, 0.9)
    }
    fn accrue(&mut self, now: Timestamp) {
        let rate = self.quota * self.fraction() - self.in_flight as f64;
        let accrued = rate * (now - self.updated_at).as_secs_f64();
        self.credit_secs = (self.credit_secs + accrued).min(self.quota * 0.5);
        self.updated_at = now;
    }
}

impl LimitPolicy for CallTimeAccount {
    fn allowed_in_flight(&self) -> usize {
        let by_credit = (self.credit_secs / self.mean_secs).max(0.0) as usize;
        ((self.quota * self.fraction()) as usize).max(by_credit)
    }
    fn limit(&self) -> f64 {
        self.allowed_in_flight() as f64
    }
    fn started(&mut self, now: Timestamp) -> Option<Permit> {
        self.accrue(now);
        self.in_flight += 1;
        None
    }
    fn completed(&mut self, now: Timestamp, call: &EndedCall, _: usize) {
        self.accrue(now);
        self.in_flight -= 1;
        if call.completion != Completion::Failure {
            self.mean_secs += 0.1 * (call.latency_secs() - self.mean_secs);
            self.best_secs = (self.best_secs * 1.0005).min(self.mean_secs);
        }
    }
    fn tick(&mut self, now: Timestamp) {
        self.accrue(now);
    }
}

/// A policy and its name in the table.
pub(crate) struct NamedPolicy {
    pub(crate) name: &'static str,
    pub(crate) policy: Box<dyn LimitPolicy>,
}

/// Creates all policies, with the same maximum.
pub(crate) fn policies(max: f64) -> Vec<NamedPolicy> {
    let named = |name, policy| NamedPolicy { name, policy };
    vec![
        named("fixed", Box::new(FixedLimit(max))),
        named("aimd", Box::new(Aimd::new(max))),
        named("gradient", Box::new(Gradient::new(max))),
        named("vegas", Box::new(Vegas::new(max))),
        named("account", Box::new(CallTimeAccount::new(max))),
        named("adaptive", Box::new(adaptive(max))),
    ]
}

fn adaptive(max: f64) -> AdaptiveLimit {
    AdaptiveLimit::new(at(0), 1, max, Duration::from_millis(200))
}
