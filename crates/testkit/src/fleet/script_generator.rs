//! Draws actions for a fleet from a seed, one after the other, each of which the fleet can carry
//! out as it is.

use super::script::Action;
use madderbay::time::Duration;
use oorandom::Rand64;

/// The most that a fault of the network hits, as a part of all datagrams.
const MAX_FAULT_PART: f64 = 0.4;
/// Datagrams are corrupted this many times as often as they are lost.
const SPOIL_FOR_LOSS: f64 = 0.3;
/// The kinds of actions that are drawn evenly; those beyond the named ones start, continue or shift
/// work.
const ACTION_KINDS: f64 = 12.0;

/// A source of drawn actions. It owns what it has done to the fleet: which servers it has killed
/// and stopped.
pub struct ScriptGenerator {
    random: Rand64,
    /// By server whether it runs, stopped or not.
    up: Vec<bool>,
    stopped: Vec<bool>,
    /// The most work that a server is given, in calls at a time.
    max_demand: f64,
}

impl ScriptGenerator {
    /// For a fleet of which all servers run. A server is given work for fewer than `demand` calls
    /// at a time.
    pub fn new(seed: u64, servers: usize, demand: u32) -> ScriptGenerator {
        ScriptGenerator {
            random: Rand64::new(u128::from(seed)),
            up: vec![true; servers],
            stopped: vec![false; servers],
            max_demand: f64::from(demand),
        }
    }

    /// Draws a number of seconds under a limit.
    pub fn secs(&mut self, most: f64) -> f64 {
        self.random.rand_float() * most
    }

    /// The servers that are stopped now.
    pub fn stopped(&self) -> Vec<usize> {
        (0..self.stopped.len())
            .filter(|server| self.stopped[*server])
            .collect()
    }

    /// Draws the next action: crashes, pauses, cuts of both kinds, loss, doubling, corruption,
    /// delays of up to a second, replayed datagrams, shifted work.
    pub fn act(&mut self) -> Action {
        let who = (self.random.rand_float() * self.up.len() as f64) as usize;
        let part = self.random.rand_float() * MAX_FAULT_PART;
        let longest = Duration::from_secs_f64(0.01 + self.random.rand_float());
        let delay = Some((Duration::from_millis(1), longest));
        let running = self.up[who] && !self.stopped[who];
        match (self.random.rand_float() * ACTION_KINDS) as usize {
            0 if running => {
                self.up[who] = false;
                Action::Kill(who)
            }
            1 if running => {
                self.stopped[who] = true;
                Action::Stop(who)
            }
            2 => {
                let (even, odd) = (0..self.up.len()).partition(|other| other % 2 == who % 2);
                Action::Cut(vec![even, odd])
            }
            3 => Action::Cut(vec![vec![who], self.others(who)]),
            4 => Action::OneWay(who, self.others(who)),
            5 => Action::Heal,
            6 => Action::Network {
                loss: Some(part),
                double: Some(part),
                spoil: Some(part * SPOIL_FOR_LOSS),
                delay,
            },
            7 => Action::CALM,
            8 => Action::Replay(who),
            _ => self.repair_or_shift_work(who),
        }
    }

    /// Starts a server that is down, continues one that is stopped, or gives it other work.
    fn repair_or_shift_work(&mut self, who: usize) -> Action {
        if !self.up[who] {
            self.up[who] = true;
            return Action::start(who);
        }
        if self.stopped[who] {
            self.stopped[who] = false;
            return Action::Continue(who);
        }
        Action::Demand(who, (self.random.rand_float() * self.max_demand) as u32)
    }

    fn others(&self, who: usize) -> Vec<usize> {
        (0..self.up.len()).filter(|other| *other != who).collect()
    }
}
