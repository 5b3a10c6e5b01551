//! Starts an incarnation of a simulated server.

use super::counts::TrueCounts;
use super::{SimulatedFleet, address, name};
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::{AllowedNetworks, Membership, Settings};
use madderbay_quota::{BudgetSettings, CounterSettings, FleetQuotas, LeaseTerms};
use madderbay_upstream::FleetStack;

/// Unix time at simulated time 0, in milliseconds.
const UNIX_START_MS: u64 = 1_764_576_000_000;
/// Name of the fleet.
const FLEET_NAME: &str = "fleet";
/// Name of the quota and of the counter.
const QUOTA_NAME: &str = "below";
/// The time by which a lessor outwaits a lease.
const LEASE_GUARD: Duration = Duration::from_millis(20);
/// Maximum rate of counted requests per key that a server is configured for, in requests per
/// second.
const MAX_COUNTED_PER_SECOND: f64 = 200.0;
/// Timeout of a probe as a fraction of the probe interval.
const PROBE_TIMEOUT_FRACTION: f64 = 0.4;

impl SimulatedFleet {
    /// Starts the server `index` under the name of the server `name_index`. Its Unix clock differs
    /// from the true time by `clock`: it is ahead, or behind if `is_behind` is set.
    pub(super) fn start(
        &mut self,
        index: usize,
        name_index: usize,
        clock: Duration,
        is_behind: bool,
    ) {
        let unix_ms = self.unix_ms(clock, is_behind);
        let seed = self.random.rand_u64();
        let now = self.nodes[index].clock(self.now);
        let members = Membership::new(
            now,
            unix_ms,
            seed,
            self.membership_settings(index, name_index),
        );
        let quotas = self
            .quota_settings(index, name_index)
            .map(|settings| FleetQuotas::new(now, seed, settings));
        if quotas
            .as_ref()
            .is_some_and(|quotas| !quotas.counters().is_empty())
        {
            self.true_counts.push(TrueCounts::new(index, now));
        }
        let node = &mut self.nodes[index];
        node.stack = Some(FleetStack::new(members, quotas));
        node.name = name_index;
        node.stopped = false;
        node.timer = None;
        node.work.calls_ended_while_stopped = 0;
        node.incarnation += 1;
        node.buffered.clear();
        self.last_disruption[index] = self.now;
        self.drive(index, FleetStack::handle_timeout);
    }

    /// Returns the present time of a Unix clock with this offset, in milliseconds.
    fn unix_ms(&self, offset: Duration, is_behind: bool) -> u64 {
        let true_ms = UNIX_START_MS + (self.now - Timestamp::default()).as_millis();
        let offset = offset.as_millis();
        if is_behind {
            true_ms - offset
        } else {
            true_ms + offset
        }
    }

    fn membership_settings(&self, index: usize, name_index: usize) -> Settings {
        let setup = &self.setup;
        Settings {
            name: name(name_index).into(),
            advertise: address(index),
            zone: setup.zones[index].as_str().into(),
            fleet: FLEET_NAME.into(),
            join: setup.join.iter().map(|server| address(*server)).collect(),
            allowed_networks: AllowedNetworks::new(["127.0.0.0/8".parse().expect("a network")]),
            max_members: setup.max_members,
            probe_interval: setup.probe,
            probe_timeout: setup.probe.mul_f64(PROBE_TIMEOUT_FRACTION),
            suspicion_timeout: setup.suspicion,
            down_retention: setup.down_retention,
            local_health_aware: setup.local_health_aware,
        }
    }

    /// Returns the quota settings for a server's next incarnation, or for a reload of its present
    /// one. Returns `None` if the setup has neither a quota nor a counter.
    pub(super) fn quota_settings(
        &self,
        index: usize,
        name_index: usize,
    ) -> Option<madderbay_quota::Settings> {
        let node = &self.nodes[index];
        let budget = self.setup.budget.as_ref().map(|budget| BudgetSettings {
            name: QUOTA_NAME.into(),
            capacity: node.work.capacity.unwrap_or(budget.capacity),
            max_servers: budget.servers,
            slot: budget.slots.then_some(name_index as u32 + 1),
            weight: 1.0,
            terms: LeaseTerms {
                lease: budget.lease,
                max_call: budget.max_call,
                guard: LEASE_GUARD,
            },
        });
        let counter = self.setup.window.map(|window| CounterSettings {
            name: QUOTA_NAME.into(),
            window,
            max_per_second: MAX_COUNTED_PER_SECOND,
        });
        (budget.is_some() || counter.is_some()).then(|| madderbay_quota::Settings {
            name: name(name_index).into(),
            incarnation: (index as u64 + 1) << 32 | u64::from(node.incarnation + 1),
            budgets: budget.into_iter().collect(),
            counters: counter.into_iter().collect(),
        })
    }
}
