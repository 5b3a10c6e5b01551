//! How a command came out, of which `main` makes the exit status.

/// How a command that ran to its end came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    /// No invariant was violated, or the command looks for none.
    Passed,
    /// An invariant was violated.
    Violated,
}

impl CommandOutcome {
    /// The outcome of a command that found so many violations.
    pub(crate) fn from_violation_count(violations: usize) -> CommandOutcome {
        if violations == 0 {
            CommandOutcome::Passed
        } else {
            CommandOutcome::Violated
        }
    }
}
