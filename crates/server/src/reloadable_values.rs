//! The values of the configuration that a reload can change in a running server, with the channels on which the drivers
//! watch them. The files are read by [`reload`](crate::reload).

use madderbay::time::Duration;
use madderbay_server::support::config::Config;
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::sync::watch;

/// The values of the configuration that a reload can change, with the channels on which the drivers watch them.
pub(crate) struct ReloadableValues {
    stop_ms: Cell<u64>,
    engine: watch::Sender<SocketAddr>,
    registry: watch::Sender<SocketAddr>,
    catalogue: watch::Sender<Option<SocketAddr>>,
}

impl ReloadableValues {
    /// Creates the values from the configuration at the start.
    pub(crate) fn new(config: &Config) -> ReloadableValues {
        ReloadableValues {
            stop_ms: Cell::new(config.stop_ms),
            engine: watch::Sender::new(config.engine),
            registry: watch::Sender::new(config.registry),
            catalogue: watch::Sender::new(config.catalogue),
        }
    }

    /// Returns the time between the signal to stop and the kill.
    pub(crate) fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_ms.get())
    }

    /// Returns a receiver of the engine's address.
    pub(crate) fn engine(&self) -> watch::Receiver<SocketAddr> {
        self.engine.subscribe()
    }

    /// Returns a receiver of the registry's address.
    pub(crate) fn registry(&self) -> watch::Receiver<SocketAddr> {
        self.registry.subscribe()
    }

    /// Returns a receiver of the catalogue's address, which is `None` if there is no catalogue.
    pub(crate) fn catalogue(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.catalogue.subscribe()
    }

    /// Replaces the values and notifies the drivers of those that changed.
    pub(crate) fn update(&self, config: &Config) {
        self.stop_ms.set(config.stop_ms);
        send_if_changed(&self.engine, config.engine);
        send_if_changed(&self.registry, config.registry);
        send_if_changed(&self.catalogue, config.catalogue);
    }
}

/// Replaces a value and notifies the receivers if it is different.
fn send_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| std::mem::replace(current, value) != *current);
}
