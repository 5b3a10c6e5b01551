//! Accepts downstream connections and serves each in its own task.
//!
//! This module owns the listening socket and divides the file descriptors of the process between connections and
//! upstream calls. It is given the limit on connections, the event loop and the notification to stop. A task ends
//! with its connection, and its guard reports the end to the event loop in every case, so a misbehaving peer or a
//! panic affects only its own connection. This module parses no lines, and before it closes the listener it accepts
//! the connections in the backlog.

use crate::core::event_loop::SharedEventLoop;
use crate::downstream::json_rpc::JsonRpcSession;
use crate::support::clock::Clock;
use crate::support::io::{InputHandler, NextInput, Outbox, drive_peer};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// File descriptors that the program itself needs: standard streams, runtime, listener, links.
const RESERVED_DESCRIPTORS: usize = 16;
/// One in this many file descriptors is set aside for calls to the catalogue.
const CALL_DESCRIPTORS_DIVISOR: usize = 8;
/// Maximum number of connections over the limit that are served at the same time, each rejected with an answer.
/// Further ones wait in the backlog.
const MAX_CONNECTIONS_OVER_LIMIT: usize = 4;
/// Interval between two checks whether a connection over the limit has ended.
const OVER_LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Returns the number of file descriptors that downstream connections and upstream calls may use together.
pub fn usable_descriptors(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}

/// Returns the number of connections that a limit on file descriptors allows, or `None` if it is too low to serve
/// any.
pub fn max_connections(descriptors: usize) -> Option<usize> {
    descriptors
        .checked_sub(RESERVED_DESCRIPTORS + descriptors / CALL_DESCRIPTORS_DIVISOR)
        .filter(|connections| *connections > 0)
}

/// Reports the end of a connection to the event loop when dropped, however the connection ended.
struct ConnectionGuard {
    connection: u64,
    clock: Rc<Clock>,
    event_loop: SharedEventLoop,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        // The event loop is already borrowed if a panic unwinds through it. The report is then sent once it is
        // free.
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

/// Reports the end of a connection as soon as the event loop can be borrowed.
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

/// Accepts connections until `stop` is notified, then those in the backlog, and closes the listener.
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
    // A connection in the backlog may already carry a request, which closing the listener would lose.
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

/// Accepts the connections in the backlog. Ends when there are no more, without waiting.
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

/// Registers a connection with the event loop and spawns its task. The connection counts from here on, not from the
/// first poll of its task, because many may be accepted before that.
fn spawn_connection_task(
    stream: TcpStream,
    within_limit: bool,
    clock: &Rc<Clock>,
    event_loop: &SharedEventLoop,
) {
    let outbox = Outbox::default();
    let now = clock.now();
    let mut core = event_loop.borrow_mut();
    // A connection over the limit is served too: requests written to it must be answered.
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

/// Evicts idle connections until one more connection is within the limit. Returns false if none can be evicted: the
/// next connection is then rejected. Before that, it waits until fewer than [`MAX_CONNECTIONS_OVER_LIMIT`] others
/// are being rejected.
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

/// The session of one connection, with what it needs to serve input.
struct ConnectionInput<'a> {
    session: JsonRpcSession,
    clock: &'a Clock,
    event_loop: &'a SharedEventLoop,
}

impl InputHandler for ConnectionInput<'_> {
    fn feed(&mut self, bytes: &[u8]) -> NextInput {
        let now = self.clock.now();
        self.session
            .feed(now, bytes, &mut self.event_loop.borrow_mut())
    }

    fn resume(&mut self) -> NextInput {
        let now = self.clock.now();
        self.session.resume(now, &mut self.event_loop.borrow_mut())
    }

    fn peer_closed(&mut self) -> bool {
        self.session
            .client_closed(&mut self.event_loop.borrow_mut())
    }
}

/// Moves bytes between one connection and its session until either ends.
async fn serve_connection(stream: TcpStream, outbox: Outbox, guard: ConnectionGuard) {
    let input = ConnectionInput {
        session: JsonRpcSession::new(guard.connection),
        clock: &guard.clock,
        event_loop: &guard.event_loop,
    };
    if let Err(e) = drive_peer(&stream, &outbox, input).await {
        log::debug!("connection: broken, id={}, error={e}", guard.connection);
    }
}
