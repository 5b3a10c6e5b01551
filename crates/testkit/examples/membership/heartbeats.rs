//! All-to-all heartbeats, for comparison: each server sends 60 bytes to each other every half
//! second, and holds down each of which it has received nothing for 3 s. Every address is known to
//! all from the beginning, which flatters them.

use crate::row::Row;
use oorandom::Rand64;

/// The time between two heartbeats of a server, in seconds.
const HEARTBEAT_SECS: f64 = 0.5;
/// The time without a heartbeat after which a server is down, in seconds.
const TIMEOUT_SECS: f64 = 3.0;
/// The time that a step simulates, in seconds.
const STEP_SECS: f64 = 0.05;
/// Upper bound on the time that a fleet takes to settle, in seconds.
const SETTLE_TIMEOUT_SECS: f64 = 30.0;
/// The time over which bytes are measured, in seconds.
const MEASURED_SECS: f64 = 5.0;
const HEARTBEAT_BYTES: u64 = 60;

/// A simulated fleet that has nothing but heartbeats.
pub(crate) struct Heartbeats {
    servers: usize,
    loss: f64,
    random: Rand64,
    now: f64,
    running: Vec<bool>,
    /// By server until when it is paused.
    paused_until: Vec<f64>,
    /// The group of the partition that each server is in.
    partition: Vec<usize>,
    /// By receiver and sender when the last heartbeat arrived.
    last_received: Vec<f64>,
    /// By server the seconds until its next heartbeat.
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

    /// Whether another server is up in a server's view.
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

    /// Steps until all views are right. Gives the time that it took in seconds, infinite if that is
    /// longer than the term.
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

/// The faults of a row with one seed.
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
