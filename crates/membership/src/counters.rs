//! Counters of one server's membership.

use crate::error::DatagramError;

/// Counters since the start of this server's membership.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Datagrams received, including rejected ones.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams and updates rejected, by reason.
    pub rejected: RejectionCounters,
    /// Number of times this server declared a member down.
    pub down_declarations: u64,
    /// Suspicions of members that this server started.
    pub suspicions: u64,
    /// Suspicions that were refuted in time.
    pub refutations: u64,
    /// New revisions of this server's identity after other members declared it down.
    pub identity_renewals: u64,
    /// Notices sent.
    pub notices: u64,
    /// Roster requests sent, without those for the following pages of a roster.
    pub roster_requests: u64,
    /// Events and subsystem messages dropped because their queue was full.
    pub dropped_events: u64,
}

/// Number of rejections by reason.
#[derive(Clone, Debug, Default)]
pub struct RejectionCounters {
    counts: [u64; DatagramError::ALL.len()],
}

impl RejectionCounters {
    /// Returns the number of rejections for one reason.
    pub fn get(&self, reason: DatagramError) -> u64 {
        self.counts[reason as usize]
    }

    /// Returns all reasons with their numbers of rejections, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = (DatagramError, u64)> {
        DatagramError::ALL.into_iter().zip(self.counts)
    }

    pub(crate) fn increment(&mut self, reason: DatagramError) {
        self.counts[reason as usize] += 1;
    }
}
