//! The receiving side of the link.
//!
//! A reader outlives its links: the serial of the last notice read tells where the next link continues. It is given
//! bytes and passes each notice to the observer. A notice that can't be read is reported to the observer and
//! skipped.

use super::EngineObserver;
use super::notice::{DeclinedCommand, EngineStart, Notice, NoticeError, gauge_values};
use super::wire_names::notice;
use crate::support::io::LineSplitter;
use madderbay::time::Timestamp;

/// Maximum length of a notice, in bytes. Every legal notice is shorter: a result of 4 KiB in base64 with each byte
/// escaped.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Reads the notices of all links to the engine.
pub struct NoticeReader {
    lines: LineSplitter,
    position: Position,
}

/// The position in the sequence of notices.
#[derive(Default)]
struct Position {
    /// The serial of the last notice that was read.
    serial: u64,
    /// Notices were lost for good, and the observer was not told yet.
    notices_lost: bool,
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
    /// Starts a new link. The incomplete line of the previous link is discarded.
    pub fn link_opened(&mut self) {
        self.lines = LineSplitter::with_max_line_bytes(MAX_LINE_BYTES);
    }

    /// Reads bytes that were received on the link. Returns false when the link can't be read any further.
    pub fn feed(&mut self, now: Timestamp, bytes: &[u8], core: &mut impl EngineObserver) -> bool {
        let position = &mut self.position;
        self.lines.feed(bytes, |line| {
            if position.read(now, line, core).is_err() {
                core.notice_unreadable();
                log::warn!("engine: unreadable notice skipped");
            }
        })
    }

    /// Returns the serial of the last notice that was read.
    pub fn serial(&self) -> u64 {
        self.position.serial
    }
}

impl Position {
    /// Parses one line and notifies the observer. A notice that was read before is skipped.
    fn read(
        &mut self,
        now: Timestamp,
        line: &[u8],
        core: &mut impl EngineObserver,
    ) -> Result<(), NoticeError> {
        let notice = Notice::read(line)?;
        let kind = notice.kind()?;
        if notice.serial().is_some_and(|serial| !self.advance(serial)) {
            return Ok(());
        }
        match &*kind {
            notice::ENGINE_UP => {
                let mode = notice.detail()?;
                core.engine_up(now, EngineStart::new(&mode, notice.duration()));
            }
            notice::RUN_ENDED => {
                let outcome = notice.run_outcome()?;
                let name = notice.attempt_name()?;
                core.run_ended(now, &name, outcome, notice.duration(), notice.result());
            }
            notice::CALL_NEEDED => {
                let name = notice.attempt_name()?;
                let body = notice.call_body()?;
                core.call_needed(now, &name, self.serial, &body);
            }
            notice::GAUGES => {
                let list = notice.gauge_list()?;
                if !core.link().gauges_answered(notice.query()?) {
                    return Ok(());
                }
                // The query counts as answered even if a gauge is not a number.
                let gauges = gauge_values(list)?;
                core.gauges_read(now, &gauges, std::mem::take(&mut self.notices_lost));
            }
            notice::COMMAND_DECLINED => {
                let command = notice.detail()?;
                let name = notice.attempt_name()?;
                core.command_declined(now, DeclinedCommand::new(&command), &name);
            }
            notice::REMARK => {}
            _ => return Err(NoticeError::Kind),
        }
        Ok(())
    }

    /// Advances to a serial. Returns false if it was read before.
    fn advance(&mut self, serial: u64) -> bool {
        if serial <= self.serial {
            return false;
        }
        self.notices_lost |= serial > self.serial + 1;
        self.serial = serial;
        true
    }
}
