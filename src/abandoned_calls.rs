//! Upstream calls that were given up on and may still run.
//!
//! A caller that stops waiting does not end the call: it occupies the upstream until its lifetime is over.
//! [`AbandonedCalls`](crate::abandoned_calls::AbandonedCalls) owns the end of each and is given the time. What an occupied place means is decided by whoever
//! counts calls: the decision module, a concurrency limit, or a quota.

use crate::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// One call that nobody waits for.
#[derive(Debug)]
struct AbandonedCall<Call> {
    ends_at: Timestamp,
    call: Call,
}

/// The abandoned calls that may still run, each with what its counter needs to know of it.
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
    /// How long an abandoned call may go on; zero where it ends at once.
    lifetime: Duration,
    /// In the order of their ends.
    calls: VecDeque<AbandonedCall<Call>>,
}

impl<Call> AbandonedCalls<Call> {
    /// No calls; each that is abandoned may go on for `lifetime`.
    pub fn new(lifetime: Duration) -> AbandonedCalls<Call> {
        AbandonedCalls {
            lifetime,
            calls: VecDeque::new(),
        }
    }

    /// Adds a call that nobody waits for from `now` on. Returns it where abandoned calls end at once.
    pub fn abandon(&mut self, now: Timestamp, call: Call) -> Option<Call> {
        if self.lifetime == Duration::ZERO {
            return Some(call);
        }
        let ends_at = now + self.lifetime;
        self.calls.push_back(AbandonedCall { ends_at, call });
        None
    }

    /// Removes and returns the first call whose time is over.
    pub fn pop_ended(&mut self, now: Timestamp) -> Option<Call> {
        let ended = self.calls.pop_front_if(|call| call.ends_at <= now)?;
        Some(ended.call)
    }

    /// Removes all calls whose time is over.
    pub fn remove_ended(&mut self, now: Timestamp) {
        while self.pop_ended(now).is_some() {}
    }

    /// Calls that were not removed.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
