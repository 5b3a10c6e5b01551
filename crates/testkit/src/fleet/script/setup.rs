//! Setup of a fleet before a script is executed: its servers, their timing, and a quota of calls.

use madderbay::time::Duration;

/// Zone of the servers that a script does not assign to another zone.
const DEFAULT_ZONE: &str = "north";

/// A quota that limits the calls in flight in the whole fleet, and the duration of these calls.
#[derive(Clone, Debug)]
pub struct QuotaSetup {
    /// Maximum number of calls in flight in the whole fleet.
    pub capacity: u32,
    /// Number of servers that share the quota.
    pub servers: u32,
    /// Whether each server has a configured slot.
    pub slots: bool,
    /// How long a lease lasts.
    pub lease: Duration,
    /// Maximum duration of a call.
    pub max_call: Duration,
    /// Mean duration of a call.
    pub call: Duration,
    /// The handlers whose calls count against the quota, as written in the operator file. Used
    /// only by fleets of real processes.
    pub handlers: &'static str,
}

impl QuotaSetup {
    /// Creates a quota with this capacity for a number of servers, with short leases and calls.
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

/// Setup of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Number of servers.
    pub servers: usize,
    /// Zone of each server, by index.
    pub zones: Vec<String>,
    /// How long a member that is down is remembered.
    pub down_retention: Duration,
    /// How long a member is suspect before it is declared down.
    pub suspicion: Duration,
    /// Interval between two probes by a server.
    pub probe: Duration,
    /// Maximum number of members in a server's view.
    pub max_members: usize,
    /// The servers through which each server joins the fleet.
    pub join: Vec<usize>,
    /// Whether servers take their local health into account. Without it the protocol is plain SWIM.
    /// Used only by simulated fleets.
    pub local_health_aware: bool,
    /// Quota of calls; `None` if the fleet has none.
    pub budget: Option<QuotaSetup>,
    /// Length of the window over which requests are counted; `None` if they are not counted.
    pub window: Option<Duration>,
}

impl FleetSetup {
    /// Creates a fleet with a quota of this capacity for all its servers. `call` is the mean
    /// duration of a call.
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

    /// Creates a fleet of servers in one zone that join through the first, without a quota.
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

    /// Sets the number of servers and puts all of them into the default zone. The rest of the setup
    /// is unchanged.
    pub(super) fn set_servers(&mut self, servers: usize) {
        self.servers = servers;
        self.zones = FleetSetup::default_zones(servers);
    }

    fn default_zones(servers: usize) -> Vec<String> {
        vec![DEFAULT_ZONE.into(); servers]
    }
}
