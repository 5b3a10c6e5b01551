//! Events that report changes of the view, for the log. The operator documentation quotes the
//! displayed lines.

use crate::connectivity::{Connectivity, ConnectivityStatus};
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
    /// The member did not answer a probe, neither directly nor through the members that were asked
    /// to probe it. The probe was sent by this server or by another one.
    ProbeFailed {
        /// Time since the member's last datagram; `None` if no datagram has arrived.
        since_received: Option<Duration>,
    },
    /// The member did not refute the suspicion in time.
    SuspicionExpired {
        /// Time since the member's last datagram; `None` if no datagram has arrived.
        since_received: Option<Duration>,
    },
    /// The member announced the new state.
    Announced,
    /// The member refuted the suspicion.
    Refuted,
    /// The member was down and is active again.
    Recovered,
    /// The member was restarted.
    Restarted {
        /// The previous incarnation.
        from: u64,
        /// The new incarnation.
        to: u64,
    },
}

/// Writes the time since a member's last datagram, or `never` if no datagram has arrived.
fn write_last_received(f: &mut fmt::Formatter, since_received: Option<Duration>) -> fmt::Result {
    match since_received {
        Some(duration) => write!(f, ", last_received_ms={}", duration.as_millis()),
        None => f.write_str(", last_received_ms=never"),
    }
}

/// Writes the reason and its evidence as key-value pairs of a log line.
impl fmt::Display for ChangeReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ChangeReason::Discovered => f.write_str("reason=discovered"),
            ChangeReason::ProbeFailed { since_received } => {
                f.write_str("reason=probe-failed")?;
                write_last_received(f, *since_received)
            }
            ChangeReason::SuspicionExpired { since_received } => {
                f.write_str("reason=suspicion-expired")?;
                write_last_received(f, *since_received)
            }
            ChangeReason::Announced => f.write_str("reason=announced"),
            ChangeReason::Refuted => f.write_str("reason=refuted"),
            ChangeReason::Recovered => f.write_str("reason=recovered"),
            ChangeReason::Restarted { from, to } => {
                write!(
                    f,
                    "reason=restarted, from_incarnation={from}, incarnation={to}"
                )
            }
        }
    }
}

/// A change of the view or of this server's own membership.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// A member's state, or its incarnation, changed.
    StateChanged {
        /// Name of the member.
        name: CompactString,
        /// Address of the member.
        address: SocketAddr,
        /// The previous state; `None` if the member is new to the view.
        from: Option<MemberState>,
        /// The new state.
        to: MemberState,
        /// Why the state changed.
        reason: ChangeReason,
    },
    /// The connectivity level changed.
    ConnectivityChanged {
        /// The new level and its evidence.
        status: ConnectivityStatus,
        /// Time of the change.
        at: Timestamp,
    },
    /// This process was paused; it suspects no member for some time.
    Paused {
        /// Lateness of the timer that revealed the pause.
        duration: Duration,
    },
    /// An earlier incarnation under this server's name has a higher value; this server continued
    /// with a higher one.
    IncarnationSuperseded {
        /// The earlier incarnation.
        incarnation: u64,
    },
    /// Other members declared this server down; it continues with a new revision.
    IdentityRenewed {
        /// The new revision.
        revision: u32,
    },
    /// Another server owns this server's name. This server stays silent while the other one runs.
    NameConflict {
        /// Address of the other server.
        address: SocketAddr,
    },
    /// This server owns its name again.
    NameRegained,
}

/// Writes the event and its values as a log line, in the form that the operator documentation
/// quotes.
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
                write!(
                    f,
                    "member {to}, name={name}, address={address}, from={from}, {reason}"
                )
            }
            MembershipEvent::ConnectivityChanged { status, at } => {
                write_connectivity(f, status, *at)
            }
            MembershipEvent::Paused { duration } => {
                let ms = duration.as_millis();
                write!(f, "process paused, duration_ms={ms}")
            }
            MembershipEvent::IncarnationSuperseded { incarnation } => {
                write!(
                    f,
                    "former incarnation superseded, incarnation={incarnation}"
                )
            }
            MembershipEvent::IdentityRenewed { revision } => {
                write!(
                    f,
                    "identity renewed after being declared down, revision={revision}"
                )
            }
            MembershipEvent::NameConflict { address } => {
                write!(f, "name owned by another server, address={address}")
            }
            MembershipEvent::NameRegained => f.write_str("name regained"),
        }
    }
}

fn write_connectivity(
    f: &mut fmt::Formatter,
    status: &ConnectivityStatus,
    at: Timestamp,
) -> fmt::Result {
    let evidence = &status.evidence;
    let level = match status.level {
        Connectivity::Complete => "complete",
        Connectivity::Partial => "partial",
        Connectivity::Isolated => "isolated",
    };
    let active = evidence.active;
    let missing = evidence.missing;
    write!(
        f,
        "connectivity {level}, active={active}, missing={missing}"
    )?;
    write_last_received(f, evidence.last_received.map(|last| at - last))
}

#[cfg(test)]
mod tests;
