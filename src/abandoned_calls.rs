//! Upstream calls that were given up on and may still run.
//!
//! When a caller stops waiting, its call still occupies the upstream until the call's lifetime is over.
//! [`AbandonedCalls`](crate::abandoned_calls::AbandonedCalls) records when each such call ends; its methods are
//! passed the current time. How an abandoned call counts is up to the user of this type: the decision module, a
//! concurrency limit, or a quota.

use crate::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// One abandoned call.
#[derive(Debug)]
struct AbandonedCall<Call> {
    ends_at: Timestamp,
    call: Call,
}

/// The abandoned calls that may still run, each with a value of type `Call` that its user needs when the call ends.
///
/// ```
/// use madderbay::abandoned_calls::AbandonedCalls;
/// use madderbay::time::{Duration, Timestamp};
/// let at = Timestamp::from_micros;
/// let mut calls = AbandonedCalls::new(Duration::from_millis(200));
/// assert_eq!(calls.abandon(at(0), "first"), None);
/// assert_eq!(calls.len(), 1);
/// assert_eq!(calls.pop_ended(at(199_999)), None);
/// assert_eq!(calls.pop_ended(at(200_000)), Some("first"));
/// ```
#[derive(Debug)]
pub struct AbandonedCalls<Call> {
    /// How long an abandoned call may still run; zero where it ends at once.
    lifetime: Duration,
    /// Ordered by when they end.
    calls: VecDeque<AbandonedCall<Call>>,
}

impl<Call> AbandonedCalls<Call> {
    /// Returns an empty set; each call that is added to it may still run for `lifetime`.
    pub fn new(lifetime: Duration) -> AbandonedCalls<Call> {
        AbandonedCalls {
            lifetime,
            calls: VecDeque::new(),
        }
    }

    /// Adds a call that is abandoned at `now`. Returns the call instead if abandoned calls end at once.
    pub fn abandon(&mut self, now: Timestamp, call: Call) -> Option<Call> {
        if self.lifetime == Duration::ZERO {
            return Some(call);
        }
        let ends_at = now + self.lifetime;
        self.calls.push_back(AbandonedCall { ends_at, call });
        None
    }

    /// Removes and returns the first call whose lifetime is over.
    pub fn pop_ended(&mut self, now: Timestamp) -> Option<Call> {
        let ended = self.calls.pop_front_if(|call| call.ends_at <= now)?;
        Some(ended.call)
    }

    /// Removes all calls whose lifetime is over.
    pub fn remove_ended(&mut self, now: Timestamp) {
        while self.pop_ended(now).is_some() {}
    }

    /// Returns the number of calls that have not been removed.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Reports whether no call is left.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
