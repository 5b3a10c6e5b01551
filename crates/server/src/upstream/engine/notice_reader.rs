//! The reading side of the link.
//!
//! The reader outlives its links: the last serial that was read tells where the next one continues. It is given bytes
//! and hands each notice to the observer; a notice that can't be read is counted there and skipped.

use super::EngineObserver;
use crate::support::attempt_name::AttemptName;
use crate::support::io::LineSplitter;
use crate::support::json::{JsonObject, number, unsigned};
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};

/// Longer than any legal notice, in bytes: a result of 4 KiB in base64, each byte escaped.
const MAX_LINE_BYTES: usize = 64 << 10;
/// The result of a run without one, as a JSON value.
const NO_RESULT: &str = "\"\"";

/// Why a line is no notice.
#[derive(Debug, thiserror::Error)]
enum NoticeError {
    #[error("the line is no JSON object")]
    Json,
    #[error("the kind of the notice is unknown")]
    Kind,
    #[error("member {0} is missing or invalid")]
    Member(&'static str),
}

/// Reads notices, over all links to the engine.
pub struct NoticeReader {
    lines: LineSplitter,
    position: Position,
}

/// How far the notices were read.
#[derive(Default)]
struct Position {
    serial: u64,
    /// Notices were missed for good.
    gap: bool,
}

impl Default for NoticeReader {
    fn default() -> NoticeReader {
        NoticeReader {
            lines: LineSplitter::with_max_line_bytes(MAX_LINE_BYTES),
            position: Position::default(),
        }
    }
}

impl NoticeReader {
    /// A fresh link begins: half a line of the last one is dropped.
    pub fn relinked(&mut self) {
        self.lines = LineSplitter::with_max_line_bytes(MAX_LINE_BYTES);
    }

    /// Reads what came on the link. False when the link can't be read on.
    pub fn fed(&mut self, now: Timestamp, bytes: &[u8], core: &mut impl EngineObserver) -> bool {
        let position = &mut self.position;
        self.lines.feed(bytes, |line| {
            if position.read(now, line, core).is_err() {
                core.unread();
                log::warn!("engine: unreadable notice skipped");
            }
        })
    }

    /// The serial of the last notice that was read.
    pub fn serial(&self) -> u64 {
        self.position.serial
    }
}

impl Position {
    /// Reads one line and notifies the observer. A notice that was read before is skipped.
    fn read(
        &mut self,
        now: Timestamp,
        line: &[u8],
        core: &mut impl EngineObserver,
    ) -> Result<(), NoticeError> {
        let text = std::str::from_utf8(line).map_err(|_| NoticeError::Json)?;
        let notice = Notice {
            members: JsonObject::read(text).ok_or(NoticeError::Json)?,
        };
        let kind = notice.text("msg")?;
        if notice.serial().is_some_and(|serial| !self.advance(serial)) {
            return Ok(());
        }
        match &*kind {
            "HELLO" => core.hello(now, &notice.text("how")?, notice.duration()),
            "DONE" => {
                let (how, name) = (notice.run_outcome()?, notice.call()?);
                core.run_over(now, &name, how, notice.duration(), notice.result());
            }
            "NEED" => core.at_call(now, &notice.call()?, self.serial, &notice.text("blob")?),
            "STATS" => {
                let list = notice.gauge_list()?;
                core.link().answered(notice.cookie()?);
                // The query counts as answered also where a gauge is no number.
                let gauges = numbers(list)?;
                core.gauges(now, &gauges, std::mem::take(&mut self.gap));
            }
            "NO" => core.declined(now, &notice.text("how")?, &notice.call()?),
            "NOTE" => {}
            _ => return Err(NoticeError::Kind),
        }
        Ok(())
    }

    /// Goes on to a serial. False where it was read before.
    fn advance(&mut self, serial: u64) -> bool {
        if serial <= self.serial {
            return false;
        }
        self.gap |= serial > self.serial + 1;
        self.serial = serial;
        true
    }
}

/// The members of a notice.
struct Notice<'a> {
    members: JsonObject<'a>,
}

impl<'a> Notice<'a> {
    fn text(&self, member: &'static str) -> Result<std::borrow::Cow<'a, str>, NoticeError> {
        self.members.text(member).ok_or(NoticeError::Member(member))
    }

    fn serial(&self) -> Option<u64> {
        self.members.unsigned("serial")
    }

    /// The attempt that the notice is about.
    fn call(&self) -> Result<AttemptName, NoticeError> {
        let name = self.text("call")?;
        name.as_bytes()
            .try_into()
            .map_err(|_| NoticeError::Member("call"))
    }

    /// A duration in milliseconds; zero without one.
    fn duration(&self) -> Duration {
        let millis = self.members.number("duration");
        millis.map_or(Duration::ZERO, |ms| Duration::from_secs_f64(ms / 1e3))
    }

    fn run_outcome(&self) -> Result<Outcome, NoticeError> {
        match &*self.text("how")? {
            "good" => Ok(Outcome::Completed),
            "bad" => Ok(Outcome::Failed),
            "cut" => Ok(Outcome::Cancelled),
            "gone" => Ok(Outcome::AlreadyEnded),
            _ => Err(NoticeError::Member("how")),
        }
    }

    /// The result of a run as it was written.
    fn result(&self) -> &'a str {
        self.members.raw("blob").unwrap_or(NO_RESULT)
    }

    /// The gauges as they were written, without the brackets around them.
    fn gauge_list(&self) -> Result<&'a str, NoticeError> {
        let array = self.members.raw("stats");
        array
            .and_then(|array| array.strip_prefix('[')?.strip_suffix(']'))
            .ok_or(NoticeError::Member("stats"))
    }

    /// The number of the query that gauges answer.
    fn cookie(&self) -> Result<u64, NoticeError> {
        unsigned(&self.text("cookie")?).ok_or(NoticeError::Member("cookie"))
    }
}

/// The numbers of a list with commas between them.
fn numbers(list: &str) -> Result<Vec<f64>, NoticeError> {
    let values: Option<Vec<f64>> = list.split(',').map(|value| number(value.trim())).collect();
    values.ok_or(NoticeError::Member("stats"))
}
