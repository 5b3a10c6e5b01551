//! Validates the params of an arriving request and maps names to the ids that decisions use.
//!
//! `RequestValidator` owns the names of the handlers and tenants, the bounds on the durations that a request
//! states, and the numbering of requests. It is given the params of a request, the time at which they were read and
//! the idempotency table. `param_reader` reads the members one by one. A request that is out of range is rejected
//! before the decision module counts it. This module neither stores nor answers requests.

mod invalid_request;
mod param_reader;

use self::param_reader::ParamReader;
use crate::downstream::idempotency_table::{IdempotencyKey, IdempotencyTable};
use crate::support::attempt_name::AttemptName;
use crate::support::json::JsonObject;
use madderbay::interface::{Arrival, HandlerId, RetrySafety, TenantId};
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::Settings;
use siphasher::sip::SipHasher24;
use std::collections::HashMap;
use std::hash::Hasher;
use std::rc::Rc;

pub use invalid_request::InvalidRequest;

/// Upper bound on the timeout and on the expected work of a request, as a multiple of its handler's timeout.
const MAX_DURATION_IN_TIMEOUTS: f64 = 10.0;

/// A validated request: the input of decisions, and the body as received.
pub struct ValidatedRequest<'a> {
    /// The input of the decision module.
    pub arrival: Arrival,
    /// The time for which the client still waits: the rest of the request's own timeout, or of its handler's.
    pub client_waits: Duration,
    /// The name of this attempt in all protocols.
    pub name: AttemptName,
    /// The idempotency key, where the handler has one.
    pub key: Option<IdempotencyKey>,
    /// Hash of handler and body, the same for all attempts with the key; 0 without a key.
    pub fingerprint: u64,
    /// The body, a JSON string with its quotes.
    pub body: &'a str,
}

/// The retry safety of one handler and the bounds on its requests.
struct HandlerRules {
    retry_safety: RetrySafety,
    /// The time for which a client waits if its request carries no timeout.
    timeout: Duration,
    /// Upper bound on the timeout and the expected work that a request states, in milliseconds.
    max_duration_ms: f64,
    /// The handler's name as a JSON string with its quotes.
    quoted_name: Rc<str>,
}

/// Validates requests according to the settings.
pub struct RequestValidator {
    handlers: HashMap<String, HandlerId>,
    rules: Vec<HandlerRules>,
    tenants: HashMap<String, TenantId>,
    requests_carry_timeout: bool,
    last_request_id: u64,
}

/// Maps each name to its id. The names are in the order of their indices.
fn ids_by_name<Id>(names: &[String], id: impl Fn(usize) -> Id) -> HashMap<String, Id> {
    names
        .iter()
        .cloned()
        .enumerate()
        .map(|(index, name)| (name, id(index)))
        .collect()
}

impl RequestValidator {
    /// Creates a validator for the handlers, the tenants and the rules of the settings.
    pub fn new(settings: &Settings) -> RequestValidator {
        let rules = settings.handlers.iter().zip(&settings.handler_names);
        RequestValidator {
            handlers: ids_by_name(&settings.handler_names, HandlerId::new),
            rules: rules
                .map(|(handler, name)| HandlerRules {
                    retry_safety: handler.retry_safety,
                    timeout: handler.timeout,
                    max_duration_ms: handler.timeout.as_secs_f64() * 1e3 * MAX_DURATION_IN_TIMEOUTS,
                    quoted_name: serde_json::Value::from(name.as_str()).to_string().into(),
                })
                .collect(),
            tenants: ids_by_name(&settings.tenant_names, TenantId::new),
            requests_carry_timeout: settings.rules.requests_carry_timeout,
            last_request_id: 0,
        }
    }

    /// Returns the handler that a JSON-RPC method names, if there is one.
    pub fn handler(&self, method: &str) -> Option<HandlerId> {
        self.handlers.get(method).copied()
    }

    /// Returns the name of a handler as a JSON string with its quotes.
    pub fn quoted_name(&self, handler: HandlerId) -> Rc<str> {
        self.rules[handler.index()].quoted_name.clone()
    }

    /// Validates a request that was read at `now`, and assigns it an id.
    ///
    /// # Errors
    /// The first member, in a fixed order, that is missing, malformed or out of range. Checked last: an idempotency
    /// key that is known with another body.
    pub fn validate<'a>(
        &mut self,
        now: Timestamp,
        handler: HandlerId,
        params: &JsonObject<'a>,
        keys: &IdempotencyTable,
    ) -> Result<ValidatedRequest<'a>, InvalidRequest> {
        let reader = ParamReader::new(params);
        let max_ms = self.rules[handler.index()].max_duration_ms;
        let name = reader.attempt_name()?;
        let arrived = reader.sent_at(now)?.min(now);
        let body = reader.body()?;
        let memory_kb = reader.memory_kb()?;
        let timeout = reader.timeout(max_ms)?;
        let work_hint = reader.work_hint(max_ms)?;
        let timeout = self.remaining_timeout(now, arrived, timeout)?;
        let tenant = self.tenant(&reader)?;
        let key = self.key(handler, &reader)?;
        let client = reader.client()?;
        let rank = reader.rank()?;
        let subject = reader.subject()?;
        let fingerprint = key.map_or(0, |_| self.fingerprint(handler, body));
        let retry_of = key.map_or(Ok(None), |key| keys.newest_attempt(key, fingerprint))?;
        self.last_request_id += 1;
        let arrival = Arrival {
            id: self.last_request_id,
            // Only the lower 16 bits are used: clients whose numbers share them count as one.
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
            client_waits: self.client_waits(&arrival),
            arrival,
            name,
            key,
            fingerprint,
            body,
        })
    }

    /// Returns the hash of handler and body, which all attempts with one key share. It is stored, so it must be the
    /// same in every incarnation.
    fn fingerprint(&self, handler: HandlerId, body: &str) -> u64 {
        let mut hasher = SipHasher24::new();
        hasher.write(self.rules[handler.index()].quoted_name.as_bytes());
        hasher.write(body.as_bytes());
        hasher.finish()
    }

    /// Returns what is left of the request's timeout, or zero where the settings don't have requests carry one.
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

    /// Returns the time for which the client still waits: the rest of the request's own timeout, or of its
    /// handler's.
    fn client_waits(&self, arrival: &Arrival) -> Duration {
        if self.requests_carry_timeout {
            return arrival.timeout;
        }
        let handler_timeout = self.rules[arrival.handler.index()].timeout;
        handler_timeout.saturating_sub(arrival.read_delay)
    }

    /// Returns the tenant of a request, or the first id where the settings have no tenants.
    fn tenant(&self, reader: &ParamReader) -> Result<TenantId, InvalidRequest> {
        if self.tenants.is_empty() {
            return Ok(TenantId::default());
        }
        reader.tenant(|name| self.tenants.get(name).copied())
    }

    /// Returns the idempotency key of a request if its handler requires one.
    fn key(
        &self,
        handler: HandlerId,
        reader: &ParamReader,
    ) -> Result<Option<IdempotencyKey>, InvalidRequest> {
        if self.rules[handler.index()].retry_safety != RetrySafety::Keyed {
            return Ok(None);
        }
        reader.idempotency_key().map(Some)
    }
}

#[cfg(test)]
mod tests;
