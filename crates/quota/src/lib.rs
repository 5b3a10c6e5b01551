//! Quotas of a fleet of servers: budgets of calls in flight upstream, which the fleet as a whole
//! never exceeds, and replicated counters, whose estimates have an error bound.
//!
//! A budget's capacity is divided into base quotas, one for each of the servers that the fleet
//! may have. A server leases its idle units to servers with demand. Whatever datagrams are lost,
//! delayed or doubled, and whichever servers crash or pause, no more calls than the capacity are
//! in flight: see [`ledger`].
//!
//! [`FleetQuotas`] is the state machine of one server. It owns the budgets and the counters; it
//! is given the time, a random seed, the view of `madderbay_membership` and datagrams, and
//! returns datagrams to send. It never does I/O.
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
//! // A new incarnation waits until all grants of a former one are over, then uses its base quota.
//! assert_eq!(a.budgets()[0].usable(at(0)), 0);
//! let begun = at(0) + terms.lessor_hold();
//! assert_eq!(a.budgets()[0].usable(begun), 4);
//! // Only a has demand: b leases it all units that it has.
//! a.budgets_mut()[0].set_waiting(begun, 8);
//! for step in 0..5 {
//!     let now = begun + ms(step * 100);
//!     a.handle_timeout(now);
//!     a.take_datagrams().iter().for_each(|d| b.handle_datagram(now, &"a".into(), &d.1));
//!     b.handle_timeout(now);
//!     b.take_datagrams().iter().for_each(|d| a.handle_datagram(now, &"b".into(), &d.1));
//! }
//! assert_eq!(a.budgets()[0].usable(begun + ms(500)), 8);
//! assert_eq!(b.budgets()[0].usable(begun + ms(500)), 0);
//! ```

/// Budgets: decisions on requests, grants and returns.
pub mod budget;
mod clock_drift;
/// Replicated counters.
pub mod counter;
mod fleet_quotas;
mod ids;
/// Ledgers: the invariant behind the budgets.
pub mod ledger;
mod message;
mod water_filling;

pub use budget::{BudgetSettings, ChangeCause};
pub use counter::{CountEstimate, CounterSettings};
pub use fleet_quotas::{BudgetEvent, BudgetView, FleetQuotas, Peer, Settings, Totals};
pub use ids::{BudgetId, CounterId};
pub use ledger::LeaseTerms;
pub use message::{CounterSnapshot, KeyCounts, name_hash};
