//! Draws random fault actions for a fleet from a seed. Each action is valid for the state that the
//! previous ones left the fleet in: the generator tracks which servers it has killed or stopped.
//! It only returns actions; the caller applies them to the fleet.

use super::script::Action;
use madderbay::time::Duration;
use oorandom::Rand64;

/// Maximum fraction of all datagrams that a network fault affects.
const MAX_FAULT_FRACTION: f64 = 0.4;
/// Ratio of the fraction of corrupted datagrams to the fraction of lost ones.
const CORRUPTION_PER_LOSS: f64 = 0.3;
/// Number of kinds of actions, each drawn with the same probability. Kinds without a case of their
/// own restart a killed server, continue a stopped one, or change the demand of a running one.
const ACTION_KINDS: f64 = 12.0;

/// Minimum delay of a datagram.
const MIN_DELAY: Duration = Duration::from_millis(1);
/// Lower bound of the drawn maximum delay, in seconds.
const MIN_MAX_DELAY_SECS: f64 = 0.01;

/// Generates random actions and tracks which servers they have killed or stopped.
pub struct ScriptGenerator {
    random: Rand64,
    /// Whether each server's process exists. A stopped server counts as up.
    up: Vec<bool>,
    /// Whether each server is stopped.
    stopped: Vec<bool>,
    /// Upper bound on the demand of a server, in concurrent calls.
    max_demand: f64,
}

impl ScriptGenerator {
    /// Creates a generator for a fleet whose servers are all running. Each server's demand is below
    /// `demand` concurrent calls.
    pub fn new(seed: u64, servers: usize, demand: u32) -> ScriptGenerator {
        ScriptGenerator {
            random: Rand64::new(u128::from(seed)),
            up: vec![true; servers],
            stopped: vec![false; servers],
            max_demand: f64::from(demand),
        }
    }

    /// Draws a number of seconds below `max_secs`.
    pub fn secs(&mut self, max_secs: f64) -> f64 {
        self.random.rand_float() * max_secs
    }

    /// Returns the servers that are stopped now.
    pub fn stopped(&self) -> Vec<usize> {
        (0..self.stopped.len())
            .filter(|server| self.stopped[*server])
            .collect()
    }

    /// Draws the next action: a crash, a pause, a two-way or one-way partition, loss, duplication,
    /// corruption and delays of up to about a second, the end of faults, a replay of datagrams, the
    /// restart or continuation of a server, or a change of demand.
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

    /// Restarts the server if it was killed, continues it if it is stopped, and otherwise changes
    /// its demand.
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
