//! What the network between the servers of a fleet does to their datagrams, the same simulated and on relays.

use super::script::Action;
use madderbay::time::Duration;
use oorandom::Rand64;
use std::collections::HashSet;

/// Datagrams to each server that may be sent again.
const KEPT: usize = 200;

pub struct SimulatedNetwork {
    chance: Rand64,
    pub group: Vec<usize>,
    pub one_way: HashSet<(usize, usize)>,
    loss: f64,
    double: f64,
    spoil: f64,
    delay: (Duration, Duration),
    /// What a datagram takes where no script says otherwise.
    calm: (Duration, Duration),
    kept: Vec<Vec<(usize, Vec<u8>)>>,
}

impl SimulatedNetwork {
    pub fn new(servers: usize, seed: u64, calm: (Duration, Duration)) -> SimulatedNetwork {
        SimulatedNetwork {
            chance: Rand64::new(u128::from(seed)),
            group: vec![0; servers],
            one_way: HashSet::new(),
            loss: 0.0,
            double: 0.0,
            spoil: 0.0,
            delay: calm,
            calm,
            kept: vec![vec![]; servers],
        }
    }

    /// Takes in what concerns the network; all else is the fleet's.
    pub fn act(&mut self, act: &Action) {
        match act {
            Action::Cut(groups) => {
                for (no, group) in (1..).zip(groups) {
                    group.iter().for_each(|s| self.group[*s] = no);
                }
            }
            Action::OneWay(from, to) => self.one_way.extend(to.iter().map(|t| (*from, *t))),
            Action::Heal => {
                self.group.fill(0);
                self.one_way.clear();
            }
            Action::Network {
                loss: None,
                double: None,
                spoil: None,
                delay: None,
            } => {
                (self.loss, self.double, self.spoil, self.delay) = (0.0, 0.0, 0.0, self.calm);
            }
            Action::Network {
                loss,
                double,
                spoil,
                delay,
            } => {
                self.loss = loss.unwrap_or(self.loss);
                self.double = double.unwrap_or(self.double);
                self.spoil = spoil.unwrap_or(self.spoil);
                self.delay = delay.unwrap_or(self.delay);
            }
            _ => {}
        }
    }

    fn draws(&mut self, part: f64) -> bool {
        part > 0.0 && self.chance.rand_float() < part
    }

    /// What arrives of a datagram, and after what time.
    pub fn carry(&mut self, from: usize, to: usize, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let cut = self.group[from] != self.group[to] || self.one_way.contains(&(from, to));
        if cut || self.draws(self.loss) {
            return vec![];
        }
        let copies = 1 + usize::from(self.draws(self.double));
        let mut arrive = vec![];
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if !bytes.is_empty() && self.draws(self.spoil) {
                let at = (self.chance.rand_float() * bytes.len() as f64) as usize;
                bytes[at] ^= 1 << (self.chance.rand_u64() % 8);
            }
            if self.kept[to].len() < KEPT && self.kept.len() <= SMALL {
                self.kept[to].push((from, bytes.clone()));
            }
            let spread = self
                .delay
                .1
                .saturating_sub(self.delay.0)
                .mul_f64(self.chance.rand_float());
            arrive.push((self.delay.0 + spread, bytes));
        }
        arrive
    }

    /// The first that were sent to a server, with who sent them.
    pub fn kept(&self, to: usize) -> Vec<(usize, Vec<u8>)> {
        self.kept[to].clone()
    }
}

/// Fleets of more servers keep nothing to be sent again.
const SMALL: usize = 50;
