//! Simulates counted requests, and checks the servers' estimates against the true counts.

use super::node::KeyRate;
use super::{Event, SimulatedFleet, name};
use madderbay::time::{Duration, Timestamp};
use madderbay_quota::{CountEstimate, CounterId};
use std::collections::HashMap;

/// Interval at which counted requests arrive at all servers.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(20);
/// Length of a time slot as a fraction of the counter's window.
const SLOT_FRACTION: f64 = 0.1;
/// Minimum age of a slot that an estimate covers, in slots.
const MIN_SLOT_AGE: f64 = 3.0;
/// Age from which on an estimate no longer covers a slot, in slots.
const MAX_SLOT_AGE: f64 = 13.0;

/// The exact number of requests that one incarnation of a server has counted.
pub(super) struct TrueCounts {
    server: usize,
    /// Time on the server's clock when the incarnation began.
    began: Timestamp,
    /// Number of requests by key and slot.
    requests: HashMap<(u32, u64), u32>,
}

impl TrueCounts {
    pub(super) fn new(server: usize, began: Timestamp) -> TrueCounts {
        TrueCounts {
            server,
            began,
            requests: HashMap::new(),
        }
    }

    /// Returns the number of requests for a key in the slots that an estimate at `now` covers.
    /// `now` is a time on the server's clock.
    fn count_in_window(&self, key: u32, now: Timestamp, slot: Duration) -> u32 {
        let ages = slot.mul_f64(MIN_SLOT_AGE)..slot.mul_f64(MAX_SLOT_AGE);
        let mut sum = 0;
        for ((request_key, number), count) in &self.requests {
            let end = self.began + Duration::from_micros((number + 1) * slot.as_micros());
            if *request_key == key && now >= end && ages.contains(&(now - end)) {
                sum += count;
            }
        }
        sum
    }
}

impl SimulatedFleet {
    /// Sets how many counted requests for a key arrive at a server per second from now on.
    pub fn set_request_rate(&mut self, server: usize, key: u32, per_second: f64) {
        if self.nodes.iter().all(|node| node.work.rates.is_empty()) {
            self.push(self.now + ARRIVAL_INTERVAL, Event::Requests);
        }
        let rates = &mut self.nodes[server].work.rates;
        rates.retain(|rate| rate.key != key);
        rates.push(KeyRate {
            key,
            per_second,
            accumulated: 0.0,
        });
    }

    /// Lets requests arrive at all servers that run and are not stopped, and schedules the next
    /// arrival.
    pub(super) fn requests_arrive(&mut self) {
        for server in 0..self.nodes.len() {
            self.requests_arrive_at(server);
        }
        self.push(self.now + ARRIVAL_INTERVAL, Event::Requests);
    }

    fn requests_arrive_at(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        let now = node.clock(self.now);
        let stack = node.stack.as_mut().filter(|_| !node.stopped);
        let quotas = stack.and_then(|stack| stack.quotas_mut());
        let Some(counter) = quotas.and_then(|quotas| quotas.counters_mut().first_mut()) else {
            return;
        };
        let mut incarnations = self.true_counts.iter_mut().rev();
        let truth = incarnations
            .find(|truth| truth.server == server)
            .expect("an incarnation of the server");
        let slot = counter.settings().window.mul_f64(SLOT_FRACTION);
        let number = (now - truth.began).as_micros() / slot.as_micros();
        for rate in &mut node.work.rates {
            let mean = rate.per_second * ARRIVAL_INTERVAL.as_secs_f64();
            rate.accumulated += mean * 2.0 * self.random.rand_float();
            let count = rate.accumulated as u32;
            if count > 0 {
                rate.accumulated -= f64::from(count);
                counter.add(now, rate.key, count);
                *truth.requests.entry((rate.key, number)).or_default() += count;
            }
        }
    }

    /// Returns the true count of a key in the window that estimates cover now; 0 without a counter.
    pub fn truth(&self, key: u32) -> u32 {
        self.true_count_of(key, |_| true)
    }

    /// Like [`SimulatedFleet::truth`], but sums only the incarnations that `chosen` selects.
    fn true_count_of(&self, key: u32, chosen: impl Fn(&TrueCounts) -> bool) -> u32 {
        let Some(window) = self.setup.window else {
            return 0;
        };
        let slot = window.mul_f64(SLOT_FRACTION);
        let chosen = self.true_counts.iter().filter(|truth| chosen(truth));
        chosen
            .map(|truth| {
                let now = self.nodes[truth.server].clock(self.now);
                truth.count_in_window(key, now, slot)
            })
            .sum()
    }

    /// Returns a server's estimate for a key and checks it against the true count. `fair_rate` is
    /// passed to the estimate, in requests per second. Returns `None` if the server does not run or
    /// the setup has no counter. A violated bound is counted in `out_of_bounds`.
    pub fn checked_estimate(
        &mut self,
        server: usize,
        key: u32,
        fair_rate: f64,
    ) -> Option<CountEstimate> {
        let now = self.nodes[server].clock(self.now);
        let estimate = self
            .shared(server)?
            .estimate(now, CounterId::default(), key, fair_rate);
        let truth = f64::from(self.truth(key));
        let true_count_in_view = f64::from(self.true_count_in_view(server, key)?);
        self.out_of_bounds.1 += 1;
        if truth < estimate.low || true_count_in_view > estimate.high {
            self.out_of_bounds.0 += 1;
            self.log_line(
                server,
                format_args!(": estimate out of bounds, {estimate:?}, truth={truth}"),
            );
        }
        Some(estimate)
    }

    /// Returns the true count that the upper bound of a server's estimate must cover: that of the
    /// server's present incarnation and of all incarnations of other servers in its view. A server
    /// that was started on one side of a partition knows neither the counts of the other side nor
    /// those that its former incarnation had not sent yet.
    fn true_count_in_view(&self, server: usize, key: u32) -> Option<u32> {
        let view = self.members(server)?;
        let mut incarnations = self.true_counts.iter().rev();
        let began = incarnations.find(|truth| truth.server == server)?.began;
        Some(self.true_count_of(key, |truth| {
            if truth.server == server {
                truth.began == began
            } else {
                view.member(&name(self.nodes[truth.server].name)).is_some()
            }
        }))
    }
}
