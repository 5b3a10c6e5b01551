//! Checks the record of a soak run for violated rules.

use super::clients::{ClientAnswer, SentRequest, TIMEOUT_MS};
use super::plan::IDEMPOTENCY_KEY_HANDLER;
use super::player::PlayRecord;
use crate::engine::RunEvent;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use std::fmt::{Display, Formatter};
use std::time::Duration;

/// Maximum time between the end of a request's timeout and its answer: the slack that the protocol allows plus the
/// delay of this process.
const ANSWER_SLACK: Duration = Duration::from_millis(110);
/// Time before the end of a connection within which the protocol assumes that a request and the close crossed on the
/// network.
const CLOSE_CROSSING: Duration = Duration::from_millis(50);
/// Counters that must be zero once every request is answered and every engine run has ended.
const ZERO_WHEN_IDLE: [&str; 3] = ["open", "in_hand", "calls.out"];

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule, with the same text for all its violations.
    pub rule: &'static str,
    /// What happened. For a rule about a request, this includes the events of the request.
    pub what: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.rule, self.what)
    }
}

/// Returns all violations in the record of a soak run.
pub fn violations(record: &PlayRecord) -> Vec<Violation> {
    let mut found = vec![];
    for request in &record.requests {
        let broken = broken_rules(record, request);
        let what = || describe(record, request);
        found.extend(
            broken
                .into_iter()
                .map(|rule| Violation { rule, what: what() }),
        );
    }
    if record.exit_status != Some(0) {
        found.push(Violation {
            rule: "the server exits by itself, with status 0, before the kill",
            what: format!("exit status {:?}", record.exit_status),
        });
    }
    for name in ZERO_WHEN_IDLE {
        let value = record.counters.get(name);
        if value != Some(&0) {
            found.push(Violation {
                rule: "nothing is in flight when the server is idle",
                what: format!("counter {name} is {value:?}"),
            });
        }
    }
    found
}

/// Returns the rules that the server broke in handling a request.
fn broken_rules(record: &PlayRecord, request: &SentRequest) -> Vec<&'static str> {
    let events = events_of(record, request);
    let mut broken = vec![];
    let is_answered = !request.answers.is_empty();
    if !is_answered && request.withdrawn.is_none() && !crossed_connection_close(request) {
        broken.push("each request gets an answer");
    }
    if request.answers.len() > 1 {
        broken.push("no request gets two answers");
    }
    if request
        .answers
        .first()
        .is_some_and(|(_, at)| is_late(request, *at))
    {
        broken.push("answers arrive before the timeout");
    }
    if request
        .answers
        .iter()
        .any(|(answer, _)| !has_valid_result(request, answer, events))
    {
        broken.push("a served answer is the result of a run");
    }
    let runs = record
        .engine
        .bodies
        .get(&request.body)
        .copied()
        .unwrap_or(0);
    if runs > 1 && request.planned.handler == IDEMPOTENCY_KEY_HANDLER {
        broken.push("no request runs twice within its repeat window");
    }
    let was_rejected = matches!(request.answers.first(), Some((ClientAnswer::Rejected, _)));
    if runs > 0 && was_rejected {
        broken.push("a rejected request does not run");
    }
    if was_halted_before_run(events) {
        broken.push("the engine is sent RUN before HALT");
    }
    let was_served = matches!(request.answers.first(), Some((ClientAnswer::Served(_), _)));
    if request.planned.must_be_served && !was_served {
        broken.push("every request is served in the phase without faults");
    }
    broken
}

/// Reports whether a request was sent so shortly before its connection ended that the protocol lets the client send it
/// again. Such a request needs no answer.
fn crossed_connection_close(request: &SentRequest) -> bool {
    let disconnected = request.disconnected;
    disconnected.is_some_and(|at| at.saturating_sub(request.sent) <= CLOSE_CROSSING)
}

fn is_late(request: &SentRequest, at: Duration) -> bool {
    request.withdrawn.is_none()
        && at > request.sent + Duration::from_millis(TIMEOUT_MS) + ANSWER_SLACK
}

/// Reports whether an answer is the result that the engine made for this request. Answers without a result are always
/// valid.
fn has_valid_result(request: &SentRequest, answer: &ClientAnswer, events: &[RunEvent]) -> bool {
    let ClientAnswer::Served(result) = answer else {
        return true;
    };
    let has_run = events.iter().any(|event| event.kind == "DONE good");
    has_run && *result == BASE64.encode(&request.name)
}

fn was_halted_before_run(events: &[RunEvent]) -> bool {
    let was_sent = |kind: &str| events.iter().any(|event| event.kind == kind);
    was_sent("HALT") && !was_sent("RUN")
}

fn events_of<'a>(record: &'a PlayRecord, request: &SentRequest) -> &'a [RunEvent] {
    record
        .engine
        .runs
        .get(&request.name)
        .map_or(&[], Vec::as_slice)
}

/// Describes in one line what happened to a request.
fn describe(record: &PlayRecord, request: &SentRequest) -> String {
    let events: Vec<String> = events_of(record, request)
        .iter()
        .map(|event| format!("{} at {} ms", event.kind, event.at.as_millis()))
        .collect();
    let answers: Vec<String> = request
        .answers
        .iter()
        .map(|(answer, at)| format!("{answer:?} at {} ms", at.as_millis()))
        .collect();
    let after = |what: &str, at: Option<Duration>| {
        at.map_or(String::new(), |at| {
            format!(", {what} at {} ms", at.as_millis())
        })
    };
    let withdrawn = after("withdrawn", request.withdrawn);
    let disconnected = after("disconnected", request.disconnected);
    format!(
        "request {} sent at {} ms{withdrawn}{disconnected}; answers [{}]; engine (its own clock) [{}]; log [{}]",
        request.name,
        request.sent.as_millis(),
        answers.join(", "),
        events.join(", "),
        log_lines(record, request).join("; "),
    )
}

/// Returns the lines of the server's log that contain the name of the request's attempt.
fn log_lines<'a>(record: &'a PlayRecord, request: &SentRequest) -> Vec<&'a str> {
    let lines = record.log.iter().map(String::as_str);
    lines.filter(|line| line.contains(&request.name)).collect()
}
