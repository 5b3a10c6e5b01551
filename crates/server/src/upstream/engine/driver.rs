//! The driver of the link: connects to the engine, moves bytes, and reconnects when the link is lost or the
//! engine's address changes.

use super::{EngineObserver, NoticeReader};
use crate::support::clock::Clock;
use crate::support::io::{Outbox, connect, drive_link};
use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Backoff before a lost link is reopened. Until then the ends of runs, and the answers that depend on them, are
/// delayed.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(2);
/// Timeout of connecting to the engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff after a failed attempt to connect.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);

/// The reason why a link ended.
enum LinkEnd {
    /// It was closed or broken.
    Lost(std::io::Result<()>),
    /// The engine accepted this connection at its new address.
    Replaced(TcpStream),
}

/// Keeps a link to the engine, and never returns: the link is reopened when it is lost or when the address changes.
pub async fn run<C: EngineObserver>(
    mut address: watch::Receiver<SocketAddr>,
    clock: Rc<Clock>,
    core: Rc<RefCell<C>>,
) {
    let mut notices = NoticeReader::default();
    let mut replacement = None;
    loop {
        let stream = match replacement.take() {
            // If the address changed while this stream was being connected, `connect_to_new_address` handles it.
            Some(stream) => stream,
            None => connect_to_current_address(&mut address).await,
        };
        match serve(&stream, &mut address, &mut notices, &clock, &core).await {
            LinkEnd::Replaced(stream) => {
                log::info!("engine: address changed, last_notice={}", notices.serial());
                replacement = Some(stream);
            }
            LinkEnd::Lost(result) => {
                log::warn!(
                    "engine: link lost, last_notice={}, result={result:?}",
                    notices.serial()
                );
                sleep(RECONNECT_BACKOFF).await;
            }
        }
    }
}

/// Serves one link until it is lost or replaced.
async fn serve<C: EngineObserver>(
    stream: &TcpStream,
    address: &mut watch::Receiver<SocketAddr>,
    notices: &mut NoticeReader,
    clock: &Clock,
    core: &RefCell<C>,
) -> LinkEnd {
    let out = Outbox::default();
    notices.link_opened();
    core.borrow_mut()
        .link()
        .attach(out.clone(), notices.serial());
    let feed = |bytes: &[u8]| notices.feed(clock.now(), bytes, &mut *core.borrow_mut());
    let end = tokio::select! {
        result = drive_link(stream, &out, feed) => LinkEnd::Lost(result),
        stream = connect_to_new_address(address) => LinkEnd::Replaced(stream),
    };
    core.borrow_mut().link_lost();
    end
}

/// Connects to the current address, and retries until that succeeds.
async fn connect_to_current_address(address: &mut watch::Receiver<SocketAddr>) -> TcpStream {
    loop {
        let current = *address.borrow_and_update();
        match connect(current, CONNECT_TIMEOUT).await {
            Ok(stream) => return stream,
            Err(error) => log::warn!("engine: unreachable, error={error}"),
        }
        let _ = timeout(UNREACHABLE_BACKOFF, address.changed()).await;
    }
}

/// Waits for the next change of the address and connects to it, and retries until that succeeds. The current link
/// stays in use until then.
async fn connect_to_new_address(address: &mut watch::Receiver<SocketAddr>) -> TcpStream {
    if address.changed().await.is_err() {
        pending::<()>().await;
    }
    loop {
        let current = *address.borrow_and_update();
        match connect(current, CONNECT_TIMEOUT).await {
            Ok(stream) => return stream,
            Err(error) => log::warn!("engine: new address unreachable, error={error}"),
        }
        sleep(UNREACHABLE_BACKOFF).await;
    }
}
