//! Parses one notice of the engine: its members, read from a line and mapped to the terms of the code.
//!
//! A notice borrows the text of its line. What it means for a request is decided elsewhere.

use super::wire_names::{NEW_ENGINE, command, member, run_outcome};
use crate::support::attempt_name::AttemptName;
use crate::support::json::{JsonObject, number, unsigned};
use madderbay::interface::Outcome;
use madderbay::time::Duration;
use std::borrow::Cow;
use std::fmt::{Display, Formatter};

/// The result, as a JSON value, of a run that has none.
const NO_RESULT: &str = "\"\"";

/// The reason why a line is not a valid notice.
#[derive(Debug, thiserror::Error)]
pub(super) enum NoticeError {
    #[error("the line is not a JSON object")]
    Json,
    #[error("the kind of the notice is unknown")]
    Kind,
    #[error("member {0} is missing or invalid")]
    Member(&'static str),
}

/// How and when the engine started. Displayed as the word that the engine sent.
#[derive(Clone, Copy, Debug)]
pub struct EngineStart<'a> {
    mode: &'a str,
    age: Duration,
}

impl<'a> EngineStart<'a> {
    /// Creates the start of an engine that has been up for `age`. `mode` is the word that the engine sent.
    pub fn new(mode: &'a str, age: Duration) -> EngineStart<'a> {
        EngineStart { mode, age }
    }

    /// Reports whether the engine started together with this server, with cold caches.
    pub fn is_new(&self) -> bool {
        self.mode == NEW_ENGINE
    }

    /// Returns the time since the engine started.
    pub fn age(&self) -> Duration {
        self.age
    }
}

impl Display for EngineStart<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.mode)
    }
}

/// A command that the engine did not carry out. Displayed as its kind in the protocol.
#[derive(Clone, Copy, Debug)]
pub struct DeclinedCommand<'a>(&'a str);

impl<'a> DeclinedCommand<'a> {
    /// Creates a declined command from its kind in the protocol.
    pub(super) fn new(kind: &'a str) -> DeclinedCommand<'a> {
        DeclinedCommand(kind)
    }

    /// Reports whether it was the command to run a request.
    pub fn is_run(&self) -> bool {
        self.0 == command::RUN
    }

    /// Reports whether it was the command to cancel a run.
    pub fn is_cancel(&self) -> bool {
        self.0 == command::CANCEL
    }
}

impl Display for DeclinedCommand<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

/// A notice as its members.
pub(super) struct Notice<'a> {
    members: JsonObject<'a>,
}

impl<'a> Notice<'a> {
    /// Parses the members of a line.
    pub(super) fn read(line: &'a [u8]) -> Result<Notice<'a>, NoticeError> {
        let text = std::str::from_utf8(line).map_err(|_| NoticeError::Json)?;
        let members = JsonObject::read(text).ok_or(NoticeError::Json)?;
        Ok(Notice { members })
    }

    /// Returns the text of a required member.
    fn text(&self, member: &'static str) -> Result<Cow<'a, str>, NoticeError> {
        self.members.text(member).ok_or(NoticeError::Member(member))
    }

    /// Returns the kind of the notice.
    pub(super) fn kind(&self) -> Result<Cow<'a, str>, NoticeError> {
        self.text(member::KIND)
    }

    /// Returns the serial of the notice, if notices of its kind have one.
    pub(super) fn serial(&self) -> Option<u64> {
        self.members.unsigned(member::SERIAL)
    }

    /// Returns the name of the attempt that the notice is about.
    pub(super) fn attempt_name(&self) -> Result<AttemptName, NoticeError> {
        let name = self.text(member::ATTEMPT_NAME)?;
        name.as_bytes()
            .try_into()
            .map_err(|_| NoticeError::Member(member::ATTEMPT_NAME))
    }

    /// Returns the member whose meaning depends on the kind: the outcome of a run, the declined command, or how the
    /// engine started.
    pub(super) fn detail(&self) -> Result<Cow<'a, str>, NoticeError> {
        self.text(member::DETAIL)
    }

    /// Returns the duration, or zero if the notice has none.
    pub(super) fn duration(&self) -> Duration {
        let millis = self.members.number(member::DURATION_MS);
        millis.map_or(Duration::ZERO, |ms| Duration::from_secs_f64(ms / 1e3))
    }

    /// Returns the outcome of a run.
    pub(super) fn run_outcome(&self) -> Result<Outcome, NoticeError> {
        match &*self.detail()? {
            run_outcome::COMPLETED => Ok(Outcome::Completed),
            run_outcome::FAILED => Ok(Outcome::Failed),
            run_outcome::CANCELLED => Ok(Outcome::Cancelled),
            run_outcome::ALREADY_ENDED => Ok(Outcome::AlreadyEnded),
            _ => Err(NoticeError::Member(member::DETAIL)),
        }
    }

    /// Returns the body, in base64, of the call that a run waits for.
    pub(super) fn call_body(&self) -> Result<Cow<'a, str>, NoticeError> {
        self.text(member::BODY)
    }

    /// Returns the result of a run as it was written.
    pub(super) fn result(&self) -> &'a str {
        self.members.raw(member::BODY).unwrap_or(NO_RESULT)
    }

    /// Returns the gauges as they were written, without the enclosing brackets.
    pub(super) fn gauge_list(&self) -> Result<&'a str, NoticeError> {
        let array = self.members.raw(member::GAUGES);
        array
            .and_then(|array| array.strip_prefix('[')?.strip_suffix(']'))
            .ok_or(NoticeError::Member(member::GAUGES))
    }

    /// Returns the number of the query that the gauges answer.
    pub(super) fn query(&self) -> Result<u64, NoticeError> {
        unsigned(&self.text(member::QUERY)?).ok_or(NoticeError::Member(member::QUERY))
    }
}

/// Parses a comma-separated list of numbers.
pub(super) fn gauge_values(list: &str) -> Result<Vec<f64>, NoticeError> {
    let values: Option<Vec<f64>> = list.split(',').map(|value| number(value.trim())).collect();
    values.ok_or(NoticeError::Member(member::GAUGES))
}
