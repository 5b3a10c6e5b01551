//! The ways to limit calls that `docs/notes/pools.md` weighs, played against the same simulated world:
//! `cargo run --release -p madderbay-concurrency --example ways`.

#[path = "../tests/concurrency/model/mod.rs"]
mod model;

use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::{AdaptiveLimit, Completion, Permit};
use model::{Fixed, Mode, Way, World, play};

/// Additive increase, multiplicative decrease: grows by one over the limit for each call in twice the best
/// time, falls by a tenth for each that takes longer or comes to nothing, at most once a call's time.
struct Aimd {
    level: f64,
    most: f64,
    best: f64,
    cut: Timestamp,
}

impl Way for Aimd {
    fn level(&self) -> f64 {
        self.level
    }
    fn over(
        &mut self,
        now: Timestamp,
        _: Option<Permit>,
        end: Completion,
        took: Duration,
        _: usize,
    ) {
        let secs = took.as_secs_f64().max(1e-3);
        if end == Completion::Success {
            self.best = self.best.min(secs);
        }
        if end == Completion::Success && secs < 2.0 * self.best {
            self.level = (self.level + 1.0 / self.level).min(self.most);
        } else if now >= self.cut {
            self.level = (self.level * 0.9).max(1.0);
            self.cut = now + took;
        }
    }
}

/// Delay gradient: the limit times the ratio of the long mean time to the short one, and room for a queue of
/// the root of the limit.
struct Gradient {
    level: f64,
    most: f64,
    long: f64,
    short: f64,
}

impl Way for Gradient {
    fn level(&self) -> f64 {
        self.level
    }
    fn over(
        &mut self,
        _: Timestamp,
        _: Option<Permit>,
        end: Completion,
        took: Duration,
        out: usize,
    ) {
        if end == Completion::Failure {
            return;
        }
        let secs = took.as_secs_f64().max(1e-3);
        self.short += 0.1 * (secs - self.short);
        self.long += 0.003 * (secs - self.long);
        self.long = self.long.min(self.short * 2.0);
        if (out as f64) < self.level * 0.5 {
            return;
        }
        let gradient = (1.5 * self.long / self.short).clamp(0.5, 1.0);
        let next = self.level * gradient + self.level.sqrt();
        self.level = (self.level * 0.8 + next * 0.2).clamp(1.0, self.most);
    }
}

/// A queue estimate after Vegas: the calls in hand less those that the best time would explain.
struct Vegas {
    level: f64,
    most: f64,
    best: f64,
    sum: (f64, u32),
}

impl Way for Vegas {
    fn level(&self) -> f64 {
        self.level
    }
    fn over(&mut self, _: Timestamp, _: Option<Permit>, end: Completion, took: Duration, _: usize) {
        if end == Completion::Failure {
            return;
        }
        self.sum = (self.sum.0 + took.as_secs_f64().max(1e-3), self.sum.1 + 1);
        if f64::from(self.sum.1) < self.level {
            return;
        }
        let secs = self.sum.0 / f64::from(self.sum.1);
        self.sum = (0.0, 0);
        self.best = self.best.min(secs);
        let queue = self.level * (1.0 - self.best / secs);
        if queue < 3.0 {
            self.level += 1.0;
        } else if queue > 6.0 {
            self.level -= 1.0;
        }
        self.level = self.level.clamp(1.0, self.most);
    }
}

/// The module's own account: seconds in hand earned at a part of the share that falls as calls slow.
struct Account {
    share: f64,
    credit: f64,
    counted: Timestamp,
    time: f64,
    best: f64,
    out: usize,
}

impl Account {
    fn part(&self) -> f64 {
        (0.9 * 1.2 * self.best / self.time).clamp(0.27, 0.9)
    }
    fn count(&mut self, now: Timestamp) {
        let earned =
            (self.share * self.part() - self.out as f64) * (now - self.counted).as_secs_f64();
        (self.credit, self.counted) = ((self.credit + earned).min(self.share * 0.5), now);
    }
}

impl Way for Account {
    fn allowed(&self) -> usize {
        let by_credit = (self.credit / self.time).max(0.0) as usize;
        ((self.share * self.part()) as usize).max(by_credit)
    }
    fn level(&self) -> f64 {
        self.allowed() as f64
    }
    fn made(&mut self, now: Timestamp) -> Option<Permit> {
        self.count(now);
        self.out += 1;
        None
    }
    fn over(
        &mut self,
        now: Timestamp,
        _: Option<Permit>,
        end: Completion,
        took: Duration,
        _: usize,
    ) {
        self.count(now);
        self.out -= 1;
        if end != Completion::Failure {
            self.time += 0.1 * (took.as_secs_f64().max(1e-3) - self.time);
            self.best = (self.best * 1.0005).min(self.time);
        }
    }
    fn tick(&mut self, now: Timestamp) {
        self.count(now);
    }
}

