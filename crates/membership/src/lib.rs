//! Fleet membership: the view that each server has of the other servers.
//!
//! [`Membership`] maintains the view of one server. Failure detection and the dissemination of
//! updates follow the SWIM protocol and are implemented by the foca crate. This crate adds
//! identities that survive restarts, lifecycle phases, local health awareness, anti-entropy by
//! rosters, reconnection after partitions and a connectivity level.
//!
//! It performs no I/O: callers pass in the time, a random seed and received datagrams, and take out
//! datagrams to send, timer deadlines and events.
//!
//! ```
//! use madderbay::time::{Duration, Timestamp};
//! use madderbay_membership::{AllowedNetworks, Connectivity, Membership, Settings};
//! let settings = |n: u16| Settings {
//!     name: format!("n{n}").into(),
//!     advertise: ([127, 0, 0, 1], n).into(),
//!     zone: "north".into(),
//!     fleet: "bookings".into(),
//!     join: vec![([127, 0, 0, 1], 1).into()],
//!     allowed_networks: AllowedNetworks::new(["127.0.0.0/8".parse().unwrap()]),
//!     max_members: 100,
//!     probe_interval: Duration::from_millis(500),
//!     probe_timeout: Duration::from_millis(200),
//!     suspicion_timeout: Duration::from_millis(3_000),
//!     down_retention: Duration::from_millis(60_000),
//!     local_health_aware: true,
//! };
//! let now = Timestamp::from_micros(1_000_000);
//! let mut a = Membership::new(now, 1_764_576_000_000, 1, settings(1));
//! let mut b = Membership::new(now, 1_764_576_000_000, 2, settings(2));
//! b.handle_timeout(now);
//! // Deliver all datagrams until neither server sends any more.
//! loop {
//!     let to_a = b.take_outgoing();
//!     to_a.iter().for_each(|(_, bytes)| a.handle_datagram(now, ([127, 0, 0, 1], 2).into(), bytes));
//!     let to_b = a.take_outgoing();
//!     to_b.iter().for_each(|(_, bytes)| b.handle_datagram(now, ([127, 0, 0, 1], 1).into(), bytes));
//!     if to_a.is_empty() && to_b.is_empty() {
//!         break;
//!     }
//! }
//! assert_eq!((a.connectivity(), b.connectivity()), (Connectivity::Complete, Connectivity::Complete));
//! assert_eq!(a.digest(), b.digest());
//! ```

mod anti_entropy;
mod connectivity;
mod counters;
mod datagram;
mod datagram_size;
mod digest;
mod error;
mod event;
mod identity;
mod local_health;
mod member_table;
mod membership;
mod name_claim;
mod networks;
mod notice_limit;
mod probe_retry;
mod reconnect;
mod settings;
mod swim;
mod swim_packet;
#[cfg(test)]
mod tests;
mod timer_queue;
mod view;

pub use connectivity::{Connectivity, ConnectivityEvidence, ConnectivityStatus};
pub use counters::{Counters, RejectionCounters};
pub use datagram::{DatagramKind, Subsystem, inspect_datagram};
pub use datagram_size::{MAX_DATAGRAM_BYTES, MAX_SUBSYSTEM_PAYLOAD_BYTES};
pub use error::DatagramError;
pub use event::{ChangeReason, MembershipEvent};
pub use identity::{IdentityVersion, MAX_NAME_BYTES, MemberIdentity, Phase, is_valid_name};
pub use membership::{Membership, ReceivedMessage};
pub use networks::AllowedNetworks;
pub use settings::Settings;
pub use view::{MemberState, MemberView, View};
