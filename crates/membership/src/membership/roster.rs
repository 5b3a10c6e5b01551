//! Rosters: pages of the view that members request from each other when their digests differ.

use super::Membership;
use crate::datagram::{DatagramKind, RosterPage, RosterRequest, encode_body};
use crate::datagram_size::MAX_BODY_BYTES;
use crate::digest::{DIGEST_BUCKETS, ViewDigest};
use crate::error::DatagramError;
use crate::identity::{MemberIdentity, Phase};
use crate::member_table::MemberRecord;
use compact_str::CompactString;
use foca::{Member, State as SwimState};
use madderbay::time::{Duration, Timestamp};

/// Updates from a roster page are gossiped only if at most this many members on it are new. When
/// more are new, every other server that lacks them requests a roster as well.
const MAX_GOSSIPED_ROSTER_UPDATES: usize = 16;
/// A roster includes members that went down within this time, so that receivers that consider them
/// active start to suspect them.
const ROSTER_DOWN_RETENTION: Duration = Duration::from_millis(20_000);
/// Upper bound, in bytes, on the growth of a list's encoded length prefix beyond the single byte of
/// an empty list.
const MAX_LENGTH_PREFIX_GROWTH: usize = 2;

impl Membership {
    /// Requests the page of a member's roster that starts after a name.
    pub(super) fn request_roster(&mut self, from: &MemberIdentity, after: CompactString) {
        let request = RosterRequest {
            from: self.local_identity().clone(),
            after,
            buckets: self.members.digest().buckets().to_vec(),
        };
        if let Ok(body) = encode_body(&request) {
            self.send(from.address, DatagramKind::RosterRequest, &body);
        }
    }

    /// Answers a roster request with a page.
    pub(super) fn receive_roster_request(
        &mut self,
        now: Timestamp,
        request: &RosterRequest,
    ) -> Result<(), DatagramError> {
        if request.buckets.len() != DIGEST_BUCKETS {
            return Err(DatagramError::InvalidBody);
        }
        self.accept_sender(now, &request.from)?;
        let page = self.roster_page(now, request);
        if let Ok(body) = encode_body(&page) {
            self.send(request.from.address, DatagramKind::RosterPage, &body);
        }
        Ok(())
    }

    /// Builds the requested page: as many members of differing digest buckets as fit in a datagram.
    fn roster_page(&self, now: Timestamp, request: &RosterRequest) -> RosterPage {
        let mut page = RosterPage {
            from: self.local_identity().clone(),
            members: vec![],
            last: true,
        };
        let mut bytes = encoded_length(&page) + MAX_LENGTH_PREFIX_GROWTH;
        for record in self.members.iter_after(&request.after) {
            if !belongs_on_roster(now, record) || !self.bucket_differs(request, record) {
                continue;
            }
            let member = record.to_swim_member();
            bytes += encoded_length(&member);
            if bytes > MAX_BODY_BYTES {
                page.last = false;
                break;
            }
            page.members.push(member);
        }
        page
    }

    fn bucket_differs(&self, request: &RosterRequest, record: &MemberRecord) -> bool {
        let bucket = ViewDigest::bucket_of(&record.identity().name);
        request.buckets[bucket] != self.members.digest().buckets()[bucket]
    }

    /// Applies a requested page and requests the next one. Pages that were not requested are
    /// ignored.
    pub(super) fn receive_roster_page(&mut self, now: Timestamp, page: RosterPage) {
        if self.roster_sync.pending_page(&page.from).is_none() {
            return;
        }
        let last_name = page.members.last().map(|m| m.id().name.clone());
        let contradicted = self.contradicted_names(&page.members);
        let new_members = self.apply_roster(now, page.members) + contradicted.len();
        for name in &contradicted {
            self.schedule_down_notices(now, name);
        }
        let next = self
            .roster_sync
            .handle_page(now, last_name.as_ref(), page.last, new_members);
        if let Some(after) = next {
            self.request_roster(&page.from, after);
        }
    }

    /// Returns the names of members that are active on a page but down in this server's view.
    fn contradicted_names(&self, members: &[Member<MemberIdentity>]) -> Vec<CompactString> {
        let active = members
            .iter()
            .filter(|m| m.state() != SwimState::Down && m.id().phase != Phase::Left);
        let names = active.map(|m| &m.id().name);
        let is_missing = |name: &str| self.members.get(name).is_some_and(MemberRecord::is_missing);
        names.filter(|name| is_missing(name)).cloned().collect()
    }

    /// Applies the members of a page. Returns how many of them were new.
    fn apply_roster(&mut self, now: Timestamp, members: Vec<Member<MemberIdentity>>) -> usize {
        let updates: Vec<Member<MemberIdentity>> = members
            .into_iter()
            .filter_map(|m| self.filter_update(now, m, false))
            .collect();
        let last_change = self.members.last_change();
        let new_members = updates
            .iter()
            .filter(|u| !self.is_known_active(u.id()))
            .count();
        let gossip = new_members <= MAX_GOSSIPED_ROSTER_UPDATES;
        let applied = updates.clone().into_iter();
        self.drive_swim(now, |swim, effects| {
            swim.apply_many(applied, gossip, effects)
        });
        for update in &updates {
            self.apply_update(now, update.id(), update.incarnation(), update.state());
        }
        if !gossip {
            // Updates that are not gossiped must not delay the next roster.
            self.members.set_last_change(last_change);
        }
        new_members
    }

    fn is_known_active(&self, identity: &MemberIdentity) -> bool {
        let record = self.members.get(&identity.name);
        record.is_some_and(|r| r.is_active() && r.identity() == identity)
    }
}

/// Reports whether a roster includes a member: it is active or went down recently without having
/// left.
fn belongs_on_roster(now: Timestamp, record: &MemberRecord) -> bool {
    record.is_active()
        || record.is_missing() && now - record.liveness_since() < ROSTER_DOWN_RETENTION
}

/// Returns the encoded length in bytes, or the maximum length of a body if encoding fails, so that
/// nothing more is added to the page.
fn encoded_length<T: serde::Serialize>(value: &T) -> usize {
    encode_body(value).map_or(MAX_BODY_BYTES, |bytes| bytes.len())
}
