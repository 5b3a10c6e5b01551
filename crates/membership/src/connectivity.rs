//! Partition detection: whether this server receives from all, some or none of the fleet.
//!
//! The module stores the current connectivity level, the time of its last change and the evidence
//! for it. The caller passes in the counts of the member table and the time of the last datagram;
//! the view is never changed here.

use madderbay::time::{Duration, Timestamp};
use std::fmt;

/// A server that has received no datagram for this long is isolated. Together, its peers are due to
/// send several datagrams within this time.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Fraction of the expected members that may be missing before the server counts as partitioned.
/// One missing member is always tolerated, because single servers fail, whereas a partition makes
/// many members unreachable.
const MAX_MISSING_FRACTION: f64 = 0.1;

/// How much of the fleet this server receives from. The displayed words are part of the operator
/// interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// No partition is suspected.
    Complete,
    /// Too many members are missing: this server is on one side of a partition.
    Partial,
    /// No datagrams from other members arrive, or another server owns this server's name.
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

/// The facts from which the connectivity level is derived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectivityEvidence {
    /// Number of other members that are not down.
    pub active: usize,
    /// Number of other members in the view that are down without having left.
    pub missing: usize,
    /// When the last datagram from another member arrived.
    pub last_received: Option<Timestamp>,
    /// Whether other members are expected: the view contains one, or the operator configured one.
    pub expects_peers: bool,
    /// Whether another server owns this server's name.
    pub name_conflict: bool,
}

/// The connectivity level and the evidence for it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectivityStatus {
    /// The current level.
    pub level: Connectivity,
    /// When the level last changed.
    pub since: Timestamp,
    /// The evidence of the last update.
    pub evidence: ConnectivityEvidence,
}

impl ConnectivityStatus {
    /// Returns the initial status: a server starts isolated.
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

    /// Returns when the level changes if no further datagram arrives.
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
