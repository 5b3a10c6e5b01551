//! The words of a history's text. Histories on disk have them, so they stay; the program's own terms stand beside them.

/// Line: the number of servers.
pub(super) const SERVERS: &str = "servers";
/// Line: the number of backends.
pub(super) const BACKENDS: &str = "backends";
/// Line: the number of availability zones.
pub(super) const ZONES: &str = "zones";
/// Line: the length of the simulation in seconds.
pub(super) const SECONDS: &str = "seconds";
/// Line: requests a second of each server.
pub(super) const REQUEST_RATE: &str = "rate";
/// Line: the fleet's quota of upstream calls.
pub(super) const QUOTA: &str = "whole";
/// Line: the features that are on.
pub(super) const FEATURES: &str = "parts";
/// Line: the known defect.
pub(super) const DEFECT: &str = "plant";

/// A [`Fault::Kill`](crate::Fault::Kill).
pub(super) const KILL: &str = "kill";
/// A [`Fault::Start`](crate::Fault::Start).
pub(super) const START: &str = "start";
/// A [`Fault::Stop`](crate::Fault::Stop).
pub(super) const STOP: &str = "stop";
/// A [`Fault::Continue`](crate::Fault::Continue).
pub(super) const CONTINUE: &str = "continue";
/// A [`Fault::SlowEngine`](crate::Fault::SlowEngine).
pub(super) const SLOW_ENGINE: &str = "slow";
/// A [`Fault::PartitionHalves`](crate::Fault::PartitionHalves).
pub(super) const PARTITION_HALVES: &str = "halves";
/// A [`Fault::Isolate`](crate::Fault::Isolate).
pub(super) const ISOLATE: &str = "alone";
/// A [`Fault::BlockOutgoing`](crate::Fault::BlockOutgoing).
pub(super) const BLOCK_OUTGOING: &str = "oneway";
/// A [`Fault::Heal`](crate::Fault::Heal).
pub(super) const HEAL: &str = "heal";
/// A [`Fault::Datagrams`](crate::Fault::Datagrams).
pub(super) const DATAGRAMS: &str = "net";
/// A [`Fault::ClearDatagramFaults`](crate::Fault::ClearDatagramFaults).
pub(super) const CLEAR_DATAGRAM_FAULTS: &str = "calm";
/// A [`Fault::Backend`](crate::Fault::Backend).
pub(super) const BACKEND: &str = "backend";
/// A [`Fault::Load`](crate::Fault::Load).
pub(super) const LOAD: &str = "load";

/// A backend without a fault.
pub(super) const HEALTHY_BACKEND: &str = "well";
/// A [`BackendFault::Silent`](crate::BackendFault::Silent).
pub(super) const SILENT_BACKEND: &str = "silent";
/// A [`BackendFault::Failing`](crate::BackendFault::Failing).
pub(super) const FAILING_BACKEND: &str = "fails";
/// A [`BackendFault::Down`](crate::BackendFault::Down).
pub(super) const BACKEND_DOWN: &str = "down";
/// A [`BackendFault::Slow`](crate::BackendFault::Slow).
pub(super) const SLOW_BACKEND: &str = "slow";
