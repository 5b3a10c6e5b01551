//! One limit on calls in hand, which follows what lies below is bearing.
//!
//! A call takes longer for one of two reasons: those below work slower, or too many calls wait there for each
//! other. Only the second is a reason to have fewer in hand; under the first a lower limit just loses work.
//! Latency alone can't tell them apart, so the limit is cut on trial: if calls then come back quicker, they
//! had been waiting; if not, the slower time is what a call takes now, and the cut is taken back.

use madderbay::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// Shortest and longest span that one judgement rests on, and the calls that it wants to have seen, as a
/// part of the limit.
const EPOCH_LEAST: Duration = Duration::from_millis(100);
const EPOCH_MOST: Duration = Duration::from_millis(1_000);
const SEEN_LEAST: f64 = 4.0;
const SEEN_MOST: f64 = 16.0;
const SEEN_PART: f64 = 0.6;
/// Calls thought to wait below, as a part of the limit: under the first it grows (where it is wanted), over
/// the second a cut is tried. A limit a third too high costs a third of a call's time, one too low loses
/// work.
const QUEUE_FEW: f64 = 0.12;
const QUEUE_MANY: f64 = 0.40;
/// The least of both, in calls: half a call in hand is no queue.
const FEW_LEAST: f64 = 0.8;
const MANY_LEAST: f64 = 1.6;
/// A cut on trial goes to what is thought to be borne and this much more, within these parts of the limit:
/// smaller cuts show nothing, larger ones lose work for nothing.
const TRIAL_ROOM: f64 = 1.15;
const TRIAL_DEEP: f64 = 0.6;
const TRIAL_FLAT: f64 = 0.8;
/// What the time of a call must have fallen by, of what it would if all were queue; and the epochs in a row
/// that ask for a trial: one odd epoch is noise. One this far over the mark counts twice.
const TRIAL_PROOF: f64 = 0.5;
const TRIAL_ASKS: u32 = 2;
const TRIAL_PLAIN: f64 = 1.25;
/// After a trial that was taken back that many times as many are asked for, up to the most, until the time of
/// calls has shifted by a factor: so a limit that has settled does not swing by chance.
const ASKS_MORE: u32 = 4;
const ASKS_MOST: u32 = 32;
const SHIFT: f64 = 2.0;
/// A trial that few asks make comes this soon after a shift or not at all: what was borne since is borne.
const SOON: Duration = Duration::from_millis(1_200);
/// Time without another trial once one has shown that nothing waited; doubled each time, up to the most.
const CALM: Duration = Duration::from_millis(2_000);
const CALM_MOST: Duration = Duration::from_millis(32_000);
/// Calls made with few in hand, all of the last so many over so many bases, prove that those below have
/// become slower; and how long one counts.
const SLOWER: f64 = 1.5;
const SPARSE_SEEN: usize = 4;
const SPARSE_FOR: Duration = Duration::from_millis(2_000);
/// What an epoch leaves of the most that was in hand: halved in about fourteen.
const USUAL_KEEPS: f64 = 0.95;
/// A limit that binds nothing stays within so many times what was in hand of late, and no lower than this: a
/// dozen calls are soon told from too many by a trial, many dozens are not.
const UNTRIED: f64 = 2.0;
const UNTRIED_LEAST: f64 = 12.0;
/// The time of calls, in bases, up to which none waits for another.
const UNCROWDED: f64 = 1.05;
/// Weight of a quicker epoch in the base; the part of the base under which one is no chance and counts whole;
/// and the base's drift up an epoch: a best that was luck fades.
const BASE_ALPHA: f64 = 0.2;
const QUICKER: f64 = 0.6;
const BASE_DRIFT: f64 = 1.002;
/// Growth an epoch: by a part while that was borne before, by a step past it.
const REGROW: f64 = 1.5;
const GROW: f64 = 0.06;
const GROW_FREE: f64 = 0.3;
const GROW_LEAST: f64 = 0.5;
/// What a failing and a silent epoch leave of the limit, and the share of bad ends that makes one.
const FAIL_KEEPS: f64 = 0.7;
const SILENT_KEEPS: f64 = 0.5;
const FAILING: f64 = 0.5;
/// Rest after epochs in which nothing went well, before one call is tried; doubled each time. The most, with
/// its spread, stays under the two seconds in which a recovery is to be found.
const REST: Duration = Duration::from_millis(50);
const REST_MOST: Duration = Duration::from_millis(1_000);
const REST_SPREAD: f64 = 0.5;
/// All calls in hand hang for that long: one more is let go, up to so many.
const HUNG: Duration = Duration::from_millis(1_000);
const HUNG_MORE: usize = 2;

