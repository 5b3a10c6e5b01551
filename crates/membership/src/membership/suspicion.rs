//! Suspicion of members, with notices and repeated probes that let a running member refute it in
//! time.

use super::Membership;
use crate::datagram::DatagramKind;
use crate::event::ChangeReason;
use crate::identity::MemberIdentity;
use crate::swim_packet::encode_ping;
use crate::view::MemberState;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};

/// Times at which a suspected member is sent a notice, as fractions of the suspicion timeout.
/// Gossip alone may not reach the member.
const SUSPICION_NOTICE_FRACTIONS: [f64; 2] = [0.35, 0.7];
/// Delays after which a member that is down here but active in another server's view is sent a
/// notice, until it is active here again. Both the notice and its answer may be lost.
const DOWN_NOTICE_DELAYS: [Duration; 3] = [
    Duration::from_millis(120),
    Duration::from_millis(300),
    Duration::from_millis(600),
];
/// Largest number of scheduled notices. After a long partition, members for which there is no room
/// are notified after a later roster.
const MAX_SCHEDULED_NOTICES: usize = 64;

impl Membership {
    /// Starts a suspicion of an active member that did not answer a probe by this server or by
    /// another one.
    pub(super) fn start_suspicion(
        &mut self,
        now: Timestamp,
        identity: &MemberIdentity,
        swim_incarnation: u16,
    ) {
        let Some(record) = self.members.get_active_mut(identity) else {
            return;
        };
        let former = record.state();
        record.set_suspect(now, swim_incarnation);
        let since_received = record.since_received(now);
        self.counters.suspicions += 1;
        for fraction in SUSPICION_NOTICE_FRACTIONS {
            let at = now + self.settings.suspicion_timeout.mul_f64(fraction);
            self.scheduled_notices.set(at, identity.name.clone());
        }
        if former != MemberState::Suspect {
            let reason = ChangeReason::ProbeFailed { since_received };
            self.push_state_change(identity, Some(former), MemberState::Suspect, reason);
        }
    }

    /// Schedules notices to a member that is down here but active in another server's view.
    pub(super) fn schedule_down_notices(&mut self, now: Timestamp, name: &CompactString) {
        if self.scheduled_notices.len() + DOWN_NOTICE_DELAYS.len() > MAX_SCHEDULED_NOTICES {
            return;
        }
        for delay in DOWN_NOTICE_DELAYS {
            self.scheduled_notices.set(now + delay, name.clone());
        }
    }

    /// Sends a scheduled notice if the member is still suspected or down. The rate limit does not
    /// apply, because the number of scheduled notices is bounded separately.
    pub(super) fn send_scheduled_notice(&mut self, name: &CompactString) {
        let Some(record) = self.members.get(name) else {
            return;
        };
        if record.is_suspect() || record.is_missing() {
            let to = record.identity().address;
            let member = record.to_swim_member();
            self.send_notice(to, member);
        }
    }

    /// Sends the next ping of a probe that was not answered in time, if one is due.
    pub(super) fn repeat_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe_retry.take_due(now) else {
            return;
        };
        let to = probe.target.address;
        let own = self.local_identity().clone();
        let body = encode_ping(own, self.swim_incarnation, probe.target, probe.number);
        self.send(to, DatagramKind::Swim, &body);
    }
}
