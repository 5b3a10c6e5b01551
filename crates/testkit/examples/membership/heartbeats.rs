//! All-to-all heartbeats, for comparison: each server sends 60 bytes to each other server every
//! half second, and holds down each server from which it has received nothing for 3 s. All servers
//! know every address from the beginning, which makes the heartbeats look better than they would in
//! practice.

use crate::row::Row;
use oorandom::Rand64;

/// Interval between heartbeats of a server, in seconds.
const HEARTBEAT_SECS: f64 = 0.5;
/// Time without a heartbeat after which a server is held down, in seconds.
const TIMEOUT_SECS: f64 = 3.0;
/// Simulated time of one step, in seconds.
const STEP_SECS: f64 = 0.05;
/// Upper bound on the time that a fleet takes to settle, in seconds.
const SETTLE_TIMEOUT_SECS: f64 = 30.0;
/// Time over which bytes are measured, in seconds.
const MEASURED_SECS: f64 = 5.0;
const HEARTBEAT_BYTES: u64 = 60;

/// A simulated fleet whose servers only exchange heartbeats.
pub(crate) struct Heartbeats {
    servers: usize,
    loss: f64,
    random: Rand64,
    now: f64,
    running: Vec<bool>,
    /// Time until which each server is paused, in seconds.
    paused_until: Vec<f64>,
    /// Group of the partition to which each server belongs.
    partition: Vec<usize>,
    /// Time of the last heartbeat that arrived, by receiver and sender, in seconds.
    last_received: Vec<f64>,
    /// Time until the next heartbeat of each server, in seconds.
    until_next: Vec<f64>,
    bytes_sent: u64,
}

impl Heartbeats {
    pub(crate) fn new(servers: usize, loss: f64, seed: u64) -> Heartbeats {
        let mut random = Rand64::new(u128::from(seed) + 1);
        let until_next = (0..servers).map(|_| random.rand_float() * HEARTBEAT_SECS);
        let until_next = until_next.collect();
        Heartbeats {
            servers,
            loss,
            random,
            now: 0.0,
            running: vec![true; servers],
            paused_until: vec![0.0; servers],
            partition: vec![0; servers],
            last_received: vec![f64::MIN; servers * servers],
            until_next,
            bytes_sent: 0,
        }
    }

    pub(crate) fn now(&self) -> f64 {
        self.now
    }

    pub(crate) fn pause(&mut self, server: usize, until: f64) {
        self.paused_until[server] = until;
    }

    pub(crate) fn is_paused(&self, server: usize) -> bool {
        self.paused_until[server] > self.now
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP_SECS;
        for server in 0..self.servers {
            self.until_next[server] -= STEP_SECS;
            if self.until_next[server] <= 0.0 && self.running[server] && !self.is_paused(server) {
                self.until_next[server] = HEARTBEAT_SECS;
                self.send_heartbeats(server);
            }
        }
    }

    fn send_heartbeats(&mut self, from: usize) {
        for to in (0..self.servers).filter(|to| *to != from) {
            self.bytes_sent += HEARTBEAT_BYTES;
            let connected = self.running[to] && self.partition[from] == self.partition[to];
            if connected && self.random.rand_float() >= self.loss {
                self.last_received[to * self.servers + from] = self.now;
            }
        }
    }

    /// Reports whether `other` is up in the view of `server`.
    pub(crate) fn is_up(&self, server: usize, other: usize) -> bool {
        self.now - self.last_received[server * self.servers + other] <= TIMEOUT_SECS
    }

    fn is_settled(&self) -> bool {
        let mut running = (0..self.servers).filter(|server| self.running[*server]);
        running.all(|server| {
            let mut others = (0..self.servers).filter(|other| *other != server);
            others.all(|other| {
                let connected = self.partition[server] == self.partition[other];
                self.is_up(server, other) == (self.running[other] && connected)
            })
        })
    }

    /// Advances the simulation until the views of all servers are right. Returns the time that it
    /// took in seconds, infinite if it exceeds the timeout.
    pub(crate) fn settle(&mut self) -> f64 {
        let began = self.now;
        while !self.is_settled() {
            if self.now - began > SETTLE_TIMEOUT_SECS {
                return f64::INFINITY;
            }
            self.step();
        }
        self.now - began
    }
}

/// Plays the faults of a table row with one seed, and adds the results to the row.
pub(crate) fn play(servers: usize, loss: f64, seed: u64, row: &mut Row) {
    let mut fleet = Heartbeats::new(servers, loss, seed);
    fleet.running[servers - 1] = false;
    if fleet.settle().is_infinite() {
        return row.join.push(f64::INFINITY);
    }
    let sent_before = fleet.bytes_sent;
    let began = fleet.now;
    while fleet.now - began < MEASURED_SECS {
        fleet.step();
    }
    let bytes = (fleet.bytes_sent - sent_before) as f64;
    row.bytes.push(bytes / MEASURED_SECS / servers as f64);
    fleet.running[servers - 1] = true;
    row.join.push(fleet.settle());
    fleet.running[servers / 2] = false;
    row.crash.push(fleet.settle());
    fleet.partition[..servers / 3].fill(1);
    row.partition.push(fleet.settle());
    fleet.partition.fill(0);
    row.heal.push(fleet.settle());
}
