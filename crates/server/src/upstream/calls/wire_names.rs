//! The words of the catalogue's protocol, which backends speak too, each written once.
//!
//! A call is a line `FETCH NAME TIMEOUT_MS LENGTH` and its body; a reply is a line `NAME OUTCOME` or, with a body,
//! `NAME DATA LENGTH`. Lines and bodies end in CR LF. Owns: these words. Never changes with the names of the code: the
//! catalogue and the backends read and write them.

/// What ends a line, and a body.
pub(super) const CRLF: &[u8] = b"\r\n";

/// Begins a call.
pub(super) const CALL: &str = "FETCH";

/// Outcomes of calls, as replies have them.
pub(super) mod outcome {
    /// The call has a result, which is the reply's body.
    pub(crate) const COMPLETED: &str = "DATA";
    /// It was rejected and never ran.
    pub(crate) const REJECTED: &str = "LATER";
    /// It failed.
    pub(crate) const FAILED: &str = "FAULT";
    /// It did not end within its timeout.
    pub(crate) const TIMED_OUT: &str = "TOOSLOW";
    /// No run waits for it.
    pub(crate) const UNREACHABLE: &str = "NOUSE";
}

#[cfg(test)]
mod tests;
