//! The calls of one limit that are in flight, and those that the caller abandoned but the upstream
//! still executes.
//!
//! [`InFlightCalls`] also records when a call last started or ended. While all calls in flight
//! hang, it grants a few extra permits; otherwise the limit is decided elsewhere.

use super::Completion;
use madderbay::abandoned_calls::AbandonedCalls;
use madderbay::time::{Duration, Timestamp};

/// Time without a start or an end of a call after which calls at the limit count as hanging, and
/// one extra call is allowed.
const HANG_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of extra permits while calls hang.
const MAX_EXTRA_PERMITS: usize = 2;

/// Permit of one call in flight.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    started_at: Timestamp,
    in_flight: usize,
}

impl Permit {
    /// When the call started.
    pub fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Returns the number of calls that occupied the upstream when this one started, itself
    /// included.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }
}

pub(super) struct InFlightCalls {
    count: usize,
    /// Calls that the caller abandoned and that still occupy the upstream.
    abandoned_calls: AbandonedCalls<()>,
    last_activity: Timestamp,
    extra_permits: usize,
}

impl InFlightCalls {
    pub(super) fn new(now: Timestamp, abandoned_call_lifetime: Duration) -> InFlightCalls {
        InFlightCalls {
            count: 0,
            abandoned_calls: AbandonedCalls::new(abandoned_call_lifetime),
            last_activity: now,
            extra_permits: 0,
        }
    }

    pub(super) fn count(&self) -> usize {
        self.count
    }

    pub(super) fn abandoned(&self) -> usize {
        self.abandoned_calls.len()
    }

    pub(super) fn extra_permits(&self) -> usize {
        self.extra_permits
    }

    pub(super) fn start(&mut self, now: Timestamp) -> Permit {
        self.count += 1;
        self.last_activity = now;
        Permit {
            started_at: now,
            in_flight: self.count + self.abandoned(),
        }
    }

    pub(super) fn finish(&mut self, now: Timestamp, completion: Completion) {
        self.count = self.count.saturating_sub(1);
        self.last_activity = now;
        if matches!(completion, Completion::TimedOut | Completion::Cancelled) {
            self.abandoned_calls.abandon(now, ());
        }
        if completion == Completion::Success {
            self.extra_permits = 0;
        }
    }

    pub(super) fn expire_abandoned(&mut self, now: Timestamp) {
        self.abandoned_calls.remove_ended(now);
    }

    pub(super) fn reset_last_activity(&mut self, now: Timestamp) {
        self.last_activity = now;
    }

    /// Allows one extra call, up to [`MAX_EXTRA_PERMITS`], if all calls in flight hang, so that a
    /// recovery of the upstream is noticed. `allowed` is the number of calls that may be in flight
    /// now.
    pub(super) fn grant_extra_permit_if_stuck(&mut self, now: Timestamp, allowed: usize) {
        let at_limit = self.count >= allowed && self.count > 0;
        let hanging = now - self.last_activity >= HANG_TIMEOUT;
        if at_limit && hanging && self.extra_permits < MAX_EXTRA_PERMITS {
            self.extra_permits += 1;
            self.last_activity = now;
        }
    }
}
