//! The faults that a history injects, and the known defects that show that the invariants can fail.

use crate::ids::{BackendId, ServerId};

/// What is wrong with a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// It takes calls and never answers.
    Silent,
    /// It answers each call at once that it failed.
    Failing,
    /// Connections to it break, and calls that were there are lost.
    Down,
    /// Its calls take this many times as long.
    Slow {
        /// The multiple of the usual time.
        factor: f64,
    },
}

/// A change that a history makes to the fleet, its network or its backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process of a server ends at once.
    Kill(ServerId),
    /// A server that does not run starts, as a new incarnation.
    Start(ServerId),
    /// The process of a server is paused; what arrives waits.
    Stop(ServerId),
    /// A paused process goes on.
    Continue(ServerId),
    /// The engine of a server takes this many times as long.
    SlowEngine {
        /// The server.
        server: ServerId,
        /// The multiple of the usual time; 1 is no fault.
        factor: f64,
    },
    /// Servers with odd and with even names are cut off from each other.
    PartitionHalves,
    /// A server is cut off from all others, in both directions.
    Isolate(ServerId),
    /// No datagram of a server reaches any other; it receives theirs.
    BlockOutgoing(ServerId),
    /// All cuts end.
    Heal,
    /// Datagrams are lost, duplicated, corrupted and delayed.
    Datagrams(DatagramFaults),
    /// Datagrams arrive again, quickly and as they were sent.
    ClearDatagramFaults,
    /// A backend gets a fault, or none any more.
    Backend {
        /// The backend.
        backend: BackendId,
        /// What is wrong with it; none when it is healthy again.
        fault: Option<BackendFault>,
    },
    /// The clients of a server send more or fewer requests.
    Load {
        /// The server.
        server: ServerId,
        /// The multiple of the usual request rate; 1 is no fault.
        factor: f64,
    },
}

/// What happens to datagrams between servers. Probabilities are between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatagramFaults {
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that it arrives twice.
    pub duplication: f64,
    /// The probability that one of its bits is flipped.
    pub corruption: f64,
    /// The longest delay beyond a few milliseconds.
    pub max_delay_ms: u64,
}

/// A fault and when it is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

impl ScheduledFault {
    /// A fault at this many milliseconds since the start.
    pub fn new(at_ms: u64, fault: Fault) -> ScheduledFault {
        ScheduledFault { at_ms, fault }
    }
}

/// A known defect, one in each part of the program, that an invariant has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// One answer in two hundred is lost (the core).
    LostAnswers,
    /// The engine runs one request in sixteen twice (what idempotency keys prevent).
    RepeatedRuns,
    /// Calls outlast the longest time that quota leases allow for (the quotas).
    ShortLeaseTerms,
    /// As many retries as first attempts are allowed (the backends).
    UnboundedRetries,
    /// A suspected member is never held down (the membership).
    EndlessSuspicion,
}

impl Defect {
    /// All of them, in the order in which the tests try them.
    pub const ALL: [Defect; 5] = [
        Defect::LostAnswers,
        Defect::RepeatedRuns,
        Defect::ShortLeaseTerms,
        Defect::UnboundedRetries,
        Defect::EndlessSuspicion,
    ];

    /// Its name in a history.
    pub fn name(self) -> &'static str {
        match self {
            Defect::LostAnswers => "answers",
            Defect::RepeatedRuns => "runs",
            Defect::ShortLeaseTerms => "terms",
            Defect::UnboundedRetries => "repeats",
            Defect::EndlessSuspicion => "suspicion",
        }
    }

    /// The defect of a name.
    pub fn from_name(name: &str) -> Option<Defect> {
        Defect::ALL.into_iter().find(|defect| defect.name() == name)
    }
}
