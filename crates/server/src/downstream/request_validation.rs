//! Validates what an arriving request says of itself and puts names into small numbers.
//!
//! Owns: the names of handlers and tenants, the bounds on a request's own figures, and the numbering of
//! requests. Is given: the members of a request's params, the time of reading and the idempotency table. Rejects
//! whatever is out of range before the decision module counts it. Never enters a request anywhere and never
//! answers one.

use crate::downstream::idempotency_table::{FingerprintMismatch, IdempotencyKey, IdempotencyTable};
use crate::downstream::wire_names::param;
use crate::support::attempt_name::{self, AttemptName};
use crate::support::json::{JsonObject, number, text, unsigned};
use madderbay::interface::{Arrival, HandlerId, RetrySafety, TenantId};
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::Settings;
use siphasher::sip::SipHasher24;
use std::collections::HashMap;
use std::hash::Hasher;
use std::rc::Rc;

/// A request may claim to have been sent this far ahead of this server's clock: no two clocks differ by more.
const MAX_CLOCK_LEAD: Duration = Duration::from_millis(1_000);
/// A request may claim to have been sent this long ago: no process pauses for longer.
const MAX_READ_DELAY: Duration = Duration::from_millis(600_000);
/// A request may wait or work for this many times its handler's timeout.
const MAX_DURATION_IN_TIMEOUTS: f64 = 10.0;
/// Memory that no run takes, in KB.
const MEMORY_LIMIT_KB: f64 = 2_000.0;
/// Length of a body of 2 KiB in base64.
const MAX_BODY_BYTES: usize = 2_732;
/// Digits of an idempotency key.
const IDEMPOTENCY_KEY_DIGITS: usize = 32;

/// What is wrong with a request's own account of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The name of the attempt is missing or malformed.
    #[error("{} is not 16 hex digits", param::ATTEMPT_NAME)]
    AttemptName,
    /// An attempt with the same name is in flight.
    #[error("{} is in use", param::ATTEMPT_NAME)]
    AttemptNameInUse,
    /// The sending time is missing or no number of milliseconds.
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
    /// The idempotency key came again with another handler or body.
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

/// A request as its line has it: what decisions need, and its body as it came.
pub struct ValidatedRequest<'a> {
    /// What the decision module is given.
    pub arrival: Arrival,
    /// The name of this attempt on all wires.
    pub name: AttemptName,
    /// The idempotency key, where the handler has one.
    pub key: Option<IdempotencyKey>,
    /// Hash of handler and body, the same for all attempts with the key; 0 without a key.
    pub fingerprint: u64,
    /// The body, a JSON string with its quotes.
    pub body: &'a str,
}

/// Reads the params of one request member by member. Each failure is the error given with the member.
struct ParamReader<'p, 'a> {
    params: &'p JsonObject<'a>,
}

impl<'a> ParamReader<'_, 'a> {
    /// The value of a member that may be missing.
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

    /// The value of a member that must be there.
    fn required<T>(
        &self,
        member: &str,
        parse: impl FnOnce(&'a str) -> Option<T>,
        error: InvalidRequest,
    ) -> Result<T, InvalidRequest> {
        self.optional(member, parse, error)?.ok_or(error)
    }

    /// The name of the attempt.
    fn attempt_name(&self) -> Result<AttemptName, InvalidRequest> {
        let error = InvalidRequest::AttemptName;
        self.required(param::ATTEMPT_NAME, attempt_name, error)
    }

    /// The instant at which the request was sent, which is not far from now.
    fn sent_at(&self, now: Timestamp) -> Result<Timestamp, InvalidRequest> {
        let millis = self.required(param::SENT_AT, unsigned, InvalidRequest::SentAt)?;
        let sent_at = Timestamp::from_micros(millis.saturating_mul(1000));
        if sent_at > now + MAX_CLOCK_LEAD || sent_at + MAX_READ_DELAY < now {
            return Err(InvalidRequest::SentAtRange);
        }
        Ok(sent_at)
    }

    /// An optional positive number of milliseconds up to `max_ms`.
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

    /// The memory that the run takes, in KB.
    fn memory_kb(&self) -> Result<f64, InvalidRequest> {
        let in_range = |raw| number(raw).filter(|kb| *kb > 0.0 && *kb < MEMORY_LIMIT_KB);
        self.required(param::MEMORY_KB, in_range, InvalidRequest::Memory)
    }

    /// The rank within the handler.
    fn rank(&self) -> Result<f64, InvalidRequest> {
        let in_range = |raw| number(raw).filter(|r| (0.0..1.0).contains(r));
        let rank = self.optional(param::RANK, in_range, InvalidRequest::Rank)?;
        Ok(rank.unwrap_or(0.0))
    }

    /// Whether the attempt says that it is a retry.
    fn is_retry(&self) -> bool {
        self.params
            .raw(param::IS_RETRY)
            .is_some_and(|raw| raw == "true" || raw == "1")
    }
}

