//! The life of one backend as one server sees it: in, left out for a while, tried again by single calls, let in
//! by and by.

use crate::gossip::reports::Summary;
use crate::manager::BackendSettings;
use crate::outlier::call_history::{AttemptOutcome, Evidence};
use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::fmt;

/// The first time left out, doubled with each that follows, up to the most; drawn from three quarters to five
/// quarters, so that servers that left together do not return together.
const TERM: Duration = Duration::from_millis(2_000);
const TERM_MOST: Duration = Duration::from_millis(60_000);
/// A backend that was in for so long is forgiven one time that it was left out.
const FORGIVES: Duration = Duration::from_millis(30_000);
/// Calls that go well one after the other in a trial; between two of them at the least.
const TRIALS: u32 = 2;
pub const TRIAL_EVERY: Duration = Duration::from_millis(200);
/// A backend that is let in again, or is set beside others, has that part of its weight at first, and all of it
/// after this.
const RISES_FROM: f64 = 0.1;
const RISES: Duration = Duration::from_millis(10_000);
/// A call in hand for so many times the usual, and so long at the least, counts as silent already.
const SILENT_TIMES: f64 = 8.0;
const SILENT_LEAST: Duration = Duration::from_millis(250);
/// Times the group's pace that tell a slow backend, and by how many bad calls its slowness counts.
const SLOW_TIMES: f64 = 4.0;
const SLOW_COUNTS: f64 = 3.0;
/// The part of what was seen that is bad from which on a backend is doubted enough to be left out, where there
/// were so many bad calls of its own: without a word of others; with some; with enough independent ones. The
/// one that is taken for granted keeps a single call from deciding.
const DOUBT: f64 = 0.6;
const GRANTED: f64 = 0.5;
const OWN_ALONE: f64 = 2.5;
const OWN_AND_HEARD: f64 = 0.7;
/// What is told to others of the good calls before a bad one that came last: they say little of now.
const OUTDATED: f64 = 0.3;
/// What is heard from which on one's own first bad call is enough; and that decides where nothing was seen.
const HEARD_SOME: f64 = 0.9;
const HEARD_ALONE: f64 = 3.0;
/// Zones that have to agree for that.
const ZONES_ALONE: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Active,
    Ejected,
    /// Tried by single calls.
    Probing,
    /// Let in again, by and by.
    SlowStart,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            State::Active => "in",
            State::Ejected => "ejected",
            State::Probing => "trial",
            State::SlowStart => "rising",
        })
    }
}

/// What a judgement rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct Grounds {
    pub good: f64,
    pub bad: f64,
    /// Of the bad, calls in hand that are silent, and whether it is slow.
    pub silent: usize,
    pub slow: Option<f64>,
    pub heard: f64,
    pub zones: usize,
    pub witnesses: usize,
}

impl Grounds {
    /// How far a backend is doubted, 0 to 1.
    pub fn doubt(&self) -> f64 {
        let bad = self.bad + self.heard;
        bad / (self.good + bad + GRANTED)
    }

    /// The one rule of evidence.
    pub fn condemn(&self) -> bool {
        let own = if self.heard >= HEARD_ALONE && self.zones >= ZONES_ALONE {
            0.0
        } else if self.heard >= HEARD_SOME {
            OWN_AND_HEARD
        } else {
            OWN_ALONE
        };
        self.doubt() >= DOUBT && self.bad >= own
    }
}

impl fmt::Display for Grounds {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "own {:.1} bad, {:.1} good", self.bad, self.good)?;
        if self.silent > 0 {
            write!(f, " ({} silent)", self.silent)?;
        }
        if let Some(times) = self.slow {
            write!(f, " ({times:.0} times as slow as the others)")?;
        }
        match self.witnesses {
            0 => f.write_str("; nothing heard"),
            n => write!(
                f,
                "; heard {:.1} from {n} of {} zones",
                self.heard, self.zones
            ),
        }
    }
}

pub struct Backend {
    pub set: BackendSettings,
    pub mark: u32,
    pub state: State,
    pub own: Evidence,
    /// Attempts in hand, by number: when each began.
    pub in_hand: BTreeMap<u64, Timestamp>,
    pub heard: Summary,
    times: u32,
    /// Chance drawn when it was left out: its place in the return.
    pub drawn: f64,
    /// When the state began, and when the next thing is due in it.
    pub since: Timestamp,
    pub next: Timestamp,
    trials: u32,
    /// What was seen of it as of the last judgement, good and bad.
    pub told: (f64, f64),
    /// No longer set: gone once nothing is in hand.
    pub gone: bool,
}

