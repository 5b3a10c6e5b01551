//! Backends that serve the same handlers: who of them is in, judged together, since what is slow or failing is so
//! beside the others; and whom a call goes to.

use crate::backend::{Backend, Grounds, State};
use crate::gossip::reports::Heard;
use crate::manager::{BackendEvent, Settings};
use crate::retry_budget::Repeats;
use crate::selection::weighted::Drawn;
use madderbay::time::{Duration, Timestamp};
use oorandom::Rand64;

/// Where more than this part of a group looks bad the cause is none of theirs, or there is nothing better: nobody
/// is left out.
const PANIC_PART: f64 = 0.5;
/// What is left of the weight of one that is wholly doubted and could not be left out.
const DOUBTED: f64 = 0.1;
/// Bad calls under which a backend is as good as new.
const SPOTLESS: f64 = 0.05;
/// A call that nothing is known of is taken to last so long, in seconds.
const UNKNOWN: f64 = 0.02;
/// The return of a backend that others were seen to do well with is spread over so much for each of them, and no
/// more than this: those who left together do not come back together.
const SPREAD_EACH: Duration = Duration::from_millis(10);
const SPREAD_MOST: Duration = Duration::from_millis(5_000);
/// The times of calls are looked at anew this often.
const TIMES_EVERY: Duration = Duration::from_millis(500);

/// What a judgement of a group leans on beside the backends themselves.
pub struct Light<'a> {
    pub set: &'a Settings,
    pub heard: &'a Heard,
    /// Other servers that are in.
    pub peers: usize,
}

pub struct Group {
    pub handlers: Vec<usize>,
    pub backends: Vec<usize>,
    near: Drawn,
    far: Drawn,
    /// The part of the calls that stays near.
    stays: f64,
    panic: bool,
    /// The pace of a good backend.
    pub usual: Option<f64>,
    trials: Vec<usize>,
    pub repeats: Repeats,
    timed: Timestamp,
}

impl Group {
    pub fn new(now: Timestamp, handlers: Vec<usize>, backends: Vec<usize>, repeats: f64) -> Group {
        Group {
            handlers,
            backends,
            near: Drawn::default(),
            far: Drawn::default(),
            stays: 1.0,
            panic: false,
            usual: None,
            trials: vec![],
            repeats: Repeats::new(now, repeats),
            timed: now,
        }
    }

    /// The most that may be left out: a part of them, one of two in any case, and never all.
    pub fn out_most(&self, part: f64) -> usize {
        let n = self.backends.len();
        ((n as f64 * part) as usize).max(1).min(n.saturating_sub(1))
    }

    /// Judges all anew, and makes anew what calls are drawn from.
    pub fn look(
        &mut self,
        now: Timestamp,
        all: &mut [Backend],
        light: &Light,
        chance: &mut Rand64,
        changes: &mut Vec<BackendEvent>,
    ) {
        let Light { set, heard, peers } = *light;
        if now - self.timed >= TIMES_EVERY {
            self.timed = now;
            self.repeats.look();
        }
        let paces = self.backends.iter().filter_map(|b| all[*b].own.pace(now));
        let mut paces: Vec<f64> = paces.collect();
        paces.sort_by(f64::total_cmp);
        // The middle one, the quicker of two: one that is slow does not make itself the measure.
        self.usual = paces.get(paces.len().saturating_sub(1) / 2).copied();
        let usual = self.usual.filter(|_| paces.len() > 1);
        let spread = SPREAD_EACH.mul_f64(peers as f64).min(SPREAD_MOST);
        let mut grounds: Vec<(usize, Grounds)> = vec![];
        let (mut out, mut bad) = (0, 0);
        for i in &self.backends {
            let b = &mut all[*i];
            let before = b.state;
            if b.pass(now) {
                changes.push(BackendEvent::StateChanged {
                    name: b.set.name.clone(),
                    from: before,
                    to: b.state,
                });
            }
            b.heard = heard.summary(now, b.mark);
            if let Some(well) = b.heard.well.filter(|at| *at > b.since) {
                b.try_by(well + spread.mul_f64(b.drawn));
            }
            if matches!(b.state, State::Ejected | State::Probing) {
                out += 1;
                bad += 1;
            } else {
                let found = b.grounds(now, usual);
                bad += usize::from(found.condemn());
                grounds.push((*i, found));
            }
        }
        self.settle(all, bad, changes);
        if !self.panic {
            grounds.sort_by(|a, b| b.1.doubt().total_cmp(&a.1.doubt()));
            for (i, found) in grounds.iter().filter(|g| g.1.condemn()) {
                if out >= self.out_most(set.max_ejected_fraction) {
                    break;
                }
                out += 1;
                all[*i].eject(now, chance.rand_float());
                let (name, grounds) = (all[*i].set.name.clone(), found.clone());
                changes.push(BackendEvent::Ejected {
                    name,
                    grounds,
                    until: all[*i].next - now,
                });
            }
        }
        self.tables(now, all, set, &grounds);
    }

