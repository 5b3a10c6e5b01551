//! The upstream call that the run of a request waits at, and its attempts at backends.
//!
//! Owns: what is called, until when, and which attempts are out. Is given: the engine's request for a call, and
//! each attempt that was sent or has ended. Never sends an attempt and never chooses a backend.

use madderbay::time::Timestamp;
use madderbay_upstream::UpstreamAttempt;

/// One attempt of a call that is out.
pub(super) struct BackendAttempt {
    /// The number of the connection that carries it.
    pub(super) upstream_connection: u64,
    /// The backend, as its selector knows the attempt.
    pub(super) attempt: UpstreamAttempt,
    /// When it was sent.
    pub(super) sent_at: Timestamp,
}

/// The last attempt that was sent, and for which call.
struct LastAttempt {
    call_serial: u64,
    attempt: UpstreamAttempt,
}

/// The call of one run. A run makes one call after another; this is the newest.
#[derive(Default)]
pub(super) struct UpstreamCall {
    /// The serial number of the engine's notice that asked for it.
    serial: u64,
    body: Vec<u8>,
    /// Set while the call is out.
    deadline: Option<Timestamp>,
    /// Those at backends; a call of the catalogue has none.
    attempts: Vec<BackendAttempt>,
    /// When an attempt that is out is hedged.
    hedge_deadline: Option<Timestamp>,
    last_attempt: Option<LastAttempt>,
}

impl UpstreamCall {
    /// The engine asked for a call with this serial number and body.
    pub(super) fn requested(&mut self, serial: u64, body: Vec<u8>) {
        self.serial = serial;
        self.body = body;
    }

    /// The serial number of the call.
    pub(super) fn serial(&self) -> u64 {
        self.serial
    }

    /// The body of the call.
    pub(super) fn body(&self) -> &[u8] {
        &self.body
    }

    /// The deadline of the call, while it is out.
    pub(super) fn deadline(&self) -> Option<Timestamp> {
        self.deadline
    }

    /// The call was sent and is given up at the deadline.
    pub(super) fn set_deadline(&mut self, deadline: Timestamp) {
        self.deadline = Some(deadline);
    }

    /// The call is out no more; gives the deadline that was set.
    pub(super) fn take_deadline(&mut self) -> Option<Timestamp> {
        self.deadline.take()
    }

    /// When the attempt that is out is hedged.
    pub(super) fn set_hedge_deadline(&mut self, deadline: Timestamp) {
        self.hedge_deadline = Some(deadline);
    }

    /// No hedge is sent any more; gives the deadline that was set.
    pub(super) fn take_hedge_deadline(&mut self) -> Option<Timestamp> {
        self.hedge_deadline.take()
    }

    /// The last attempt of this same call, if it was sent before.
    pub(super) fn previous_attempt(&self) -> Option<&UpstreamAttempt> {
        let last = self.last_attempt.as_ref()?;
        (last.call_serial == self.serial).then_some(&last.attempt)
    }

    /// An attempt is about to be sent.
    pub(super) fn set_last_attempt(&mut self, attempt: UpstreamAttempt) {
        self.last_attempt = Some(LastAttempt {
            call_serial: self.serial,
            attempt,
        });
    }

    /// An attempt was sent.
    pub(super) fn attempt_sent(&mut self, attempt: BackendAttempt) {
        self.attempts.push(attempt);
    }

    /// Whether an attempt is out at a backend.
    pub(super) fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// The attempts that are out.
    pub(super) fn attempts(&self) -> &[BackendAttempt] {
        &self.attempts
    }

    /// When the oldest attempt that is out was sent.
    pub(super) fn oldest_sent_at(&self) -> Option<Timestamp> {
        self.attempts.iter().map(|a| a.sent_at).min()
    }

    /// Takes the attempt on a connection, if there is one.
    pub(super) fn take_attempt(&mut self, upstream_connection: u64) -> Option<BackendAttempt> {
        let on_connection = |a: &BackendAttempt| a.upstream_connection == upstream_connection;
        let position = self.attempts.iter().position(on_connection)?;
        Some(self.attempts.swap_remove(position))
    }

    /// Takes all attempts that are out.
    pub(super) fn take_attempts(&mut self) -> Vec<BackendAttempt> {
        std::mem::take(&mut self.attempts)
    }
}
