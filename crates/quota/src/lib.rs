//! Quotas for a fleet of servers: budgets that limit the upstream calls in flight over the whole
//! fleet, and replicated counters whose estimates have an error bound.
//!
//! A budget's capacity is divided into base quotas, one for each server that the fleet may have.
//! A server with idle units leases them to servers with demand. The calls in flight never exceed
//! the capacity, even if datagrams are lost, delayed or duplicated, or servers crash or pause: see
//! [`ledger`].
//!
//! [`FleetQuotas`] is the state machine of one server. It owns the budgets and the counters. Its
//! inputs are the time, a random seed, the membership view of `madderbay_membership` and
//! datagrams; its output is datagrams to send. It does no I/O.
//!
//! ```
//! use madderbay::time::{Duration, Timestamp};
//! use madderbay_quota::{BudgetSettings, FleetQuotas, LeaseTerms, Peer, Settings};
//! let ms = Duration::from_millis;
//! let terms = LeaseTerms { lease: ms(1_000), max_call: ms(500), guard: ms(50) };
//! let settings = |name: &str, incarnation| Settings {
//!     name: name.into(),
//!     incarnation,
//!     budgets: vec![BudgetSettings {
//!         name: "trip-book".into(),
//!         capacity: 8,
//!         max_servers: 2,
//!         slot: Some(incarnation as u32),
//!         weight: 1.0,
//!         terms,
//!     }],
//!     counters: vec![],
//! };
//! let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
//! let mut a = FleetQuotas::new(at(0), 1, settings("a", 1));
//! let mut b = FleetQuotas::new(at(0), 2, settings("b", 2));
//! let peer = |name: &str| vec![Peer { name: name.into(), incarnation: 1, active: true }];
//! a.set_view(at(0), 1, peer("b"));
//! b.set_view(at(0), 1, peer("a"));
//! // A new incarnation uses its base quota once all grants of the former one have expired.
//! assert_eq!(a.budgets()[0].usable(at(0)), 0);
//! let usable_from = at(0) + terms.lessor_hold();
//! assert_eq!(a.budgets()[0].usable(usable_from), 4);
//! // Only server a has demand, so server b leases all of its units to it.
//! a.budgets_mut()[0].set_waiting(usable_from, 8);
//! for step in 0..5 {
//!     let now = usable_from + ms(step * 100);
//!     a.handle_timeout(now);
//!     a.take_datagrams().iter().for_each(|d| b.handle_datagram(now, &"a".into(), &d.1));
//!     b.handle_timeout(now);
//!     b.take_datagrams().iter().for_each(|d| a.handle_datagram(now, &"b".into(), &d.1));
//! }
//! assert_eq!(a.budgets()[0].usable(usable_from + ms(500)), 8);
//! assert_eq!(b.budgets()[0].usable(usable_from + ms(500)), 0);
//! ```

/// Budgets: decide when to request, grant, recall and return units.
pub mod budget;
mod clock_drift;
/// Replicated counters: per-key counts over the whole fleet, with error bounds.
pub mod counter;
mod fleet_quotas;
mod ids;
/// Ledgers: enforce that the fleet never exceeds the capacity of a budget.
pub mod ledger;
mod message;
mod water_filling;

pub use budget::{BudgetSettings, ChangeCause};
pub use counter::{CountEstimate, CounterSettings};
pub use fleet_quotas::{BudgetEvent, BudgetView, FleetQuotas, Peer, Settings, Totals};
pub use ids::{BudgetId, CounterId};
pub use ledger::LeaseTerms;
pub use message::{CounterSnapshot, KeyCounts, name_hash};
