//! How a fleet is set up before a script plays: its servers, their timing, and a quota of calls.

use madderbay::time::Duration;

/// The zone of servers that no script puts elsewhere.
const DEFAULT_ZONE: &str = "north";

/// A quota of calls in flight in the whole fleet, and the calls that are made under it.
#[derive(Clone, Debug)]
pub struct QuotaSetup {
    /// The capacity: calls in flight in the whole fleet.
    pub capacity: u32,
    /// The number of servers that the quota is for.
    pub servers: u32,
    /// Whether each server has a configured slot.
    pub slots: bool,
    /// How long a lease lasts.
    pub lease: Duration,
    /// The longest time that a call takes.
    pub max_call: Duration,
    /// The mean time that a call takes.
    pub call: Duration,
    /// The handlers whose calls are under the quota, as the operator file has them; of real
    /// processes only.
    pub handlers: &'static str,
}

impl QuotaSetup {
    /// A quota of a capacity for a number of servers, with short leases and calls.
    pub(super) fn of(capacity: u32, servers: usize) -> QuotaSetup {
        QuotaSetup {
            capacity,
            servers: servers as u32,
            slots: false,
            lease: Duration::from_millis(1_000),
            max_call: Duration::from_millis(500),
            call: Duration::from_millis(20),
            handlers: "book",
        }
    }
}

/// How a fleet is set up.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// The number of servers.
    pub servers: usize,
    /// The zone of each server.
    pub zones: Vec<String>,
    /// How long a member that is down is remembered.
    pub down_retention: Duration,
    /// How long a member is suspect before it is declared down.
    pub suspicion: Duration,
    /// The time between two probes of a server.
    pub probe: Duration,
    /// The most members that a server holds.
    pub max_members: usize,
    /// The servers that each one joins through.
    pub join: Vec<usize>,
    /// Whether servers take their local health into account; without it they are plain SWIM.
    /// Simulated only.
    pub local_health_aware: bool,
    /// The quota of calls, if there is one.
    pub budget: Option<QuotaSetup>,
    /// The window over which requests are counted, if they are.
    pub window: Option<Duration>,
}

impl FleetSetup {
    /// A fleet with one quota of a capacity for all its servers, whose calls take that long.
    pub fn with_budget(servers: usize, capacity: u32, call: Duration) -> FleetSetup {
        let budget = QuotaSetup {
            call,
            ..QuotaSetup::of(capacity, servers)
        };
        FleetSetup {
            budget: Some(budget),
            ..FleetSetup::of(servers)
        }
    }

    /// A number of servers in one zone that join through the first, without a quota.
    pub fn of(servers: usize) -> FleetSetup {
        FleetSetup {
            servers,
            zones: FleetSetup::default_zones(servers),
            down_retention: Duration::from_millis(60_000),
            suspicion: Duration::from_millis(3_000),
            probe: Duration::from_millis(500),
            max_members: 2_000,
            join: vec![0],
            local_health_aware: true,
            budget: None,
            window: None,
        }
    }

    /// Sets the number of servers, all in the default zone; the rest of the setup stays.
    pub(super) fn set_servers(&mut self, servers: usize) {
        self.servers = servers;
        self.zones = FleetSetup::default_zones(servers);
    }

    fn default_zones(servers: usize) -> Vec<String> {
        vec![DEFAULT_ZONE.into(); servers]
    }
}
