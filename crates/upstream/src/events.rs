//! Changes of backends that are logged, and the bounded queue that holds them until they are taken.

use crate::backend_state::BackendState;
use crate::outlier::OutlierEvidence;
use compact_str::CompactString;
use madderbay::time::Duration;
use std::fmt;

/// Upper bound on the events waiting to be taken. Further events are counted and dropped.
const MAX_PENDING_EVENTS: usize = 64;

/// A change of a backend or of its group that is logged. `Display` writes the event of the log line with its values.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    /// A backend was ejected.
    Ejected {
        /// Name of the backend.
        name: CompactString,
        /// Why it was ejected.
        evidence: OutlierEvidence,
        /// How long it stays ejected, unless other servers see it recover sooner.
        ejection_time: Duration,
    },
    /// The state of a backend changed.
    StateChanged {
        /// Name of the backend.
        name: CompactString,
        /// The state before the change.
        from: BackendState,
        /// The state after the change.
        to: BackendState,
    },
    /// More than half of a group's backends look faulty, or no longer do. No backend is ejected in panic mode.
    PanicModeChanged {
        /// Name of the first backend of the group.
        name: CompactString,
        /// Whether panic mode begins (`true`) or ends.
        active: bool,
        /// How many backends of the group look faulty.
        outliers: usize,
        /// How many backends the group has.
        backends: usize,
    },
    /// The operator added a backend to the configuration or removed it.
    ConfigurationChanged {
        /// Name of the backend.
        name: CompactString,
        /// Whether it is configured now.
        present: bool,
    },
}

impl fmt::Display for BackendEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            BackendEvent::Ejected {
                name,
                evidence,
                ejection_time,
            } => {
                let seconds = ejection_time.as_secs_f64();
                write!(
                    f,
                    "backend ejected, name={name}, seconds={seconds:.1}, {evidence}"
                )
            }
            BackendEvent::StateChanged { name, from, to } => {
                let (from, to) = (from.log_name(), to.log_name());
                write!(f, "backend {to}, name={name}, from={from}")
            }
            BackendEvent::PanicModeChanged {
                name,
                active,
                outliers,
                backends,
            } => {
                let change = if *active { "started" } else { "ended" };
                write!(
                    f,
                    "panic mode {change}, group_of={name}, outliers={outliers}, backends={backends}"
                )
            }
            BackendEvent::ConfigurationChanged { name, present } => {
                let change = if *present { "added" } else { "removed" };
                write!(f, "backend {change}, name={name}")
            }
        }
    }
}

/// Events that have not been taken yet.
#[derive(Default)]
pub(crate) struct EventQueue {
    pending: Vec<BackendEvent>,
}

impl EventQueue {
    /// Adds an event. Returns `false` if it was dropped because the queue is full.
    pub(crate) fn push(&mut self, event: BackendEvent) -> bool {
        let fits = self.pending.len() < MAX_PENDING_EVENTS;
        if fits {
            self.pending.push(event);
        }
        fits
    }

    /// Adds the events of a configuration change, without a bound on their number: the operator expects to see each of
    /// them.
    pub(crate) fn push_all(&mut self, events: Vec<BackendEvent>) {
        self.pending.extend(events);
    }

    /// Takes all events, oldest first.
    pub(crate) fn take(&mut self) -> Vec<BackendEvent> {
        std::mem::take(&mut self.pending)
    }
}

#[cfg(test)]
mod tests;
