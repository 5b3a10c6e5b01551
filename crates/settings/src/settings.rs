//! The settings as the decision module's records.

use madderbay::decide::Decider;
use madderbay::interface::{Downstream, FleetPosition, Handler, Machine, Rules, Tenant, Upstream};
use madderbay::time::Timestamp;

/// Everything that one instance is started with. Durations are in microseconds, memory in kB.
#[derive(Clone)]
pub struct Settings {
    /// The machine and what it supports.
    pub machine: Machine,
    /// The handlers; a handler's index here is its index everywhere.
    pub handlers: Vec<Handler>,
    /// The tenants; a tenant's index here is its index everywhere.
    pub tenants: Vec<Tenant>,
    /// What this server calls.
    pub upstream: Upstream,
    /// The clients and what they understand.
    pub downstream: Downstream,
    /// This server's position in the fleet.
    pub fleet_position: FleetPosition,
    /// The rules for answers and graceful shutdown.
    pub rules: Rules,
    /// Names of the gauges that the engine sends, in their order.
    pub gauges: Vec<String>,
    /// Names of the handlers by index; empty where a handler has none.
    pub handler_names: Vec<String>,
    /// Names of the tenants by index; empty where a tenant has none.
    pub tenant_names: Vec<String>,
    /// Whether the clients' endpoint lists leave out a server that reports itself unhealthy.
    pub endpoint_lists_follow_health: bool,
}

impl Settings {
    /// The decision module of an incarnation that begins now.
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

    /// Index of a gauge among those that the engine sends; `None` where it does not send it.
    pub fn gauge_index(&self, name: &str) -> Option<usize> {
        self.gauges.iter().position(|gauge| gauge == name)
    }
}
