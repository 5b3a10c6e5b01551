//! How many calls may be made again: a part of the first tries, saved up to a few, so that what is down below is
//! not buried under repeats; and after what time a second try beside the first is worth one of them.

use hdrhistogram::Histogram;
use madderbay::time::{Duration, Timestamp};

/// Repeats that can be saved up: a crash of one backend among many meets a few calls in hand.
const SAVED_MOST: f64 = 10.0;
/// First tries and repeats are counted over about this long.
const COUNTED: Duration = Duration::from_millis(10_000);
/// The fleet's part of repeats, in parts of what a server may make, from which on each makes half as many.
const FLEET_PART: f64 = 0.7;
/// Times of calls are looked at over this long, twice; the part of them that a second try waits for, how many
/// have to have come, and the least that is waited.
const TIMES_FOR: Duration = Duration::from_millis(10_000);
const HEDGE_AT: f64 = 95.0;
const HEDGE_SEEN: u64 = 30;
const HEDGE_LEAST: Duration = Duration::from_millis(5);
/// The longest time that is told apart.
const TIME_MOST_MS: u64 = 60_000;

pub struct Repeats {
    /// Of the first tries.
    part: f64,
    saved: f64,
    firsts: f64,
    again: f64,
    counted: Timestamp,
    /// The fleet's first tries and repeats of late, the own among them; nothing where nobody is heard.
    fleet: Option<(f64, f64)>,
    times: [Histogram<u64>; 2],
    turned: Timestamp,
    hedge: Option<Duration>,
}

impl Repeats {
    pub fn new(now: Timestamp, part: f64) -> Repeats {
        let times =
            || Histogram::new_with_bounds(1, TIME_MOST_MS * 10, 2).expect("bounds that fit");
        Repeats {
            part,
            saved: 0.0,
            firsts: 0.0,
            again: 0.0,
            counted: now,
            fleet: None,
            times: [times(), times()],
            turned: now,
            hedge: None,
        }
    }

    pub fn set_part(&mut self, part: f64) {
        self.part = part;
    }

    fn count(&mut self, now: Timestamp) {
        let keeps = (-(now - self.counted).as_secs_f64() / COUNTED.as_secs_f64()).exp();
        (self.firsts, self.again) = (self.firsts * keeps, self.again * keeps);
        self.counted = self.counted.max(now);
    }

    pub fn first(&mut self, now: Timestamp) {
        self.count(now);
        self.firsts += 1.0;
        let crowded = self
            .fleet
            .is_some_and(|(firsts, again)| again > FLEET_PART * self.part * firsts);
        let part = if crowded { self.part * 0.5 } else { self.part };
        self.saved = (self.saved + part).min(SAVED_MOST);
    }

    /// Whether one more may be made; if so it counts.
    pub fn take(&mut self, now: Timestamp) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.count(now);
        self.saved -= 1.0;
        self.again += 1.0;
        true
    }

    /// First tries and repeats of late, for others.
    pub fn told(&mut self, now: Timestamp) -> (f64, f64) {
        self.count(now);
        (self.firsts, self.again)
    }

    /// The whole fleet's.
    pub fn heard(&mut self, fleet: Option<(f64, f64)>) {
        self.fleet = fleet;
    }

    pub fn took(&mut self, took: Duration) {
        let _ = self.times[0].record((took.as_micros() / 100).clamp(1, TIME_MOST_MS * 10));
    }

    /// When a call that is still out is worth a second try, since its start.
    pub fn hedge_after(&mut self, now: Timestamp) -> Option<Duration> {
        if now - self.turned >= TIMES_FOR {
            self.turned = now;
            self.times.swap(0, 1);
            self.times[0].reset();
        }
        self.hedge
    }

    /// Looks at the times anew.
    pub fn look(&mut self) {
        let mut all = self.times[0].clone();
        let _ = all.add(&self.times[1]);
        let long = Duration::from_micros(all.value_at_percentile(HEDGE_AT) * 100).max(HEDGE_LEAST);
        self.hedge = (all.len() >= HEDGE_SEEN).then_some(long);
    }
}

#[cfg(test)]
mod tests;
