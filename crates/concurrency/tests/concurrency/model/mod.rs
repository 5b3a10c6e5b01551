//! What lies below, in simulated time, and those who call it: calls wait for a slot in the order in which
//! they came; a seed gives all chance. For the tests of the limit and for `examples/ways.rs`.

use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::{AdaptiveLimit, Completion, Permit};
use std::collections::VecDeque;

pub const STEP_MS: u64 = 1;

/// How what lies below behaves from a moment on.
#[derive(Clone, Copy, Debug)]
pub enum Mode {
    /// Calls take so many times their usual time.
    Slow(f64),
    /// Calls fail after a millisecond.
    Fails,
    /// Calls never come back.
    Silent,
}

#[derive(Clone, Debug)]
pub struct World {
    pub seed: u64,
    pub slots: usize,
    pub call_ms: f64,
    /// Spread of a call's time: 0 none, 1 as an exponential.
    pub spread: f64,
    /// What crowding costs: a call's time grows by this part for each time that the slots are asked for
    /// again.
    pub thrash: f64,
    /// Calls wanted a second, and how long each is waited for before it is made.
    pub per_second: f64,
    pub patience_ms: u64,
    /// Others who call the same, in hand at all times.
    pub others: usize,
    /// Calls that those who call have hands for.
    pub hands: usize,
    /// From when on, in ms, it behaves how.
    pub script: Vec<(u64, Mode)>,
    pub length_ms: u64,
}

impl Default for World {
    fn default() -> World {
        World {
            seed: 1,
            slots: 8,
            call_ms: 25.0,
            spread: 0.3,
            thrash: 0.0,
            per_second: 60.0,
            patience_ms: 2_500,
            others: 0,
            hands: usize::MAX,
            script: vec![],
            length_ms: 20_000,
        }
    }
}

/// A rule for how many calls may be in hand.
pub trait Way {
    fn level(&self) -> f64;
    fn allowed(&self) -> usize {
        self.level() as usize
    }
    fn made(&mut self, _now: Timestamp) -> Option<Permit> {
        None
    }
    fn wanted(&mut self) {}
    fn over(
        &mut self,
        _now: Timestamp,
        _ticket: Option<Permit>,
        _end: Completion,
        _took: Duration,
        _out: usize,
    ) {
    }
    fn tick(&mut self, _now: Timestamp) {}
}

/// The same at all times.
pub struct Fixed(pub f64);

impl Way for Fixed {
    fn level(&self) -> f64 {
        self.0
    }
}

impl Way for AdaptiveLimit {
    fn allowed(&self) -> usize {
        AdaptiveLimit::allowed_in_flight(self)
    }
    fn level(&self) -> f64 {
        AdaptiveLimit::limit(self)
    }
    fn made(&mut self, now: Timestamp) -> Option<Permit> {
        Some(AdaptiveLimit::acquire(self, now))
    }
    fn wanted(&mut self) {
        AdaptiveLimit::record_saturation(self);
    }
    fn over(
        &mut self,
        now: Timestamp,
        ticket: Option<Permit>,
        end: Completion,
        _took: Duration,
        _out: usize,
    ) {
        AdaptiveLimit::release(self, now, ticket.expect("made here"), end, false);
    }
    fn tick(&mut self, now: Timestamp) {
        AdaptiveLimit::tick(self, now);
    }
}

/// What was seen, a row each 10 ms.
pub struct Seen {
    /// Level of the limit, calls in hand below (all that still go on), calls done so far, calls that came to
    /// nothing so far.
    pub rows: Vec<(f64, usize, u32, u32)>,
}

impl Seen {
    pub fn between(&self, from_ms: u64, to_ms: u64) -> &[(f64, usize, u32, u32)] {
        &self.rows[(from_ms / 10) as usize..((to_ms / 10) as usize).min(self.rows.len())]
    }
    pub fn done(&self, from_ms: u64, to_ms: u64) -> u32 {
        let rows = self.between(from_ms, to_ms);
        rows.last().map_or(0, |r| r.2) - rows.first().map_or(0, |r| r.2)
    }
    pub fn failed(&self, from_ms: u64, to_ms: u64) -> u32 {
        let rows = self.between(from_ms, to_ms);
        rows.last().map_or(0, |r| r.3) - rows.first().map_or(0, |r| r.3)
    }
    pub fn peak(&self, from_ms: u64, to_ms: u64) -> usize {
        self.between(from_ms, to_ms)
            .iter()
            .map(|r| r.1)
            .max()
            .unwrap_or(0)
    }
    /// The widest swing of the level, as a part of its mean.
    pub fn swing(&self, from_ms: u64, to_ms: u64) -> f64 {
        let levels: Vec<f64> = self.between(from_ms, to_ms).iter().map(|r| r.0).collect();
        let (low, high) = levels
            .iter()
            .fold((f64::MAX, 0.0f64), |(l, h), v| (l.min(*v), h.max(*v)));
        (high - low) / (levels.iter().sum::<f64>() / levels.len() as f64)
    }
}

