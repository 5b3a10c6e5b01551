//! The steps of a script: actions, and conditions with a time limit. A [`Fleet`](super::Fleet)
//! performs the actions and checks the conditions.

use madderbay::time::Duration;
use madderbay_membership::{Connectivity, MemberState};

/// An action on a fleet. Servers are identified by their index, from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts a server.
    Start {
        /// Which server.
        who: usize,
        /// Index of the server whose name it uses, normally its own.
        name: usize,
        /// Difference between its Unix clock and the true time.
        clock: Duration,
        /// Whether its Unix clock is behind the true time instead of ahead.
        back: bool,
    },
    /// Kills a server.
    Kill(usize),
    /// Stops a server, like SIGSTOP.
    Stop(usize),
    /// Continues a stopped server, like SIGCONT.
    Continue(usize),
    /// Makes a server drain, leave the fleet and exit.
    Drain(usize),
    /// Partitions the network into groups. Servers that are in none of the groups form one more.
    Cut(Vec<Vec<usize>>),
    /// Drops all datagrams from the first server to the others.
    OneWay(usize, Vec<usize>),
    /// Ends all partitions, including one-way ones.
    Heal,
    /// Sets network faults. Faults that are `None` stay as they are, but if all are `None`, all
    /// network faults end.
    Network {
        /// Fraction of all datagrams that is lost.
        loss: Option<f64>,
        /// Fraction of all datagrams that is duplicated.
        duplication: Option<f64>,
        /// Fraction of all datagrams in which one bit is flipped.
        corruption: Option<f64>,
        /// Minimum and maximum delay of a datagram.
        delay: Option<(Duration, Duration)>,
    },
    /// Sends the retained datagrams of a server to it again.
    Replay(usize),
    /// Sets the demand of a server, in concurrent calls.
    Demand(usize, u32),
    /// Changes the capacity of the quota in the settings of one server, which reloads them.
    SetCapacity {
        /// Which server.
        server: usize,
        /// Maximum number of calls in flight in the whole fleet.
        capacity: u32,
    },
    /// Fails if more calls than this were in flight at any time since the last such check.
    CheckPeak(u32),
    /// Advances simulated time; simulated fleets only.
    Advance(Duration),
    /// Fails if more servers than this were declared down although they ran and were connected;
    /// simulated fleets only.
    CheckWronglyDown(usize),
}

impl Action {
    /// Ends loss, duplication, corruption and delay of datagrams.
    pub const CALM: Action = Action::Network {
        loss: None,
        duplication: None,
        corruption: None,
        delay: None,
    };

    /// Starts a server under its own name, with a correct Unix clock.
    pub fn start(server: usize) -> Action {
        Action::Start {
            who: server,
            name: server,
            clock: Duration::ZERO,
            back: false,
        }
    }

    /// Drops this fraction of all datagrams.
    pub fn loss(fraction: f64) -> Action {
        Action::Network {
            loss: Some(fraction),
            duplication: None,
            corruption: None,
            delay: None,
        }
    }
}

/// A condition on a fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    /// Each running server has exactly the servers that it is connected to as members, none of them
    /// joining or suspect, and their views have the same digest.
    Settled,
    /// A member has this state in the views of some servers.
    View {
        /// The servers whose views are checked. The member itself is skipped if there are several.
        observers: Vec<usize>,
        /// The member whose state is checked.
        member: usize,
        /// Expected state; `None` if the views must not contain the member.
        state: Option<MemberState>,
    },
    /// Each of the servers reports this connectivity.
    Connectivity {
        /// Which servers.
        servers: Vec<usize>,
        /// Expected connectivity.
        connectivity: Connectivity,
    },
    /// The number of quota calls that each server may use is within these bounds.
    QuotaBetween {
        /// Which servers.
        who: Vec<usize>,
        /// Lower bound, in calls.
        least: u32,
        /// Upper bound, in calls.
        most: u32,
    },
    /// The servers together have at least this many calls in flight.
    InFlightAtLeast {
        /// Which servers.
        who: Vec<usize>,
        /// Lower bound, in calls.
        least: u32,
    },
}

/// One step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Performs an action immediately.
    Action(Action),
    /// Waits for a condition, which must hold within this duration.
    Within(Condition, Duration),
}
