//! A budget over a fleet, and work for it.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::measurement::fleets::{act, start_all, wait_until};

/// The base quota of each server, in calls.
pub(crate) const BASE_QUOTA: u32 = 6;
/// Of what there is work for, the part that has to be in use before a demand counts as followed.
const FOLLOWED_PERCENT: u32 = 80;
/// The longest time to settle, to have all base quotas, and to follow a demand.
const SETTLE_TERM: Duration = Duration::from_millis(60_000);
const QUOTA_TERM: Duration = Duration::from_millis(30_000);
const FOLLOW_TERM: Duration = Duration::from_millis(20_000);

/// A fleet with a budget of this capacity, whose calls take this long.
pub(crate) fn setup(servers: usize, capacity: u32, call_ms: u64) -> FleetSetup {
    FleetSetup::with_budget(servers, capacity, Duration::from_millis(call_ms))
}

/// Starts all servers and waits until each has its base quota.
pub(crate) fn start(fleet: &mut impl Fleet, servers: usize) {
    start_all(fleet, 0..servers);
    let settled = wait_until(fleet, &Condition::Settled, SETTLE_TERM);
    assert!(settled.is_finite(), "settled");
    let quotas = has_at_least(servers, BASE_QUOTA);
    let has_quotas = wait_until(fleet, &quotas, QUOTA_TERM);
    assert!(has_quotas.is_finite(), "each has its own");
}

pub(crate) fn has_at_least(servers: usize, least: u32) -> Condition {
    Condition::Has {
        who: (0..servers).collect(),
        least,
        most: u32::MAX,
    }
}

/// The work of each server in a case, in calls at a time.
pub(crate) fn demands(case: &str, servers: usize, capacity: u32) -> Vec<u32> {
    let demand = |server: usize| match case {
        "even" => capacity * 13 / 10 / servers as u32,
        // A third of the servers have nearly all of it.
        "skewed" if server.is_multiple_of(3) => capacity * 36 / 10 / servers as u32,
        "skewed" => 1,
        _ if server == servers / 2 => capacity * 13 / 10,
        _ => 0,
    };
    (0..servers).map(demand).collect()
}

/// Ends all work.
pub(crate) fn end_demands(fleet: &mut impl Fleet, servers: usize) {
    (0..servers).for_each(|server| act(fleet, Action::Demand(server, 0)));
}

/// Gives the servers this work. Gives the time until most of it is followed, in seconds.
pub(crate) fn follow(fleet: &mut impl Fleet, capacity: u32, demands: &[u32]) -> f64 {
    for (server, demand) in demands.iter().enumerate() {
        act(fleet, Action::Demand(server, *demand));
    }
    let possible = capacity.min(demands.iter().sum());
    let uses = Condition::Uses {
        who: (0..demands.len()).collect(),
        least: possible * FOLLOWED_PERCENT / 100,
    };
    wait_until(fleet, &uses, FOLLOW_TERM)
}
