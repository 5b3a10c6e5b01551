//! What the servers of a fleet share: budgets of calls in hand below, which the whole fleet never passes, and
//! counts, each answer with its bound. No I/O: time, chance, the view of [`madderbay_membership`] and datagrams
//! are passed in.
//!
//! A budget is divided into birthrights, one for each of the most servers there may be; what lies idle is lent
//! by leases to whom has work. Whatever is lost, late or doubled, whoever crashes or is paused, no more calls
//! than the whole are in hand: see [`ledger`].
//!
//! ```
//! use madderbay::time::{Duration, Timestamp};
//! use madderbay_quota::{BudgetSettings, Peer, Settings, Shared, Terms};
//! let ms = Duration::from_millis;
//! let terms = Terms { lease: ms(1_000), longest: ms(500), guard: ms(50) };
//! let set = |name: &str, life| Settings {
//!     name: name.into(),
//!     life,
//!     budgets: vec![BudgetSettings {
//!         name: "trip-book".into(),
//!         whole: 8,
//!         servers: 2,
//!         seat: Some(life as u32),
//!         weight: 1.0,
//!         terms,
//!     }],
//!     counts: vec![],
//! };
//! let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
//! let (mut a, mut b) = (Shared::new(at(0), 1, set("a", 1)), Shared::new(at(0), 2, set("b", 2)));
//! let peer = |name: &str| vec![Peer { name: name.into(), life: 1, active: true }];
//! a.view(at(0), 1, peer("b"));
//! b.view(at(0), 1, peer("a"));
//! // A new life waits until all that a former one may have lent is over; then each has its birthright.
//! assert_eq!(a.budgets[0].ledger.usable(at(0)), 0);
//! let begun = at(0) + terms.held();
//! assert_eq!(a.budgets[0].ledger.usable(begun), 4);
//! // Only a has work: b lends it all that it has.
//! a.budgets[0].wait(begun, 8);
//! for step in 0..5 {
//!     let now = begun + ms(step * 100);
//!     a.turn(now);
//!     a.outgoing().iter().for_each(|d| b.received(now, &"a".into(), &d.1));
//!     b.turn(now);
//!     b.outgoing().iter().for_each(|d| a.received(now, &"b".into(), &d.1));
//! }
//! assert_eq!(a.budgets[0].ledger.usable(begun + ms(500)), 8);
//! assert_eq!(b.budgets[0].ledger.usable(begun + ms(500)), 0);
//! ```

pub mod budget;
pub mod counter;
mod fair;
pub mod ledger;
mod shared;
mod wire;

pub use budget::{Cause, Settings as BudgetSettings};
pub use counter::{CountEstimate, CounterSettings};
pub use ledger::LeaseTerms;
pub use shared::{BudgetView, Change, FleetQuotas, Peer, Settings, Totals};
pub use wire::{Cell, name_hash};
