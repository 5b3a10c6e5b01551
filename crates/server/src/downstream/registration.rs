//! Reports to the registry over one kept HTTP/1.1 connection.

use crate::core::serve::Shared;
use crate::support::io::{Outbox, drive_link};
use crate::support::metrics::Counters;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// Time between two reports: an entry lapses 3 s after the last, so two may get lost.
const EVERY: Duration = Duration::from_millis(800);
/// A report not answered by then is made again on a new connection.
const PATIENCE: Duration = Duration::from_millis(700);
/// Wait after a report that failed.
const AGAIN: Duration = Duration::from_millis(200);
/// Longer than any head that a registry sends.
const HEAD_MOST: usize = 16 << 10;

/// One report, as the registry reads it.
pub fn report(host: &str, name: &str, ready: bool) -> Vec<u8> {
    let body = format!(
        "{{\"state\":\"{}\"}}",
        if ready { "ready" } else { "draining" }
    );
    let len = body.len();
    format!(
        "PUT /v1/instances/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Reads the answers of one connection.
#[derive(Default)]
pub struct Answers {
    part: Vec<u8>,
}

impl Answers {
    /// The status of each whole answer goes to `each`; false when the stream can't be read on.
    pub fn feed(&mut self, bytes: &[u8], mut each: impl FnMut(u16)) -> bool {
        self.part.extend_from_slice(bytes);
        loop {
            let Some(end) = self.part.windows(4).position(|w| w == b"\r\n\r\n") else {
                return self.part.len() < HEAD_MOST;
            };
            let Some((status, len)) = std::str::from_utf8(&self.part[..end]).ok().and_then(head)
            else {
                return false;
            };
            let whole = end + 4 + len;
            if len > HEAD_MOST {
                return false;
            }
            if self.part.len() < whole {
                return true;
            }
            self.part.drain(..whole);
            // An interim answer stands before the one that counts.
            if status >= 200 {
                each(status);
            }
        }
    }
}

/// Status and length of the body; nothing if the head can't be read or tells no length.
fn head(text: &str) -> Option<(u16, usize)> {
    let mut lines = text.split("\r\n");
    let mut first = lines.next()?.split(' ');
    first.next().filter(|v| v.starts_with("HTTP/1."))?;
    let status: u16 = first.next()?.parse().ok()?;
    let mut len = None;
    for line in lines {
        let (name, value) = line.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            len = Some(value.trim().parse().ok()?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            return None;
        }
    }
    let bare = status < 200 || status == 204 || status == 304;
    if bare {
        Some((status, 0))
    } else {
        Some((status, len?))
    }
}

/// The driver: reports now and then, and at once when what is reported, or to whom, changes.
pub async fn run(mut address: watch::Receiver<SocketAddr>, name: String, serve: Shared) {
    loop {
        let at = *address.borrow_and_update();
        let why = tokio::select! {
            Ok(()) = address.changed() => continue,
            why = connection(at, &name, &serve) => why,
        };
        log::warn!("registry: {why}");
        count(&serve, |c| c.reports_lost += 1);
        let _ = timeout(AGAIN, address.changed()).await;
    }
}

/// Reports on one connection; why that can't go on.
async fn connection(address: SocketAddr, name: &str, serve: &Shared) -> String {
    let stream = match timeout(PATIENCE, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return format!("can't be reached: {e}"),
        Err(_) => return "no connection in time".into(),
    };
    let (changed, host) = (serve.borrow().hands.report.clone(), address.to_string());
    let out = Outbox::default();
    let (answered, status) = (Notify::new(), Cell::new(0));
    let mut answers = Answers::default();
    let link = drive_link(&stream, &out, |bytes| {
        answers.feed(bytes, |s| {
            status.set(s);
            answered.notify_one();
        })
    });
    tokio::select! {
        end = link => format!("connection over: {end:?}"),
        why = reports(&host, name, &out, &answered, &status, &changed, serve) => why,
    }
}

fn count(serve: &Shared, what: impl FnOnce(&mut Counters)) {
    what(&mut serve.borrow_mut().hands.counters);
}

async fn reports(
    host: &str,
    name: &str,
    out: &Outbox,
    answered: &Notify,
    status: &Cell<u16>,
    changed: &Rc<Notify>,
    serve: &Shared,
) -> String {
    loop {
        let ready = serve.borrow().ready();
        out.put(|b| b.extend_from_slice(&report(host, name, ready)));
        if timeout(PATIENCE, answered.notified()).await.is_err() {
            return "a report was not answered in time".into();
        }
        if status.get() != 204 {
            return format!("a report was answered {}", status.get());
        }
        count(serve, |c| c.reports += 1);
        let _ = timeout(EVERY, changed.notified()).await;
    }
}
