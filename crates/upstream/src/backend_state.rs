//! The states of a backend, as seen by one server.

use std::fmt;

/// The state of a backend. `Display` writes the state as `routes --json` shows it, [`log_name`](BackendState::log_name)
/// as the log does.
///
/// ```text
/// Active --ejection--> Ejected --ejection time is over--> Probing --probes succeed--> SlowStart --window--> Active
///                         ^-------------- a probe fails -----'
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Selected in proportion to its weight.
    Active,
    /// Out of selection for a limited time.
    Ejected,
    /// Gets single calls, one at a time, until enough of these have succeeded in a row.
    Probing,
    /// Selected in proportion to a growing fraction of its weight.
    SlowStart,
}

impl BackendState {
    /// Returns the name of the state in the log.
    pub fn log_name(self) -> &'static str {
        match self {
            BackendState::Active => "active",
            BackendState::Ejected => "ejected",
            BackendState::Probing => "probing",
            BackendState::SlowStart => "slow-start",
        }
    }

    /// Reports whether the backend is out of regular selection.
    pub(crate) fn is_out_of_selection(self) -> bool {
        matches!(self, BackendState::Ejected | BackendState::Probing)
    }
}

impl fmt::Display for BackendState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            BackendState::Active => "in",
            BackendState::Ejected => "ejected",
            BackendState::Probing => "trial",
            BackendState::SlowStart => "rising",
        })
    }
}
