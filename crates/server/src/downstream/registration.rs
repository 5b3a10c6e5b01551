//! Reports to the registry over one persistent HTTP/1.1 connection.
//!
//! Owns: that connection and the interval of the reports. Is given: the registry's address, which may change, the
//! server's name, and from the core whether this server takes work. Sends one report at a time. Never decides
//! whether the server is ready, and never ends the program: a report that fails is made again.

mod wire_names;

use crate::core::event_loop::SharedEventLoop;
use crate::support::io::{Outbox, drive_link};
use crate::support::metrics::Counters;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use wire_names::{INSTANCES_PATH, METHOD, STATE, STATE_DRAINING, STATE_READY};

/// Interval between two reports: an entry lapses 3 s after the last, so two reports may get lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// A connection or an answer that takes longer has failed, and the report is made again on a new connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a report that failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// Longer than the head or the body of any answer of a registry.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// What ends the head of an answer.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The status of an answer that accepts a report.
const NO_CONTENT: u16 = 204;
/// The status of an answer without a body, beside [`NO_CONTENT`].
const NOT_MODIFIED: u16 = 304;
/// Statuses from here on are final; those before are of interim answers.
const FIRST_FINAL_STATUS: u16 = 200;

/// Why a connection to the registry can't be used any longer.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error("can't be reached: {0}")]
    Unreachable(std::io::Error),
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("connection over: {0:?}")]
    ConnectionEnded(std::io::Result<()>),
    #[error("a report was not answered in time")]
    AnswerTimeout,
    #[error("a report was answered {0}")]
    Refused(u16),
}

/// Encodes one report, an HTTP request.
pub fn encode_report(host: &str, name: &str, ready: bool) -> Vec<u8> {
    let state = if ready { STATE_READY } else { STATE_DRAINING };
    let body = format!("{{\"{STATE}\":\"{state}\"}}");
    let length = body.len();
    let request_line = format!("{METHOD} {INSTANCES_PATH}{name} HTTP/1.1");
    let head = format!("{request_line}\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n");
    format!("{head}{body}").into_bytes()
}

/// Reads the HTTP answers of one connection.
#[derive(Default)]
pub struct ResponseReader {
    buffer: Vec<u8>,
}

/// What the head of an answer says.
struct Head {
    status: u16,
    body_len: usize,
}

impl ResponseReader {
    /// Passes the status of each final answer that was completed to `each`; false when the stream can't be read
    /// on.
    pub fn feed(&mut self, bytes: &[u8], mut each: impl FnMut(u16)) -> bool {
        self.buffer.extend_from_slice(bytes);
        loop {
            let mut windows = self.buffer.windows(HEAD_END.len());
            let Some(head_len) = windows.position(|window| window == HEAD_END) else {
                return self.buffer.len() < MAX_HEAD_BYTES;
            };
            let text = std::str::from_utf8(&self.buffer[..head_len]).ok();
            let Some(head) = text.and_then(Head::parse) else {
                return false;
            };
            if head.body_len > MAX_HEAD_BYTES {
                return false;
            }
            let answer_len = head_len + HEAD_END.len() + head.body_len;
            if self.buffer.len() < answer_len {
                return true;
            }
            self.buffer.drain(..answer_len);
            if head.status >= FIRST_FINAL_STATUS {
                each(head.status);
            }
        }
    }
}

impl Head {
    /// Nothing if the head can't be read or does not say the length of the body.
    fn parse(text: &str) -> Option<Head> {
        let mut lines = text.split("\r\n");
        let mut status_line = lines.next()?.split(' ');
        status_line
            .next()
            .filter(|version| version.starts_with("HTTP/1."))?;
        let status = status_line.next()?.parse().ok()?;
        let mut content_length = None;
        for line in lines {
            let (name, value) = line.split_once(':')?;
            if name.eq_ignore_ascii_case("content-length") {
                content_length = Some(value.trim().parse().ok()?);
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                return None;
            }
        }
        let has_no_body =
            status < FIRST_FINAL_STATUS || status == NO_CONTENT || status == NOT_MODIFIED;
        let body_len = if has_no_body { 0 } else { content_length? };
        Some(Head { status, body_len })
    }
}

/// Reports at an interval, and at once when what is reported, or to whom, changes. Runs until it is dropped.
pub async fn run(
    mut address: watch::Receiver<SocketAddr>,
    name: String,
    event_loop: SharedEventLoop,
) {
    loop {
        let registry = *address.borrow_and_update();
        let error = tokio::select! {
            Ok(()) = address.changed() => continue,
            error = report_on_one_connection(registry, &name, &event_loop) => error,
        };
        log::warn!("registry: report failed, error={error}");
        count(&event_loop, Counters::report_failed);
        let _ = timeout(RETRY_BACKOFF, address.changed()).await;
    }
}

/// Reports on one connection until that fails.
async fn report_on_one_connection(
    registry: SocketAddr,
    name: &str,
    event_loop: &SharedEventLoop,
) -> ReportError {
    let stream = match timeout(REPORT_TIMEOUT, TcpStream::connect(registry)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return ReportError::Unreachable(e),
        Err(_) => return ReportError::ConnectTimeout,
    };
    let reporter = Reporter {
        host: registry.to_string(),
        name,
        outbox: Outbox::default(),
        answered: Notify::new(),
        status: Cell::new(0),
        state_changed: event_loop.borrow().report_changed(),
        event_loop,
    };
    let mut answers = ResponseReader::default();
    let link = drive_link(&stream, &reporter.outbox, |bytes| {
        answers.feed(bytes, |status| {
            reporter.status.set(status);
            reporter.answered.notify_one();
        })
    });
    tokio::select! {
        end = link => ReportError::ConnectionEnded(end),
        error = reporter.run() => error,
    }
}

/// Counts what became of a report.
fn count(event_loop: &SharedEventLoop, change: impl FnOnce(&mut Counters)) {
    change(event_loop.borrow_mut().counters_mut());
}

/// The reports on one connection.
struct Reporter<'a> {
    host: String,
    name: &'a str,
    outbox: Outbox,
    /// Notified for each answer; its status is in `status`.
    answered: Notify,
    status: Cell<u16>,
    /// Notified when another state is to be reported.
    state_changed: Rc<Notify>,
    event_loop: &'a SharedEventLoop,
}

impl Reporter<'_> {
    /// Sends a report and awaits its answer, again and again, until one fails.
    async fn run(&self) -> ReportError {
        loop {
            let ready = self.event_loop.borrow().is_ready();
            let bytes = encode_report(&self.host, self.name, ready);
            self.outbox.put(|out| out.extend_from_slice(&bytes));
            if timeout(REPORT_TIMEOUT, self.answered.notified())
                .await
                .is_err()
            {
                return ReportError::AnswerTimeout;
            }
            if self.status.get() != NO_CONTENT {
                return ReportError::Refused(self.status.get());
            }
            count(self.event_loop, Counters::report_accepted);
            let _ = timeout(REPORT_INTERVAL, self.state_changed.notified()).await;
        }
    }
}
