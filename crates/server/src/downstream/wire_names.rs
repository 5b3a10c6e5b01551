//! The names and codes of the JSON-RPC protocol that clients depend on, each written once.
//!
//! Owns: the members, the methods, the error codes and the error messages of the downstream wire. Never changes
//! with the names of the code: other programs read and write these.

/// The protocol version in every message.
pub(super) const VERSION: &str = "2.0";

/// Methods beside the handlers' names.
pub(super) mod method {
    /// The client does not wait for a request any more.
    pub const FORGET: &str = "forget";
    /// The health check.
    pub const IS_WELL: &str = "isWell";
    /// The notice that a connection is to end.
    pub const LEAVING: &str = "leaving";
}

/// Members of the envelope of calls and answers.
pub(super) mod envelope {
    /// The protocol version.
    pub const VERSION: &str = "jsonrpc";
    /// The id that an answer shares with its call.
    pub const ID: &str = "id";
    /// The name of what is called.
    pub const METHOD: &str = "method";
    /// The arguments of a call.
    pub const PARAMS: &str = "params";
    /// The outcome of a call that succeeded.
    pub const RESULT: &str = "result";
    /// The outcome of a call that did not.
    pub const ERROR: &str = "error";
    /// The code of an error.
    pub const CODE: &str = "code";
    /// The text of an error.
    pub const MESSAGE: &str = "message";
    /// Further members of an error.
    pub const DATA: &str = "data";
}

/// Members of a request's params.
pub(super) mod param {
    /// The name of one attempt, 16 hex digits.
    pub const ATTEMPT_NAME: &str = "ref";
    /// The id of a request that is withdrawn.
    pub const WITHDRAWN_ID: &str = "id";
    /// When the attempt was sent, in milliseconds of this server's clock.
    pub const SENT_AT: &str = "since";
    /// The body in base64.
    pub const BODY: &str = "bytes";
    /// Memory that the run takes, in KB.
    pub const MEMORY_KB: &str = "room";
    /// How long the client waits, in milliseconds.
    pub const TIMEOUT_MS: &str = "allow";
    /// The expected work, in milliseconds.
    pub const WORK_MS: &str = "effort";
    /// The name of the tenant.
    pub const TENANT: &str = "project";
    /// The idempotency key, 32 hex digits.
    pub const IDEMPOTENCY_KEY: &str = "replay";
    /// The number of the client.
    pub const CLIENT: &str = "sender";
    /// The rank within the handler, from 0 to under 1.
    pub const RANK: &str = "class_rank";
    /// The key of the upstream call, 16 hex digits.
    pub const SUBJECT: &str = "lookup";
    /// Whether the attempt is a retry.
    pub const IS_RETRY: &str = "dup";
}

/// Members of answers.
pub(super) mod answer {
    /// The result in base64.
    pub const BODY: &str = "bytes";
    /// The answer of a health check.
    pub const HEALTHY: &str = "fit";
    /// The load report.
    pub const LOAD_REPORT: &str = "pressure";
    /// Retry-After, in milliseconds.
    pub const RETRY_AFTER_MS: &str = "cooldown";
    /// No other server would admit the request either.
    pub const NO_SERVER_ADMITS: &str = "nowhere";
}

/// Error codes; those from -32700 to -32600 are the standard's.
pub(super) mod error_code {
    /// The line is no JSON.
    pub const PARSE_ERROR: i32 = -32700;
    /// The line is no call.
    pub const INVALID_REQUEST: i32 = -32600;
    /// There is no such handler.
    pub const METHOD_NOT_FOUND: i32 = -32601;
    /// The params are not those of a request.
    pub const INVALID_PARAMS: i32 = -32602;
    /// The request failed after a possible effect.
    pub const FAILED: i32 = -32001;
    /// The request was rejected and never ran.
    pub const REJECTED: i32 = -32002;
}

/// Messages of the errors that concern a readable request.
pub(super) mod error_message {
    /// The request failed after a possible effect.
    pub const FAILED: &str = "errored";
    /// The request was rejected and never ran.
    pub const REJECTED: &str = "shed";
}
