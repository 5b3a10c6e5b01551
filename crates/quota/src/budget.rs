//! One budget on one server: tracks the demand and decides from which servers to lease units, to
//! which servers to grant them, and when to return them.
//!
//! The inputs of these decisions are the time, the peers and their messages, and the starts and
//! ends of calls. How many units may be used is not decided here but by
//! [`Ledger`](crate::ledger::Ledger), which keeps the fleet within the capacity whatever the
//! decisions of this module are.

mod demand;
mod lessee;
mod lessor;
mod settings;

use crate::ledger::{IncarnationId, Ledger};
use crate::message::{Message, name_hash};
use demand::DemandTracker;
use lessee::LessorDirectory;
use lessor::LesseeRecord;
use madderbay::time::{Duration, Timestamp};
pub use settings::BudgetSettings;
use std::collections::BTreeMap;

/// Time for which leased units must exceed the demand with its headroom before they are returned.
const MIN_IDLE_BEFORE_RETURN: Duration = Duration::from_millis(300);

/// A message to a peer.
pub(crate) struct Outgoing {
    pub(crate) to: IncarnationId,
    pub(crate) message: Message,
}

/// Messages to send, in order.
pub(crate) type Outbox = Vec<Outgoing>;

/// Cause of a change of the usable units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeCause {
    /// Units were leased from other servers.
    Leased,
    /// Units were granted to other servers.
    Granted,
    /// Leased or granted units were returned.
    Returned,
    /// A lease was not renewed, or a grant expired.
    Expired,
    /// The wait after the start of the server ended.
    StartupWaitOver,
    /// The operator changed the capacity, or the fleet has more servers than it is configured for.
    Reconfigured,
}

impl std::fmt::Display for ChangeCause {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            ChangeCause::Leased => "leased",
            ChangeCause::Granted => "granted",
            ChangeCause::Returned => "returned",
            ChangeCause::Expired => "lease-expired",
            ChangeCause::StartupWaitOver => "startup-wait-over",
            ChangeCause::Reconfigured => "reconfigured",
        })
    }
}

/// A change of the units that a budget may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UsableChange {
    pub(crate) before: u32,
    pub(crate) after: u32,
    pub(crate) cause: ChangeCause,
}

/// State of one budget on this server.
pub struct Budget {
    settings: BudgetSettings,
    name_hash: u32,
    ledger: Ledger,
    demand: DemandTracker,
    /// Whether a peer waits for a message that must be sent before the next tick.
    is_urgent: bool,
    /// Since when the usable units, some of them leased, have exceeded the demand.
    excess_since: Option<Timestamp>,
    lessees: BTreeMap<IncarnationId, LesseeRecord>,
    lessors: LessorDirectory,
    last_contact: Option<Timestamp>,
    /// Usable units at the last report.
    reported_usable: u32,
    /// Cause of the change of the usable units since the last report.
    change_cause: ChangeCause,
}

impl Budget {
    /// Creates a budget whose base quota is usable from `usable_from` on.
    pub fn new(now: Timestamp, usable_from: Timestamp, settings: BudgetSettings) -> Budget {
        Budget {
            name_hash: name_hash(&settings.name),
            ledger: Ledger::new(settings.terms, settings.base_quota(), usable_from),
            demand: DemandTracker::new(now),
            is_urgent: false,
            excess_since: None,
            lessees: BTreeMap::new(),
            lessors: LessorDirectory::default(),
            last_contact: None,
            reported_usable: 0,
            change_cause: ChangeCause::StartupWaitOver,
            settings,
        }
    }

    /// Returns the ledger, which accounts for the units that may be used.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the settings of the budget.
    pub fn settings(&self) -> &BudgetSettings {
        &self.settings
    }

    /// Applies changed settings, except the lease terms and the slot.
    pub(crate) fn reconfigure(&mut self, settings: &BudgetSettings) {
        let BudgetSettings { terms, slot, .. } = self.settings;
        self.settings = BudgetSettings {
            terms,
            slot,
            ..settings.clone()
        };
    }

    /// Replaces the base quota: see [`Ledger::set_base_quota`].
    pub(crate) fn set_base_quota(&mut self, units: u32, usable_from: Option<Timestamp>) {
        self.ledger.set_base_quota(units, usable_from);
        self.change_cause = ChangeCause::Reconfigured;
    }

    /// Returns the hash of the name, which identifies the budget in messages.
    pub(crate) fn name_hash(&self) -> u32 {
        self.name_hash
    }

    /// Reports whether a peer waits for a message that must be sent before the next tick.
    pub(crate) fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Returns when the latest message of any peer arrived.
    pub(crate) fn last_contact(&self) -> Option<Timestamp> {
        self.last_contact
    }

    /// Reports whether the ledger has a record of grants to, or leases from, a peer.
    pub(crate) fn remembers(&self, peer: IncarnationId) -> bool {
        self.ledger.remembers(peer)
    }

    /// Returns the number of calls in flight below which a further call may be started.
    pub fn usable(&self, now: Timestamp) -> u32 {
        self.ledger.usable(now)
    }

    /// Returns the calls in flight.
    pub fn in_use(&self) -> u32 {
        self.ledger.in_use()
    }

