//! Records of actions. The doc comment of each action gives its name in the protocol specification.

use madderbay::time::Duration;

/// Maximum length of the message of an [`Action::Fault`], in bytes. A longer message is truncated
/// before the first character that does not fit.
const MAX_FAULT_MESSAGE_BYTES: usize = 500;
/// Second field of `MARK_HEALTH`: health checks are answered from the stored state, without any
/// work.
const HEALTH_FROM_STORE: u8 = 1;
/// Token of the timer of an instance. An instance has only one timer, so the token is constant.
const TIMER_TOKEN: u64 = 0;

/// One action of an instance. [`Actions`](madderbay::interface::Actions) describes what each does.
/// Durations are sent as microseconds in 32 bits; a longer duration is clamped to the maximum.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<'a> {
    /// `TAKE`
    Start {
        /// The request.
        request_id: u64,
    },
    /// `PUSH_BACK`
    Reject {
        /// The request.
        request_id: u64,
        /// Time for which the client is advised not to retry (Retry-After).
        retry_after: Duration,
        /// Whether the client is asked not to retry on another server either.
        is_final: bool,
    },
    /// `SURRENDER`
    Fail {
        /// The request.
        request_id: u64,
    },
    /// `PREEMPT`
    Cancel {
        /// The request.
        request_id: u64,
    },
    /// `GO_CALL`
    Call {
        /// The request.
        request_id: u64,
        /// Time after which the call is abandoned.
        timeout: Duration,
    },
    /// `DEGRADE`
    SkipCall {
        /// The request.
        request_id: u64,
    },
    /// `PIN`
    StoreKey {
        /// The request.
        request_id: u64,
        /// Time for which the key is stored.
        lifetime: Duration,
    },
    /// `RELEASE_KEY`
    RemoveKey {
        /// The request.
        request_id: u64,
    },
    /// `SHARE`
    JoinAttempt {
        /// The request.
        request_id: u64,
    },
    /// `MARK_HEALTH`
    SetHealth {
        /// Whether health checks are answered as healthy.
        healthy: bool,
    },
    /// `ADVERTISE`
    SetLoadReport {
        /// The load report, sent as a 32-bit floating-point number.
        value: f64,
    },
    /// `IDLE_LIMIT`
    SetIdleLimit {
        /// Time after which idle connections are closed.
        limit: Duration,
    },
    /// `SET_TIMER`
    SetTimer {
        /// Time until the timer fires.
        after: Duration,
    },
    /// `FAULT`: the decision module panicked. The simulation ends.
    Fault {
        /// The panic message. At most its first 500 bytes are sent.
        message: &'a str,
    },
}

impl Action<'_> {
    /// Returns the code that identifies the action in its record.
    pub(super) fn code(&self) -> u8 {
        match self {
            Action::Start { .. } => 1,
            Action::Reject { .. } => 2,
            Action::Fail { .. } => 3,
            Action::Cancel { .. } => 4,
            Action::Call { .. } => 5,
            Action::SkipCall { .. } => 6,
            Action::StoreKey { .. } => 7,
            Action::RemoveKey { .. } => 8,
            Action::JoinAttempt { .. } => 9,
            Action::SetHealth { .. } => 10,
            Action::SetLoadReport { .. } => 11,
            Action::SetIdleLimit { .. } => 12,
            Action::SetTimer { .. } => 13,
            Action::Fault { .. } => 15,
        }
    }

    /// Appends the fields of the record that follow its code and instance.
    pub(super) fn encode_fields(&self, out: &mut Vec<u8>) {
        match *self {
            Action::Start { request_id }
            | Action::Fail { request_id }
            | Action::Cancel { request_id }
            | Action::SkipCall { request_id }
            | Action::RemoveKey { request_id }
            | Action::JoinAttempt { request_id } => put_u64(out, request_id),
            Action::Reject {
                request_id,
                retry_after,
                is_final,
            } => {
                put_u64(out, request_id);
                put_duration(out, retry_after);
                out.push(u8::from(is_final));
            }
            Action::Call {
                request_id,
                timeout: duration,
            }
            | Action::StoreKey {
                request_id,
                lifetime: duration,
            } => {
                put_u64(out, request_id);
                put_duration(out, duration);
            }
            Action::SetHealth { healthy } => out.extend([u8::from(healthy), HEALTH_FROM_STORE]),
            Action::SetLoadReport { value } => out.extend((value as f32).to_le_bytes()),
            Action::SetIdleLimit { limit } => put_duration(out, limit),
            Action::SetTimer { after } => {
                put_duration(out, after);
                put_u64(out, TIMER_TOKEN);
            }
            Action::Fault { message } => put_fault_message(out, message),
        }
    }
}

fn put_u64(out: &mut Vec<u8>, value: u64) {
    out.extend(value.to_le_bytes());
}

fn put_duration(out: &mut Vec<u8>, duration: Duration) {
    let micros = u32::try_from(duration.as_micros()).unwrap_or(u32::MAX);
    out.extend(micros.to_le_bytes());
}

fn put_fault_message(out: &mut Vec<u8>, message: &str) {
    let length = message.floor_char_boundary(MAX_FAULT_MESSAGE_BYTES);
    out.extend((length as u16).to_le_bytes());
    out.extend_from_slice(&message.as_bytes()[..length]);
}
