//! Reports the state of this server to the registry over one persistent HTTP/1.1 connection.
//!
//! This module owns the connection and the interval between reports. The caller passes the registry's address,
//! which may change, the server's name and the event loop, which knows whether this server accepts requests. One
//! report is in flight at a time. A failed report is sent again; it never ends the program. Whether the server is
//! ready is decided elsewhere.

mod http;
mod wire_names;

use self::http::STATUS_NO_CONTENT;
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

pub use http::{ResponseReader, encode_report};

/// Interval between two reports. The registry's entry expires 3 s after the last report, so two reports may be
/// lost.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Timeout of connecting to the registry and of the answer to a report. After it, the report is sent again on a new
/// connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed report.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// The reason why a connection to the registry is given up.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error("registry unreachable: {0}")]
    Unreachable(std::io::Error),
    #[error("connecting to the registry timed out")]
    ConnectTimeout,
    #[error("connection ended: {0:?}")]
    ConnectionEnded(std::io::Result<()>),
    #[error("report not answered within the timeout")]
    AnswerTimeout,
    #[error("report answered with status {0}")]
    NotAccepted(u16),
}

/// Sends a report at a fixed interval, and at once when the reported state or the registry's address changes. Runs
/// until the future is dropped.
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
        update_counters(&event_loop, Counters::report_failed);
        let _ = timeout(RETRY_BACKOFF, address.changed()).await;
    }
}

/// Sends reports on one connection until one fails. Returns the error.
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
    let mut responses = ResponseReader::default();
    let link = drive_link(&stream, &reporter.outbox, |bytes| {
        responses.feed(bytes, |status| {
            reporter.status.set(status);
            reporter.answered.notify_one();
        })
    });
    tokio::select! {
        end = link => ReportError::ConnectionEnded(end),
        error = reporter.run() => error,
    }
}

/// Applies `change` to the counters of the server.
fn update_counters(event_loop: &SharedEventLoop, change: impl FnOnce(&mut Counters)) {
    change(event_loop.borrow_mut().counters_mut());
}

/// The state of one connection to the registry.
struct Reporter<'a> {
    host: String,
    name: &'a str,
    outbox: Outbox,
    /// Notified of each answer, whose status code is in `status`.
    answered: Notify,
    status: Cell<u16>,
    /// Notified when the state to report has changed.
    state_changed: Rc<Notify>,
    event_loop: &'a SharedEventLoop,
}

impl Reporter<'_> {
    /// Sends a report and waits for its answer, repeatedly, until one fails. Returns the error.
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
            if self.status.get() != STATUS_NO_CONTENT {
                return ReportError::NotAccepted(self.status.get());
            }
            update_counters(self.event_loop, Counters::report_accepted);
            let _ = timeout(REPORT_INTERVAL, self.state_changed.notified()).await;
        }
    }
}
