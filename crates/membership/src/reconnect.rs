//! Selection of servers to reconnect to: configured addresses, members that are down, and members
//! that were removed from the view.
//!
//! These attempts heal partitions that last longer than the view retains members that are down. The
//! module stores the candidate addresses and the time of the next attempt; the caller passes in the
//! view's addresses and random numbers, and sends the datagrams.

use madderbay::time::{Duration, Timestamp};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Mean interval between attempts while connectivity is not complete or after a member was lost
/// recently. Each interval is drawn from 0.5 to 1.5 times the mean, so that servers that lost
/// contact with each other simultaneously do not retry simultaneously.
const IMPAIRED_INTERVAL: Duration = Duration::from_millis(500);
/// Mean interval between attempts in all other cases.
const HEALTHY_INTERVAL: Duration = Duration::from_millis(5_000);
/// Time after the loss of a member during which attempts use the short interval.
const RECENT_MEMBER_LOSS: Duration = Duration::from_millis(120_000);
/// Number of addresses retained after their members were removed from the view. The latest ones are
/// retained.
const MAX_REMOVED_MEMBERS: usize = 64;
/// How long the address of a removed member is retained.
const REMOVED_RETENTION: Duration = Duration::from_millis(3_600_000);

/// Address of a member that was removed from the view.
struct RemovedMember {
    removed_at: Timestamp,
    address: SocketAddr,
}

/// Selects the addresses to reconnect to.
pub(crate) struct Reconnector {
    join: Vec<SocketAddr>,
    /// Removed members, the earliest first.
    removed: VecDeque<RemovedMember>,
    next_attempt: Timestamp,
    last_member_loss: Timestamp,
}

impl Reconnector {
    /// `join` contains the configured addresses; `own` is never a candidate.
    pub(crate) fn new(now: Timestamp, join: &[SocketAddr], own: SocketAddr) -> Reconnector {
        let join = join
            .iter()
            .copied()
            .filter(|address| *address != own)
            .collect();
        Reconnector {
            join,
            removed: VecDeque::new(),
            next_attempt: now,
            last_member_loss: now,
        }
    }

    /// Reports whether the operator configured addresses of other servers.
    pub(crate) fn has_join_addresses(&self) -> bool {
        !self.join.is_empty()
    }

    /// Records that a member went down: attempts use the short interval for some time.
    pub(crate) fn record_member_loss(&mut self, now: Timestamp) {
        self.last_member_loss = now;
        self.next_attempt = self.next_attempt.min(now + IMPAIRED_INTERVAL);
    }

    /// Records the address of a member that was removed from the view.
    pub(crate) fn record_removal(&mut self, now: Timestamp, address: SocketAddr) {
        self.removed.retain(|r| r.address != address);
        self.removed.push_back(RemovedMember {
            removed_at: now,
            address,
        });
        if self.removed.len() > MAX_REMOVED_MEMBERS {
            self.removed.pop_front();
        }
    }

    /// Returns when the next attempt is due.
    pub(crate) fn next_timeout(&self) -> Timestamp {
        self.next_attempt
    }

    /// Returns the address to contact now, if an attempt is due and a candidate exists. `is_active`
    /// tells whether an address belongs to an active member, `down` contains the addresses of
    /// members that are down, and `draw` returns a random number from 0 to 1.
    pub(crate) fn pick(
        &mut self,
        now: Timestamp,
        impaired: bool,
        is_active: impl Fn(SocketAddr) -> bool,
        down: &[SocketAddr],
        mut draw: impl FnMut() -> f64,
    ) -> Option<SocketAddr> {
        if now < self.next_attempt {
            return None;
        }
        while self
            .removed
            .front()
            .is_some_and(|r| now - r.removed_at > REMOVED_RETENTION)
        {
            self.removed.pop_front();
        }
        self.removed.retain(|r| !is_active(r.address));
        let configured = self
            .join
            .iter()
            .copied()
            .filter(|address| !is_active(*address));
        let removed = self.removed.iter().map(|r| r.address);
        let candidates: Vec<SocketAddr> = configured
            .chain(down.iter().copied())
            .chain(removed)
            .collect();
        let recent_member_loss =
            !candidates.is_empty() && now - self.last_member_loss < RECENT_MEMBER_LOSS;
        let mean = if impaired || recent_member_loss {
            IMPAIRED_INTERVAL
        } else {
            HEALTHY_INTERVAL
        };
        self.next_attempt = now + mean.mul_f64(0.5 + draw());
        let index = (draw() * candidates.len() as f64) as usize;
        candidates.get(index).copied()
    }
}

#[cfg(test)]
mod tests;