/// How a call came to its end, as far as it tells of what lies below.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    Success,
    /// Turned away, unreached or failed: whatever it took, it tells nothing of the time that work takes.
    Failure,
    /// Given up on: it would have taken longer than it did.
    TimedOut,
    /// Ended by this side for reasons of its own: tells nothing.
    Cancelled,
}

/// Why a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdjustmentCause {
    /// Calls wait for each other below: a cut on trial.
    Queueing,
    /// The cut changed nothing: calls take longer now, and the limit is what it was.
    ProbeReverted,
    /// Wanted, and borne.
    Demand,
    Failures,
    Silence,
    /// Nothing goes well: no calls for a while, then one.
    CircuitOpened,
    CircuitHalfOpen,
}

impl AdjustmentCause {
    pub fn told(self) -> &'static str {
        match self {
            AdjustmentCause::Queueing => "calls wait for each other below",
            AdjustmentCause::ProbeReverted => {
                "a cut did not make calls quicker: they take longer now"
            }
            AdjustmentCause::Demand => "wanted, and borne",
            AdjustmentCause::Failures => "calls fail",
            AdjustmentCause::Silence => "calls do not come back",
            AdjustmentCause::CircuitOpened => "nothing goes well; rests",
            AdjustmentCause::CircuitHalfOpen => "a call is tried after a rest",
        }
    }
}

/// One call in hand: when it was made, and how many were in hand then.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    at: Timestamp,
    among: usize,
}

impl Permit {
    pub fn started_at(&self) -> Timestamp {
        self.at
    }
}

/// What was seen since the last judgement, of calls made since.
#[derive(Default)]
struct Epoch {
    since: Timestamp,
    good: u32,
    secs: f64,
    squares: f64,
    among: f64,
    bad: u32,
    given_up: u32,
    /// The limit stood in the way of a call.
    full: bool,
}

impl Epoch {
    fn from(since: Timestamp) -> Epoch {
        Epoch {
            since,
            ..Epoch::default()
        }
    }

    fn ends(&self) -> u32 {
        self.good + self.bad + self.given_up
    }

    /// The mean time of calls, and how far chance alone may have moved it.
    fn time(&self) -> (f64, f64) {
        let n = f64::from(self.good.max(1));
        let mean = self.secs / n;
        let spread = (self.squares / n - mean * mean).max(0.0).sqrt();
        (
            mean,
            if self.good < 3 {
                mean * 0.5
            } else {
                spread / (n - 1.0).sqrt()
            },
        )
    }
}

/// A cut on trial: the limit before it, the mean time of calls, its error and the mean number in hand before
/// it.
struct Trial {
    from: f64,
    secs: f64,
    error: f64,
    among: f64,
}

/// Nothing goes well: until when no call is made, and how long the next rest is.
enum Health {
    Well,
    Resting { until: Timestamp, next: Duration },
    Trying { next: Duration },
}

pub struct AdaptiveLimit {
    most: f64,
    now: f64,
    /// The time of a call that waits for no other, in seconds; nothing before the first was seen.
    base: Option<f64>,
    /// The last calls made with few in hand: when they came back, and after how many seconds.
    few: VecDeque<(Timestamp, f64)>,
    epoch: Epoch,
    /// The most in hand of late, fading.
    usual: f64,
    trial: Option<Trial>,
    asks: u32,
    /// How many are asked for now, and the time of calls when that was set.
    asked: (u32, f64),
    shifted: Timestamp,
    few_asks: u32,
    calm: (Timestamp, Duration),
    /// The limit that was last borne.
    borne: f64,
    health: Health,
    fails: u32,
    silent: u32,
    out: usize,
    lingering: VecDeque<Timestamp>,
    linger: Duration,
    /// When a call was last made or came back, and how many more are let go meanwhile.
    moved: Timestamp,
    more: usize,
    chance: oorandom::Rand64,
}

