//! One notice of the engine: its members, read from a line and mapped to the code's terms.
//!
//! Owns nothing. Is given the text of a line. Never says what a notice means for a request.

use super::wire_names::{NEW_ENGINE, command, member, run_outcome};
use crate::support::attempt_name::AttemptName;
use crate::support::json::{JsonObject, number, unsigned};
use madderbay::interface::Outcome;
use madderbay::time::Duration;
use std::borrow::Cow;
use std::fmt::{Display, Formatter};

/// The result of a run without one, as a JSON value.
const NO_RESULT: &str = "\"\"";

/// Why a line is no notice.
#[derive(Debug, thiserror::Error)]
pub(super) enum NoticeError {
    #[error("the line is no JSON object")]
    Json,
    #[error("the kind of the notice is unknown")]
    Kind,
    #[error("member {0} is missing or invalid")]
    Member(&'static str),
}

/// How and when the engine came up. It prints as the engine's own word for how.
#[derive(Clone, Copy, Debug)]
pub struct EngineStart<'a> {
    mode: &'a str,
    age: Duration,
}

impl<'a> EngineStart<'a> {
    /// The start of an engine that is up since `age`; `mode` is its own word.
    pub fn new(mode: &'a str, age: Duration) -> EngineStart<'a> {
        EngineStart { mode, age }
    }

    /// Whether the engine came up with this server, its caches cold.
    pub fn is_new(&self) -> bool {
        self.mode == NEW_ENGINE
    }

    /// The time since the engine came up.
    pub fn age(&self) -> Duration {
        self.age
    }
}

impl Display for EngineStart<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.mode)
    }
}

/// A command that the engine did not carry out. It prints as its kind on the wire.
#[derive(Clone, Copy, Debug)]
pub struct DeclinedCommand<'a>(&'a str);

impl<'a> DeclinedCommand<'a> {
    /// The command of this kind on the wire.
    pub(super) fn new(kind: &'a str) -> DeclinedCommand<'a> {
        DeclinedCommand(kind)
    }

    /// Whether it was the command to run a request.
    pub fn is_run(&self) -> bool {
        self.0 == command::RUN
    }

    /// Whether it was the command to cancel a run.
    pub fn is_cancel(&self) -> bool {
        self.0 == command::CANCEL
    }
}

impl Display for DeclinedCommand<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

/// The members of a notice.
pub(super) struct Notice<'a> {
    members: JsonObject<'a>,
}

impl<'a> Notice<'a> {
    /// Reads the members of a line.
    pub(super) fn read(line: &'a [u8]) -> Result<Notice<'a>, NoticeError> {
        let text = std::str::from_utf8(line).map_err(|_| NoticeError::Json)?;
        let members = JsonObject::read(text).ok_or(NoticeError::Json)?;
        Ok(Notice { members })
    }

    /// The text of a member that must be there.
    fn text(&self, member: &'static str) -> Result<Cow<'a, str>, NoticeError> {
        self.members.text(member).ok_or(NoticeError::Member(member))
    }

    /// The kind of the notice.
    pub(super) fn kind(&self) -> Result<Cow<'a, str>, NoticeError> {
        self.text(member::KIND)
    }

    /// The number of the notice, if it is one that is counted.
    pub(super) fn serial(&self) -> Option<u64> {
        self.members.unsigned(member::SERIAL)
    }

    /// The attempt that the notice is about.
    pub(super) fn attempt_name(&self) -> Result<AttemptName, NoticeError> {
        let name = self.text(member::ATTEMPT_NAME)?;
        name.as_bytes()
            .try_into()
            .map_err(|_| NoticeError::Member(member::ATTEMPT_NAME))
    }

    /// How the engine came up, in its own word.
    pub(super) fn detail(&self) -> Result<Cow<'a, str>, NoticeError> {
        self.text(member::DETAIL)
    }

    /// A duration; zero without one.
    pub(super) fn duration(&self) -> Duration {
        let millis = self.members.number(member::DURATION_MS);
        millis.map_or(Duration::ZERO, |ms| Duration::from_secs_f64(ms / 1e3))
    }

    /// How a run ended.
    pub(super) fn run_outcome(&self) -> Result<Outcome, NoticeError> {
        match &*self.detail()? {
            run_outcome::COMPLETED => Ok(Outcome::Completed),
            run_outcome::FAILED => Ok(Outcome::Failed),
            run_outcome::CANCELLED => Ok(Outcome::Cancelled),
            run_outcome::ALREADY_ENDED => Ok(Outcome::AlreadyEnded),
            _ => Err(NoticeError::Member(member::DETAIL)),
        }
    }

    /// The body of the call that a run waits at, in base64.
    pub(super) fn call_body(&self) -> Result<Cow<'a, str>, NoticeError> {
        self.text(member::BODY)
    }

    /// The result of a run as it was written.
    pub(super) fn result(&self) -> &'a str {
        self.members.raw(member::BODY).unwrap_or(NO_RESULT)
    }

    /// The gauges as they were written, without the brackets around them.
    pub(super) fn gauge_list(&self) -> Result<&'a str, NoticeError> {
        let array = self.members.raw(member::GAUGES);
        array
            .and_then(|array| array.strip_prefix('[')?.strip_suffix(']'))
            .ok_or(NoticeError::Member(member::GAUGES))
    }

    /// The number of the query that gauges answer.
    pub(super) fn query(&self) -> Result<u64, NoticeError> {
        unsigned(&self.text(member::QUERY)?).ok_or(NoticeError::Member(member::QUERY))
    }
}

/// The numbers of a list with commas between them.
pub(super) fn gauge_values(list: &str) -> Result<Vec<f64>, NoticeError> {
    let values: Option<Vec<f64>> = list.split(',').map(|value| number(value.trim())).collect();
    values.ok_or(NoticeError::Member(member::GAUGES))
}
