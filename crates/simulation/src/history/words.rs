//! The words in the text of a history. Stored histories use them, so they cannot change; the constants are named after
//! the program's own terms.

/// Keyword of the line with the number of servers.
pub(super) const SERVERS: &str = "servers";
/// Keyword of the line with the number of backends.
pub(super) const BACKENDS: &str = "backends";
/// Keyword of the line with the number of availability zones.
pub(super) const ZONES: &str = "zones";
/// Keyword of the line with the length of the simulation in seconds.
pub(super) const SECONDS: &str = "seconds";
/// Keyword of the line with the requests per second of each server.
pub(super) const REQUEST_RATE: &str = "rate";
/// Keyword of the line with the fleet's quota of upstream calls.
pub(super) const QUOTA: &str = "whole";
/// Keyword of the line with the features that are on.
pub(super) const FEATURES: &str = "parts";
/// Keyword of the line with the known defect.
pub(super) const DEFECT: &str = "plant";

/// Keyword of [`Fault::Kill`](crate::Fault::Kill).
pub(super) const KILL: &str = "kill";
/// Keyword of [`Fault::Start`](crate::Fault::Start).
pub(super) const START: &str = "start";
/// Keyword of [`Fault::Stop`](crate::Fault::Stop).
pub(super) const STOP: &str = "stop";
/// Keyword of [`Fault::Continue`](crate::Fault::Continue).
pub(super) const CONTINUE: &str = "continue";
/// Keyword of [`Fault::SlowEngine`](crate::Fault::SlowEngine).
pub(super) const SLOW_ENGINE: &str = "slow";
/// Keyword of [`Fault::PartitionHalves`](crate::Fault::PartitionHalves).
pub(super) const PARTITION_HALVES: &str = "halves";
/// Keyword of [`Fault::Isolate`](crate::Fault::Isolate).
pub(super) const ISOLATE: &str = "alone";
/// Keyword of [`Fault::BlockOutgoing`](crate::Fault::BlockOutgoing).
pub(super) const BLOCK_OUTGOING: &str = "oneway";
/// Keyword of [`Fault::Heal`](crate::Fault::Heal).
pub(super) const HEAL: &str = "heal";
/// Keyword of [`Fault::Datagrams`](crate::Fault::Datagrams).
pub(super) const DATAGRAMS: &str = "net";
/// Keyword of [`Fault::ClearDatagramFaults`](crate::Fault::ClearDatagramFaults).
pub(super) const CLEAR_DATAGRAM_FAULTS: &str = "calm";
/// Keyword of [`Fault::Backend`](crate::Fault::Backend).
pub(super) const BACKEND: &str = "backend";
/// Keyword of [`Fault::Load`](crate::Fault::Load).
pub(super) const LOAD: &str = "load";

/// State of a backend without a fault.
pub(super) const HEALTHY_BACKEND: &str = "well";
/// State of a backend with the fault [`BackendFault::Silent`](crate::BackendFault::Silent).
pub(super) const SILENT_BACKEND: &str = "silent";
/// State of a backend with the fault [`BackendFault::Failing`](crate::BackendFault::Failing).
pub(super) const FAILING_BACKEND: &str = "fails";
/// State of a backend with the fault [`BackendFault::Down`](crate::BackendFault::Down).
pub(super) const BACKEND_DOWN: &str = "down";
/// State of a backend with the fault [`BackendFault::Slow`](crate::BackendFault::Slow).
pub(super) const SLOW_BACKEND: &str = "slow";