impl AdaptiveLimit {
    /// `most`: never more than that in hand; it begins there. `linger`: what is given up on may go on below
    /// for that long.
    pub fn new(now: Timestamp, seed: u64, most: f64, linger: Duration) -> AdaptiveLimit {
        let most = most.max(1.0);
        AdaptiveLimit {
            most,
            now: most,
            base: None,
            few: VecDeque::new(),
            epoch: Epoch::from(now),
            usual: 1.0,
            trial: None,
            asks: 0,
            asked: (TRIAL_ASKS, 0.0),
            shifted: now,
            few_asks: 0,
            calm: (now, CALM),
            borne: most,
            health: Health::Well,
            fails: 0,
            silent: 0,
            out: 0,
            lingering: VecDeque::new(),
            linger,
            moved: now,
            more: 0,
            chance: oorandom::Rand64::new(u128::from(seed)),
        }
    }

    /// Another most. One that stood at its most stays there; nothing was learnt against it.
    pub fn set_max(&mut self, most: f64) {
        let most = most.max(1.0);
        if self.now >= self.most {
            (self.now, self.borne) = (most, most);
        }
        self.most = most;
        (self.now, self.borne) = (self.now.min(most), self.borne.min(most));
    }

    /// The limit itself, in calls.
    pub fn limit(&self) -> f64 {
        self.now
    }

    /// Calls in hand.
    pub fn in_flight(&self) -> usize {
        self.out
    }

    /// The time that a call takes which waits for no other.
    pub fn minimum_latency_secs(&self) -> Option<f64> {
        self.base
    }

    /// How many calls may be in hand now, those in hand included.
    pub fn allowed_in_flight(&self) -> usize {
        match self.health {
            Health::Resting { .. } => 0,
            Health::Trying { .. } => 1 + self.more,
            Health::Well => {
                (self.now as usize)
                    .saturating_sub(self.lingering.len())
                    .max(1)
                    + self.more
            }
        }
    }

    /// A call is made.
    pub fn acquire(&mut self, now: Timestamp) -> Permit {
        self.out += 1;
        self.moved = now;
        self.usual = self.usual.max(self.out as f64);
        Permit {
            at: now,
            among: self.out + self.lingering.len(),
        }
    }

    /// A call was wanted that the limit forbade.
    pub fn record_saturation(&mut self) {
        self.epoch.full = true;
    }

    /// A call ended. `held_up`: it met a pause of this process, so that its time says nothing.
    pub fn release(&mut self, now: Timestamp, ticket: Permit, end: Completion, held_up: bool) {
        self.out = self.out.saturating_sub(1);
        self.moved = now;
        if matches!(end, Completion::TimedOut | Completion::Cancelled)
            && self.linger > Duration::ZERO
        {
            self.lingering.push_back(now + self.linger);
        }
        if end == Completion::Success {
            (self.more, self.silent) = (0, 0);
            if let Health::Trying { .. } = self.health {
                self.health = Health::Well;
            }
        }
        let secs = (now - ticket.at).as_secs_f64().max(1e-6);
        if end == Completion::Success && !held_up {
            self.sparse(now, ticket, secs);
        }
        if ticket.at < self.epoch.since || held_up || end == Completion::Cancelled {
            return;
        }
        let epoch = &mut self.epoch;
        match end {
            Completion::Success => {
                epoch.good += 1;
                epoch.secs += secs;
                epoch.squares += secs * secs;
                epoch.among += ticket.among as f64;
            }
            Completion::Failure => epoch.bad += 1,
            Completion::TimedOut | Completion::Cancelled => epoch.given_up += 1,
        }
    }

