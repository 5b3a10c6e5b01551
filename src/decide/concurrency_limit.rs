//! The limit on concurrent runs, steered by the run queue, and the slow start of a cold server. Owns both.

use super::*;

const GROW_BELOW: f64 = 1.1; // Run queue per core under which the limit grows (ours).
const SHRINK_ABOVE: f64 = 1.4; // Run queue per core over which it shrinks: crowded cores do less (ours).
const STEP: f64 = 0.25; // Runs per tick: from the cores to twice the cores in a quarter second (ours).
const RUN_QUEUE_WEIGHT: f64 = 0.2; // Of the newest sample of the run queue: about the last 50 ms (ours).
const MAX_FRACTION: f64 = 0.85; // Of the supported runs: a stall can put all of them on the cores (ours).

/// How many runs may be in flight. Other parts only read the limit and the mean run queue.
pub(super) struct ConcurrencyLimit {
    pub(super) limit: f64,
    pub(super) run_queue: f64,
    cores: f64,
    per_core: f64,
    start: Timestamp,
    warm_up: Duration,
    cold_speed: f64,
}

impl ConcurrencyLimit {
    pub(super) fn new(now: Timestamp, machine: &Machine) -> ConcurrencyLimit {
        let (cores, per_core) = (f64::from(machine.cores), machine.max_concurrency_per_core);
        let slow_start = (machine.warm_up, machine.cold_speed);
        let (warm_up, cold_speed) = if machine.starts_cold {
            slow_start
        } else {
            (Duration::ZERO, 1.0)
        };
        ConcurrencyLimit {
            limit: cores,
            run_queue: 0.0,
            cores,
            per_core,
            start: now,
            warm_up,
            cold_speed,
        }
    }

    /// Grows while the run queue is short and the limit holds work up; shrinks to the cores when it is long.
    pub(super) fn update(&mut self, now: Timestamp, run_queue: f64, saturated: bool) {
        self.run_queue += RUN_QUEUE_WEIGHT * (run_queue - self.run_queue);
        if saturated && self.run_queue < GROW_BELOW * self.cores {
            self.limit += STEP;
        } else if self.run_queue > SHRINK_ABOVE * self.cores {
            self.limit -= STEP;
        }
        let max = self.max_runs(now);
        self.limit = self.limit.min(max).max(self.cores.min(max));
    }

    /// Most runs that the machine supports now, rising during the warm-up; at least 1.
    pub(super) fn max_runs(&self, now: Timestamp) -> f64 {
        let warmed = (now - self.start).as_secs_f64() / self.warm_up.as_secs_f64().max(1e-3);
        let speed = (self.cold_speed + (1.0 - self.cold_speed) * warmed).min(1.0);
        let supported = self.cores * (1.0 + (self.per_core - 1.0) * speed);
        (supported * MAX_FRACTION).max(1.0)
    }

    pub(super) fn is_warming_up(&self, now: Timestamp) -> bool {
        now - self.start < self.warm_up
    }
}

impl Decider {
    /// Starts queued requests with their allowances, within the limit, the ceilings and the memory.
    pub(super) fn start_queued(&mut self, now: Timestamp, out: &mut dyn Actions) {
        let limit = self
            .concurrency
            .limit
            .min(self.concurrency.max_runs(now))
            .max(1.0);
        while let Some(r) = self.queue.first(|r| self.may_start(r)) {
            let fits = self.memory_allows(self.requests.growth_kb(r), memory_guard::START_FRACTION);
            if (self.requests.running() + 1) as f64 > limit || !fits {
                return;
            }
            let allowance = self.budget.allowance(self.queue.len());
            self.rejections.sample(false, false);
            self.queue.remove(r);
            self.requests.start(r, now, allowance);
            out.start(self.requests[r].id);
            if let Some(key) = self.requests[r].key {
                self.keys
                    .start_run(key)
                    .into_iter()
                    .for_each(|follower| self.join(follower, out));
            }
        }
    }

    /// While a call waits for capacity, a run that requires one would only wait too; ceilings allow for that.
    fn may_start(&self, r: RequestSlot) -> bool {
        let handler = &self.handlers[self.requests[r].handler.index()];
        let requires_call = handler.makes_calls && handler.partial_weight == 0.0;
        let blocked = requires_call && !self.calls.waiting.is_empty() && self.ceilings.is_empty();
        let within = |ceiling: &Ceiling| self.requests.load(&ceiling.handlers).runs < ceiling.runs;
        !blocked && self.ceilings.over(self.requests[r].handler).all(within)
    }
}
