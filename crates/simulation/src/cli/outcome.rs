//! The outcome of a command, from which `main` derives the exit status.

/// The outcome of a command that completed without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    /// No invariant was violated, or the outcome of the command does not depend on violations.
    Passed,
    /// An invariant was violated.
    Violated,
}

impl CommandOutcome {
    /// Returns the outcome of a command that found this number of violations.
    pub(crate) fn from_violation_count(violations: usize) -> CommandOutcome {
        if violations == 0 {
            CommandOutcome::Passed
        } else {
            CommandOutcome::Violated
        }
    }
}