    /// Few in hand that take long tell that the cause is not their number.
    fn sparse(&mut self, now: Timestamp, ticket: Permit, secs: f64) {
        if ticket.among as f64 > (self.now.min(self.usual) * 0.5).max(1.0) {
            return;
        }
        if self.few.len() == SPARSE_SEEN {
            self.few.pop_front();
        }
        self.few.push_back((now, secs));
        let shortest = self.few.iter().map(|f| f.1).fold(f64::MAX, f64::min);
        let recent = self.few.front().is_some_and(|f| now - f.0 <= SPARSE_FOR);
        if self.few.len() == SPARSE_SEEN
            && recent
            && self.base.is_some_and(|b| shortest > SLOWER * b)
        {
            self.base = Some(self.few.iter().map(|f| f.1).sum::<f64>() / SPARSE_SEEN as f64);
        }
    }

    /// Time passes, and nothing is judged: the limit stays at its most.
    pub fn expire_abandoned_calls(&mut self, now: Timestamp) {
        while self.lingering.front().is_some_and(|t| *t <= now) {
            self.lingering.pop_front();
        }
    }

    /// Time passes: judges what was seen, once that is enough. Tells from where the limit changed, and why.
    pub fn tick(&mut self, now: Timestamp) -> Option<(f64, AdjustmentCause)> {
        self.expire_abandoned_calls(now);
        if now < self.epoch.since {
            // The clock stepped back: what was seen is judged by the new time.
            self.epoch = Epoch::from(now);
            (self.moved, self.calm.0, self.shifted) = (now, now, now);
        }
        if let Health::Resting { until, next } = self.health
            && now >= until.min(now + REST_MOST.mul_f64(1.0 + REST_SPREAD))
        {
            self.health = Health::Trying { next };
            self.epoch = Epoch::from(now);
            return Some((0.0, AdjustmentCause::CircuitHalfOpen));
        }
        if self.out >= self.allowed_in_flight()
            && self.out > 0
            && now - self.moved >= HUNG
            && self.more < HUNG_MORE
        {
            (self.more, self.moved) = (self.more + 1, now);
        }
        let passed = now - self.epoch.since;
        let trying = matches!(self.health, Health::Trying { .. });
        let enough =
            f64::from(self.epoch.ends()) >= (self.now * SEEN_PART).clamp(SEEN_LEAST, SEEN_MOST);
        let due = (enough && passed >= EPOCH_LEAST)
            || (self.epoch.ends() > 0 && (passed >= EPOCH_MOST || trying));
        if !due {
            return None;
        }
        let epoch = std::mem::replace(&mut self.epoch, Epoch::from(now));
        self.usual = (self.usual * USUAL_KEEPS).max(self.out as f64);
        if !epoch.full && self.trial.is_none() {
            // What was never in hand was never borne: the limit stays near what is, and grows when it is wanted.
            self.now = self.now.min((UNTRIED * self.usual).max(UNTRIED_LEAST));
            self.borne = self.borne.min(self.now);
        }
        let before = self.now;
        let cause = self.judge(now, &epoch)?;
        self.now = self.now.clamp(1.0, self.most);
        let kept = matches!(
            cause,
            AdjustmentCause::CircuitOpened | AdjustmentCause::ProbeReverted
        );
        (self.now != before || kept).then_some((before, cause))
    }

