//! The errors that a client receives for an invalid request.

use crate::downstream::idempotency_table::FingerprintMismatch;
use crate::downstream::wire_names::param;

/// The reason why a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The name of the attempt is missing or malformed.
    #[error("{} is not 16 hex digits", param::ATTEMPT_NAME)]
    AttemptName,
    /// An attempt with the same name is in flight.
    #[error("{} is in use", param::ATTEMPT_NAME)]
    AttemptNameInUse,
    /// The sending time is missing or not a number of milliseconds.
    #[error("{} is not a time in milliseconds", param::SENT_AT)]
    SentAt,
    /// The sending time is further from now than clocks differ or processes pause.
    #[error("{} is out of range", param::SENT_AT)]
    SentAtRange,
    /// The body is missing, too long or not base64.
    #[error("{} is not a body in base64", param::BODY)]
    Body,
    /// The memory is missing or out of range.
    #[error("{} is not a size in KB", param::MEMORY_KB)]
    Memory,
    /// The timeout is out of range, or missing where the settings demand one.
    #[error("{} is not a time in milliseconds", param::TIMEOUT_MS)]
    Timeout,
    /// The expected work is out of range.
    #[error("{} is not a work in milliseconds", param::WORK_MS)]
    Work,
    /// The tenant is missing or unknown.
    #[error("{} is not among the settings' tenants", param::TENANT)]
    Tenant,
    /// The idempotency key is missing or malformed.
    #[error("{} is not 32 hex digits", param::IDEMPOTENCY_KEY)]
    IdempotencyKey,
    /// The idempotency key was used before with another handler or body.
    #[error(transparent)]
    Fingerprint(#[from] FingerprintMismatch),
    /// The client's number is malformed.
    #[error("{} is not a number", param::CLIENT)]
    Client,
    /// The rank is out of range.
    #[error("{} is not from 0 to under 1", param::RANK)]
    Rank,
    /// The key of the upstream call is malformed.
    #[error("{} is not 16 hex digits", param::SUBJECT)]
    Subject,
}
