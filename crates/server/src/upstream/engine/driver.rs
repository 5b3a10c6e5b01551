//! The driver of the link: it connects to the engine, carries bytes, and connects again where the link was lost or the
//! engine's address has changed.

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

/// Backoff before a lost link is made again: ends of runs, and answers with them, wait as long.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(2);
/// Time that a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff where nobody listens.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);

/// Why a link ended.
enum LinkEnd {
    /// It was closed or broken.
    Lost(std::io::Result<()>),
    /// The engine's new address has accepted this connection.
    Replaced(TcpStream),
}

/// Keeps a link to the engine, without an end: it is made again where it was lost, or at another address.
pub async fn run<C: EngineObserver>(
    mut address: watch::Receiver<SocketAddr>,
    clock: Rc<Clock>,
    core: Rc<RefCell<C>>,
) {
    let mut notices = NoticeReader::default();
    let mut replacement = None;
    loop {
        let stream = match replacement.take() {
            // An address that came while this one was being connected to is left for `connect_to_new_address`.
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

/// A connection to the address of the moment, tried again until there is one.
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

/// A connection to the address after the next change of it, once there is one: the link before goes on until then.
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
