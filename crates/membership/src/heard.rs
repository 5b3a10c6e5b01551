//! How much of the fleet is heard: whole, part or alone, with its evidence and since when. Later parts lean on
//! it; a rule never does.

use madderbay::time::{Duration, Timestamp};
use std::fmt;

/// A server that had no word of any other for so long is alone: four rounds in which all others were due.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Of those expected so many may be missing, and one in any case: single servers fail, a part is cut off.
const MISSING_PART: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    Complete,
    Partial,
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

/// What it is judged by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectivityEvidence {
    /// Others held to be in.
    pub active: usize,
    /// Others held down that have not said that they leave, as far as they are remembered.
    pub missing: usize,
    /// When any other was heard last.
    pub last: Option<Timestamp>,
    /// Whether any other is to be expected: one was met, or others stand in the operator file.
    pub others: bool,
    /// Its name is another's.
    pub aside: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct ConnectivityStatus {
    pub level: Connectivity,
    pub since: Timestamp,
    pub evidence: ConnectivityEvidence,
}

impl ConnectivityStatus {
    pub fn new(now: Timestamp) -> ConnectivityStatus {
        ConnectivityStatus {
            level: Connectivity::Isolated,
            since: now,
            evidence: ConnectivityEvidence::default(),
        }
    }

    /// Judges anew; true where that changed it.
    pub fn judge(&mut self, now: Timestamp, evidence: ConnectivityEvidence) -> bool {
        self.evidence = evidence;
        let silent = evidence.last.is_none_or(|last| now - last > SILENCE);
        let expected = evidence.active + evidence.missing;
        let spared = ((expected as f64 * MISSING_PART) as usize).max(1);
        let hears = match evidence {
            ConnectivityEvidence { aside: true, .. } => Connectivity::Isolated,
            ConnectivityEvidence { others: false, .. } => Connectivity::Complete,
            _ if silent => Connectivity::Isolated,
            _ if evidence.missing > spared || evidence.active == 0 => Connectivity::Partial,
            _ => Connectivity::Complete,
        };
        if hears == self.level {
            return false;
        }
        (self.level, self.since) = (hears, now);
        true
    }

    /// When silence alone would change it.
    pub fn due(&self) -> Option<Timestamp> {
        self.evidence
            .last
            .filter(|_| self.level != Connectivity::Isolated)
            .map(|last| last + SILENCE + Duration::from_millis(1))
    }
}

#[cfg(test)]
mod tests;
