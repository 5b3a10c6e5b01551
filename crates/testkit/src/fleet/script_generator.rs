//! Draws actions for a fleet from a seed, one after the other, each of which the fleet can carry
//! out in its present state. It knows which servers it has killed and stopped, and does nothing to
//! the fleet itself.

use super::script::Action;
use madderbay::time::Duration;
use oorandom::Rand64;

/// The largest fraction of all datagrams that a fault of the network hits.
const MAX_FAULT_FRACTION: f64 = 0.4;
/// Datagrams that are corrupted for each one that is lost.
const CORRUPTION_PER_LOSS: f64 = 0.3;
/// The number of kinds of actions, which are drawn evenly; those beyond the named ones start,
/// continue or shift demand.
const ACTION_KINDS: f64 = 12.0;

/// The shortest delay of a datagram, and the least that the longest one is drawn as.
const MIN_DELAY: Duration = Duration::from_millis(1);
const MIN_MAX_DELAY_SECS: f64 = 0.01;

/// A source of drawn actions. It owns what it has done to the fleet: which servers it has killed
/// and stopped.
pub struct ScriptGenerator {
    random: Rand64,
    /// By server whether it runs, stopped or not.
    up: Vec<bool>,
    stopped: Vec<bool>,
    /// The largest demand that a server is given, in calls at a time.
    max_demand: f64,
}

impl ScriptGenerator {
    /// For a fleet of which all servers run. The demand of a server is less than `demand` calls
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
    pub fn secs(&mut self, max_secs: f64) -> f64 {
        self.random.rand_float() * max_secs
    }

    /// The servers that are stopped now.
    pub fn stopped(&self) -> Vec<usize> {
        (0..self.stopped.len())
            .filter(|server| self.stopped[*server])
            .collect()
    }

    /// Draws the next action: crashes, pauses, partitions of both kinds, loss, duplication,
    /// corruption, delays of up to a second, replayed datagrams, shifted demand.
    pub fn act(&mut self) -> Action {
        let server = (self.random.rand_float() * self.up.len() as f64) as usize;
        let fraction = self.random.rand_float() * MAX_FAULT_FRACTION;
        let max_delay = Duration::from_secs_f64(MIN_MAX_DELAY_SECS + self.random.rand_float());
        let delay = Some((MIN_DELAY, max_delay));
        let running = self.up[server] && !self.stopped[server];
        match (self.random.rand_float() * ACTION_KINDS) as usize {
            0 if running => {
                self.up[server] = false;
                Action::Kill(server)
            }
            1 if running => {
                self.stopped[server] = true;
                Action::Stop(server)
            }
            2 => {
                let (same_parity, others) =
                    (0..self.up.len()).partition(|other| other % 2 == server % 2);
                Action::Cut(vec![same_parity, others])
            }
            3 => Action::Cut(vec![vec![server], self.others(server)]),
            4 => Action::OneWay(server, self.others(server)),
            5 => Action::Heal,
            6 => Action::Network {
                loss: Some(fraction),
                duplication: Some(fraction),
                corruption: Some(fraction * CORRUPTION_PER_LOSS),
                delay,
            },
            7 => Action::CALM,
            8 => Action::Replay(server),
            _ => self.repair_or_shift_demand(server),
        }
    }

    /// Starts a server that is down, continues one that is stopped, or gives it another demand.
    fn repair_or_shift_demand(&mut self, server: usize) -> Action {
        if !self.up[server] {
            self.up[server] = true;
            return Action::start(server);
        }
        if self.stopped[server] {
            self.stopped[server] = false;
            return Action::Continue(server);
        }
        Action::Demand(server, (self.random.rand_float() * self.max_demand) as u32)
    }

    fn others(&self, server: usize) -> Vec<usize> {
        (0..self.up.len())
            .filter(|other| *other != server)
            .collect()
    }
}