fn ways(most: f64) -> Vec<(&'static str, Box<dyn Way>)> {
    let start = model::at(0);
    let account = Account {
        share: most,
        credit: 0.0,
        counted: start,
        time: 0.025,
        best: 0.025,
        out: 0,
    };
    vec![
        ("fixed", Box::new(Fixed(most))),
        (
            "aimd",
            Box::new(Aimd {
                level: most,
                most,
                best: 1.0,
                cut: start,
            }),
        ),
        (
            "gradient",
            Box::new(Gradient {
                level: most,
                most,
                long: 0.025,
                short: 0.025,
            }),
        ),
        (
            "vegas",
            Box::new(Vegas {
                level: most,
                most,
                best: 1.0,
                sum: (0.0, 0),
            }),
        ),
        ("account", Box::new(account)),
        (
            "on trial",
            Box::new(AdaptiveLimit::new(
                start,
                1,
                most,
                Duration::from_millis(200),
            )),
        ),
    ]
}

/// A name, the share of what lies below in calls, and the world.
fn worlds() -> Vec<(&'static str, f64, World)> {
    let slow = |times| vec![(5_000, Mode::Slow(times)), (13_000, Mode::Slow(1.0))];
    let with = |script| World {
        script,
        ..World::default()
    };
    vec![
        ("calm", 12.0, World::default()),
        (
            "slow x2, busy",
            12.0,
            World {
                per_second: 250.0,
                ..with(slow(2.0))
            },
        ),
        ("slow x7", 12.0, with(slow(7.0))),
        ("slow x20", 12.0, with(slow(20.0))),
        (
            "slow x20, thrash",
            12.0,
            World {
                thrash: 0.5,
                ..with(slow(20.0))
            },
        ),
        (
            "slow x20, noise",
            12.0,
            World {
                spread: 1.0,
                ..with(slow(20.0))
            },
        ),
        (
            "slow x20, others",
            12.0,
            World {
                others: 3,
                ..with(slow(20.0))
            },
        ),
        (
            "fails fast",
            12.0,
            with(vec![(5_000, Mode::Fails), (13_000, Mode::Slow(1.0))]),
        ),
        (
            "wide share",
            40.0,
            World {
                per_second: 300.0,
                ..with(slow(7.0))
            },
        ),
        (
            "wide share, thrash",
            40.0,
            World {
                per_second: 300.0,
                thrash: 0.5,
                ..with(slow(7.0))
            },
        ),
        (
            "silent",
            12.0,
            with(vec![(5_000, Mode::Silent), (13_000, Mode::Slow(1.0))]),
        ),
        (
            "cold",
            12.0,
            with(vec![(0, Mode::Slow(20.0)), (8_000, Mode::Slow(1.0))]),
        ),
    ]
}

fn main() {
    println!(
        "world, way: done in the trouble and in the 2 s after | came to nothing | peak | swing 3 s on, worst"
    );
    for (name, most, world) in worlds() {
        for (way, _) in ways(most) {
            let (mut sums, mut worst) = ([0.0f64; 5], 0.0f64);
            const SEEDS: u64 = 10;
            for seed in 0..SEEDS {
                let world = World {
                    seed,
                    ..world.clone()
                };
                let mut way = ways(most)
                    .into_iter()
                    .find(|w| w.0 == way)
                    .expect("known")
                    .1;
                let seen = play(&world, &mut *way);
                let (from, to) = if name == "cold" {
                    (0, 8_000)
                } else {
                    (5_000, 13_000)
                };
                let found = [
                    f64::from(seen.done(from, to)),
                    f64::from(seen.done(to, to + 2_000)),
                    f64::from(seen.failed(from, to)),
                    seen.peak(from, to) as f64,
                    seen.swing(from + 3_000, to),
                ];
                worst = worst.max(found[4]);
                sums.iter_mut()
                    .zip(found)
                    .for_each(|(s, f)| *s += f / SEEDS as f64);
            }
            let [done, after, failed, peak, swing] = sums;
            println!(
                "{name:18} {way:9} {done:7.0} {after:5.0} |{failed:5.0} | {peak:4.1} |{swing:5.2} {worst:4.2}"
            );
        }
    }
}
