//! The values of the configuration that a reload can change in a running server.
//!
//! It owns them, with the channels on which the drivers watch them. It reads no file: [`reload`](crate::reload) does.

use madderbay_server::support::config::Config;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration as StdDuration;
use tokio::sync::watch;

/// The values of the configuration that a reload can change, with the channels on which the drivers watch them.
pub(crate) struct ReloadableValues {
    stop_ms: Cell<u64>,
    engine: watch::Sender<SocketAddr>,
    registry: watch::Sender<SocketAddr>,
    catalogue: watch::Sender<Option<SocketAddr>>,
}

impl ReloadableValues {
    /// The values as they are at the start.
    pub(crate) fn new(config: &Config) -> ReloadableValues {
        ReloadableValues {
            stop_ms: Cell::new(config.stop_ms),
            engine: watch::Sender::new(config.engine),
            registry: watch::Sender::new(config.registry),
            catalogue: watch::Sender::new(config.catalogue),
        }
    }

    /// Time between the signal to stop and the kill.
    pub(crate) fn stop_timeout(&self) -> StdDuration {
        StdDuration::from_millis(self.stop_ms.get())
    }

    /// Where the engine is.
    pub(crate) fn engine(&self) -> watch::Receiver<SocketAddr> {
        self.engine.subscribe()
    }

    /// Where the registry is.
    pub(crate) fn registry(&self) -> watch::Receiver<SocketAddr> {
        self.registry.subscribe()
    }

    /// Where the upstream catalogue is, if there is one.
    pub(crate) fn catalogue(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.catalogue.subscribe()
    }

    /// Takes over the values; the drivers are notified of those that changed.
    pub(crate) fn update(&self, config: &Config) {
        self.stop_ms.set(config.stop_ms);
        send_if_changed(&self.engine, config.engine);
        send_if_changed(&self.registry, config.registry);
        send_if_changed(&self.catalogue, config.catalogue);
    }
}

/// Notifies the receivers only where the value is another one.
fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| std::mem::replace(current, value) != *current);
}
