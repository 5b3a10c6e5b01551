//! The names that the engine's protocol uses. Its lines are JSON objects.
//!
//! These are the kinds of commands and notices, their members, and the values of these. The engine reads and writes
//! them, so they stay the same when names in the code change.

/// The gauge for the length of the engine's run queue, as named in the settings.
pub const RUN_QUEUE_GAUGE: &str = "on_cores";

/// Kinds of commands, which are sent to the engine.
pub(super) mod command {
    /// Opens a link.
    pub(crate) const ATTACH: &str = "ATTACH";
    /// Runs a request.
    pub(crate) const RUN: &str = "RUN";
    /// Cancels a run.
    pub(crate) const CANCEL: &str = "HALT";
    /// Passes a run the reply to the call that it waits for.
    pub(crate) const REPLY: &str = "FEED";
    /// Lets a run continue without the call that it waits for.
    pub(crate) const SKIP_CALL: &str = "SKIP";
    /// Queries the gauges.
    pub(crate) const QUERY_GAUGES: &str = "STAT";
}

/// Kinds of notices, which the engine sends.
pub(super) mod notice {
    /// The engine is up.
    pub(crate) const ENGINE_UP: &str = "HELLO";
    /// A run ended.
    pub(crate) const RUN_ENDED: &str = "DONE";
    /// A run waits for a call.
    pub(crate) const CALL_NEEDED: &str = "NEED";
    /// The values of the gauges.
    pub(crate) const GAUGES: &str = "STATS";
    /// A command was not carried out.
    pub(crate) const COMMAND_DECLINED: &str = "NO";
    /// A remark for operators, which is ignored.
    pub(crate) const REMARK: &str = "NOTE";
}

/// Members of commands and notices.
pub(super) mod member {
    /// The kind of the command or notice.
    pub(crate) const KIND: &str = "msg";
    /// The name of the attempt, 16 hex digits.
    pub(crate) const ATTEMPT_NAME: &str = "call";
    /// The serial of a notice, which increases without gaps. In ATTACH it is that of the last notice read, in SKIP
    /// that of the call.
    pub(crate) const SERIAL: &str = "serial";
    /// The name of the handler that runs the request.
    pub(crate) const HANDLER: &str = "service";
    /// A body in base64: of a request, of a call, of its reply, or the result of a run.
    pub(crate) const BODY: &str = "blob";
    /// The number of a query for the gauges, as a string.
    pub(crate) const QUERY: &str = "cookie";
    /// The values of the gauges.
    pub(crate) const GAUGES: &str = "stats";
    /// The outcome of a run, the command that was declined, or how the engine started.
    pub(crate) const DETAIL: &str = "how";
    /// The time that a run took, or the time since the engine started, in milliseconds.
    pub(crate) const DURATION_MS: &str = "duration";
}

/// Outcomes of runs.
pub(super) mod run_outcome {
    /// The run completed with a result.
    pub(crate) const COMPLETED: &str = "good";
    /// The run failed.
    pub(crate) const FAILED: &str = "bad";
    /// The run was cancelled.
    pub(crate) const CANCELLED: &str = "cut";
    /// The run no longer exists.
    pub(crate) const ALREADY_ENDED: &str = "gone";
}

/// The engine started together with this server, with cold caches. Any other word means that it ran before.
pub(super) const NEW_ENGINE: &str = "new";

#[cfg(test)]
mod tests;