    fn settle(&mut self, all: &[Backend], bad: usize, changes: &mut Vec<BackendEvent>) {
        let n = self.backends.len();
        let panic = n > 1 && bad as f64 > PANIC_PART * n as f64;
        if std::mem::replace(&mut self.panic, panic) != panic {
            let name = all[self.backends[0]].set.name.clone();
            changes.push(BackendEvent::PanicModeChanged {
                name,
                on: panic,
                bad,
                of: n,
            });
        }
    }

    fn tables(
        &mut self,
        now: Timestamp,
        all: &[Backend],
        set: &Settings,
        grounds: &[(usize, Grounds)],
    ) {
        let near = |i: &usize| set.zone.is_empty() || all[*i].set.zone == set.zone;
        let mut left = vec![1.0; all.len()];
        if grounds.iter().any(|g| g.1.bad >= SPOTLESS) {
            grounds
                .iter()
                .for_each(|(i, g)| left[*i] = 1.0 - (1.0 - DOUBTED) * own_doubt(g));
        }
        let weight = |i: usize| {
            if self.panic {
                all[i].set.weight
            } else {
                all[i].weight(now) * left[i]
            }
        };
        let weights: Vec<(usize, f64)> = self.backends.iter().map(|i| (*i, weight(*i))).collect();
        self.near = Drawn::of(weights.iter().filter(|w| near(&w.0)).copied());
        self.far = Drawn::of(weights.iter().filter(|w| !near(&w.0)).copied());
        let whole: f64 = self
            .backends
            .iter()
            .filter(|i| near(i))
            .map(|i| all[*i].set.weight)
            .sum();
        self.stays = match (self.near.is_empty(), self.far.is_empty()) {
            (true, _) => 0.0,
            (false, true) => 1.0,
            _ => (self.near.sum() / whole / set.min_local_fraction).min(1.0),
        };
        self.trials = self
            .backends
            .iter()
            .copied()
            .filter(|i| all[*i].state == State::Probing)
            .collect();
    }

    /// Whom the next call goes to.
    pub fn pick(
        &mut self,
        now: Timestamp,
        all: &[Backend],
        avoid: Option<usize>,
        chance: &mut Rand64,
    ) -> Option<usize> {
        // One that is to be tried has one call, wherever it stands.
        if avoid.is_none()
            && let Some(at) = self.trials.iter().position(|i| all[*i].open_for_trial(now))
        {
            return Some(self.trials.remove(at));
        }
        let from = if chance.rand_float() < self.stays {
            &self.near
        } else {
            &self.far
        };
        let from = if from.is_empty() || avoid.is_some() && from.len() < 2 {
            self.other(from)
        } else {
            from
        };
        let usual = self.usual.unwrap_or(UNKNOWN);
        let cost = |i: usize| {
            let b = &all[i];
            (b.in_hand.len() + 1) as f64 * b.own.rough_pace().unwrap_or(usual) / b.set.weight
        };
        from.better(avoid, || chance.rand_float(), cost)
            .or_else(|| self.backends.first().copied())
    }

    /// The other of the two that calls are drawn from, where it has anyone.
    fn other<'a>(&'a self, from: &'a Drawn) -> &'a Drawn {
        let other = if std::ptr::eq(from, &self.near) {
            &self.far
        } else {
            &self.near
        };
        if other.is_empty() { from } else { other }
    }
}

/// What is doubted by one's own evidence alone.
fn own_doubt(g: &Grounds) -> f64 {
    g.bad / (g.good + g.bad + 1.0)
}
