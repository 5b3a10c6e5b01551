//! The network between the servers of a fleet, with injected faults. Simulated fleets and the
//! relays of real fleets share this code. It holds the present partitions and faults and decides
//! what happens to each datagram, but sends nothing itself.

use super::script::Action;
use madderbay::time::Duration;
use oorandom::Rand64;
use std::collections::HashSet;

/// Maximum number of datagrams retained per receiver for a later replay.
const MAX_RETAINED_DATAGRAMS: usize = 200;
/// Number of servers up to which a fleet's datagrams are retained.
const MAX_RETAINING_FLEET_SIZE: usize = 50;

/// Decides for each datagram whether it is lost, duplicated, corrupted or delayed. The seed
/// determines all random choices.
pub struct SimulatedNetwork {
    random: Rand64,
    /// Partition group of each server; all servers are in one group if there is no partition.
    partition: Vec<usize>,
    /// Pairs of servers of which the first cannot reach the second.
    one_way: HashSet<(usize, usize)>,
    /// Fractions of all datagrams that are lost, duplicated and corrupted.
    loss: f64,
    duplication: f64,
    corruption: f64,
    /// Minimum and maximum delay of a datagram.
    delay: (Duration, Duration),
    /// Minimum and maximum delay while no fault changes them.
    base_delay: (Duration, Duration),
    /// The first datagrams sent to each receiver, with their senders.
    retained: Vec<Vec<(usize, Vec<u8>)>>,
}

impl SimulatedNetwork {
    /// Creates a network without faults. `base_delay` is the minimum and maximum delay of its
    /// datagrams.
    pub fn new(servers: usize, seed: u64, base_delay: (Duration, Duration)) -> SimulatedNetwork {
        SimulatedNetwork {
            random: Rand64::new(u128::from(seed)),
            partition: vec![0; servers],
            one_way: HashSet::new(),
            loss: 0.0,
            duplication: 0.0,
            corruption: 0.0,
            delay: base_delay,
            base_delay,
            retained: vec![vec![]; servers],
        }
    }

    /// Applies an action to the network. Actions that do not concern the network are ignored.
    pub fn act(&mut self, action: &Action) {
        match action {
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
                duplication: None,
                corruption: None,
                delay: None,
            } => {
                self.loss = 0.0;
                self.duplication = 0.0;
                self.corruption = 0.0;
                self.delay = self.base_delay;
            }
            Action::Network {
                loss,
                duplication,
                corruption,
                delay,
            } => {
                self.loss = loss.unwrap_or(self.loss);
                self.duplication = duplication.unwrap_or(self.duplication);
                self.corruption = corruption.unwrap_or(self.corruption);
                self.delay = delay.unwrap_or(self.delay);
            }
            _ => {}
        }
    }

    /// Returns the partition group of a server.
    pub(super) fn partition(&self, server: usize) -> usize {
        self.partition[server]
    }

    /// Reports whether two servers are in one partition group and the network has no one-way
    /// partition between any servers.
    pub(super) fn connects_both_ways(&self, one: usize, other: usize) -> bool {
        self.partition[one] == self.partition[other] && self.one_way.is_empty()
    }

    /// Returns the copies of a datagram that arrive, each with its delay. The result is empty if
    /// the datagram is lost.
    pub fn carry(&mut self, from: usize, to: usize, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let partitioned =
            self.partition[from] != self.partition[to] || self.one_way.contains(&(from, to));
        if partitioned || self.draw_fault(self.loss) {
            return vec![];
        }
        let copies = 1 + usize::from(self.draw_fault(self.duplication));
        (0..copies)
            .map(|_| self.deliver_copy(from, to, bytes))
            .collect()
    }

    fn deliver_copy(&mut self, from: usize, to: usize, bytes: &[u8]) -> (Duration, Vec<u8>) {
        let mut bytes = bytes.to_vec();
        if !bytes.is_empty() && self.draw_fault(self.corruption) {
            let position = (self.random.rand_float() * bytes.len() as f64) as usize;
            bytes[position] ^= 1 << (self.random.rand_u64() % 8);
        }
        let small_fleet = self.retained.len() <= MAX_RETAINING_FLEET_SIZE;
        if small_fleet && self.retained[to].len() < MAX_RETAINED_DATAGRAMS {
            self.retained[to].push((from, bytes.clone()));
        }
        let (min_delay, max_delay) = self.delay;
        let range = max_delay.saturating_sub(min_delay);
        let delay = min_delay + range.mul_f64(self.random.rand_float());
        (delay, bytes)
    }

    /// Draws whether a fault with this probability happens. A probability of 0 consumes no random
    /// number.
    fn draw_fault(&mut self, fraction: f64) -> bool {
        fraction > 0.0 && self.random.rand_float() < fraction
    }

    /// Returns the retained datagrams that were sent to a server, with their senders.
    pub(super) fn retained(&self, to: usize) -> Vec<(usize, Vec<u8>)> {
        self.retained[to].clone()
    }
}
