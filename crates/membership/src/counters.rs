//! Counters of one server's membership since its start.

use crate::error::DatagramError;

/// Counters since the start.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Datagrams received, rejected ones included.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams and updates rejected, by reason.
    pub rejected: RejectionCounters,
    /// Members that this server declared down.
    pub down_declarations: u64,
    /// Members that this server suspected.
    pub suspicions: u64,
    /// Suspicions that were refuted in time.
    pub refutations: u64,
    /// New revisions of the own identity after others declared it down.
    pub identity_renewals: u64,
    /// Notices sent.
    pub notices: u64,
    /// Rosters requested.
    pub roster_requests: u64,
    /// Events and subsystem messages dropped because their queue was full.
    pub dropped_events: u64,
}

/// Number of rejections, by reason.
#[derive(Clone, Debug, Default)]
pub struct RejectionCounters {
    counts: [u64; DatagramError::ALL.len()],
}

impl RejectionCounters {
    /// Number of rejections for one reason.
    pub fn get(&self, reason: DatagramError) -> u64 {
        self.counts[reason as usize]
    }

    /// All reasons with their numbers, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = (DatagramError, u64)> {
        DatagramError::ALL.into_iter().zip(self.counts)
    }

    pub(crate) fn increment(&mut self, reason: DatagramError) {
        self.counts[reason as usize] += 1;
    }
}
