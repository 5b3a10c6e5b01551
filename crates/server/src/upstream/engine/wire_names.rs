//! The words of the engine's protocol, each written once. Lines are JSON objects.
//!
//! Owns: the kinds of commands and notices, their members, and the words in these. Never changes with the names of the
//! code: the engine reads and writes these.

/// The gauge that gives the length of the engine's run queue, as the settings name it.
pub const RUN_QUEUE_GAUGE: &str = "on_cores";

/// Kinds of commands, which go to the engine.
pub(super) mod command {
    /// Begins a link.
    pub(crate) const ATTACH: &str = "ATTACH";
    /// Runs a request.
    pub(crate) const RUN: &str = "RUN";
    /// Cancels a run.
    pub(crate) const CANCEL: &str = "HALT";
    /// The reply to the call that a run waits at.
    pub(crate) const REPLY: &str = "FEED";
    /// The run goes on without the call that it waits at.
    pub(crate) const SKIP_CALL: &str = "SKIP";
    /// Queries the gauges.
    pub(crate) const QUERY_GAUGES: &str = "STAT";
}

/// Kinds of notices, which come from the engine.
pub(super) mod notice {
    /// The engine is up.
    pub(crate) const ENGINE_UP: &str = "HELLO";
    /// A run ended.
    pub(crate) const RUN_ENDED: &str = "DONE";
    /// A run waits at a call.
    pub(crate) const CALL_NEEDED: &str = "NEED";
    /// The gauges.
    pub(crate) const GAUGES: &str = "STATS";
    /// A command was not carried out.
    pub(crate) const COMMAND_DECLINED: &str = "NO";
    /// A remark for people.
    pub(crate) const REMARK: &str = "NOTE";
}

/// Members of commands and notices.
pub(super) mod member {
    /// The kind of the command or notice.
    pub(crate) const KIND: &str = "msg";
    /// The name of the attempt, 16 hex digits.
    pub(crate) const ATTEMPT_NAME: &str = "call";
    /// The number of a notice, counted up without a gap. In ATTACH the last one that was read, in SKIP that of the call.
    pub(crate) const SERIAL: &str = "serial";
    /// The name of the handler that runs the request.
    pub(crate) const HANDLER: &str = "service";
    /// A body in base64: of a request, of a call, of its reply, or the result of a run.
    pub(crate) const BODY: &str = "blob";
    /// The number of a query for the gauges, as a string.
    pub(crate) const QUERY: &str = "cookie";
    /// The values of the gauges.
    pub(crate) const GAUGES: &str = "stats";
    /// The outcome of a run, the command that was declined, or how the engine came up.
    pub(crate) const DETAIL: &str = "how";
    /// The time that a run took, or since the engine came up, in milliseconds.
    pub(crate) const DURATION_MS: &str = "duration";
}

/// Outcomes of runs.
pub(super) mod run_outcome {
    /// It has a result.
    pub(crate) const COMPLETED: &str = "good";
    /// It failed.
    pub(crate) const FAILED: &str = "bad";
    /// It was cancelled.
    pub(crate) const CANCELLED: &str = "cut";
    /// There is no such run any more.
    pub(crate) const ALREADY_ENDED: &str = "gone";
}

/// How the engine came up: with this server, its caches cold. Any other word says that it ran before.
pub(super) const NEW_ENGINE: &str = "new";

#[cfg(test)]
mod tests;
