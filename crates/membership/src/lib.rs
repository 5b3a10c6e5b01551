//! The view that each server keeps of its fleet: who is in, since which life, and how much is
//! heard. SWIM by foca; above it lives, phases, own lateness, healing, rosters and a judgement. No
//! I/O: time, chance and datagrams are passed in.
//!
//! ```
//! use madderbay::time::{Duration, Timestamp};
//! use madderbay_membership::{Hears, Members, Networks, Settings};
//! let set = |n: u16| Settings {
//!     name: format!("n{n}").into(),
//!     advertise: ([127, 0, 0, 1], n).into(),
//!     zone: "north".into(),
//!     fleet: "bookings".into(),
//!     join: vec![([127, 0, 0, 1], 1).into()],
//!     networks: Networks::of(["127.0.0.0/8".parse().unwrap()]),
//!     most: 100,
//!     probe: Duration::from_millis(500),
//!     answer: Duration::from_millis(200),
//!     suspicion: Duration::from_millis(3_000),
//!     memory: Duration::from_millis(60_000),
//!     minds_itself: true,
//! };
//! let now = Timestamp::from_micros(1_000_000);
//! let mut a = Members::new(now, 1_764_576_000_000, 1, set(1));
//! let mut b = Members::new(now, 1_764_576_000_000, 2, set(2));
//! b.turn(now);
//! // What each sends reaches the other, until nothing is left to say.
//! loop {
//!     let to_a = b.outgoing();
//!     to_a.iter().for_each(|d| a.handle_datagram(now, ([127, 0, 0, 1], 2).into(), &d.1));
//!     let to_b = a.outgoing();
//!     to_b.iter().for_each(|d| b.handle_datagram(now, ([127, 0, 0, 1], 1).into(), &d.1));
//!     if to_a.is_empty() && to_b.is_empty() {
//!         break;
//!     }
//! }
//! assert_eq!((a.hears(), b.hears()), (Hears::Whole, Hears::Whole));
//! assert_eq!(a.digest(), b.digest());
//! ```

mod anti_entropy;
mod connectivity;
mod counters;
mod datagram;
mod error;
mod identity;
mod local_health;
mod members;
mod name_claim;
mod networks;
mod reconnect;
mod settings;
mod swim;
mod view;

pub use connectivity::{Connectivity, ConnectivityEvidence, ConnectivityStatus};
pub use counters::{Counters, RejectionCounters};
pub use datagram::{DatagramKind, MAX_DATAGRAM_BYTES, Subsystem, inspect_datagram};
pub use error::DatagramError;
pub use identity::{IdentityVersion, MAX_NAME_BYTES, MemberIdentity, Phase, is_valid_name};
pub use members::{MAX_SUBSYSTEM_PAYLOAD_BYTES, Membership};
pub use networks::AllowedNetworks;
pub use settings::Settings;
pub use view::{MemberState, MemberView, MembershipEvent, View, Why};
