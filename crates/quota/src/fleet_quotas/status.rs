//! Status reports: events for the log, the state of the budgets, and totals.

use crate::budget::{Budget, ChangeCause, UsableChange};
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};

/// A change of a budget's usable units, reported in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetEvent {
    /// Name of the budget.
    pub budget: CompactString,
    /// Usable units before the change.
    pub usable_before: u32,
    /// Usable units after the change.
    pub usable_after: u32,
    /// Cause of the change.
    pub cause: ChangeCause,
    /// Units granted to other servers after the change.
    pub granted: u32,
    /// Units leased from other servers after the change.
    pub leased: u32,
}

impl BudgetEvent {
    pub(super) fn new(now: Timestamp, budget: &Budget, change: UsableChange) -> BudgetEvent {
        BudgetEvent {
            budget: budget.settings().name.clone(),
            usable_before: change.before,
            usable_after: change.after,
            cause: change.cause,
            granted: budget.ledger().granted(now),
            leased: budget.ledger().leased(now),
        }
    }
}

/// Formats the event and the values of the log line, as quoted in the operators' documentation.
impl std::fmt::Display for BudgetEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let BudgetEvent {
            budget,
            usable_before,
            usable_after,
            cause,
            granted,
            leased,
        } = self;
        write!(
            f,
            "usable calls changed, budget={budget}, from={usable_before}, to={usable_after}, \
             granted={granted}, leased={leased}, cause={cause}"
        )
    }
}

/// The state of a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetView {
    /// Name of the budget.
    pub name: CompactString,
    /// Calls that the whole fleet may have in flight.
    pub capacity: u32,
    /// Base quota in units; 0 until it is usable.
    pub base_quota: u32,
    /// Units granted to other servers.
    pub granted: u32,
    /// Units leased from other servers.
    pub leased: u32,
    /// Calls that may be in flight on this server.
    pub usable: u32,
    /// Calls in flight on this server.
    pub in_use: u32,
    /// Calls that this server has in flight or wants to start, with some headroom.
    pub demand: u32,
    /// Time since the latest message about this budget arrived from any server.
    pub since_contact: Option<Duration>,
    /// Time until the base quota is usable.
    pub until_usable: Duration,
}

impl BudgetView {
    pub(super) fn new(now: Timestamp, budget: &Budget) -> BudgetView {
        let settings = budget.settings();
        let ledger = budget.ledger();
        BudgetView {
            name: settings.name.clone(),
            capacity: settings.capacity,
            base_quota: ledger.base_quota(now),
            granted: ledger.granted(now),
            leased: ledger.leased(now),
            usable: ledger.usable(now),
            in_use: ledger.in_use(),
            demand: budget.demand(),
            since_contact: budget.last_contact().map(|at| now - at),
            until_usable: ledger.usable_from() - now,
        }
    }
}

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// Datagrams received.
    pub datagrams_received: u64,
    /// Datagrams that could not be decoded.
    pub datagrams_rejected: u64,
    /// Lease messages addressed to another incarnation of this server, plus datagrams that were
    /// dropped because there were too many incarnations.
    pub misdirected: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Events that were dropped because too many were waiting to be logged.
    pub events_dropped: u64,
}
