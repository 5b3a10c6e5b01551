//! Reads the params of one request, one method per member.
//!
//! `ParamReader` defines the bounds on each member and reads the raw members. It knows no handlers and checks each
//! member on its own.

use super::invalid_request::InvalidRequest;
use crate::downstream::idempotency_table::IdempotencyKey;
use crate::downstream::wire_names::param;
use crate::support::attempt_name::{self, AttemptName};
use crate::support::json::{JsonObject, number, text, unsigned};
use madderbay::interface::TenantId;
use madderbay::time::{Duration, Timestamp};

/// How far ahead of this server's clock the sending time may be; no two clocks differ by more.
const MAX_CLOCK_LEAD: Duration = Duration::from_millis(1_000);
/// How far in the past the sending time may be; no process pauses for longer.
const MAX_READ_DELAY: Duration = Duration::from_millis(600_000);
/// Exclusive upper bound on the memory of a run, in KB.
const MEMORY_LIMIT_KB: f64 = 2_000.0;
/// Maximum length of a body: 2 KiB in base64.
const MAX_BODY_BYTES: usize = 2_732;
/// Number of hex digits of an idempotency key.
const IDEMPOTENCY_KEY_DIGITS: usize = 32;

/// Reads the params of one request. Each method returns the error that belongs to its member.
pub(super) struct ParamReader<'p, 'a> {
    params: &'p JsonObject<'a>,
}

impl<'p, 'a> ParamReader<'p, 'a> {
    /// Creates a reader of these params.
    pub(super) fn new(params: &'p JsonObject<'a>) -> ParamReader<'p, 'a> {
        ParamReader { params }
    }

