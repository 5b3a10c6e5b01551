//! Lessor role: grants idle units to lessees and recalls them.

use super::{Budget, ChangeCause, Outbox, Outgoing};
use crate::ledger::IncarnationId;
use crate::message::{LeaseGrant, LeaseRecall, LeaseRequest, LeaseReturn, Message, UnitsAvailable};
use crate::water_filling::{Claim, next_grants};
use madderbay::time::{Duration, Timestamp};

/// Minimum time between two recalls to the same lessee, which may have to wait for calls to end.
const MIN_RECALL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two offers to the same lessee, so that units that become idle at about the
/// same time are offered together.
const MIN_OFFER_INTERVAL: Duration = Duration::from_millis(30);
/// Bounds on a lessee's weight. A weight that is not finite is replaced by the default.
const MIN_WEIGHT: f64 = 0.01;
const MAX_WEIGHT: f64 = 100.0;
const DEFAULT_WEIGHT: f64 = 1.0;

/// State of a lessee, as of its latest request.
pub(super) struct LesseeRecord {
    claim: Claim,
    pub(super) requested_at: Timestamp,
    recalled_at: Option<Timestamp>,
    offered_at: Option<Timestamp>,
}

impl LesseeRecord {
    pub(super) fn is_unsatisfied(&self) -> bool {
        self.claim.other_units + self.claim.granted < self.claim.demand
    }
}

/// Number of units of this lessor that a lessee should have.
struct Target {
    lessee: IncarnationId,
    units: u32,
}

fn is_within(now: Timestamp, at: Option<Timestamp>, interval: Duration) -> bool {
    at.is_some_and(|at| now - at < interval)
}

fn sanitize_weight(weight: f32) -> f64 {
    let weight = f64::from(weight);
    if weight.is_finite() {
        weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
    } else {
        DEFAULT_WEIGHT
    }
}

impl Budget {
    /// Returns the total units that may be granted to other servers: the base quota minus the units
    /// reserved for this server's own demand.
    pub(super) fn grantable(&self, now: Timestamp) -> u32 {
        let reserved = self.demand.reserved(now, self.ledger.in_use());
        self.ledger.base_quota(now).saturating_sub(reserved)
    }

    fn idle_units(&self, now: Timestamp) -> u32 {
        self.grantable(now).saturating_sub(self.ledger.granted(now))
    }

    /// Recalls units from lessees that have more than their target, and offers idle units to
    /// those that have less.
    pub(super) fn rebalance(&mut self, now: Timestamp, out: &mut Outbox) {
        let mut idle = self.idle_units(now);
        let budget_hash = self.name_hash;
        for Target {
            lessee: to,
            units: target,
        } in self.targets(now)
        {
            let Some(lessee) = self.lessees.get_mut(&to) else {
                continue;
            };
            let granted = lessee.claim.granted;
            if target < granted && !is_within(now, lessee.recalled_at, MIN_RECALL_INTERVAL) {
                lessee.recalled_at = Some(now);
                let recall = LeaseRecall {
                    budget_hash,
                    kept_units: target,
                };
                out.push(Outgoing {
                    to,
                    message: Message::LeaseRecall(recall),
                });
            } else if target > granted
                && idle > 0
                && !is_within(now, lessee.offered_at, MIN_OFFER_INTERVAL)
            {
                lessee.offered_at = Some(now);
                let units = idle.min(target - granted);
                idle -= units;
                let offer = UnitsAvailable { budget_hash, units };
                out.push(Outgoing {
                    to,
                    message: Message::UnitsAvailable(offer),
                });
            }
        }
    }

    /// Returns the units that each lessee should have, in the order of the lessees.
    fn targets(&mut self, now: Timestamp) -> Vec<Target> {
        let ledger = &self.ledger;
        for (id, lessee) in &mut self.lessees {
            lessee.claim.granted = ledger.granted_to(now, *id);
        }
        let claims: Vec<Claim> = self.lessees.values().map(|lessee| lessee.claim).collect();
        let granted: u32 = claims.iter().map(|claim| claim.granted).sum();
        // Grants to lessees that no longer send requests stay in place until they expire.
        let other_grants = self.ledger.granted(now) - granted;
        let idle = self.grantable(now).saturating_sub(other_grants);
        let units_to_divide = if self.is_exhausted(now) {
            idle
        } else {
            idle.max(granted)
        };
        let units = next_grants(units_to_divide, &claims);
        let lessees = self.lessees.keys().zip(units);
        lessees
            .map(|(lessee, units)| Target {
                lessee: *lessee,
                units,
            })
            .collect()
    }

    pub(super) fn handle_request(
        &mut self,
        now: Timestamp,
        from: IncarnationId,
        request: &LeaseRequest,
        out: &mut Outbox,
    ) {
        self.record_claim(now, from, request);
        let targets = self.targets(now);
        let target = targets
            .iter()
            .find(|t| t.lessee == from)
            .map_or(0, |t| t.units);
        let LeaseRequest {
            request_id, units, ..
        } = *request;
        let granted = self
            .ledger
            .answer_request(now, from, request_id, units.min(target));
        let Some(units) = granted else {
            return;
        };
        let beyond_grant = self.ledger.max_grant(now, from).saturating_sub(units);
        let available = self.idle_units(now).min(beyond_grant);
        let budget_hash = self.name_hash;
        let grant = LeaseGrant {
            budget_hash,
            request_id,
            units,
            available,
        };
        out.push(Outgoing {
            to: from,
            message: Message::LeaseGrant(grant),
        });
        if units > 0 {
            self.change_cause = ChangeCause::Granted;
        }
    }

    fn record_claim(&mut self, now: Timestamp, from: IncarnationId, request: &LeaseRequest) {
        let max_units = self.settings.capacity;
        let claim = Claim {
            other_units: request.other_units.min(max_units),
            demand: request.demand.min(max_units),
            weight: sanitize_weight(request.weight),
            granted: 0,
        };
        let former_record = self.lessees.get(&from);
        let record = LesseeRecord {
            claim,
            requested_at: now,
            recalled_at: former_record.and_then(|lessee| lessee.recalled_at),
            offered_at: former_record.and_then(|lessee| lessee.offered_at),
        };
        self.lessees.insert(from, record);
    }

    pub(super) fn handle_return(
        &mut self,
        now: Timestamp,
        from: IncarnationId,
        returned: &LeaseReturn,
    ) {
        let granted = self.ledger.granted(now);
        self.ledger
            .handle_return(from, returned.request_id, returned.kept_units);
        if self.ledger.granted(now) < granted {
            self.change_cause = ChangeCause::Returned;
        }
    }
}
