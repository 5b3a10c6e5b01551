//! Changes of the view, for the log. The displayed lines are quoted by the operators' pages.

use crate::connectivity::ConnectivityStatus;
use crate::view::MemberState;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::fmt;
use std::net::SocketAddr;

/// Why a member's state changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeReason {
    /// The member is new to the view.
    Discovered,
    /// Neither the member nor those asked to probe it answered, here or at another server.
    ProbeFailed {
        /// Time since the member's last datagram; nothing if none arrived.
        since_received: Option<Duration>,
    },
    /// The member did not refute the suspicion in time.
    SuspicionExpired {
        /// Time since the member's last datagram; nothing if none arrived.
        since_received: Option<Duration>,
    },
    /// The member announced it.
    Announced,
    /// The member refuted the suspicion.
    Refuted,
    /// The member was down and is active again.
    Recovered,
    /// The member was restarted.
    Restarted {
        /// The former incarnation.
        from: u64,
        /// The new incarnation.
        to: u64,
    },
}

fn write_since_received(f: &mut fmt::Formatter, since_received: Option<Duration>) -> fmt::Result {
    match since_received {
        Some(duration) => write!(f, "heard itself {} ms ago", duration.as_micros() / 1_000),
        None => f.write_str("never heard itself"),
    }
}

impl fmt::Display for ChangeReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ChangeReason::Discovered => f.write_str("met"),
            ChangeReason::ProbeFailed { since_received } => {
                f.write_str("does not answer, ")?;
                write_since_received(f, *since_received)
            }
            ChangeReason::SuspicionExpired { since_received } => {
                f.write_str("did not refute it, ")?;
                write_since_received(f, *since_received)
            }
            ChangeReason::Announced => f.write_str("says so"),
            ChangeReason::Refuted => f.write_str("refuted it"),
            ChangeReason::Recovered => f.write_str("was held down and lives"),
            ChangeReason::Restarted { from, to } => write!(f, "life {to} after {from}"),
        }
    }
}

/// A change of the view or of this server's part in it.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// A member's state, or its incarnation, changed.
    StateChanged {
        /// Name of the member.
        name: CompactString,
        /// Address of the member.
        address: SocketAddr,
        /// The former state; nothing if the member is new to the view.
        from: Option<MemberState>,
        /// The new state.
        to: MemberState,
        /// The cause.
        reason: ChangeReason,
    },
    /// The level of connectivity changed.
    ConnectivityChanged {
        /// The new level with its evidence.
        status: ConnectivityStatus,
        /// Time of the change.
        at: Timestamp,
    },
    /// This process was paused; it suspects nobody for some time.
    Paused {
        /// How late the process was.
        duration: Duration,
    },
    /// A former incarnation under this server's name has a higher value; this server moved past it.
    IncarnationSuperseded {
        /// The former incarnation.
        incarnation: u64,
    },
    /// Others declared this server down; it continues with another revision.
    IdentityRenewed {
        /// The new revision.
        revision: u32,
    },
    /// Another server owns this server's name; this server is silent while that server runs.
    NameConflict {
        /// Address of the other server.
        address: SocketAddr,
    },
    /// This server owns its name again.
    NameRegained,
}

impl fmt::Display for MembershipEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            MembershipEvent::StateChanged {
                name,
                address,
                from,
                to,
                reason,
            } => {
                let from = from.map_or("unknown".into(), |s| s.to_string());
                write!(f, "{name} at {address}: {from} to {to}: {reason}")
            }
            MembershipEvent::ConnectivityChanged { status, at } => {
                write_connectivity(f, status, *at)
            }
            MembershipEvent::Paused { duration } => {
                let ms = duration.as_micros() / 1_000;
                write!(f, "held up for {ms} ms; accuses nobody for a while")
            }
            MembershipEvent::IncarnationSuperseded { incarnation } => {
                write!(
                    f,
                    "life {incarnation} stands under this name; this one begins past it"
                )
            }
            MembershipEvent::IdentityRenewed { revision } => {
                write!(f, "held down by others; goes on as turn {revision}")
            }
            MembershipEvent::NameConflict { address } => {
                write!(
                    f,
                    "this name is taken by {address}; silent while that lives"
                )
            }
            MembershipEvent::NameRegained => f.write_str("this name is free again"),
        }
    }
}

fn write_connectivity(
    f: &mut fmt::Formatter,
    status: &ConnectivityStatus,
    at: Timestamp,
) -> fmt::Result {
    let evidence = &status.evidence;
    let (active, missing) = (evidence.active, evidence.missing);
    write!(
        f,
        "hears {}: {active} in, {missing} missing, last word ",
        status.level
    )?;
    match evidence.last_received {
        Some(last) => write!(f, "{} ms ago", (at - last).as_micros() / 1_000),
        None => f.write_str("never"),
    }
}

#[cfg(test)]
mod tests;
