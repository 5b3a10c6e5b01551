//! Timers of the simulated servers, and the gossip about backends that they exchange.

use super::ids::SimulatedServerId;
use super::setup::{backend_name, server_name, server_of_name};
use super::{BackendSimulation, Event, GOSSIP_DELAY, GossipPartition};
use madderbay::time::Duration;
use madderbay_upstream::{BackendEvent, BackendReport, GossipMessage, name_hash};
use std::fmt;

/// Maximum number of entries in the log.
const MAX_LOG_ENTRIES: usize = 10_000;
/// Probability that a server with false reports sends them when its timer fires.
const FALSE_REPORT_PROBABILITY: f64 = 0.1;
/// Number of failures in a false report, in eighths of a call.
const FALSELY_REPORTED_FAILURES: u16 = 8_000;

/// An event of one server's upstream manager. `Display` writes one line with the time in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Simulated time since the start.
    pub at: Duration,
    /// The server of the upstream manager.
    pub server: SimulatedServerId,
    /// The event of the upstream manager.
    pub event: BackendEvent,
}

impl fmt::Display for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let seconds = self.at.as_secs_f64();
        write!(
            f,
            "{seconds:8.2} {}: {}",
            server_name(self.server),
            self.event
        )
    }
}

/// A payload and the server that it is sent to.
struct Datagram {
    to: SimulatedServerId,
    bytes: Vec<u8>,
}

impl BackendSimulation {
    /// Handles the timeout of a server's upstream manager, and sends the resulting datagrams.
    pub(super) fn timer_fired(&mut self, id: SimulatedServerId) {
        let upstream = &mut self.servers[id.index()].upstream;
        upstream.handle_timeout(self.now);
        let sent = upstream.take_datagrams();
        let events = upstream.take_events();
        for event in events {
            self.log_event(id, event);
        }
        let mut datagrams: Vec<Datagram> = sent
            .into_iter()
            .map(|(to, bytes)| Datagram {
                to: server_of_name(&to),
                bytes,
            })
            .collect();
        datagrams.extend(self.draw_false_reports(id));
        for datagram in datagrams {
            self.send_gossip(id, datagram);
        }
    }

    /// Returns the false reports that a server sends when its timer fires, if any.
    fn draw_false_reports(&mut self, from: SimulatedServerId) -> Vec<Datagram> {
        let reports_falsely = !self.servers[from.index()].falsely_reported.is_empty();
        if !reports_falsely || self.random.rand_float() >= FALSE_REPORT_PROBABILITY {
            return vec![];
        }
        let bytes = self.false_report(from).encode();
        SimulatedServerId::first(self.servers.len())
            .filter(|to| *to != from)
            .map(|to| Datagram {
                to,
                bytes: bytes.clone(),
            })
            .collect()
    }

    fn send_gossip(&mut self, from: SimulatedServerId, Datagram { to, bytes }: Datagram) {
        if to.index() < self.servers.len() && !self.is_partitioned(from, to) {
            let gossip = Event::Gossip {
                from,
                to,
                incarnation: self.servers[from.index()].incarnation,
                bytes,
            };
            self.push(self.now + GOSSIP_DELAY, gossip);
        }
    }

    fn log_event(&mut self, server: SimulatedServerId, event: BackendEvent) {
        self.ejections += u64::from(matches!(event, BackendEvent::Ejected { .. }));
        if self.log.len() < MAX_LOG_ENTRIES {
            self.log.push(LogEntry {
                at: self.elapsed(),
                server,
                event,
            });
        }
    }

    /// Reports whether datagrams from one server to another are lost.
    fn is_partitioned(&self, from: SimulatedServerId, to: SimulatedServerId) -> bool {
        let middle = self.setup.servers / 2;
        match self.gossip_partition {
            GossipPartition::None => false,
            GossipPartition::Halves => (from.index() < middle) != (to.index() < middle),
            GossipPartition::Isolated => true,
        }
    }

    /// Returns a report that all calls to the falsely reported backends of a server fail.
    fn false_report(&self, from: SimulatedServerId) -> GossipMessage {
        let backends = self.servers[from.index()].falsely_reported.iter();
        let reports: Vec<BackendReport> = backends
            .map(|backend| BackendReport {
                name_hash: name_hash(&backend_name(*backend)),
                successes: 0,
                failures: FALSELY_REPORTED_FAILURES,
                age_ms: 0,
            })
            .collect();
        GossipMessage {
            stalled: false,
            backends_seen: 1_000,
            backends_failing: reports.len() as u16,
            first_attempts: 1,
            retries: 0,
            reports,
        }
    }
}
