//! Timers: deadlines and the actions that are due when they pass.

use super::Membership;
use crate::event::MembershipEvent;
use crate::identity::MemberIdentity;
use foca::{Member, State as SwimState, Timer};
use madderbay::time::Timestamp;

impl Membership {
    /// Returns when to call [`Membership::handle_timeout`] next if no datagram arrives before.
    pub fn next_timeout(&self) -> Timestamp {
        let deadlines = [
            Some(self.reconnector.next_timeout()),
            self.connectivity.next_timeout(),
            self.join_deadline(),
            self.probe_retry.next_timeout(),
            self.swim_timers.next_deadline(),
            self.scheduled_notices.next_deadline(),
        ];
        let next = deadlines.into_iter().flatten().min().unwrap_or_default();
        self.health.to_machine_clock(next)
    }

    /// Runs everything whose deadline has passed. `now` is read from the same clock as in
    /// [`Membership::new`].
    pub fn handle_timeout(&mut self, now: Timestamp) {
        let now = self.advance_clock(now);
        self.run_swim_timers(now);
        while let Some(name) = self.scheduled_notices.pop_due(now) {
            self.send_scheduled_notice(&name);
        }
        self.repeat_probe(now);
        self.reconnect(now);
        self.advance_phase(now);
        self.update_connectivity(now);
    }

    /// Records the time of the machine's clock and returns the time of the clock that excludes
    /// pauses.
    pub(super) fn advance_clock(&mut self, now: Timestamp) -> Timestamp {
        let deadline = Some(self.next_timeout()).filter(|_| self.settings.local_health_aware);
        if let Some(duration) = self.health.observe(now, deadline) {
            self.push_event(MembershipEvent::Paused { duration });
        }
        self.health.now()
    }

    /// Runs the SWIM timers that are due. After a pause, timers that lead to a suspicion are
    /// postponed, so that the datagrams that arrived during the pause are read first.
    fn run_swim_timers(&mut self, now: Timestamp) {
        let mut postponed = vec![];
        while let Some(timer) = self.swim_timers.pop_due(now) {
            let suspects = matches!(
                timer,
                Timer::ProbeRandomMember(_) | Timer::ChangeSuspectToDown { .. }
            );
            if suspects && self.health.is_degraded() {
                postponed.push(timer);
            } else {
                self.handle_swim_timer(now, timer);
            }
        }
        for timer in postponed {
            self.swim_timers
                .set(now + self.settings.probe_timeout, timer);
        }
    }

    fn handle_swim_timer(&mut self, now: Timestamp, timer: Timer<MemberIdentity>) {
        let fired = timer.clone();
        self.drive_swim(now, |swim, effects| swim.handle_timer(timer, effects));
        match fired {
            Timer::ChangeSuspectToDown {
                member_id,
                incarnation,
                ..
            } => {
                self.handle_suspicion_expiry(now, member_id, incarnation);
            }
            Timer::RemoveDown(identity) => self.remove_down_member(now, &identity),
            _ => {}
        }
    }

    /// Declares a member down whose suspicion expired. Foca drops its suspicions when this server's
    /// own identity changes, so without this the members would stay suspected.
    fn handle_suspicion_expiry(
        &mut self,
        now: Timestamp,
        member: MemberIdentity,
        swim_incarnation: u16,
    ) {
        let is_current = self.members.get(&member.name).is_some_and(|r| {
            r.is_suspect() && *r.identity() == member && r.swim_incarnation() == swim_incarnation
        });
        if is_current {
            let down = Member::new(member, swim_incarnation, SwimState::Down);
            self.drive_swim(now, |swim, effects| {
                swim.apply_many(std::iter::once(down), true, effects)
            });
        }
    }

    fn remove_down_member(&mut self, now: Timestamp, identity: &MemberIdentity) {
        let Some(record) = self.members.get(&identity.name) else {
            return;
        };
        if record.is_active() || record.identity() != identity {
            return;
        }
        if !record.has_left() {
            self.reconnector.record_removal(now, identity.address);
        }
        self.members.remove(&identity.name);
    }
}
