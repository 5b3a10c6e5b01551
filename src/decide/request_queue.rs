//! The queue of requests that wait for their start.
//!
//! Requests are ordered by the latest start with which they meet their objective. Short and long requests are kept in
//! two lists, because short requests must not wait behind long ones. Starting and rejecting requests is left to the
//! caller.

use crate::slots::RequestSlot;
use crate::time::Timestamp;

/// A queued request; requests with an earlier latest start go first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedRequest {
    latest_start: Timestamp,
    slot: RequestSlot,
}

/// The list that a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueClass {
    /// Requests whose expected run time is at most the mean run time.
    Short,
    /// All other requests.
    Long,
}

/// Two sorted lists, for short and for long requests.
#[derive(Default)]
pub(super) struct RequestQueue {
    short: Vec<QueuedRequest>,
    long: Vec<QueuedRequest>,
}

impl RequestQueue {
    /// Returns the number of requests in both lists.
    pub(super) fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Reports whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues a request by the latest start with which it meets its objective.
    pub(super) fn insert(&mut self, slot: RequestSlot, latest_start: Timestamp, class: QueueClass) {
        let queued = QueuedRequest { latest_start, slot };
        let entries = match class {
            QueueClass::Short => &mut self.short,
            QueueClass::Long => &mut self.long,
        };
        let position = entries.partition_point(|other| *other < queued);
        entries.insert(position, queued);
    }

    /// Removes a request, if it is queued.
    pub(super) fn remove(&mut self, slot: RequestSlot) {
        self.short.retain(|queued| queued.slot != slot);
        self.long.retain(|queued| queued.slot != slot);
    }

    /// Returns the request with the earliest latest start among those that may start.
    pub(super) fn first(&self, may_start: impl Fn(RequestSlot) -> bool) -> Option<RequestSlot> {
        let first_of = |entries: &[QueuedRequest]| {
            let mut requests = entries.iter().copied();
            requests.find(|queued| may_start(queued.slot))
        };
        let first_entries = [first_of(&self.short), first_of(&self.long)];
        let first = first_entries.into_iter().flatten().min()?;
        Some(first.slot)
    }

    /// Iterates over all queued requests: the short ones first, each list in its order.
    pub(super) fn iter(&self) -> impl Iterator<Item = RequestSlot> {
        self.entries().map(|queued| queued.slot)
    }

    /// Returns all queued requests in the order of their latest starts.
    pub(super) fn by_latest_start(&self) -> Vec<RequestSlot> {
        let mut all: Vec<&QueuedRequest> = self.entries().collect();
        all.sort();
        all.into_iter().map(|queued| queued.slot).collect()
    }

    fn entries(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.short.iter().chain(&self.long)
    }
}
