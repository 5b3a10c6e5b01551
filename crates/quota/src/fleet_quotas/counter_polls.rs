//! Schedules polls of random peers for counter snapshots.

use crate::message::CounterPoll;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};

/// Mean interval between the polls that one server of a small fleet sends, and the lower bound on
/// the mean interval in a large fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of servers above which the poll interval decreases with the size of the fleet.
const SMALL_FLEET_SERVERS: usize = 24;
/// Lower bound and range of the random interval, as fractions of the mean interval.
const MIN_INTERVAL_FRACTION: f64 = 0.75;
const INTERVAL_FRACTION_RANGE: f64 = 0.5;
/// Time after which a poll is discarded, so that a later reply to it is ignored.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A poll that has not been answered yet.
struct OpenPoll {
    id: u32,
    sent_at: Timestamp,
}

/// The open polls and the time of the next poll.
pub(super) struct CounterPolls {
    next_poll: Timestamp,
    open: Vec<OpenPoll>,
    last_id: u32,
}

impl CounterPolls {
    pub(super) fn new(now: Timestamp) -> CounterPolls {
        CounterPolls {
            next_poll: now,
            open: vec![],
            last_id: 0,
        }
    }

    pub(super) fn next_poll(&self) -> Timestamp {
        self.next_poll
    }

    /// Returns when an open poll was sent.
    pub(super) fn sent_at(&self, id: u32) -> Option<Timestamp> {
        self.open
            .iter()
            .find(|poll| poll.id == id)
            .map(|poll| poll.sent_at)
    }

    /// Schedules the next poll and starts a poll of a random peer, if there is one.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        peers: &[CompactString],
        random: &mut oorandom::Rand64,
    ) -> Option<(CompactString, CounterPoll)> {
        let servers = peers.len() + 1;
        let size_factor = (SMALL_FLEET_SERVERS as f64 / servers as f64).min(1.0);
        let interval = POLL_INTERVAL.mul_f64(size_factor).max(MIN_POLL_INTERVAL);
        let fraction = MIN_INTERVAL_FRACTION + INTERVAL_FRACTION_RANGE * random.rand_float();
        self.next_poll = now + interval.mul_f64(fraction);
        self.open.retain(|poll| now - poll.sent_at < REPLY_TIMEOUT);
        if peers.is_empty() {
            return None;
        }
        let peer = random.rand_range(0..peers.len() as u64) as usize;
        self.last_id = self.last_id.wrapping_add(1);
        self.open.push(OpenPoll {
            id: self.last_id,
            sent_at: now,
        });
        Some((
            peers[peer].clone(),
            CounterPoll {
                poll_id: self.last_id,
            },
        ))
    }
}
