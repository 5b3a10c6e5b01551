//! Validates what an arriving request says of itself and puts names into small numbers.
//!
//! Owns: the names of handlers and tenants, the bounds on a request's durations, and the numbering of requests. Is
//! given: the members of a request's params, the time of reading and the idempotency table. `param_reader` reads the
//! members one by one; whatever is out of range is rejected before the decision module counts it. Never enters a
//! request anywhere and never answers one.

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

/// A request may wait or work for this many times its handler's timeout.
const MAX_DURATION_IN_TIMEOUTS: f64 = 10.0;

/// A request as its line has it: what decisions need, and its body as it came.
pub struct ValidatedRequest<'a> {
    /// What the decision module is given.
    pub arrival: Arrival,
    /// How long its client waits from now on: what is left of the timeout that it carries, or of its handler's.
    pub client_waits: Duration,
    /// The name of this attempt on all wires.
    pub name: AttemptName,
    /// The idempotency key, where the handler has one.
    pub key: Option<IdempotencyKey>,
    /// Hash of handler and body, the same for all attempts with the key; 0 without a key.
    pub fingerprint: u64,
    /// The body, a JSON string with its quotes.
    pub body: &'a str,
}

/// The bounds and the retry safety of one handler.
struct HandlerRules {
    retry_safety: RetrySafety,
    /// How long a client waits that says nothing of it.
    timeout: Duration,
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

impl RequestValidator {
    /// A validator by the settings' handlers, tenants and rules.
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
            client_waits: self.client_waits(&arrival),
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

    /// How long the client of a request waits: what is left of the timeout that it carries, or of its handler's.
    fn client_waits(&self, arrival: &Arrival) -> Duration {
        if self.requests_carry_timeout {
            return arrival.timeout;
        }
        let handler_timeout = self.rules[arrival.handler.index()].timeout;
        handler_timeout.saturating_sub(arrival.read_delay)
    }

    /// The tenant of a request; the first id where the settings have none.
    fn tenant(&self, reader: &ParamReader) -> Result<TenantId, InvalidRequest> {
        if self.tenants.is_empty() {
            return Ok(TenantId::default());
        }
        reader.tenant(|name| self.tenants.get(name).copied())
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
        reader.idempotency_key().map(Some)
    }
}

#[cfg(test)]
mod tests;
