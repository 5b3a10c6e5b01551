//! The upstream call that the run of a request waits for, and its attempts at backends.
//!
//! [`UpstreamCall`] holds the body and the deadline of the call and the attempts in flight.
//! Attempts are sent by [`dispatch`](super::dispatch) to backends that the backend selector
//! selects.

use madderbay::time::Timestamp;
use madderbay_upstream::UpstreamAttempt;

/// One attempt of a call that is in flight.
pub(super) struct BackendAttempt {
    /// The number of the connection that carries it.
    pub(super) upstream_connection: u64,
    /// The backend, with the attempt as the backend selector identifies it.
    pub(super) attempt: UpstreamAttempt,
    /// When it was sent.
    pub(super) sent_at: Timestamp,
}

/// The last attempt that was sent, and the call it was sent for.
struct LastAttempt {
    call_serial: u64,
    attempt: UpstreamAttempt,
}

/// The latest call of one run. A run makes one call after another.
#[derive(Default)]
pub(super) struct UpstreamCall {
    /// The serial number of the engine's notice that requested the call.
    serial: u64,
    body: Vec<u8>,
    /// The deadline of the call; set while it is in flight.
    deadline: Option<Timestamp>,
    /// The attempts in flight at backends; a call to the catalogue has none.
    attempts: Vec<BackendAttempt>,
    /// When the call is hedged, if a hedge is planned.
    hedge_deadline: Option<Timestamp>,
    last_attempt: Option<LastAttempt>,
}

impl UpstreamCall {
    /// Records that the engine has requested a call with this serial number and body.
    pub(super) fn requested(&mut self, serial: u64, body: Vec<u8>) {
        self.serial = serial;
        self.body = body;
    }

    /// Returns the serial number of the call.
    pub(super) fn serial(&self) -> u64 {
        self.serial
    }

    /// Returns the body of the call.
    pub(super) fn body(&self) -> &[u8] {
        &self.body
    }

    /// Returns the deadline of the call while it is in flight.
    pub(super) fn deadline(&self) -> Option<Timestamp> {
        self.deadline
    }

    /// Sets the deadline at which the call is given up.
    pub(super) fn set_deadline(&mut self, deadline: Timestamp) {
        self.deadline = Some(deadline);
    }

    /// Marks the call as no longer in flight. Returns the deadline that was set.
    pub(super) fn take_deadline(&mut self) -> Option<Timestamp> {
        self.deadline.take()
    }

    /// Sets when the call is hedged.
    pub(super) fn set_hedge_deadline(&mut self, deadline: Timestamp) {
        self.hedge_deadline = Some(deadline);
    }

    /// Cancels the planned hedge. Returns the deadline that was set.
    pub(super) fn take_hedge_deadline(&mut self) -> Option<Timestamp> {
        self.hedge_deadline.take()
    }

    /// Returns the last attempt of the current call, if there was one.
    pub(super) fn previous_attempt(&self) -> Option<&UpstreamAttempt> {
        let last = self.last_attempt.as_ref()?;
        (last.call_serial == self.serial).then_some(&last.attempt)
    }

    /// Records an attempt that is about to be sent.
    pub(super) fn set_last_attempt(&mut self, attempt: UpstreamAttempt) {
        self.last_attempt = Some(LastAttempt {
            call_serial: self.serial,
            attempt,
        });
    }

    /// Adds an attempt that was sent.
    pub(super) fn attempt_sent(&mut self, attempt: BackendAttempt) {
        self.attempts.push(attempt);
    }

    /// Reports whether an attempt is in flight at a backend.
    pub(super) fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Returns the attempts in flight.
    pub(super) fn attempts(&self) -> &[BackendAttempt] {
        &self.attempts
    }

    /// Returns when the oldest attempt in flight was sent.
    pub(super) fn oldest_sent_at(&self) -> Option<Timestamp> {
        self.attempts.iter().map(|a| a.sent_at).min()
    }

    /// Removes and returns the attempt on a connection, if there is one.
    pub(super) fn take_attempt(&mut self, upstream_connection: u64) -> Option<BackendAttempt> {
        let on_connection = |a: &BackendAttempt| a.upstream_connection == upstream_connection;
        let position = self.attempts.iter().position(on_connection)?;
        Some(self.attempts.swap_remove(position))
    }

    /// Removes and returns all attempts in flight.
    pub(super) fn take_attempts(&mut self) -> Vec<BackendAttempt> {
        std::mem::take(&mut self.attempts)
    }
}