struct Call {
    ticket: Option<Permit>,
    at: u64,
    /// Work left, in ms at the usual speed; nothing once it is done.
    left: f64,
    given_up: Option<u64>,
    fails: bool,
}

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + ms * 1_000)
}

pub fn play(world: &World, way: &mut dyn Way) -> Seen {
    let mut chance = oorandom::Rand64::new(u128::from(world.seed));
    let mut calls: VecDeque<Call> = VecDeque::new();
    let mut waiting: VecDeque<u64> = VecDeque::new();
    let (mut out, mut done, mut failed, mut mean) = (0usize, 0u32, 0u32, world.call_ms);
    let mut rows = vec![];
    let mut mode = Mode::Slow(1.0);
    for ms in (0..world.length_ms).step_by(STEP_MS as usize) {
        if let Some(change) = world.script.iter().rev().find(|s| s.0 <= ms) {
            mode = change.1;
        }
        // Those below work: the first in the line have the slots.
        let crowd = calls.len() as f64 / world.slots as f64;
        let speed = match mode {
            Mode::Slow(times) => 1.0 / (times * (1.0 + world.thrash * (crowd - 1.0).max(0.0))),
            Mode::Fails => 1.0,
            Mode::Silent => 0.0,
        };
        let others = world.others.min(world.slots - 1);
        for call in calls.iter_mut().take(world.slots - others) {
            call.left -= STEP_MS as f64 * speed;
            call.fails |= matches!(mode, Mode::Fails);
        }
        // A call is given up past eight mean times, as the module does.
        let stuck = (8.0 * mean + 40.0) as u64;
        let (mut ends, mut stay) = (vec![], VecDeque::new());
        for mut call in calls.drain(..) {
            let over = call.left <= 0.0 || call.fails;
            if over && call.given_up.is_none() {
                let end = if call.fails {
                    Completion::Failure
                } else {
                    Completion::Success
                };
                ends.push((call.ticket, end, ms - call.at));
            } else if !over {
                if call.given_up.is_none() && ms - call.at > stuck {
                    call.given_up = Some(ms);
                    ends.push((call.ticket, Completion::TimedOut, ms - call.at));
                }
                // What was given up on goes on below for a while.
                if call.given_up.is_none_or(|at| ms < at + 200) {
                    stay.push_back(call);
                }
            }
        }
        calls = stay;
        for (ticket, end, took) in ends {
            out -= 1;
            if end != Completion::Failure {
                mean += 0.1 * (took as f64 - mean);
            }
            done += u32::from(end == Completion::Success);
            failed += u32::from(end != Completion::Success);
            way.over(at(ms), ticket, end, Duration::from_millis(took), out + 1);
        }
        // Those who call.
        if chance.rand_float() < world.per_second * STEP_MS as f64 / 1e3 {
            waiting.push_back(ms);
        }
        waiting.retain(|t| ms - t < world.patience_ms);
        if ms % 10 == 0 {
            way.tick(at(ms));
        }
        while !waiting.is_empty() && out < way.allowed().min(world.hands) {
            // The last come goes first, as in the module.
            waiting.pop_back();
            out += 1;
            let odd = -(1.0 - chance.rand_float()).ln();
            let left = world.call_ms * (1.0 - world.spread + world.spread * odd);
            calls.push_back(Call {
                ticket: way.made(at(ms)),
                at: ms,
                left,
                given_up: None,
                fails: false,
            });
        }
        if !waiting.is_empty() && out < world.hands {
            way.wanted();
        }
        if ms % 10 == 0 {
            rows.push((way.level(), calls.len(), done, failed));
        }
    }
    Seen { rows }
}
