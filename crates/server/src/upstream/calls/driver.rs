//! The driver of calls: opens the connections that the dispatcher requests and moves bytes until each is closed.

use super::dispatcher::{CallDispatcher, WantedConnection};
use super::reply_reader::{Reply, ReplyReader};
use crate::support::clock::Clock;
use crate::support::io::{connect, drive_link};
use madderbay::time::Timestamp;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::sync::watch;

/// Timeout of connecting. A connection that was not established by then proves as much as a refused one: no call
/// ran on it.
const CONNECT_TIMEOUT: StdDuration = StdDuration::from_millis(500);

/// The owner of the calls, which is notified of how they end.
pub trait CallObserver {
    /// Returns the dispatcher that the observer owns.
    fn dispatcher(&mut self) -> &mut CallDispatcher;
    /// Reports whether one more connection may be opened while `open` are open.
    fn may_connect(&self, open: usize) -> bool;
    /// Called when a reply was read on a connection.
    fn reply_read(&mut self, now: Timestamp, connection_id: u64, reply: &Reply);
    /// Called when a connection has ended, and with it the call on it, if there is one.
    fn call_connection_ended(&mut self, now: Timestamp, connection_id: u64);
    /// Called when a reply could not be read.
    fn reply_unreadable(&mut self);
}

/// Opens the connections that the dispatcher requests and serves each until it ends. Never returns. While the
/// catalogue has no address, no connection to it can be opened, and no call runs there.
pub async fn run<C: CallObserver + 'static>(
    mut catalogue: watch::Receiver<Option<SocketAddr>>,
    clock: Rc<Clock>,
    core: Rc<RefCell<C>>,
) {
    let connection_wanted = core.borrow_mut().dispatcher().connection_wanted();
    // Each open connection holds a clone, whose count is the number of open connections.
    let open = Rc::new(());
    loop {
        let address = *catalogue.borrow_and_update();
        let wanted = core.borrow_mut().dispatcher().take_wanted();
        for connection in wanted {
            if !core.borrow().may_connect(Rc::strong_count(&open) - 1) {
                log::debug!("catalogue: no descriptor available for call");
                core.borrow_mut()
                    .call_connection_ended(clock.now(), connection.id);
                continue;
            }
            let clock = clock.clone();
            let core = core.clone();
            let counted_as_open = open.clone();
            tokio::task::spawn_local(async move {
                let _counted_as_open = counted_as_open;
                serve_to_end(address, &connection, &clock, &core).await;
            });
        }
        tokio::select! {
            () = connection_wanted.notified() => {}
            Ok(()) = catalogue.changed() => {
                core.borrow_mut().dispatcher().catalogue_moved(clock.now());
            }
        }
    }
}

/// Serves one connection and reports its end.
async fn serve_to_end<C: CallObserver>(
    catalogue: Option<SocketAddr>,
    connection: &WantedConnection,
    clock: &Clock,
    core: &RefCell<C>,
) {
    let address = connection.backend.or(catalogue);
    if let Err(error) = serve(address, connection, clock, core).await {
        match connection.backend {
            Some(address) => {
                log::info!("backend: connection lost, address={address}, error={error}");
            }
            None => log::info!("catalogue: connection lost, error={error}"),
        }
    }
    core.borrow_mut()
        .call_connection_ended(clock.now(), connection.id);
}

/// Connects and moves bytes until the connection ends or its replies can't be read.
async fn serve<C: CallObserver>(
    address: Option<SocketAddr>,
    connection: &WantedConnection,
    clock: &Clock,
    core: &RefCell<C>,
) -> std::io::Result<()> {
    let address = address.ok_or(ErrorKind::AddrNotAvailable)?;
    let stream = connect(address, CONNECT_TIMEOUT).await?;
    let mut replies = ReplyReader::default();
    let feed = |bytes: &[u8]| {
        let now = clock.now();
        let mut core = core.borrow_mut();
        let is_readable = replies.feed(bytes, |reply| {
            core.reply_read(now, connection.id, &reply);
        });
        if !is_readable {
            core.reply_unreadable();
            log::debug!("catalogue: unreadable reply received and connection closed");
        }
        is_readable
    };
    drive_link(&stream, &connection.outbox, feed).await
}
