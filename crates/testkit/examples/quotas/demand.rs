//! Setup of a fleet with a quota, and the demand of its servers.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::measurement::fleets::{act, start_all, wait_until};

/// Base quota of each server, in calls.
pub(crate) const BASE_QUOTA: u32 = 6;
/// Percentage of the possible calls that has to be in flight before a demand counts as followed.
const FOLLOWED_PERCENT: u32 = 80;
/// Upper bound on the time that a fleet takes to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(60_000);
/// Upper bound on the time until all servers have their base quotas.
const QUOTA_TIMEOUT: Duration = Duration::from_millis(30_000);
/// Upper bound on the time that a fleet takes to follow a demand.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(20_000);

/// Returns the setup of a fleet with a quota of this capacity, whose calls take `call_ms` each.
pub(crate) fn setup(servers: usize, capacity: u32, call_ms: u64) -> FleetSetup {
    FleetSetup::with_budget(servers, capacity, Duration::from_millis(call_ms))
}

/// Starts all servers and waits until each has its base quota.
pub(crate) fn start(fleet: &mut impl Fleet, servers: usize) {
    start_all(fleet, 0..servers);
    let settled = wait_until(fleet, &Condition::Settled, SETTLE_TIMEOUT);
    assert!(settled.is_finite(), "the fleet did not settle in time");
    let quotas = min_quota(servers, BASE_QUOTA);
    let has_quotas = wait_until(fleet, &quotas, QUOTA_TIMEOUT);
    assert!(
        has_quotas.is_finite(),
        "not every server got its base quota in time"
    );
}

/// Returns the condition that each server may use at least `calls` calls.
pub(crate) fn min_quota(servers: usize, calls: u32) -> Condition {
    Condition::QuotaBetween {
        who: (0..servers).collect(),
        least: calls,
        most: u32::MAX,
    }
}

/// Distribution of demand over the servers. The total demand exceeds the capacity.
#[derive(Clone, Copy)]
pub(crate) enum DemandShape {
    /// All servers have the same demand.
    Even,
    /// A third of the servers have nearly all of the demand.
    Skewed,
    /// One server has all of the demand.
    AtOneServer,
}

impl DemandShape {
    pub(crate) const ALL: [DemandShape; 3] = [
        DemandShape::Even,
        DemandShape::Skewed,
        DemandShape::AtOneServer,
    ];

    /// Returns the name of the shape in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            DemandShape::Even => "even",
            DemandShape::Skewed => "skewed",
            DemandShape::AtOneServer => "all at one server",
        }
    }

    /// Returns the demand of each server, in concurrent calls.
    pub(crate) fn demands(self, servers: usize, capacity: u32) -> Vec<u32> {
        let of_server = |server: usize| match self {
            DemandShape::Even => capacity * 13 / 10 / servers as u32,
            DemandShape::Skewed if server.is_multiple_of(3) => capacity * 36 / 10 / servers as u32,
            DemandShape::Skewed => 1,
            DemandShape::AtOneServer if server == servers / 2 => capacity * 13 / 10,
            DemandShape::AtOneServer => 0,
        };
        (0..servers).map(of_server).collect()
    }
}

/// Sets the demand of all servers to 0.
pub(crate) fn end_demands(fleet: &mut impl Fleet, servers: usize) {
    (0..servers).for_each(|server| act(fleet, Action::Demand(server, 0)));
}

/// Sets the demand of the servers. Returns the time in seconds until most of it is followed.
pub(crate) fn follow(fleet: &mut impl Fleet, capacity: u32, demands: &[u32]) -> f64 {
    for (server, demand) in demands.iter().enumerate() {
        act(fleet, Action::Demand(server, *demand));
    }
    let possible = capacity.min(demands.iter().sum());
    let uses = Condition::InFlightAtLeast {
        who: (0..demands.len()).collect(),
        least: possible * FOLLOWED_PERCENT / 100,
    };
    wait_until(fleet, &uses, FOLLOW_TIMEOUT)
}