    /// Reports whether one more call may be started.
    pub fn may_start(&self, now: Timestamp) -> bool {
        self.ledger.may_start(now)
    }

    /// Counts a started call.
    pub fn call_started(&mut self, now: Timestamp) {
        self.ledger.call_started();
        self.update_demand(now);
    }

    /// Counts the end of a call.
    pub fn call_ended(&mut self, now: Timestamp) {
        self.ledger.call_ended();
        self.update_demand(now);
        let has_returns = self.ledger.has_returns(now);
        let has_unsatisfied_lessee = self.lessees.values().any(LesseeRecord::is_unsatisfied);
        let has_idle_units = self.grantable(now) > self.ledger.granted(now);
        self.is_urgent |= has_returns || has_unsatisfied_lessee && has_idle_units;
    }

    /// Sets the number of calls that wait for a unit or are expected to wait for one.
    pub fn set_waiting(&mut self, now: Timestamp, calls: u32) {
        let waiting_increased = self.demand.set_waiting(calls);
        self.update_demand(now);
        let must_recall = self.is_exhausted(now) && self.ledger.granted(now) > 0;
        self.is_urgent |= waiting_increased && must_recall;
    }

    /// Returns the calls that this server has in flight or wants to start, with some headroom.
    pub fn demand(&self) -> u32 {
        self.demand.with_headroom(self.settings.capacity)
    }

    /// Returns an upper bound on the time until a unit becomes free when none is free now.
    pub fn until_capacity(&self, now: Timestamp) -> Duration {
        let until_usable = self.ledger.usable_from() - now;
        if until_usable > Duration::ZERO && self.ledger.usable(now) == 0 {
            until_usable
        } else {
            self.settings.terms.lease.mul_f64(0.5)
        }
    }

    /// Returns the change of the usable units since the previous call of this function, if any.
    pub(crate) fn take_change(&mut self, now: Timestamp) -> Option<UsableChange> {
        let after = self.ledger.usable(now);
        let cause = std::mem::replace(&mut self.change_cause, ChangeCause::Expired);
        let before = std::mem::replace(&mut self.reported_usable, after);
        (before != after).then_some(UsableChange {
            before,
            after,
            cause,
        })
    }

    /// Does the periodic work: recalls, offers, returns, renewals and requests. `peers` are the
    /// active peers.
    pub(crate) fn tick(&mut self, now: Timestamp, peers: &[IncarnationId], out: &mut Outbox) {
        self.send_urgent(now, out);
        let lease = self.settings.terms.lease;
        self.lessees
            .retain(|_, lessee| now - lessee.requested_at < lease);
        let demand = self.demand();
        let usable = self.ledger.usable(now);
        self.return_excess(now, demand, usable);
        self.renew_leases(now, out);
        if demand > usable {
            self.request_units(now, demand - usable, peers, out);
        }
    }

    /// Sends the messages that peers wait for: recalls, offers and returns.
    pub(crate) fn send_urgent(&mut self, now: Timestamp, out: &mut Outbox) {
        self.is_urgent = false;
        self.update_demand(now);
        self.rebalance(now, out);
        self.send_returns(now, out);
    }

    /// Handles a message from an active peer.
    pub(crate) fn handle_message(
        &mut self,
        now: Timestamp,
        from: IncarnationId,
        message: &Message,
        out: &mut Outbox,
    ) {
        self.update_demand(now);
        self.last_contact = Some(now);
        match message {
            Message::LeaseRequest(request) => self.handle_request(now, from, request, out),
            Message::LeaseGrant(grant) => self.handle_grant(now, from, grant),
            Message::LeaseReturn(returned) => self.handle_return(now, from, returned),
            Message::LeaseRecall(recall) => self.handle_recall(now, from, recall),
            Message::UnitsAvailable(offer) => self.handle_offer(now, from, offer, out),
            Message::CounterPoll(_) | Message::CounterReply(_) => {}
        }
    }

    /// Removes the peers for which `is_gone` returns true; from the ledger only once they have no
    /// outstanding grants or open leases.
    pub(crate) fn forget(&mut self, now: Timestamp, is_gone: impl Fn(IncarnationId) -> bool) {
        self.lessees.retain(|id, _| !is_gone(*id));
        self.lessors.forget(&is_gone);
        self.ledger.forget(now, is_gone);
    }

    fn update_demand(&mut self, now: Timestamp) {
        self.demand.update(now, self.ledger.in_use());
    }

    fn return_excess(&mut self, now: Timestamp, demand: u32, usable: u32) {
        let needed = demand.max(self.ledger.in_use());
        if usable <= needed || self.ledger.leased(now) == 0 {
            self.excess_since = None;
            return;
        }
        let since = *self.excess_since.get_or_insert(now);
        if now - since >= MIN_IDLE_BEFORE_RETURN {
            self.release_units(now, usable - needed);
        }
    }

    /// Reports whether the calls in flight and waiting need all usable units, so that a further
    /// call would find none. Grants are recalled only then; otherwise short bursts of work would
    /// move the same units back and forth.
    fn is_exhausted(&self, now: Timestamp) -> bool {
        self.ledger.in_use() + self.demand.waiting() >= self.ledger.usable(now)
    }
}
