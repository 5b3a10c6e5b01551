//! Record of what this server knows about another member.

use crate::digest::identity_hash;
use crate::identity::{MemberIdentity, Phase};
use crate::view::MemberState;
use foca::{Member, State as SwimState};
use madderbay::time::{Duration, Timestamp};

/// This server's own judgement of a member, in addition to the phase that the member reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    Alive,
    Suspect,
    Down,
}

/// Record of another member. All times are of the clock that excludes pauses.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    identity: MemberIdentity,
    /// The member's SWIM incarnation number, which the member raises to refute a suspicion.
    swim_incarnation: u16,
    liveness: Liveness,
    liveness_since: Timestamp,
    last_received: Option<Timestamp>,
    health_score: u8,
}

impl MemberRecord {
    /// Creates the record of a member that is alive.
    pub(crate) fn new(now: Timestamp, identity: MemberIdentity) -> MemberRecord {
        MemberRecord {
            identity,
            swim_incarnation: 0,
            liveness: Liveness::Alive,
            liveness_since: now,
            last_received: None,
            health_score: 0,
        }
    }

    pub(crate) fn identity(&self) -> &MemberIdentity {
        &self.identity
    }

    pub(crate) fn swim_incarnation(&self) -> u16 {
        self.swim_incarnation
    }

    pub(crate) fn liveness(&self) -> Liveness {
        self.liveness
    }

    /// Returns when the liveness last changed.
    pub(crate) fn liveness_since(&self) -> Timestamp {
        self.liveness_since
    }

    /// Returns the time since the member's last datagram.
    pub(crate) fn since_received(&self, now: Timestamp) -> Option<Duration> {
        self.last_received.map(|at| now - at)
    }

    /// Returns the health score that the member reports.
    pub(crate) fn health_score(&self) -> u8 {
        self.health_score
    }

    /// Reports whether the member is not down.
    pub(crate) fn is_active(&self) -> bool {
        self.liveness != Liveness::Down
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.liveness == Liveness::Suspect
    }

    /// Reports whether the member announced its departure.
    pub(crate) fn has_left(&self) -> bool {
        self.identity.phase == Phase::Left
    }

    /// Reports whether the member is down without having left.
    pub(crate) fn is_missing(&self) -> bool {
        !self.is_active() && !self.has_left()
    }

    /// Returns the state that the view reports.
    pub(crate) fn state(&self) -> MemberState {
        match (self.liveness, self.identity.phase) {
            (Liveness::Down, Phase::Left) => MemberState::Left,
            (Liveness::Down, _) => MemberState::Down,
            (Liveness::Suspect, _) => MemberState::Suspect,
            (Liveness::Alive, Phase::Joining) => MemberState::Joining,
            (Liveness::Alive, Phase::Draining) => MemberState::Draining,
            (Liveness::Alive, _) => MemberState::Alive,
        }
    }

    /// Returns the member in the form that rosters and notices contain.
    pub(crate) fn to_swim_member(&self) -> Member<MemberIdentity> {
        let state = match self.liveness {
            Liveness::Alive => SwimState::Alive,
            Liveness::Suspect => SwimState::Suspect,
            Liveness::Down => SwimState::Down,
        };
        Member::new(self.identity.clone(), self.swim_incarnation, state)
    }

    /// Returns the member's hash in the digest of the view, or 0 if the member is down.
    pub(crate) fn digest_hash(&self) -> u64 {
        if self.is_active() {
            identity_hash(&self.identity)
        } else {
            0
        }
    }

    /// Records the arrival of a datagram from the member.
    pub(crate) fn record_datagram(&mut self, now: Timestamp, health_score: u8) {
        self.last_received = Some(now);
        self.health_score = health_score;
    }

    /// Starts a suspicion of an active member.
    pub(crate) fn set_suspect(&mut self, now: Timestamp, swim_incarnation: u16) {
        self.liveness = Liveness::Suspect;
        self.liveness_since = now;
        self.swim_incarnation = swim_incarnation;
    }

    /// Ends a suspicion that the member refuted.
    pub(crate) fn refute(&mut self, now: Timestamp, swim_incarnation: u16) {
        self.liveness = Liveness::Alive;
        self.liveness_since = now;
        self.swim_incarnation = swim_incarnation;
    }

    /// Raises the SWIM incarnation number to a received one, if that is higher.
    pub(crate) fn raise_swim_incarnation(&mut self, swim_incarnation: u16) {
        self.swim_incarnation = self.swim_incarnation.max(swim_incarnation);
    }

    pub(super) fn set_alive(&mut self, now: Timestamp, identity: MemberIdentity) {
        self.identity = identity;
        self.liveness = Liveness::Alive;
        self.liveness_since = now;
    }

    pub(super) fn set_down(&mut self, now: Timestamp, identity: MemberIdentity) {
        self.identity = identity;
        self.liveness = Liveness::Down;
        self.liveness_since = now;
    }

    /// Replaces the identity by a newer one, which starts without suspicion. A new incarnation has
    /// not sent anything yet, so its time of the last datagram is reset.
    pub(super) fn replace_identity(&mut self, identity: MemberIdentity) {
        let same_incarnation = self.identity.incarnation == identity.incarnation;
        self.last_received = self.last_received.filter(|_| same_incarnation);
        self.swim_incarnation = 0;
        self.identity = identity;
        if self.is_suspect() {
            self.liveness = Liveness::Alive;
        }
    }
}