    /// Parses a member that may be missing.
    fn optional<T>(
        &self,
        member: &str,
        parse: impl FnOnce(&'a str) -> Option<T>,
        error: InvalidRequest,
    ) -> Result<Option<T>, InvalidRequest> {
        self.params
            .raw(member)
            .map(|raw| parse(raw).ok_or(error))
            .transpose()
    }

    /// Parses a member that is required.
    fn required<T>(
        &self,
        member: &str,
        parse: impl FnOnce(&'a str) -> Option<T>,
        error: InvalidRequest,
    ) -> Result<T, InvalidRequest> {
        self.optional(member, parse, error)?.ok_or(error)
    }

    /// Reads the name of the attempt.
    pub(super) fn attempt_name(&self) -> Result<AttemptName, InvalidRequest> {
        let error = InvalidRequest::AttemptName;
        self.required(param::ATTEMPT_NAME, attempt_name, error)
    }

    /// Reads the time at which the request was sent, and rejects one that is too far from `now`.
    pub(super) fn sent_at(&self, now: Timestamp) -> Result<Timestamp, InvalidRequest> {
        let millis = self.required(param::SENT_AT, unsigned, InvalidRequest::SentAt)?;
        let sent_at = Timestamp::from_micros(millis.saturating_mul(1000));
        if sent_at > now + MAX_CLOCK_LEAD || sent_at + MAX_READ_DELAY < now {
            return Err(InvalidRequest::SentAtRange);
        }
        Ok(sent_at)
    }

    /// Reads the body, a JSON string with its quotes.
    pub(super) fn body(&self) -> Result<&'a str, InvalidRequest> {
        self.required(param::BODY, base64_body, InvalidRequest::Body)
    }

    /// Reads how long the client waits, at most `max_ms`, if the request states it.
    pub(super) fn timeout(&self, max_ms: f64) -> Result<Option<Duration>, InvalidRequest> {
        self.millis(param::TIMEOUT_MS, max_ms, InvalidRequest::Timeout)
    }

    /// Reads the expected work, at most `max_ms`, if the request states it.
    pub(super) fn work_hint(&self, max_ms: f64) -> Result<Option<Duration>, InvalidRequest> {
        self.millis(param::WORK_MS, max_ms, InvalidRequest::Work)
    }

    /// Reads the tenant, whose name `id` maps to an id. An unknown name is an error.
    pub(super) fn tenant(
        &self,
        id: impl FnOnce(&str) -> Option<TenantId>,
    ) -> Result<TenantId, InvalidRequest> {
        let known = |raw| id(&text(raw)?);
        self.required(param::TENANT, known, InvalidRequest::Tenant)
    }

    /// Reads the idempotency key.
    pub(super) fn idempotency_key(&self) -> Result<IdempotencyKey, InvalidRequest> {
        let error = InvalidRequest::IdempotencyKey;
        self.required(param::IDEMPOTENCY_KEY, idempotency_key, error)
    }

    /// Reads the client's number, if there is one.
    pub(super) fn client(&self) -> Result<Option<u64>, InvalidRequest> {
        self.optional(param::CLIENT, unsigned, InvalidRequest::Client)
    }

    /// Reads the key of the upstream call, if there is one.
    pub(super) fn subject(&self) -> Result<Option<u64>, InvalidRequest> {
        self.optional(param::SUBJECT, subject, InvalidRequest::Subject)
    }

    /// Reads an optional duration: a positive number of milliseconds up to `max_ms`.
    fn millis(
        &self,
        member: &str,
        max_ms: f64,
        error: InvalidRequest,
    ) -> Result<Option<Duration>, InvalidRequest> {
        let in_range = |raw| number(raw).filter(|ms| *ms > 0.0 && *ms <= max_ms);
        let millis = self.optional(member, in_range, error)?;
        Ok(millis.map(|ms| Duration::from_secs_f64(ms / 1e3)))
    }

    /// Reads the memory that the run needs, in KB.
    pub(super) fn memory_kb(&self) -> Result<f64, InvalidRequest> {
        let in_range = |raw| number(raw).filter(|kb| *kb > 0.0 && *kb < MEMORY_LIMIT_KB);
        self.required(param::MEMORY_KB, in_range, InvalidRequest::Memory)
    }

    /// Reads the rank within the handler, from 0 to under 1; 0 if it is missing.
    pub(super) fn rank(&self) -> Result<f64, InvalidRequest> {
        let in_range = |raw| number(raw).filter(|rank| (0.0..1.0).contains(rank));
        let rank = self.optional(param::RANK, in_range, InvalidRequest::Rank)?;
        Ok(rank.unwrap_or(0.0))
    }

    /// Reports whether the attempt is marked as a retry.
    pub(super) fn is_retry(&self) -> bool {
        self.params
            .raw(param::IS_RETRY)
            .is_some_and(|raw| raw == "true" || raw == "1")
    }
}

/// Parses the name of an attempt from a raw JSON value.
fn attempt_name(raw: &str) -> Option<AttemptName> {
    attempt_name::parse(&text(raw)?)
}

/// Parses an idempotency key from a raw JSON value.
fn idempotency_key(raw: &str) -> Option<IdempotencyKey> {
    let digits = text(raw)?;
    let is_key = digits.len() == IDEMPOTENCY_KEY_DIGITS
        && digits.bytes().all(|digit| digit.is_ascii_hexdigit());
    if !is_key {
        return None;
    }
    IdempotencyKey::from_str_radix(&digits, 16).ok()
}

/// Parses the key of an upstream call from a raw JSON value: 16 hex digits, like the name of an attempt.
fn subject(raw: &str) -> Option<u64> {
    u64::from_str_radix(attempt_name::as_text(&attempt_name(raw)?), 16).ok()
}

/// Returns the raw value if it is a base64 string no longer than [`MAX_BODY_BYTES`]. The engine accepts nothing
/// else.
fn base64_body(raw: &str) -> Option<&str> {
    let text = text(raw)?;
    let digits = text.trim_end_matches('=');
    let is_digit = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'+' || byte == b'/';
    let is_body = text.len() <= MAX_BODY_BYTES
        && text.len().is_multiple_of(4)
        && text.len() - digits.len() <= 2
        && digits.bytes().all(is_digit);
    is_body.then_some(raw)
}
