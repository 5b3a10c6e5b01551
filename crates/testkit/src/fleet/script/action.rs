//! The steps of a script. They own no state; [`Fleet`](super::Fleet) carries them out.

use madderbay::time::Duration;
use madderbay_membership::{Connectivity, MemberState};

/// What is done to a fleet. Servers are indices from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts a server.
    Start {
        /// Which server.
        who: usize,
        /// The index of the server whose name it takes; its own as a rule.
        name: usize,
        /// How far its Unix clock is from the true time.
        clock: Duration,
        /// Whether its clock is behind the true time rather than ahead of it.
        back: bool,
    },
    /// Kills a server.
    Kill(usize),
    /// Stops a server as SIGSTOP does.
    Stop(usize),
    /// Continues a stopped server.
    Continue(usize),
    /// Has a server drain, leave and end.
    Drain(usize),
    /// Partitions the network into groups; servers in none of them form one more.
    Cut(Vec<Vec<usize>>),
    /// Loses all datagrams from the first server to the others.
    OneWay(usize, Vec<usize>),
    /// Ends all partitions, those of one direction too.
    Heal,
    /// Sets faults of the network; those that are `None` stay as they are, and all `None` ends them
    /// all.
    Network {
        /// The fraction of all datagrams that is lost.
        loss: Option<f64>,
        /// The fraction that is duplicated.
        duplication: Option<f64>,
        /// The fraction that is corrupted: one bit is changed.
        corruption: Option<f64>,
        /// The shortest and the longest delay.
        delay: Option<(Duration, Duration)>,
    },
    /// Sends again the datagrams that were sent to a server.
    Replay(usize),
    /// From here on a server has demand for this many calls at a time.
    Demand(usize, u32),
    /// The operator changes the capacity of the quota at one server, which reloads it.
    SetCapacity {
        /// Which server.
        server: usize,
        /// Calls in flight in the whole fleet.
        capacity: u32,
    },
    /// Fails if more calls than this were in flight since the last such check.
    CheckPeak(u32),
    /// Lets simulated time pass.
    Advance(Duration),
    /// Fails if more servers than this were declared down that ran and were connected; simulated
    /// only.
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

    /// Starts a server under its own name, with the right time.
    pub fn start(server: usize) -> Action {
        Action::Start {
            who: server,
            name: server,
            clock: Duration::ZERO,
            back: false,
        }
    }

    /// Loses this fraction of all datagrams.
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
    /// All servers that run and are connected hold exactly each other alive, with one digest.
    Settled,
    /// A member has this state in the views of some servers.
    View {
        /// The servers whose views these are; the member itself is left out among several.
        observers: Vec<usize>,
        /// The member.
        member: usize,
        /// Its state; `None` if the views don't have it.
        state: Option<MemberState>,
    },
    /// Each server judges its own connectivity like this.
    Connectivity {
        /// Which servers.
        servers: Vec<usize>,
        /// Their judgement.
        connectivity: Connectivity,
    },
    /// Each server may use at least and at most this many calls of the quota.
    QuotaBetween {
        /// Which servers.
        who: Vec<usize>,
        /// Calls at least.
        least: u32,
        /// Calls at most.
        most: u32,
    },
    /// Servers together have at least this many calls in flight.
    InFlightAtLeast {
        /// Which servers.
        who: Vec<usize>,
        /// Calls at least.
        least: u32,
    },
}

/// One step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Something is done at once.
    Action(Action),
    /// A condition must hold within a time.
    Within(Condition, Duration),
}