/// The bounds and the retry safety of one handler.
struct HandlerRules {
    retry_safety: RetrySafety,
    /// The longest that a request may say it waits or works, in milliseconds.
    max_duration_ms: f64,
    /// The handler's name as a JSON string with its quotes.
    quoted_name: Rc<str>,
}

/// Validates requests by the settings.
pub struct RequestValidator {
    handlers: HashMap<String, HandlerId>,
    rules: Vec<HandlerRules>,
    tenants: HashMap<String, TenantId>,
    requests_carry_timeout: bool,
    last_request_id: u64,
}

/// The ids of the settings' names, which stand in the order of their indices.
fn ids_by_name<Id>(names: &[String], id: impl Fn(usize) -> Id) -> HashMap<String, Id> {
    names
        .iter()
        .cloned()
        .enumerate()
        .map(|(index, name)| (name, id(index)))
        .collect()
}

/// A raw value that is the name of an attempt.
fn attempt_name(raw: &str) -> Option<AttemptName> {
    attempt_name::parse(&text(raw)?)
}

/// A raw value that is an idempotency key.
fn idempotency_key(raw: &str) -> Option<IdempotencyKey> {
    let digits = text(raw)?;
    let is_key =
        digits.len() == IDEMPOTENCY_KEY_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_key {
        return None;
    }
    IdempotencyKey::from_str_radix(&digits, 16).ok()
}

/// A raw value that is the key of an upstream call: 16 hex digits, as a name has.
fn subject(raw: &str) -> Option<u64> {
    u64::from_str_radix(attempt_name::as_text(&attempt_name(raw)?), 16).ok()
}

/// A raw value that is a string of base64, no longer than a body: the engine takes nothing else.
fn base64_body(raw: &str) -> Option<&str> {
    let text = text(raw)?;
    let digits = text.trim_end_matches('=');
    let is_digit = |b: u8| b.is_ascii_alphanumeric() || b == b'+' || b == b'/';
    let is_body = text.len() <= MAX_BODY_BYTES
        && text.len().is_multiple_of(4)
        && text.len() - digits.len() <= 2
        && digits.bytes().all(is_digit);
    is_body.then_some(raw)
}

impl RequestValidator {
    /// A validator by the settings' handlers, tenants and rules.
    pub fn new(settings: &Settings) -> RequestValidator {
        let rules = settings.handlers.iter().zip(&settings.handler_names);
        RequestValidator {
            handlers: ids_by_name(&settings.handler_names, HandlerId::new),
            rules: rules
                .map(|(handler, name)| HandlerRules {
                    retry_safety: handler.retry_safety,
                    max_duration_ms: handler.timeout.as_secs_f64() * 1e3 * MAX_DURATION_IN_TIMEOUTS,
                    quoted_name: serde_json::Value::from(name.as_str()).to_string().into(),
                })
                .collect(),
            tenants: ids_by_name(&settings.tenant_names, TenantId::new),
            requests_carry_timeout: settings.rules.requests_carry_timeout,
            last_request_id: 0,
        }
    }

    /// The handler of a JSON-RPC method.
    pub fn handler(&self, method: &str) -> Option<HandlerId> {
        self.handlers.get(method).copied()
    }

