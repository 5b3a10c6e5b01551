//! Formats histories and faults as text that [`History::parse`] reads.

use super::{History, words};
use crate::fault::{BackendFault, DatagramFaults, Fault, ScheduledFault};
use std::fmt;

impl fmt::Display for BackendFault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            BackendFault::Silent => f.write_str(words::SILENT_BACKEND),
            BackendFault::Failing => f.write_str(words::FAILING_BACKEND),
            BackendFault::Down => f.write_str(words::BACKEND_DOWN),
            BackendFault::Slow { factor } => write!(f, "{} {factor}", words::SLOW_BACKEND),
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
            Fault::Kill(server) => write!(f, "{} {server}", words::KILL),
            Fault::Start(server) => write!(f, "{} {server}", words::START),
            Fault::Stop(server) => write!(f, "{} {server}", words::STOP),
            Fault::Continue(server) => write!(f, "{} {server}", words::CONTINUE),
            Fault::SlowEngine { server, factor } => {
                write!(f, "{} {server} {factor}", words::SLOW_ENGINE)
            }
            Fault::PartitionHalves => f.write_str(words::PARTITION_HALVES),
            Fault::Isolate(server) => write!(f, "{} {server}", words::ISOLATE),
            Fault::BlockOutgoing(server) => write!(f, "{} {server}", words::BLOCK_OUTGOING),
            Fault::Heal => f.write_str(words::HEAL),
            Fault::Datagrams(faults) => write!(f, "{} {faults}", words::DATAGRAMS),
            Fault::ClearDatagramFaults => f.write_str(words::CLEAR_DATAGRAM_FAULTS),
            Fault::Backend {
                backend,
                fault: Some(fault),
            } => write!(f, "{} {backend} {fault}", words::BACKEND),
            Fault::Backend {
                backend,
                fault: None,
            } => write!(f, "{} {backend} {}", words::BACKEND, words::HEALTHY_BACKEND),
            Fault::Load { server, factor } => write!(f, "{} {server} {factor}", words::LOAD),
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
        writeln!(f, "{} {}", words::SERVERS, self.servers)?;
        writeln!(f, "{} {}", words::BACKENDS, self.backends)?;
        writeln!(f, "{} {}", words::ZONES, self.zones)?;
        writeln!(f, "{} {}", words::SECONDS, self.seconds)?;
        writeln!(f, "{} {}", words::REQUEST_RATE, self.requests_per_second)?;
        writeln!(f, "{} {}", words::QUOTA, self.quota)?;
        writeln!(f, "{} {}", words::FEATURES, self.features)?;
        if let Some(defect) = self.defect {
            writeln!(f, "{} {}", words::DEFECT, defect.name())?;
        }
        self.faults
            .iter()
            .try_for_each(|scheduled| writeln!(f, "{scheduled}"))
    }
}
