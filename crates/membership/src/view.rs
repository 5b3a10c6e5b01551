//! What a view says: states, changes with their evidence, and the whole of it for who asks.

use crate::connectivity::ConnectivityStatus;
use crate::identity::{MemberIdentity, Phase};
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::fmt;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    Joining,
    Alive,
    Suspect,
    Draining,
    Down,
    Left,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            MemberState::Joining => "joining",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Draining => "draining",
            MemberState::Down => "down",
            MemberState::Left => "left",
        })
    }
}

/// How one server is held, beside what it says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Held {
    In,
    Suspect,
    Down,
}

/// One other server, as this one sees it. All times are the own clock's.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub id: MemberIdentity,
    pub incarnation: u16,
    pub held: Held,
    pub since: Timestamp,
    /// When it was itself heard last, if ever.
    pub heard: Option<Timestamp>,
    /// How far it says that it was held up of late.
    pub held_up: u8,
}

impl Row {
    pub fn active(&self) -> bool {
        self.held != Held::Down
    }

    pub fn state(&self) -> MemberState {
        match (self.held, self.id.phase) {
            (Held::Down, Phase::Left) => MemberState::Left,
            (Held::Down, _) => MemberState::Down,
            (Held::Suspect, _) => MemberState::Suspect,
            (Held::In, Phase::Joining) => MemberState::Joining,
            (Held::In, Phase::Draining) => MemberState::Draining,
            (Held::In, _) => MemberState::Alive,
        }
    }

    /// Its part of the digest: who is in, since which life, and how far.
    pub fn mark(&self) -> u64 {
        if self.active() { mark(&self.id) } else { 0 }
    }
}

pub(crate) fn mark(id: &MemberIdentity) -> u64 {
    let seed = id.incarnation.wrapping_mul(4).wrapping_add(id.phase as u64);
    xxhash_rust::xxh3::xxh3_64_with_seed(id.name.as_bytes(), seed)
}

/// Parts of a digest: of a thousand members a part holds sixteen, which a datagram carries.
pub(crate) const PARTS: usize = 64;

/// The digest of a view, of all of it and by parts: what differs between two views is in the parts
/// that do.
#[derive(Clone)]
pub(crate) struct Marks {
    pub all: u64,
    pub parts: [u32; PARTS],
}

impl Default for Marks {
    fn default() -> Marks {
        Marks {
            all: 0,
            parts: [0; PARTS],
        }
    }
}

impl Marks {
    pub fn part(name: &str) -> usize {
        xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as usize % PARTS
    }

    /// Puts a member's mark in, or takes it out again.
    pub fn flip(&mut self, name: &str, mark: u64) {
        self.all ^= mark;
        self.parts[Marks::part(name)] ^= (mark >> 32) as u32;
    }
}

/// Why something changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Why {
    /// It spoke, or was spoken of.
    Met,
    /// Neither it nor those asked for it answered, here or elsewhere.
    Unanswered { heard: Option<Duration> },
    /// The suspicion was not refuted in its time.
    Unrefuted { heard: Option<Duration> },
    /// It said so itself.
    Said,
    /// It refuted the suspicion.
    Refuted,
    /// It was held down, and lives.
    Lives,
    /// It came back under its name.
    NewLife { from: u64, to: u64 },
}

fn ago(f: &mut fmt::Formatter, heard: Option<Duration>) -> fmt::Result {
    match heard {
        Some(span) => write!(f, "heard itself {} ms ago", span.as_micros() / 1_000),
        None => f.write_str("never heard itself"),
    }
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Why::Met => f.write_str("met"),
            Why::Unanswered { heard } => {
                f.write_str("does not answer, ")?;
                ago(f, *heard)
            }
            Why::Unrefuted { heard } => {
                f.write_str("did not refute it, ")?;
                ago(f, *heard)
            }
            Why::Said => f.write_str("says so"),
            Why::Refuted => f.write_str("refuted it"),
            Why::Lives => f.write_str("was held down and lives"),
            Why::NewLife { from, to } => write!(f, "life {to} after {from}"),
        }
    }
}

/// A change of the view, for the log.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    StateChanged {
        name: CompactString,
        address: SocketAddr,
        from: Option<MemberState>,
        to: MemberState,
        why: Why,
    },
    Hears(ConnectivityStatus, Timestamp),
    /// The own process was held up for so long.
    HeldUp(Duration),
    /// An earlier life of this server, or one under its name that is over, stands ahead of its
    /// clock.
    Past {
        life: u64,
    },
    /// Others held this server down; it goes on as another turn of its life.
    Renewed {
        turn: u32,
    },
    /// Another server lives under this one's name; this one keeps silent while that lives.
    Taken {
        by: SocketAddr,
    },
    Regained,
}

impl fmt::Display for MembershipEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            MembershipEvent::StateChanged {
                name,
                address,
                from,
                to,
                why,
            } => {
                let from = from.map_or("unknown".into(), |s| s.to_string());
                write!(f, "{name} at {address}: {from} to {to}: {why}")
            }
            MembershipEvent::Hears(j, now) => {
                let e = &j.evidence;
                write!(
                    f,
                    "hears {}: {} in, {} missing, last word ",
                    j.level, e.active, e.missing
                )?;
                match e.last_received {
                    Some(last) => write!(f, "{} ms ago", (*now - last).as_micros() / 1_000),
                    None => f.write_str("never"),
                }
            }
            MembershipEvent::HeldUp(span) => {
                write!(
                    f,
                    "held up for {} ms; accuses nobody for a while",
                    span.as_micros() / 1_000
                )
            }
            MembershipEvent::Past { life } => write!(
                f,
                "life {life} stands under this name; this one begins past it"
            ),
            MembershipEvent::Renewed { turn } => {
                write!(f, "held down by others; goes on as turn {turn}")
            }
            MembershipEvent::Taken { by } => {
                write!(f, "this name is taken by {by}; silent while that lives")
            }
            MembershipEvent::Regained => f.write_str("this name is free again"),
        }
    }
}

/// One server in a view. Spans are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    pub name: CompactString,
    pub state: MemberState,
    pub zone: CompactString,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub revision: u32,
    /// Since it was itself heard; nothing where it never was, or is this server.
    pub last_received_ms: Option<u64>,
    pub health_score: u8,
}

/// The whole of it, this server among them, by name.
#[derive(Clone, Debug)]
pub struct View {
    pub name: CompactString,
    pub connectivity: ConnectivityStatus,
    pub since_ms: u64,
    pub last_received_ms: Option<u64>,
    pub digest: u64,
    pub members: Vec<MemberView>,
}