    /// The name of a handler as a JSON string with its quotes.
    pub fn quoted_name(&self, handler: HandlerId) -> Rc<str> {
        self.rules[handler.index()].quoted_name.clone()
    }

    /// Validates a request that was read at `now`, and numbers it.
    ///
    /// # Errors
    /// The first member, in a fixed order, that is missing, malformed or out of range; last, an idempotency key
    /// that is known with another body.
    pub fn validate<'a>(
        &mut self,
        now: Timestamp,
        handler: HandlerId,
        params: &JsonObject<'a>,
        keys: &IdempotencyTable,
    ) -> Result<ValidatedRequest<'a>, InvalidRequest> {
        let reader = ParamReader { params };
        let max_ms = self.rules[handler.index()].max_duration_ms;
        let name = reader.attempt_name()?;
        let arrived = reader.sent_at(now)?.min(now);
        let body = reader.required(param::BODY, base64_body, InvalidRequest::Body)?;
        let memory_kb = reader.memory_kb()?;
        let timeout = reader.millis(param::TIMEOUT_MS, max_ms, InvalidRequest::Timeout)?;
        let work_hint = reader.millis(param::WORK_MS, max_ms, InvalidRequest::Work)?;
        let timeout = self.remaining_timeout(now, arrived, timeout)?;
        let tenant = self.tenant(&reader)?;
        let key = self.key(handler, &reader)?;
        let client = reader.optional(param::CLIENT, unsigned, InvalidRequest::Client)?;
        let rank = reader.rank()?;
        let subject = reader.optional(param::SUBJECT, subject, InvalidRequest::Subject)?;
        let fingerprint = key.map_or(0, |_| self.fingerprint(handler, body));
        let retry_of = key.map_or(Ok(None), |key| keys.holder(key, fingerprint))?;
        self.last_request_id += 1;
        let arrival = Arrival {
            id: self.last_request_id,
            // Numbers that are alike in 16 bits count as one client.
            client: client.unwrap_or(0) as u16,
            handler,
            tenant,
            subject: subject.unwrap_or(0),
            timeout,
            work_hint,
            memory_kb,
            rank,
            is_retry: reader.is_retry(),
            read_delay: now - arrived,
            retry_of: retry_of.unwrap_or(0),
        };
        Ok(ValidatedRequest {
            arrival,
            name,
            key,
            fingerprint,
            body,
        })
    }

    /// The hash of handler and body that the attempts of a key share. It is stored, so it is the same in every
    /// incarnation.
    fn fingerprint(&self, handler: HandlerId, body: &str) -> u64 {
        let mut hasher = SipHasher24::new();
        hasher.write(self.rules[handler.index()].quoted_name.as_bytes());
        hasher.write(body.as_bytes());
        hasher.finish()
    }

    /// What is left of a request's timeout, where the settings have requests carry one; else zero.
    fn remaining_timeout(
        &self,
        now: Timestamp,
        arrived: Timestamp,
        timeout: Option<Duration>,
    ) -> Result<Duration, InvalidRequest> {
        if !self.requests_carry_timeout {
            return Ok(Duration::ZERO);
        }
        let timeout = timeout.ok_or(InvalidRequest::Timeout)?;
        Ok(arrived + timeout - now)
    }

    /// The tenant of a request; the first id where the settings have none.
    fn tenant(&self, reader: &ParamReader) -> Result<TenantId, InvalidRequest> {
        if self.tenants.is_empty() {
            return Ok(TenantId::default());
        }
        let known = |raw| self.tenants.get(&*text(raw)?).copied();
        reader.required(param::TENANT, known, InvalidRequest::Tenant)
    }

    /// The idempotency key of a request, where the handler demands one.
    fn key(
        &self,
        handler: HandlerId,
        reader: &ParamReader,
    ) -> Result<Option<IdempotencyKey>, InvalidRequest> {
        if self.rules[handler.index()].retry_safety != RetrySafety::Keyed {
            return Ok(None);
        }
        let error = InvalidRequest::IdempotencyKey;
        reader
            .required(param::IDEMPOTENCY_KEY, idempotency_key, error)
            .map(Some)
    }
}
