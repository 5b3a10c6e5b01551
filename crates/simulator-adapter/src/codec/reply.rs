//! The reply to a batch: a frame with the records of actions.

use super::action::Action;
use super::frame::RECORD_COUNT_BYTES;
use crate::instance_id::InstanceId;
use madderbay::interface::Actions;
use madderbay::time::Duration;

/// Size of the header of a reply, in bytes.
const HEADER_BYTES: usize = 8;

/// Collects the actions that are the answer to one batch.
#[derive(Default)]
pub struct Reply {
    record_count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: InstanceId, action: &Action) {
        self.record_count += 1;
        self.body.push(action.code());
        self.body.extend(instance.0.to_le_bytes());
        action.encode_fields(&mut self.body);
    }

    /// Returns a sink that appends the actions of one instance to the reply.
    pub fn actions_for(&mut self, instance: InstanceId) -> InstanceActions<'_> {
        InstanceActions {
            instance,
            reply: self,
        }
    }

    /// Encodes all actions collected since the last frame as a frame, and clears the reply.
    pub fn take_frame(&mut self) -> Vec<u8> {
        let length = self.body.len() as u32 + RECORD_COUNT_BYTES;
        let mut frame = Vec::with_capacity(HEADER_BYTES + self.body.len());
        frame.extend(length.to_le_bytes());
        frame.extend(self.record_count.to_le_bytes());
        frame.append(&mut self.body);
        self.record_count = 0;
        frame
    }
}

/// Appends the actions of one instance to a [`Reply`].
pub struct InstanceActions<'a> {
    instance: InstanceId,
    reply: &'a mut Reply,
}

impl InstanceActions<'_> {
    fn push(&mut self, action: &Action) {
        self.reply.push(self.instance, action);
    }
}

impl Actions for InstanceActions<'_> {
    fn start(&mut self, request_id: u64) {
        self.push(&Action::Start { request_id });
    }

    fn cancel(&mut self, request_id: u64) {
        self.push(&Action::Cancel { request_id });
    }

    /// Sends nothing, because the protocol has no such action. Any event that the simulator still
    /// sends for the request is ignored.
    fn abandon(&mut self, _request_id: u64) {}

    fn reject(&mut self, request_id: u64, retry_after: Duration, is_final: bool) {
        self.push(&Action::Reject {
            request_id,
            retry_after,
            is_final,
        });
    }

    fn fail(&mut self, request_id: u64) {
        self.push(&Action::Fail { request_id });
    }

    fn call(&mut self, request_id: u64, timeout: Duration) {
        self.push(&Action::Call {
            request_id,
            timeout,
        });
    }

    fn skip_call(&mut self, request_id: u64) {
        self.push(&Action::SkipCall { request_id });
    }

    fn store_key(&mut self, request_id: u64, lifetime: Duration) {
        self.push(&Action::StoreKey {
            request_id,
            lifetime,
        });
    }

    fn remove_key(&mut self, request_id: u64) {
        self.push(&Action::RemoveKey { request_id });
    }

    fn join_attempt(&mut self, request_id: u64) {
        self.push(&Action::JoinAttempt { request_id });
    }

    fn set_health(&mut self, healthy: bool) {
        self.push(&Action::SetHealth { healthy });
    }

    fn set_load_report(&mut self, value: f64) {
        self.push(&Action::SetLoadReport { value });
    }

    fn set_idle_limit(&mut self, limit: Duration) {
        self.push(&Action::SetIdleLimit { limit });
    }

    fn set_timer(&mut self, after: Duration) {
        self.push(&Action::SetTimer { after });
    }
}
