//! A model of the link between a server and its engine, and of the engine's side of it: the engine reads the lines of
//! the newest link in order and answers queries, and its notices survive the loss of a link.

use crate::support::io::Outbox;
use crate::upstream::engine::{EngineObserver, NoticeReader};
use madderbay::time::Timestamp;
use std::collections::VecDeque;

const HELLO: &str = "{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n";

/// The link, what is under way on it, and the notices of the engine.
#[derive(Default)]
pub(super) struct LinkModel {
    reader: NoticeReader,
    outbox: Option<Outbox>,
    /// Lines that were written to the current link and that the engine has not read.
    to_engine: VecDeque<String>,
    /// Lines to the server on the current link.
    to_server: VecDeque<String>,
    /// All notices; the first one has the serial number 1.
    notices: Vec<String>,
    last_answer: Option<String>,
    /// The last answer to a query on an earlier link.
    late_answer: Option<String>,
}

impl LinkModel {
    pub(super) fn is_open(&self) -> bool {
        self.outbox.is_some()
    }

    /// Opens a link for a server.
    pub(super) fn attach(&mut self, server: &mut impl EngineObserver) {
        let outbox = Outbox::default();
        self.reader.link_opened();
        server.link().attach(outbox.clone(), self.reader.serial());
        self.outbox = Some(outbox);
    }

    /// Loses the link with all that is under way on it.
    pub(super) fn lose(&mut self, server: &mut impl EngineObserver) {
        self.outbox = None;
        self.to_engine.clear();
        self.to_server.clear();
        self.late_answer = self.last_answer.take().or(self.late_answer.take());
        server.link_lost();
    }

    /// Lets the server write the bytes that it has queued.
    pub(super) fn write(&mut self) {
        let written = self.outbox.as_ref().map(|outbox| outbox.take());
        let text = String::from_utf8(written.unwrap_or_default()).expect("text");
        self.to_engine.extend(text.lines().map(str::to_string));
    }

    /// Reports whether the engine has lines to read.
    pub(super) fn has_unread(&self) -> bool {
        !self.to_engine.is_empty()
    }

    /// Lets the engine read its next line. Returns the line if it is a command about a run.
    pub(super) fn read(&mut self) -> Option<String> {
        let line = self.to_engine.pop_front()?;
        if line.contains("\"ATTACH\"") {
            let serial: usize = number_in(&line, "\"serial\":");
            self.to_server.push_back(HELLO.into());
            self.to_server
                .extend(self.notices[serial..].iter().cloned());
        } else if line.contains("\"STAT\"") {
            let query: u64 = number_in(&line, "\"cookie\":\"");
            let answer = format!("{{\"msg\":\"STATS\",\"cookie\":\"{query}\",\"stats\":[0.5]}}\n");
            self.last_answer = Some(answer.clone());
            self.to_server.push_back(answer);
        } else {
            return Some(line);
        }
        None
    }

    /// Adds a notice of the engine, which `text` makes of its serial number. Returns that number.
    pub(super) fn notify(&mut self, text: impl FnOnce(u64) -> String) -> u64 {
        let serial = self.notices.len() as u64 + 1;
        let notice = text(serial);
        self.notices.push(notice.clone());
        if self.is_open() {
            self.to_server.push_back(notice);
        }
        serial
    }

    /// Reports whether the server has lines to read.
    pub(super) fn has_unreceived(&self) -> bool {
        !self.to_server.is_empty()
    }

    /// Lets the server read its next line, if there is one.
    pub(super) fn receive(&mut self, server: &mut impl EngineObserver) {
        if let Some(line) = self.to_server.pop_front() {
            self.feed(&line, server);
        }
    }

    /// Lets the last answer to a query on an earlier link arrive on the current one.
    pub(super) fn receive_late_answer(&mut self, server: &mut impl EngineObserver) {
        if let Some(answer) = self.late_answer.take() {
            self.feed(&answer, server);
        }
    }

    fn feed(&mut self, line: &str, server: &mut impl EngineObserver) {
        let now = Timestamp::default();
        assert!(self.reader.feed(now, line.as_bytes(), server));
    }
}

/// Parses the number that follows `prefix`.
fn number_in<T: std::str::FromStr>(line: &str, prefix: &str) -> T {
    let (_, rest) = line.split_once(prefix).expect("the member");
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next();
    digits
        .and_then(|digits| digits.parse().ok())
        .expect("a number")
}
