//! The settings as records of the decision module.

use madderbay::decide::Decider;
use madderbay::interface::{Downstream, FleetPosition, Handler, Machine, Rules, Tenant, Upstream};
use madderbay::time::Timestamp;

/// The settings with which an instance is started. Durations are in microseconds, memory in kB.
#[derive(Clone)]
pub struct Settings {
    /// The machine and its capabilities.
    pub machine: Machine,
    /// The handlers; a handler's index here is its index everywhere.
    pub handlers: Vec<Handler>,
    /// The tenants; a tenant's index here is its index everywhere.
    pub tenants: Vec<Tenant>,
    /// The upstream that this server calls.
    pub upstream: Upstream,
    /// The clients and the protocol features that they support.
    pub downstream: Downstream,
    /// This server's position in the fleet.
    pub fleet_position: FleetPosition,
    /// The rules for answers and graceful shutdown.
    pub rules: Rules,
    /// Names of the gauges that the engine sends, in the order in which it sends them.
    pub gauges: Vec<String>,
    /// Names of the handlers by index; the name of an unnamed handler is empty.
    pub handler_names: Vec<String>,
    /// Names of the tenants by index; the name of an unnamed tenant is empty.
    pub tenant_names: Vec<String>,
    /// Whether the clients' endpoint lists leave out a server that reports itself unhealthy.
    pub endpoint_lists_follow_health: bool,
}

impl Settings {
    /// Creates the decision module of an incarnation that starts now.
    pub fn decider(&self, now: Timestamp, seed: u64) -> Decider {
        Decider::builder(
            now,
            seed,
            &self.machine,
            &self.handlers,
            &self.fleet_position,
            &self.rules,
        )
        .tenants(&self.tenants, &self.fleet_position)
        .upstream(&self.upstream)
        .downstream(&self.downstream)
        .build()
    }

    /// Returns the index of a gauge among those that the engine sends; `None` if the engine does
    /// not send it.
    pub fn gauge_index(&self, name: &str) -> Option<usize> {
        self.gauges.iter().position(|gauge| gauge == name)
    }
}
