//! The names that the protocol of the catalogue uses, which backends speak too.
//!
//! A call is a line `FETCH NAME TIMEOUT_MS LENGTH` and its body. A reply is a line `NAME OUTCOME` or, with a body,
//! `NAME DATA LENGTH`. Lines and bodies end with CR LF. The catalogue and the backends read and write these names,
//! so they stay the same when names in the code change.

/// The end of a line and of a body.
pub(super) const CRLF: &[u8] = b"\r\n";

/// The first word of a call.
pub(super) const CALL: &str = "FETCH";

/// Outcomes of calls, as written in replies.
pub(super) mod outcome {
    /// The call has a result, which is the reply's body.
    pub(crate) const COMPLETED: &str = "DATA";
    /// The call was rejected and never ran.
    pub(crate) const REJECTED: &str = "LATER";
    /// The call failed.
    pub(crate) const FAILED: &str = "FAULT";
    /// The call did not end within its timeout.
    pub(crate) const TIMED_OUT: &str = "TOOSLOW";
    /// No run waits for the call.
    pub(crate) const UNREACHABLE: &str = "NOUSE";
}

#[cfg(test)]
mod tests;
