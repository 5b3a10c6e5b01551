//! The states of a backend, as one server sees it.

use std::fmt;

/// The state of a backend. `Display` gives the words of `routes --json`, [`log_name`](State::log_name) those of the log.
///
/// ```text
/// Active --ejection--> Ejected --ejection time is over--> Probing --probes succeed--> SlowStart --window--> Active
///                         ^-------------- a probe fails -----'
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Selected by its weight.
    Active,
    /// Taken out of selection for a time.
    Ejected,
    /// Gets single calls, one at a time, until it has proved healthy.
    Probing,
    /// Selected by a growing fraction of its weight.
    SlowStart,
}

impl State {
    /// The state in the words of the log.
    pub fn log_name(self) -> &'static str {
        match self {
            State::Active => "active",
            State::Ejected => "ejected",
            State::Probing => "probing",
            State::SlowStart => "slow-start",
        }
    }

    /// Whether the backend is out of regular selection.
    pub(crate) fn is_out_of_selection(self) -> bool {
        matches!(self, State::Ejected | State::Probing)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            State::Active => "in",
            State::Ejected => "ejected",
            State::Probing => "trial",
            State::SlowStart => "rising",
        })
    }
}
