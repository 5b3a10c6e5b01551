//! Partition detection: whether this server reaches all, some or none of the fleet.
//!
//! Owns the current level, the time since which it holds and its evidence. It is given the counts
//! of the member table and the time of the last datagram; it never changes the view.

use madderbay::time::{Duration, Timestamp};
use std::fmt;

/// A server that received no datagram for this long is isolated. All peers are due several times
/// within it.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Fraction of the expected members that may be missing before the server counts as partitioned.
/// One missing member is always tolerated: single servers fail, a partition removes many.
const MAX_MISSING_FRACTION: f64 = 0.1;

/// How much of the fleet this server reaches. The displayed words are those of the operators'
/// interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// No partition is suspected.
    Complete,
    /// Too many members are missing: this server is on one side of a partition.
    Partial,
    /// No other member is reachable, or another server owns this server's name.
    Isolated,
}

impl fmt::Display for Connectivity {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Connectivity::Complete => "whole",
            Connectivity::Partial => "part",
            Connectivity::Isolated => "alone",
        })
    }
}

/// The facts from which the level follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectivityEvidence {
    /// Number of other members that are not down.
    pub active: usize,
    /// Number of other members that are down without having left, while the view remembers them.
    pub missing: usize,
    /// When the last datagram of another member arrived.
    pub last_received: Option<Timestamp>,
    /// Whether other members exist: one was met, or the operator configured one.
    pub expects_peers: bool,
    /// Whether another server owns this server's name.
    pub name_conflict: bool,
}

/// The level of connectivity with its evidence.
#[derive(Clone, Copy, Debug)]
pub struct ConnectivityStatus {
    /// The current level.
    pub level: Connectivity,
    /// When the level last changed.
    pub since: Timestamp,
    /// The facts of the last update.
    pub evidence: ConnectivityEvidence,
}

impl ConnectivityStatus {
    /// A server starts isolated.
    pub(crate) fn new(now: Timestamp) -> ConnectivityStatus {
        let evidence = ConnectivityEvidence::default();
        ConnectivityStatus {
            level: Connectivity::Isolated,
            since: now,
            evidence,
        }
    }

    /// Derives the level from new evidence. Returns whether the level changed.
    pub(crate) fn update(&mut self, now: Timestamp, evidence: ConnectivityEvidence) -> bool {
        self.evidence = evidence;
        let level = level(now, &evidence);
        if level == self.level {
            return false;
        }
        self.level = level;
        self.since = now;
        true
    }

    /// When the level changes if no further datagram arrives.
    pub(crate) fn next_timeout(&self) -> Option<Timestamp> {
        let last = self
            .evidence
            .last_received
            .filter(|_| self.level != Connectivity::Isolated)?;
        Some(last + ISOLATION_TIMEOUT + Duration::from_millis(1))
    }
}

fn level(now: Timestamp, evidence: &ConnectivityEvidence) -> Connectivity {
    if evidence.name_conflict {
        return Connectivity::Isolated;
    }
    if !evidence.expects_peers {
        return Connectivity::Complete;
    }
    if evidence
        .last_received
        .is_none_or(|last| now - last > ISOLATION_TIMEOUT)
    {
        return Connectivity::Isolated;
    }
    let expected = evidence.active + evidence.missing;
    let tolerated = ((expected as f64 * MAX_MISSING_FRACTION) as usize).max(1);
    if evidence.missing > tolerated || evidence.active == 0 {
        return Connectivity::Partial;
    }
    Connectivity::Complete
}

#[cfg(test)]
mod tests;
