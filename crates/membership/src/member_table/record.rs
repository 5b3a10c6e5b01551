//! What this server knows about one other member.

use crate::digest::identity_hash;
use crate::identity::{MemberIdentity, Phase};
use crate::view::MemberState;
use foca::{Member, State as SwimState};
use madderbay::time::{Duration, Timestamp};

/// This server's own opinion of a member, beside the phase that the member reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    Alive,
    Suspect,
    Down,
}

/// One other member. All times are of the clock that excludes pauses.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    identity: MemberIdentity,
    /// The member's SWIM incarnation number, which it raises to refute a suspicion.
    swim_incarnation: u16,
    liveness: Liveness,
    liveness_since: Timestamp,
    last_received: Option<Timestamp>,
    health_score: u8,
}

impl MemberRecord {
    /// A member that is alive.
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

    /// When the liveness last changed.
    pub(crate) fn liveness_since(&self) -> Timestamp {
        self.liveness_since
    }

    /// Time since the member's last datagram.
    pub(crate) fn since_received(&self, now: Timestamp) -> Option<Duration> {
        self.last_received.map(|at| now - at)
    }

    /// Health score that the member reports.
    pub(crate) fn health_score(&self) -> u8 {
        self.health_score
    }

    /// Whether the member is not down.
    pub(crate) fn is_active(&self) -> bool {
        self.liveness != Liveness::Down
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.liveness == Liveness::Suspect
    }

    /// Whether the member announced its departure.
    pub(crate) fn has_left(&self) -> bool {
        self.identity.phase == Phase::Left
    }

    /// Whether the member is down without having left.
    pub(crate) fn is_missing(&self) -> bool {
        !self.is_active() && !self.has_left()
    }

    /// The state that the view reports.
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

    /// The member as rosters and notices carry it.
    pub(crate) fn to_swim_member(&self) -> Member<MemberIdentity> {
        let state = match self.liveness {
            Liveness::Alive => SwimState::Alive,
            Liveness::Suspect => SwimState::Suspect,
            Liveness::Down => SwimState::Down,
        };
        Member::new(self.identity.clone(), self.swim_incarnation, state)
    }

    /// The member's hash in the digest of the view; 0 if it is down.
    pub(crate) fn digest_hash(&self) -> u64 {
        if self.is_active() {
            identity_hash(&self.identity)
        } else {
            0
        }
    }

    /// A datagram of the member arrived.
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

    /// Raises the incarnation number to one that was received.
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

    /// A newer identity starts without suspicion; a new incarnation has sent nothing yet.
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
