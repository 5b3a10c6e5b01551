//! The status that this server reports to others: its health, its load, and whether it is draining.
//!
//! [`ServerStatus`] holds what the decision module has set, and notifies the registry's driver of
//! changes. It neither judges the health nor sends anything itself.

use std::rc::Rc;
use tokio::sync::Notify;

/// The status that health checks, answers and the registry's reports carry.
pub(super) struct ServerStatus {
    healthy: bool,
    draining: bool,
    load_report: Option<f64>,
    changed: Rc<Notify>,
}

impl Default for ServerStatus {
    fn default() -> ServerStatus {
        ServerStatus {
            healthy: true,
            draining: false,
            load_report: None,
            changed: Rc::default(),
        }
    }
}

impl ServerStatus {
    /// Reports whether the decision module considers the server healthy.
    pub(super) fn is_healthy(&self) -> bool {
        self.healthy
    }

    /// Reports whether the server is shutting down gracefully.
    pub(super) fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the load report for answers, once there is one.
    pub(super) fn load_report(&self) -> Option<f64> {
        self.load_report
    }

    /// Returns the handle that is notified when the health changes and when draining begins.
    pub(super) fn changed(&self) -> Rc<Notify> {
        self.changed.clone()
    }

    /// Sets whether the server is healthy. A change is logged and notified.
    pub(super) fn set_health(&mut self, healthy: bool) {
        if std::mem::replace(&mut self.healthy, healthy) != healthy {
            let state = if healthy { "healthy" } else { "unhealthy" };
            log::warn!("health: changed, state={state}");
            self.changed.notify_one();
        }
    }

    /// Sets the load report for answers.
    pub(super) fn set_load_report(&mut self, value: f64) {
        self.load_report = Some(value);
    }

    /// Begins draining.
    pub(super) fn begin_draining(&mut self) {
        self.draining = true;
        self.changed.notify_one();
    }
}
