//! The timers of the servers, and what they report to each other about backends.

use super::setup::{backend_name, server_index, server_name};
use super::{BackendSimulation, Event, GOSSIP_DELAY};
use madderbay_upstream::{BackendEvent, BackendReport, GossipMessage, name_hash};

/// Lines that the log holds at most.
const MAX_LOG_LINES: usize = 10_000;
/// The part of its timers at which a server that lies sends false reports.
const LIE_PART: f64 = 0.1;
/// Failures in a false report.
const FALSE_FAILURES: u16 = 8_000;

impl BackendSimulation {
    /// A server's upstream manager has its timeout; what it sends is on its way.
    pub(super) fn timer_fired(&mut self, server: usize) {
        let upstream = &mut self.nodes[server].upstream;
        upstream.handle_timeout(self.now);
        let (sent, events) = (upstream.take_datagrams(), upstream.take_events());
        for event in events {
            self.log_event(server, &event);
        }
        let mut datagrams: Vec<(usize, Vec<u8>)> = sent
            .into_iter()
            .map(|(to, bytes)| (server_index(&to), bytes))
            .collect();
        if !self.nodes[server].lies.is_empty() && self.random.rand_float() < LIE_PART {
            let bytes = self.false_report(server).encode();
            let others = (0..self.nodes.len()).filter(|to| *to != server);
            datagrams.extend(others.map(|to| (to, bytes.clone())));
        }
        let incarnation = self.nodes[server].incarnation;
        for (to, bytes) in datagrams {
            if to < self.nodes.len() && !self.partitioned(server, to) {
                let gossip = Event::Gossip {
                    from: server,
                    to,
                    incarnation,
                    bytes,
                };
                self.push(self.now + GOSSIP_DELAY, gossip);
            }
        }
    }

    fn log_event(&mut self, server: usize, event: &BackendEvent) {
        self.ejections += u64::from(matches!(event, BackendEvent::Ejected { .. }));
        if self.log.len() < MAX_LOG_LINES {
            let secs = self.at().as_secs_f64();
            self.log
                .push(format!("{secs:8.2} {}: {event}", server_name(server)));
        }
    }

    /// Whether datagrams from one server to another are lost.
    fn partitioned(&self, from: usize, to: usize) -> bool {
        let middle = self.setup.servers / 2;
        self.deaf || self.split && (from < middle) != (to < middle)
    }

    /// A report that all calls to certain backends fail.
    fn false_report(&self, server: usize) -> GossipMessage {
        let backends = self.nodes[server].lies.iter();
        let reports: Vec<BackendReport> = backends
            .map(|backend| BackendReport {
                name_hash: name_hash(&backend_name(*backend)),
                successes: 0,
                failures: FALSE_FAILURES,
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
