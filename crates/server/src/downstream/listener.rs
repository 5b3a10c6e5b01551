//! Accepts downstream connections and serves each in a task of its own.
//!
//! Owns: the listening socket and the split of the descriptors that a process may have. Is given: the limit on
//! connections, the core, and the notice to stop. A connection's task ends with its connection, its guard
//! reports that to the core however it ended, and so a bad peer or a panic ends there. Never closes a connection
//! unread, and never reads a line itself.

use crate::core::event_loop::SharedEventLoop;
use crate::downstream::json_rpc::JsonRpcSession;
use crate::support::clock::Clock;
use crate::support::io::{Outbox, drive_peer};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Descriptors of the program itself: standard streams, runtime, listener, links.
const RESERVED_DESCRIPTORS: usize = 16;
/// One in this many descriptors is set aside for calls to the catalogue.
const CALL_DESCRIPTORS_DIVISOR: usize = 8;
/// Connections over the limit that are served at the same time, each to be rejected with an answer; further ones
/// wait in the backlog.
const MAX_CONNECTIONS_OVER_LIMIT: usize = 4;
/// Interval between two checks whether one of them has ended.
const OVER_LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after an accept that failed, most often for want of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The descriptors that downstream connections and upstream calls may take together.
pub fn usable_descriptors(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}

/// How many connections a limit on descriptors leaves; none where it is too small to serve.
pub fn max_connections(descriptors: usize) -> Option<usize> {
    descriptors
        .checked_sub(RESERVED_DESCRIPTORS + descriptors / CALL_DESCRIPTORS_DIVISOR)
        .filter(|connections| *connections > 0)
}

/// Reports the end of a connection to the core, however it ended.
struct ConnectionGuard {
    connection: u64,
    clock: Rc<Clock>,
    event_loop: SharedEventLoop,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        // The core may be in use where a panic unwinds through it: the report follows once it is free.
        match self.event_loop.try_borrow_mut() {
            Ok(mut event_loop) => event_loop.connection_closed(self.clock.now(), self.connection),
            Err(_) => {
                let clock = self.clock.clone();
                let event_loop = self.event_loop.clone();
                tokio::task::spawn_local(report_closed_when_core_is_free(
                    self.connection,
                    clock,
                    event_loop,
                ));
            }
        }
    }
}

/// Reports the end of a connection as soon as the core is free.
async fn report_closed_when_core_is_free(
    connection: u64,
    clock: Rc<Clock>,
    event_loop: SharedEventLoop,
) {
    while event_loop
        .try_borrow_mut()
        .map(|mut core| core.connection_closed(clock.now(), connection))
        .is_err()
    {
        tokio::task::yield_now().await;
    }
}

/// Accepts connections until it is notified to stop, then those that are in the backlog, and closes the listener.
pub async fn run(
    listener: TcpListener,
    max_connections: usize,
    clock: Rc<Clock>,
    event_loop: SharedEventLoop,
    stop: Rc<Notify>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.notified() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let within_limit =
                    evict_until_within_limit(max_connections, &clock, &event_loop).await;
                spawn_connection_task(stream, within_limit, &clock, &event_loop);
            }
            Err(e) => {
                log::warn!("listener: accept failed, error={e}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    // A connection in the backlog may carry a request already, and closing would lose it.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    for stream in drain_backlog(&listener) {
        let within_limit = event_loop.borrow().connection_count() < max_connections;
        if let Ok(stream) = TcpStream::from_std(stream) {
            spawn_connection_task(stream, within_limit, &clock, &event_loop);
        }
    }
    log::info!("listener: closed");
}

/// The connections that wait to be accepted; ends instead of waiting for another.
fn drain_backlog(listener: &std::net::TcpListener) -> impl Iterator<Item = std::net::TcpStream> {
    let next = || {
        listener
            .accept()
            .ok()
            .filter(|(stream, _)| stream.set_nonblocking(true).is_ok())
            .map(|(stream, _)| stream)
    };
    std::iter::from_fn(next)
}

/// Enters a connection into the core and starts its task. It counts from here on, not from its task's first
/// poll, because many may be accepted before that.
fn spawn_connection_task(
    stream: TcpStream,
    within_limit: bool,
    clock: &Rc<Clock>,
    event_loop: &SharedEventLoop,
) {
    let outbox = Outbox::default();
    let now = clock.now();
    let mut core = event_loop.borrow_mut();
    // One over the limit is served too: what was written to it is owed an answer.
    let connection = if within_limit {
        core.connection_opened(now, outbox.clone())
    } else {
        core.connection_opened_over_limit(now, outbox.clone())
    };
    let guard = ConnectionGuard {
        connection,
        clock: clock.clone(),
        event_loop: event_loop.clone(),
    };
    tokio::task::spawn_local(serve_connection(stream, outbox, guard));
}

/// Evicts idle connections until one more is within the limit. False where none can be evicted: the next is
/// rejected, once few enough others are being rejected.
async fn evict_until_within_limit(
    max_connections: usize,
    clock: &Clock,
    event_loop: &SharedEventLoop,
) -> bool {
    while event_loop.borrow().connection_count() >= max_connections {
        if !event_loop.borrow_mut().evict_connection(clock.now()) {
            if event_loop.borrow().connections_over_limit() < MAX_CONNECTIONS_OVER_LIMIT {
                return false;
            }
            tokio::time::sleep(OVER_LIMIT_POLL_INTERVAL).await;
        }
        tokio::task::yield_now().await;
    }
    true
}

/// Moves bytes between one connection and its session until either ends.
async fn serve_connection(stream: TcpStream, outbox: Outbox, guard: ConnectionGuard) {
    let mut session = JsonRpcSession::new(guard.connection);
    let feed = |bytes: &[u8]| {
        let now = guard.clock.now();
        session.feed(now, bytes, &mut guard.event_loop.borrow_mut())
    };
    if let Err(e) = drive_peer(&stream, &outbox, feed).await {
        log::debug!("connection: broken, id={}, error={e}", guard.connection);
    }
}
