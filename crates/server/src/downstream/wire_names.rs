//! The names and codes of the JSON-RPC protocol on which clients depend.
//!
//! These are the members, the methods, the error codes and the error messages of the protocol. Other programs read
//! and write them, so they stay the same when names in the code change.

/// The protocol version in every message.
pub(super) const VERSION: &str = "2.0";

/// Methods other than the handlers' names.
pub(super) mod method {
    /// Withdraws a request: its client no longer waits for the answer.
    pub(crate) const WITHDRAW: &str = "forget";
    /// The health check.
    pub(crate) const HEALTH_CHECK: &str = "isWell";
    /// Notifies the client that the connection is about to end.
    pub(crate) const CONNECTION_ENDING: &str = "leaving";
}

/// Members of the envelope of calls and answers.
pub(super) mod envelope {
    /// The protocol version.
    pub(crate) const VERSION: &str = "jsonrpc";
    /// The id that an answer shares with its call.
    pub(crate) const ID: &str = "id";
    /// The method of a call.
    pub(crate) const METHOD: &str = "method";
    /// The arguments of a call.
    pub(crate) const PARAMS: &str = "params";
    /// The result of a call that succeeded.
    pub(crate) const RESULT: &str = "result";
    /// The error of a call that failed.
    pub(crate) const ERROR: &str = "error";
    /// The code of an error.
    pub(crate) const CODE: &str = "code";
    /// The text of an error.
    pub(crate) const MESSAGE: &str = "message";
    /// The object with the further members of an error.
    pub(crate) const DATA: &str = "data";
}

/// Members of a request's params.
pub(super) mod param {
    /// The name of the attempt, 16 hex digits.
    pub(crate) const ATTEMPT_NAME: &str = "ref";
    /// The JSON-RPC id of the request to withdraw.
    pub(crate) const WITHDRAWN_ID: &str = "id";
    /// The time at which the attempt was sent, in Unix milliseconds.
    pub(crate) const SENT_AT: &str = "since";
    /// The body of the request in base64.
    pub(crate) const BODY: &str = "bytes";
    /// The memory that the run needs, in KB.
    pub(crate) const MEMORY_KB: &str = "room";
    /// How long the client waits, in milliseconds.
    pub(crate) const TIMEOUT_MS: &str = "allow";
    /// The expected work, in milliseconds.
    pub(crate) const WORK_MS: &str = "effort";
    /// The name of the tenant.
    pub(crate) const TENANT: &str = "project";
    /// The idempotency key, 32 hex digits.
    pub(crate) const IDEMPOTENCY_KEY: &str = "replay";
    /// The number that identifies the client.
    pub(crate) const CLIENT: &str = "sender";
    /// The rank within the handler, from 0 to under 1.
    pub(crate) const RANK: &str = "class_rank";
    /// The key of the request's upstream call, 16 hex digits.
    pub(crate) const SUBJECT: &str = "lookup";
    /// Whether the attempt is a retry.
    pub(crate) const IS_RETRY: &str = "dup";
}

/// Members of answers.
pub(super) mod answer {
    /// The result in base64.
    pub(crate) const BODY: &str = "bytes";
    /// The answer to a health check.
    pub(crate) const HEALTHY: &str = "fit";
    /// The load report.
    pub(crate) const LOAD_REPORT: &str = "pressure";
    /// Retry-After, in milliseconds.
    pub(crate) const RETRY_AFTER_MS: &str = "cooldown";
    /// Set if no other server would admit the request either.
    pub(crate) const NO_SERVER_ADMITS: &str = "nowhere";
}

/// Error codes. Those from -32700 to -32600 are defined by JSON-RPC.
pub(super) mod error_code {
    /// The line is not JSON.
    pub(crate) const PARSE_ERROR: i32 = -32700;
    /// The line is not a valid call.
    pub(crate) const INVALID_REQUEST: i32 = -32600;
    /// The method is not known.
    pub(crate) const METHOD_NOT_FOUND: i32 = -32601;
    /// The params are not valid for a request.
    pub(crate) const INVALID_PARAMS: i32 = -32602;
    /// The request failed after a possible effect.
    pub(crate) const FAILED: i32 = -32001;
    /// The request was rejected and never ran.
    pub(crate) const REJECTED: i32 = -32002;
}

/// Messages of the errors with which valid requests are answered.
pub(super) mod error_message {
    /// The request failed after a possible effect.
    pub(crate) const FAILED: &str = "errored";
    /// The request was rejected and never ran.
    pub(crate) const REJECTED: &str = "shed";
}

#[cfg(test)]
mod tests;
