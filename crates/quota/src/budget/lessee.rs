//! Lessee role: requests units from lessors, renews leases and returns units.

use super::{Budget, ChangeCause, Outbox, Outgoing};
use crate::ledger::{IncarnationId, OpenLease};
use crate::message::{LeaseGrant, LeaseRecall, LeaseRequest, LeaseReturn, Message, UnitsAvailable};
use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Initial value, bounds and adjustment factors of the number of requests that may be sent in one
/// tick, besides renewals. The number grows with each answer that grants additional units and
/// shrinks with each that grants none: when all servers lack units, requests only cost messages.
const INITIAL_PARALLEL_REQUESTS: f64 = 4.0;
const MIN_PARALLEL_REQUESTS: f64 = 1.0;
const MAX_PARALLEL_REQUESTS: f64 = 64.0;
const PARALLEL_REQUESTS_INCREASE_FACTOR: f64 = 1.5;
const PARALLEL_REQUESTS_DECREASE_FACTOR: f64 = 0.9;
/// Number of lessors over which the request for missing units is spread if no lessor has offered
/// any.
const REQUEST_SPREAD: u32 = 4;
/// Initial and maximum backoff for a lessor that has nothing to grant. The backoff doubles up to a
/// maximum that increases with the number of known lessors.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(3_200);
const MAX_BACKOFF_PER_LESSOR: Duration = Duration::from_millis(10);
/// A request that is not answered within this time is considered lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Fraction of a lease after which it is renewed.
const RENEWAL_FRACTION: f64 = 0.45;

/// State of a lessor, as of its latest grant, recall or offer.
struct LessorRecord {
    /// Units that it could grant in addition to those already granted.
    available: u32,
    retry_at: Timestamp,
    backoff: Duration,
}

/// Additional units that a lessor can grant, as far as this server knows.
struct Offer {
    units: u32,
    lessor: IncarnationId,
}

/// The lessors that have sent a message, and the number of requests that may be sent in one tick.
pub(super) struct LessorDirectory {
    records: BTreeMap<IncarnationId, LessorRecord>,
    parallel_requests: f64,
    /// Position in the list of peers at which the next round of requests begins.
    next_peer: usize,
}

impl Default for LessorDirectory {
    fn default() -> LessorDirectory {
        LessorDirectory {
            records: BTreeMap::new(),
            parallel_requests: INITIAL_PARALLEL_REQUESTS,
            next_peer: 0,
        }
    }
}

impl LessorDirectory {
    pub(super) fn forget(&mut self, is_gone: impl Fn(IncarnationId) -> bool) {
        self.records.retain(|id, _| !is_gone(*id));
    }

    /// Returns the offers of lessors that are not in backoff, the largest first.
    fn offers(&self, now: Timestamp) -> Vec<Offer> {
        let ready = self
            .records
            .iter()
            .filter(|(_, r)| r.available > 0 && r.retry_at <= now);
        let offer = |(id, r): (&IncarnationId, &LessorRecord)| Offer {
            units: r.available,
            lessor: *id,
        };
        let mut offers: Vec<Offer> = ready.map(offer).collect();
        offers.sort_unstable_by_key(|offer| std::cmp::Reverse((offer.units, offer.lessor)));
        offers
    }

    /// Reports whether a lessor has made no offer and is not in backoff.
    fn may_request_from(&self, now: Timestamp, lessor: IncarnationId) -> bool {
        let record = self.records.get(&lessor);
        record.is_none_or(|r| r.retry_at <= now && r.available == 0)
    }

    /// Adjusts the number of parallel requests after an answer.
    fn adapt_parallel_requests(&mut self, units_before: u32, units: u32) {
        if units > units_before {
            let raised = self.parallel_requests * PARALLEL_REQUESTS_INCREASE_FACTOR;
            self.parallel_requests = raised.min(MAX_PARALLEL_REQUESTS);
        } else if units_before == 0 {
            let lowered = self.parallel_requests * PARALLEL_REQUESTS_DECREASE_FACTOR;
            self.parallel_requests = lowered.max(MIN_PARALLEL_REQUESTS);
        }
    }

    fn record_grant(
        &mut self,
        now: Timestamp,
        lessor: IncarnationId,
        is_increase: bool,
        available: u32,
    ) {
        let scaled_max = MAX_BACKOFF_PER_LESSOR.mul_f64(self.records.len() as f64);
        let max_backoff = scaled_max.max(INITIAL_BACKOFF).min(MAX_BACKOFF);
        let backoff = match self.records.get(&lessor) {
            _ if is_increase || available > 0 => Duration::ZERO,
            Some(r) if r.backoff > Duration::ZERO => (r.backoff + r.backoff).min(max_backoff),
            _ => INITIAL_BACKOFF,
        };
        let record = LessorRecord {
            available,
            retry_at: now + backoff,
            backoff,
        };
        self.records.insert(lessor, record);
    }

    fn record_recall(&mut self, now: Timestamp, lessor: IncarnationId) {
        let backoff = INITIAL_BACKOFF;
        let record = LessorRecord {
            available: 0,
            retry_at: now + backoff,
            backoff,
        };
        self.records.insert(lessor, record);
    }

    fn record_offer(&mut self, now: Timestamp, lessor: IncarnationId, available: u32) {
        let record = LessorRecord {
            available,
            retry_at: now,
            backoff: Duration::ZERO,
        };
        self.records.insert(lessor, record);
    }
}

