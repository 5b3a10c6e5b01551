//! The network between the servers of a fleet, with its faults. Simulated fleets and the relays of
//! real ones share it.

use super::script::Action;
use madderbay::time::Duration;
use oorandom::Rand64;
use std::collections::HashSet;

/// Datagrams to each server that are retained, so that they can be replayed.
const MAX_RETAINED_DATAGRAMS: usize = 200;
/// Fleets of more servers retain nothing.
const MAX_SERVERS_TO_RETAIN: usize = 50;

/// Decides what becomes of each datagram: lost, doubled, corrupted, delayed. It owns the cuts and
/// the faults, and draws from one seed; it never sends anything itself.
pub struct SimulatedNetwork {
    random: Rand64,
    /// The side of the cut that each server is on; all are on one without a cut.
    partition: Vec<usize>,
    /// Pairs of servers where nothing gets from the first to the second.
    one_way: HashSet<(usize, usize)>,
    loss: f64,
    double: f64,
    spoil: f64,
    delay: (Duration, Duration),
    /// The least and the most delay without faults.
    calm_delay: (Duration, Duration),
    /// By receiver the first datagrams, with their senders.
    retained: Vec<Vec<(usize, Vec<u8>)>>,
}

impl SimulatedNetwork {
    /// A network without faults; `calm` is the least and the most delay of its datagrams.
    pub fn new(servers: usize, seed: u64, calm: (Duration, Duration)) -> SimulatedNetwork {
        SimulatedNetwork {
            random: Rand64::new(u128::from(seed)),
            partition: vec![0; servers],
            one_way: HashSet::new(),
            loss: 0.0,
            double: 0.0,
            spoil: 0.0,
            delay: calm,
            calm_delay: calm,
            retained: vec![vec![]; servers],
        }
    }

    /// Carries out an action on the network; all other actions are ignored.
    pub fn act(&mut self, act: &Action) {
        match act {
            Action::Cut(groups) => {
                for (number, group) in (1..).zip(groups) {
                    group
                        .iter()
                        .for_each(|server| self.partition[*server] = number);
                }
            }
            Action::OneWay(from, to) => self.one_way.extend(to.iter().map(|to| (*from, *to))),
            Action::Heal => {
                self.partition.fill(0);
                self.one_way.clear();
            }
            Action::Network {
                loss: None,
                double: None,
                spoil: None,
                delay: None,
            } => {
                (self.loss, self.double, self.spoil) = (0.0, 0.0, 0.0);
                self.delay = self.calm_delay;
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

    /// The side of the cut that a server is on.
    pub(super) fn partition(&self, server: usize) -> usize {
        self.partition[server]
    }

    /// Whether two servers are on one side and there is no cut of one way anywhere.
    pub(super) fn connects_both_ways(&self, one: usize, other: usize) -> bool {
        self.partition[one] == self.partition[other] && self.one_way.is_empty()
    }

    /// What arrives of a datagram, each copy with its delay.
    pub fn carry(&mut self, from: usize, to: usize, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let cut = self.partition[from] != self.partition[to] || self.one_way.contains(&(from, to));
        if cut || self.draw(self.loss) {
            return vec![];
        }
        let copies = 1 + usize::from(self.draw(self.double));
        (0..copies)
            .map(|_| self.carry_copy(from, to, bytes))
            .collect()
    }

    fn carry_copy(&mut self, from: usize, to: usize, bytes: &[u8]) -> (Duration, Vec<u8>) {
        let mut bytes = bytes.to_vec();
        if !bytes.is_empty() && self.draw(self.spoil) {
            let position = (self.random.rand_float() * bytes.len() as f64) as usize;
            bytes[position] ^= 1 << (self.random.rand_u64() % 8);
        }
        let small_fleet = self.retained.len() <= MAX_SERVERS_TO_RETAIN;
        if small_fleet && self.retained[to].len() < MAX_RETAINED_DATAGRAMS {
            self.retained[to].push((from, bytes.clone()));
        }
        let (least, most) = self.delay;
        let more = most.saturating_sub(least).mul_f64(self.random.rand_float());
        (least + more, bytes)
    }

    /// Whether a fault happens that hits this part of all datagrams. Nothing is drawn where the
    /// part is 0.
    fn draw(&mut self, part: f64) -> bool {
        part > 0.0 && self.random.rand_float() < part
    }

    /// The first datagrams that were sent to a server, with their senders.
    pub(super) fn retained(&self, to: usize) -> Vec<(usize, Vec<u8>)> {
        self.retained[to].clone()
    }
}
