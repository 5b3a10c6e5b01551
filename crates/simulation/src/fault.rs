//! The faults that a history can inject, and the known defects with which tests show that the invariants can fail.

use crate::ids::{BackendId, ServerId};

/// A fault of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// The backend accepts calls and never answers.
    Silent,
    /// The backend answers each call at once with a failure.
    Failing,
    /// Connections to the backend break, and the calls that were there are lost.
    Down,
    /// Calls to the backend take longer.
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
    /// A server that is down starts as a new incarnation.
    Start(ServerId),
    /// The process of a server is paused. What arrives in the meantime is held for it.
    Stop(ServerId),
    /// A paused process continues.
    Continue(ServerId),
    /// All work of a server's engine takes longer.
    SlowEngine {
        /// The server.
        server: ServerId,
        /// The multiple of the usual time; 1 is no fault.
        factor: f64,
    },
    /// The servers with odd names and those with even names are partitioned from each other.
    PartitionHalves,
    /// A server is partitioned from all others, in both directions.
    Isolate(ServerId),
    /// Datagrams from a server reach no other server, but it receives theirs.
    BlockOutgoing(ServerId),
    /// All partitions end, whether in one direction or both.
    Heal,
    /// Datagrams are lost, duplicated, corrupted and delayed.
    Datagrams(DatagramFaults),
    /// All datagram faults end: datagrams arrive quickly, and as they were sent.
    ClearDatagramFaults,
    /// Sets or clears the fault of a backend.
    Backend {
        /// The backend.
        backend: BackendId,
        /// The fault of the backend, or `None` if the backend is healthy again.
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

/// Faults of datagrams between servers. Probabilities are between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatagramFaults {
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The probability that a datagram arrives twice.
    pub duplication: f64,
    /// The probability that one bit of a datagram is flipped.
    pub corruption: f64,
    /// The longest delay, apart from a few milliseconds that are always added.
    pub max_delay_ms: u64,
}

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// The fault to inject.
    pub fault: Fault,
}

impl ScheduledFault {
    /// Creates a fault that is injected `at_ms` milliseconds after the start.
    pub fn new(at_ms: u64, fault: Fault) -> ScheduledFault {
        ScheduledFault { at_ms, fault }
    }
}

/// A known defect, one in each part of the program, that an invariant must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// One answer in 200 is lost (in the core).
    LostAnswers,
    /// The engine runs one request in 16 twice, which idempotency keys are there to prevent.
    RepeatedRuns,
    /// Calls outlast the longest time that quota leases allow for (in the quotas).
    ShortLeaseTerms,
    /// As many retries as first attempts are allowed (in the backend selection).
    UnboundedRetries,
    /// A suspected member is never held down (in the membership).
    EndlessSuspicion,
}

impl Defect {
    /// All defects, in the order in which the tests use them.
    pub const ALL: [Defect; 5] = [
        Defect::LostAnswers,
        Defect::RepeatedRuns,
        Defect::ShortLeaseTerms,
        Defect::UnboundedRetries,
        Defect::EndlessSuspicion,
    ];

    /// Returns the name of the defect in a history.
    pub fn name(self) -> &'static str {
        match self {
            Defect::LostAnswers => "answers",
            Defect::RepeatedRuns => "runs",
            Defect::ShortLeaseTerms => "terms",
            Defect::UnboundedRetries => "repeats",
            Defect::EndlessSuspicion => "suspicion",
        }
    }

    /// Returns the defect with a name, or `None` if there is no such defect.
    pub fn from_name(name: &str) -> Option<Defect> {
        Defect::ALL.into_iter().find(|defect| defect.name() == name)
    }
}