impl Backend {
    pub fn new(now: Timestamp, set: BackendSettings, state: State) -> Backend {
        Backend {
            mark: crate::gossip::codec::name_hash(&set.name),
            set,
            state,
            own: Evidence::default(),
            in_hand: BTreeMap::new(),
            heard: Summary::default(),
            times: 0,
            drawn: 0.0,
            since: now,
            next: now,
            trials: 0,
            told: (0.0, 0.0),
            gone: false,
        }
    }

    /// Its weight as of now: what the operator set, less while it rises and while it is doubted by others.
    pub fn weight(&self, now: Timestamp) -> f64 {
        let rises = match self.state {
            State::Active => 1.0,
            State::SlowStart => {
                let part = (now - self.since).as_secs_f64() / RISES.as_secs_f64();
                RISES_FROM + (1.0 - RISES_FROM) * part.min(1.0)
            }
            State::Ejected | State::Probing => return 0.0,
        };
        self.set.weight * rises * self.heard.weight()
    }

    /// What it is judged by now; `usual` is the group's pace.
    pub fn grounds(&mut self, now: Timestamp, usual: Option<f64>) -> Grounds {
        self.own.fade(now);
        let patience = patience(usual);
        let silent = self
            .in_hand
            .values()
            .take_while(|at| now - **at > patience)
            .count();
        let slow = match (self.own.pace(now), usual) {
            (Some(own), Some(usual)) if own > SLOW_TIMES * usual => Some(own / usual),
            _ => None,
        };
        let (mut good, mut bad) = (self.own.good(), self.own.bad + silent as f64);
        if slow.is_some() {
            // Its good calls are no good ones.
            (good, bad) = (0.0, bad.max(SLOW_COUNTS));
        }
        self.told = (
            if self.own.failing() {
                good * OUTDATED
            } else {
                good
            },
            bad,
        );
        let heard = &self.heard;
        // Fresh good calls of one's own overrule all that is heard.
        let deaf = slow.is_none() && good >= 2.0 && bad < 0.5;
        Grounds {
            good,
            bad,
            silent,
            slow,
            heard: if deaf { 0.0 } else { heard.units },
            zones: heard.zones,
            witnesses: heard.witnesses,
        }
    }

    /// Left out from now on, longer each time.
    pub fn eject(&mut self, now: Timestamp, draw: f64) {
        self.times = (self.times + 1).min(16);
        let term = TERM
            .mul_f64(f64::from(1u32 << (self.times - 1)))
            .min(TERM_MOST);
        (self.state, self.since, self.drawn) = (State::Ejected, now, draw);
        self.next = now + term.mul_f64(0.75 + 0.5 * draw);
        self.trials = 0;
    }

    /// Others have seen it do well since: it is tried no later than that.
    pub fn try_by(&mut self, at: Timestamp) {
        if self.state == State::Ejected {
            self.next = self.next.min(at);
        }
    }

    /// Time passes; true where the state is another one now.
    pub fn pass(&mut self, now: Timestamp) -> bool {
        match self.state {
            State::Ejected if now >= self.next => {
                (self.state, self.since, self.next, self.trials) = (State::Probing, now, now, 0);
                self.own.forget();
                true
            }
            State::SlowStart if now - self.since >= RISES => {
                (self.state, self.since) = (State::Active, now);
                true
            }
            State::Active if self.times > 0 && now - self.since >= FORGIVES => {
                (self.times, self.since) = (self.times - 1, now);
                false
            }
            _ => false,
        }
    }

    /// Whether a call may go to it on trial now.
    pub fn open_for_trial(&self, now: Timestamp) -> bool {
        self.state == State::Probing && self.in_hand.is_empty() && now >= self.next
    }

    /// A call on trial came to its end; `slow` where it took far longer than the others' do. True where it is
    /// let in again, or left out again.
    pub fn tried(&mut self, now: Timestamp, end: AttemptOutcome, slow: bool, draw: f64) -> bool {
        self.next = now + TRIAL_EVERY;
        match end {
            AttemptOutcome::Success if !slow => {
                self.trials += 1;
                if self.trials >= TRIALS {
                    (self.state, self.since) = (State::SlowStart, now);
                    return true;
                }
                false
            }
            AttemptOutcome::Rejected | AttemptOutcome::Cancelled => false,
            _ => {
                self.eject(now, draw);
                true
            }
        }
    }
}

/// How long a call is out until it counts as silent.
pub fn patience(usual: Option<f64>) -> Duration {
    usual.map_or(SILENT_LEAST, |s| {
        Duration::from_secs_f64(s * SILENT_TIMES).max(SILENT_LEAST)
    })
}

/// Whether a call's time is far beyond the others'.
pub fn slow(took: Duration, usual: Option<f64>) -> bool {
    usual.is_some_and(|usual| took.as_secs_f64() > SLOW_TIMES * usual)
}
