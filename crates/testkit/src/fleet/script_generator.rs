//! Faults and shifts of work, drawn one after the other from a seed: each one that the fleet can take as it is.

use super::script::Action;
use madderbay::time::Duration;
use oorandom::Rand64;

pub struct ScriptGenerator {
    chance: Rand64,
    up: Vec<bool>,
    stopped: Vec<bool>,
    /// The most work that a server is given, in calls.
    demand: f64,
}

impl ScriptGenerator {
    /// All servers run.
    pub fn new(seed: u64, servers: usize, demand: u32) -> ScriptGenerator {
        ScriptGenerator {
            chance: Rand64::new(u128::from(seed)),
            up: vec![true; servers],
            stopped: vec![false; servers],
            demand: f64::from(demand),
        }
    }

    /// Up to so many seconds.
    pub fn secs(&mut self, most: f64) -> f64 {
        self.chance.rand_float() * most
    }

    /// Servers that are stopped now.
    pub fn stopped(&self) -> Vec<usize> {
        (0..self.stopped.len())
            .filter(|s| self.stopped[*s])
            .collect()
    }

    /// The next: crashes, pauses, cuts of both kinds, loss, doubling, spoiling, delays of up to a second, old
    /// datagrams, other work.
    pub fn act(&mut self) -> Action {
        let n = self.up.len();
        let who = (self.chance.rand_float() * n as f64) as usize;
        let part = self.chance.rand_float() * 0.4;
        let delay = Some((
            Duration::from_millis(1),
            Duration::from_secs_f64(0.01 + self.chance.rand_float()),
        ));
        match (self.chance.rand_float() * 12.0) as usize {
            0 if self.up[who] && !self.stopped[who] => {
                self.up[who] = false;
                Action::Kill(who)
            }
            1 if self.up[who] && !self.stopped[who] => {
                self.stopped[who] = true;
                Action::Stop(who)
            }
            2 => {
                let (a, b) = (0..n).partition(|s| s % 2 == who % 2);
                Action::Cut(vec![a, b])
            }
            3 => Action::Cut(vec![vec![who], (0..n).filter(|s| *s != who).collect()]),
            4 => Action::OneWay(who, (0..n).filter(|s| *s != who).collect()),
            5 => Action::Heal,
            6 => Action::Network {
                loss: Some(part),
                double: Some(part),
                spoil: Some(part * 0.3),
                delay,
            },
            7 => Action::Network {
                loss: None,
                double: None,
                spoil: None,
                delay: None,
            },
            8 => Action::Replay(who),
            _ if !self.up[who] => {
                self.up[who] = true;
                Action::Start {
                    who,
                    name: who,
                    clock: Duration::ZERO,
                    back: false,
                }
            }
            _ if self.stopped[who] => {
                self.stopped[who] = false;
                Action::Continue(who)
            }
            _ => Action::Demand(who, (self.chance.rand_float() * self.demand) as u32),
        }
    }
}