    fn judge(&mut self, now: Timestamp, e: &Epoch) -> Option<AdjustmentCause> {
        if f64::from(e.bad) > FAILING * f64::from(e.ends()) {
            return Some(self.failing(now, e));
        }
        self.fails = 0;
        if e.good == 0 {
            self.silent += 1;
            self.trial = None;
            if self.silent < 2 {
                return None;
            }
            self.now *= SILENT_KEEPS;
            return Some(AdjustmentCause::Silence);
        }
        self.silent = 0;
        let (secs, error) = e.time();
        let among = e.among / f64::from(e.good);
        let base = match self.base {
            None => secs,
            Some(b) if secs + error < QUICKER * b => secs,
            Some(b) if secs + error < b => b + BASE_ALPHA * (secs - b),
            Some(b) => b * BASE_DRIFT,
        };
        self.base = Some(base);
        if let Some(trial) = self.trial.take() {
            return self.tried(now, &trial, (secs, error), among);
        }
        let queue = (among * (1.0 - base / secs)).max(0.0);
        let surely = among * (1.0 - base / (secs - error).max(base));
        let many = (QUEUE_MANY * self.now.min(among)).max(MANY_LEAST);
        let few = (QUEUE_FEW * self.now).max(FEW_LEAST);
        if secs > SHIFT * self.asked.1 || secs * SHIFT < self.asked.1 {
            (self.asked, self.shifted) = ((TRIAL_ASKS, secs), now);
        }
        if now - self.shifted > SOON {
            self.asked.0 = self.asked.0.max(TRIAL_ASKS * ASKS_MORE);
        }
        let ask = 1 + u32::from(surely > TRIAL_PLAIN * many);
        self.asks = if surely > many && now >= self.calm.0 {
            self.asks + ask
        } else {
            0
        };
        if self.asks >= self.asked.0 && self.now > 1.0 {
            self.asks = 0;
            self.trial = Some(Trial {
                from: self.now,
                secs,
                error,
                among,
            });
            let part = (TRIAL_ROOM * base / secs).clamp(TRIAL_DEEP, TRIAL_FLAT);
            self.now = (self.now.min(among.max(1.0)) * part).max(1.0);
            return Some(AdjustmentCause::Queueing);
        }
        if e.full && self.now < self.borne {
            self.now = (self.now * REGROW).min(self.borne);
            return Some(AdjustmentCause::Demand);
        }
        self.few_asks = if e.full && queue < few {
            self.few_asks + 1
        } else {
            0
        };
        if self.few_asks > 0 && self.few_asks >= self.asked.0 / ASKS_MORE {
            // Where calls take no longer than alone there is more room than that.
            let part = if secs < UNCROWDED * base {
                GROW_FREE
            } else {
                GROW
            };
            self.now += (self.now * part).max(GROW_LEAST);
            self.borne = self.borne.max(self.now.min(self.most));
            return Some(AdjustmentCause::Demand);
        }
        None
    }

    /// What a cut on trial has shown.
    fn tried(
        &mut self,
        now: Timestamp,
        trial: &Trial,
        (secs, error): (f64, f64),
        among: f64,
    ) -> Option<AdjustmentCause> {
        let if_queued = trial.secs * (among / trial.among).min(1.0);
        let fallen = trial.secs - secs - (error * error + trial.error * trial.error).sqrt();
        if fallen >= TRIAL_PROOF * (trial.secs - if_queued) && among < trial.among {
            // Crowded indeed: the next cut, if there is to be one, needs no more asking than this one.
            (self.borne, self.calm) = (self.now, (now, CALM));
            (self.asked, self.shifted) = ((TRIAL_ASKS, secs), now);
            return None;
        }
        self.asked = ((self.asked.0 * ASKS_MORE).min(ASKS_MOST), secs);
        self.now = trial.from;
        self.base = Some(secs);
        self.calm = (
            now + self.calm.1,
            (self.calm.1 + self.calm.1).min(CALM_MOST),
        );
        Some(AdjustmentCause::ProbeReverted)
    }

    fn failing(&mut self, now: Timestamp, e: &Epoch) -> AdjustmentCause {
        self.trial = None;
        self.fails += 1;
        self.now = (self.now * FAIL_KEEPS).max(1.0);
        let next = match self.health {
            Health::Trying { next } => Some(next),
            _ if e.good == 0 && self.fails > 1 => Some(REST),
            _ => None,
        };
        if let Some(rest) = next {
            // Spread, so that servers which saw the same failure do not come back together.
            let spread = 1.0 - REST_SPREAD * 0.5 + REST_SPREAD * self.chance.rand_float();
            let until = now + rest.mul_f64(spread);
            self.health = Health::Resting {
                until,
                next: (rest + rest).min(REST_MOST),
            };
            return AdjustmentCause::CircuitOpened;
        }
        AdjustmentCause::Failures
    }
}