impl Budget {
    /// Requests `units` in total from a lessor.
    fn send_request(&mut self, now: Timestamp, to: IncarnationId, units: u32, out: &mut Outbox) {
        let request = LeaseRequest {
            budget_hash: self.name_hash,
            request_id: self.ledger.new_request(now, to),
            units,
            other_units: self.ledger.usable(now) - self.ledger.leased_from(now, to),
            demand: self.demand(),
            weight: self.settings.weight as f32,
        };
        out.push(Outgoing {
            to,
            message: Message::LeaseRequest(request),
        });
    }

    fn awaits_answer(&self, now: Timestamp, lessor: IncarnationId) -> bool {
        let requested_at = self.ledger.pending_request_at(lessor);
        requested_at.is_some_and(|at| now - at < REQUEST_TIMEOUT)
    }

    pub(super) fn renew_leases(&mut self, now: Timestamp, out: &mut Outbox) {
        let renewal = self.settings.terms.lease.mul_f64(1.0 - RENEWAL_FRACTION);
        let leases = self.ledger.open_leases(now);
        let due: Vec<OpenLease> = leases.filter(|lease| lease.remaining < renewal).collect();
        for OpenLease { lessor, units, .. } in due {
            if !self.awaits_answer(now, lessor) {
                self.send_request(now, lessor, units, out);
            }
        }
    }

    /// Requests missing units: first from lessors that have offered units, then from the other
    /// peers in turn.
    pub(super) fn request_units(
        &mut self,
        now: Timestamp,
        missing: u32,
        peers: &[IncarnationId],
        out: &mut Outbox,
    ) {
        let max_requests = self.lessors.parallel_requests.ceil() as usize;
        let mut missing = missing;
        let mut requests = 0;
        for Offer {
            units: available,
            lessor,
        } in self.lessors.offers(now)
        {
            if missing == 0 || requests == max_requests {
                break;
            }
            if !self.awaits_answer(now, lessor) {
                let additional = available.min(missing);
                let units = self.ledger.leased_from(now, lessor) + additional;
                self.send_request(now, lessor, units, out);
                missing -= additional;
                requests += 1;
            }
        }
        if missing > 0 {
            let units_each = missing.div_ceil(REQUEST_SPREAD).max(1);
            self.request_units_in_turn(now, units_each, max_requests - requests, peers, out);
        }
    }

    /// Requests `units_each` additional units from each of up to `max_requests` peers that have
    /// offered none, in turn.
    fn request_units_in_turn(
        &mut self,
        now: Timestamp,
        units_each: u32,
        max_requests: usize,
        peers: &[IncarnationId],
        out: &mut Outbox,
    ) {
        let mut requests = 0;
        for step in 0..peers.len() {
            if requests == max_requests {
                break;
            }
            let position = (self.lessors.next_peer + step) % peers.len();
            let lessor = peers[position];
            if self.lessors.may_request_from(now, lessor) && !self.awaits_answer(now, lessor) {
                let units = self.ledger.leased_from(now, lessor) + units_each;
                self.send_request(now, lessor, units, out);
                requests += 1;
                self.lessors.next_peer = (position + 1) % peers.len();
            }
        }
    }

    /// Releases up to `units` leased units, from the smallest leases first, so that fewer lessors
    /// remain.
    pub(super) fn release_units(&mut self, now: Timestamp, units: u32) {
        let mut leases: Vec<OpenLease> = self.ledger.open_leases(now).collect();
        leases.sort_unstable_by_key(|lease| (lease.units, lease.lessor));
        let mut left = units;
        for lease in leases {
            let released = lease.units.min(left);
            if released == 0 {
                break;
            }
            self.ledger.release(lease.lessor, lease.units - released);
            left -= released;
            self.change_cause = ChangeCause::Returned;
        }
    }

    pub(super) fn send_returns(&mut self, now: Timestamp, out: &mut Outbox) {
        let budget_hash = self.name_hash;
        for due in self.ledger.take_returns(now) {
            let returned = LeaseReturn {
                budget_hash,
                request_id: due.request_id,
                kept_units: due.kept_units,
            };
            out.push(Outgoing {
                to: due.lessor,
                message: Message::LeaseReturn(returned),
            });
        }
    }

    pub(super) fn handle_grant(&mut self, now: Timestamp, from: IncarnationId, grant: &LeaseGrant) {
        let units = grant.units.min(self.settings.capacity);
        let units_before = self.ledger.leased_from(now, from);
        if self
            .ledger
            .accept_grant(now, from, grant.request_id, units)
            .is_err()
        {
            return;
        }
        if units > units_before {
            self.change_cause = ChangeCause::Leased;
        }
        self.lessors.adapt_parallel_requests(units_before, units);
        self.lessors
            .record_grant(now, from, units > units_before, grant.available);
    }

    pub(super) fn handle_recall(
        &mut self,
        now: Timestamp,
        from: IncarnationId,
        recall: &LeaseRecall,
    ) {
        self.ledger.release(from, recall.kept_units);
        self.is_urgent |= self.ledger.has_returns(now);
        // The lessor needs its units itself, so other lessors are asked first.
        self.lessors.record_recall(now, from);
    }

    pub(super) fn handle_offer(
        &mut self,
        now: Timestamp,
        from: IncarnationId,
        offer: &UnitsAvailable,
        out: &mut Outbox,
    ) {
        let missing = self.demand().saturating_sub(self.ledger.usable(now));
        let available = offer.units.min(self.settings.capacity);
        self.lessors.record_offer(now, from, available);
        if missing > 0 && available > 0 && !self.awaits_answer(now, from) {
            let units = self.ledger.leased_from(now, from) + available.min(missing);
            self.send_request(now, from, units, out);
        }
    }
}
