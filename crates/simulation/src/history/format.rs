//! Histories and faults as text. [`History::parse`] reads what is written here.

use super::History;
use crate::fault::{BackendFault, DatagramFaults, Fault, ScheduledFault};
use std::fmt;

impl fmt::Display for BackendFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            BackendFault::Silent => f.write_str("silent"),
            BackendFault::Failing => f.write_str("fails"),
            BackendFault::Down => f.write_str("down"),
            BackendFault::Slow { factor } => write!(f, "slow {factor}"),
        }
    }
}

impl fmt::Display for DatagramFaults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let DatagramFaults {
            loss,
            duplication,
            corruption,
            max_delay_ms,
        } = self;
        write!(f, "{loss} {duplication} {corruption} {max_delay_ms}")
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Kill(server) => write!(f, "kill {server}"),
            Fault::Start(server) => write!(f, "start {server}"),
            Fault::Stop(server) => write!(f, "stop {server}"),
            Fault::Continue(server) => write!(f, "continue {server}"),
            Fault::SlowEngine { server, factor } => write!(f, "slow {server} {factor}"),
            Fault::Halves => f.write_str("halves"),
            Fault::Isolate(server) => write!(f, "alone {server}"),
            Fault::OneWay(server) => write!(f, "oneway {server}"),
            Fault::Heal => f.write_str("heal"),
            Fault::Datagrams(faults) => write!(f, "net {faults}"),
            Fault::Calm => f.write_str("calm"),
            Fault::Backend {
                backend,
                fault: Some(fault),
            } => write!(f, "backend {backend} {fault}"),
            Fault::Backend {
                backend,
                fault: None,
            } => write!(f, "backend {backend} well"),
            Fault::Load { server, factor } => write!(f, "load {server} {factor}"),
        }
    }
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "@{} {}", self.at_ms, self.fault)
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "servers {}", self.servers)?;
        writeln!(f, "backends {}", self.backends)?;
        writeln!(f, "zones {}", self.zones)?;
        writeln!(f, "seconds {}", self.seconds)?;
        writeln!(f, "rate {}", self.requests_per_second)?;
        writeln!(f, "whole {}", self.quota)?;
        writeln!(f, "parts {}", self.features)?;
        if let Some(defect) = self.defect {
            writeln!(f, "plant {}", defect.name())?;
        }
        self.faults
            .iter()
            .try_for_each(|scheduled| writeln!(f, "{scheduled}"))
    }
}
