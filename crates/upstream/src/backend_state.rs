//! The states of a backend, as one server sees it.

use std::fmt;

/// The state of a backend. `Display` gives the words of `routes --json`, [`log_name`](BackendState::log_name) those of
/// the log.
///
/// ```text
/// Active --ejection--> Ejected --ejection time is over--> Probing --probes succeed--> SlowStart --window--> Active
///                         ^-------------- a probe fails -----'
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Selected by its weight.
    Active,
    /// Taken out of selection for a time.
    Ejected,
    /// Gets single calls, one at a time, until it has proved healthy.
    Probing,
    /// Selected by a growing fraction of its weight.
    SlowStart,
}

impl BackendState {
    /// The state in the words of the log.
    pub fn log_name(self) -> &'static str {
        match self {
            BackendState::Active => "active",
            BackendState::Ejected => "ejected",
            BackendState::Probing => "probing",
            BackendState::SlowStart => "slow-start",
        }
    }

    /// Whether the backend is out of regular selection.
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
