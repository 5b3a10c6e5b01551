//! Calls into foca, and application of their effects to the view.

use super::Membership;
use crate::datagram::DatagramKind;
use crate::event::{ChangeReason, MembershipEvent};
use crate::identity::MemberIdentity;
use crate::member_table::MemberRecord;
use crate::probe_retry::Probe;
use crate::swim::{self, OutgoingMessage, RequestedTimer, Swim, SwimEffects};
use crate::swim_packet::decode_header;
use crate::view::MemberState;
use foca::{Message, OwnedNotification, Timer};
use madderbay::time::Timestamp;

impl Membership {
    /// Calls foca and applies the effects: first notifications, then timers, then messages.
    pub(super) fn drive_swim(
        &mut self,
        now: Timestamp,
        call: impl FnOnce(&mut Swim, &mut SwimEffects) -> Result<(), foca::Error>,
    ) {
        let mut effects = SwimEffects::default();
        // The input has been validated, so an error only means that foca ignored it.
        let _ = call(&mut self.swim, &mut effects);
        for notification in effects.notifications {
            self.handle_notification(now, notification);
        }
        for requested in effects.timers {
            self.set_swim_timer(now, requested);
        }
        for message in effects.messages {
            self.send_swim_message(now, message);
        }
    }

    /// Sets a timer that foca requested. A timer that ends a suspicion also starts the suspicion in
    /// the view.
    fn set_swim_timer(&mut self, now: Timestamp, requested: RequestedTimer) {
        let RequestedTimer { after, timer } = requested;
        if let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = &timer
        {
            self.start_suspicion(now, member_id, *incarnation);
        }
        self.swim_timers.set(now + after, timer);
    }

    /// Sends a SWIM message. A request for an indirect probe shows that the direct probe was not
    /// answered in time, so the direct ping is repeated as well.
    fn send_swim_message(&mut self, now: Timestamp, message: OutgoingMessage) {
        if let Ok(header) = decode_header(&message.body) {
            self.swim_incarnation = header.src_incarnation;
            if let Message::PingReq {
                target,
                probe_number,
            } = header.message
            {
                self.probe_retry.start(
                    now,
                    Probe {
                        target,
                        number: probe_number,
                    },
                );
            }
        }
        self.send(message.to.address, DatagramKind::Swim, &message.body);
    }

    fn handle_notification(
        &mut self,
        now: Timestamp,
        notification: OwnedNotification<MemberIdentity>,
    ) {
        match notification {
            OwnedNotification::MemberUp(identity) => self.handle_member_up(now, &identity),
            OwnedNotification::MemberDown(identity) => self.handle_member_down(now, &identity),
            OwnedNotification::Rename(former, identity) => {
                self.handle_identity_replacement(now, &former, &identity);
            }
            // Other members declared this server down, and foca continued with the next revision.
            OwnedNotification::Rejoin(identity) => {
                self.counters.identity_renewals += 1;
                self.push_event(MembershipEvent::IdentityRenewed {
                    revision: identity.revision,
                });
            }
            OwnedNotification::Active => {
                self.first_contact.get_or_insert(now);
            }
            _ => {}
        }
    }

    /// Handles a member that is alive and was unknown or down before.
    fn handle_member_up(&mut self, now: Timestamp, identity: &MemberIdentity) {
        let former = self.members.get(&identity.name).map(MemberRecord::state);
        self.members.set_alive(now, identity);
        let state = self.recorded_state(identity);
        if former != Some(state) {
            let reason = if former.is_some() {
                ChangeReason::Recovered
            } else {
                ChangeReason::Discovered
            };
            self.push_state_change(identity, former, state, reason);
        }
        self.update_swim_config();
    }

    /// Handles a member that left or did not refute a suspicion in time.
    fn handle_member_down(&mut self, now: Timestamp, identity: &MemberIdentity) {
        let Some(record) = self.members.get(&identity.name) else {
            return;
        };
        let former = record.state();
        let since_received = record.since_received(now);
        self.members.set_down(now, identity);
        let state = self.recorded_state(identity);
        if state == MemberState::Left {
            return self.push_state_change(identity, Some(former), state, ChangeReason::Announced);
        }
        self.counters.down_declarations += 1;
        self.reconnector.record_member_loss(now);
        let reason = ChangeReason::SuspicionExpired { since_received };
        self.push_state_change(identity, Some(former), state, reason);
    }

    /// Handles a newer identity of a member: it was restarted, or its phase changed.
    fn handle_identity_replacement(
        &mut self,
        now: Timestamp,
        former: &MemberIdentity,
        identity: &MemberIdentity,
    ) {
        let Some(record) = self.members.get(&former.name) else {
            return;
        };
        let former_state = record.state();
        let was_active = record.is_active();
        self.members.replace_identity(now, identity);
        let state = self.recorded_state(identity);
        if identity.incarnation != former.incarnation {
            let reason = ChangeReason::Restarted {
                from: former.incarnation,
                to: identity.incarnation,
            };
            self.push_state_change(identity, Some(former_state), state, reason);
        } else if was_active && former_state != state {
            self.push_state_change(identity, Some(former_state), state, ChangeReason::Announced);
        }
    }

    fn recorded_state(&self, identity: &MemberIdentity) -> MemberState {
        self.members
            .get(&identity.name)
            .map_or(MemberState::Alive, MemberRecord::state)
    }

    pub(super) fn push_state_change(
        &mut self,
        identity: &MemberIdentity,
        from: Option<MemberState>,
        to: MemberState,
        reason: ChangeReason,
    ) {
        self.push_event(MembershipEvent::StateChanged {
            name: identity.name.clone(),
            address: identity.address,
            from,
            to,
            reason,
        });
    }

    /// Raises or lowers the number of transmissions of each update with the size of the fleet.
    fn update_swim_config(&mut self) {
        let active = self.members.active_count();
        let max_transmissions = swim::max_transmissions(active).get();
        if self.max_transmissions != max_transmissions {
            self.max_transmissions = max_transmissions;
            // Foca rejects only a change of the packet size, which is constant.
            let _ = self.swim.set_config(swim::config(&self.settings, active));
        }
    }
}
