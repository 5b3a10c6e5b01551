//! A central lessor, for comparison: each server regards the first member in its view as the
//! lessor. The lessor grants leases of the whole capacity for a second to every server that asks. A
//! new lessor grants at once, without waiting for leases of the former one to end.

use madderbay::time::Duration;
use madderbay_membership::MemberState;
use madderbay_testkit::fleet::script::name;
use madderbay_testkit::fleet::simulated::SimulatedFleet;

/// Simulated time of one step, in seconds.
const STEP_SECS: f64 = 0.1;
const LEASE_SECS: f64 = 1.0;

/// A lease from the view of its lessor.
#[derive(Clone)]
struct Grant {
    lessee: usize,
    units: u32,
    until: f64,
    /// Demand of the lessee when the lease was granted, in units.
    demand: u32,
}

/// A lease from the view of its lessee.
#[derive(Clone, Default)]
struct Lease {
    units: u32,
    until: f64,
}

/// Leases of all servers, each of which may regard itself as the lessor.
struct CentralLessor {
    capacity: u32,
    /// Grants of each lessor.
    grants: Vec<Vec<Grant>>,
    /// Lease of each lessee.
    leases: Vec<Lease>,
    now: f64,
    peak: u32,
    /// Number of calls in flight, integrated over time in seconds.
    call_secs: f64,
}

impl CentralLessor {
    fn new(servers: usize, capacity: u32) -> CentralLessor {
        CentralLessor {
            capacity,
            grants: vec![vec![]; servers],
            leases: vec![Lease::default(); servers],
            now: 0.0,
            peak: 0,
            call_secs: 0.0,
        }
    }

    /// Renews the leases of all lessees, and adds up the calls that they then have in flight.
    fn step(
        &mut self,
        fleet: &SimulatedFleet,
        demands: &[u32],
        partitioned: impl Fn(usize, usize) -> bool,
    ) {
        self.now += STEP_SECS;
        let mut used = 0;
        for (lessee, demand) in demands.iter().enumerate() {
            let Some(lessor) = lessor_of(fleet, lessee, demands.len()) else {
                continue;
            };
            if !partitioned(lessee, lessor) && fleet.members(lessor).is_some() {
                self.renew(lessor, lessee, *demand);
            }
            let lease = &self.leases[lessee];
            if lease.until > self.now {
                used += lease.units.min(*demand);
            }
        }
        self.peak = self.peak.max(used);
        self.call_secs += f64::from(used) * STEP_SECS;
    }

    /// Grants a lessee as much as is free and as its fair share allows. A lessee gets more than its
    /// share only as far as others do not use theirs.
    fn renew(&mut self, lessor: usize, lessee: usize, demand: u32) {
        let now = self.now;
        let grants = &mut self.grants[lessor];
        grants.retain(|grant| grant.until > now && grant.lessee != lessee);
        let granted = grants.iter().map(|grant| grant.units).sum();
        let free = self.capacity.saturating_sub(granted);
        let other_demands: Vec<u32> = grants
            .iter()
            .map(|grant| grant.demand)
            .filter(|demand| *demand > 0)
            .collect();
        let fair_share = self.capacity / (1 + other_demands.len() as u32);
        let unused_by_others: u32 = other_demands
            .iter()
            .map(|demand| fair_share.saturating_sub(*demand))
            .sum();
        let units = demand.min(free).min(fair_share + unused_by_others);
        let until = now + LEASE_SECS;
        grants.push(Grant {
            lessee,
            units,
            until,
            demand,
        });
        self.leases[lessee] = Lease { units, until };
    }
}

/// Returns the lessor in the view of a server: the first member that is up, or the server itself.
/// `None` if the server is not running.
fn lessor_of(fleet: &SimulatedFleet, server: usize, servers: usize) -> Option<usize> {
    let members = fleet.members(server)?;
    let is_up = |other: usize| {
        let state = members.member_state(&name(other));
        state.is_some_and(|state| !matches!(state, MemberState::Down | MemberState::Left))
    };
    let first = (0..servers).find(|other| *other == server || is_up(*other));
    Some(first.unwrap_or(server))
}

/// Results of a demand under a central lessor.
pub(crate) struct CentralResult {
    /// Mean number of calls in flight, as a fraction of the capacity.
    pub(crate) used: f64,
    /// Largest number of calls in flight, as a fraction of the capacity.
    pub(crate) peak: f64,
}

/// Plays a demand for `secs` seconds. `halved` says whether the two halves of the servers are
/// partitioned from each other.
pub(crate) fn play(
    fleet: &mut SimulatedFleet,
    capacity: u32,
    demands: &[u32],
    halved: bool,
    secs: f64,
) -> CentralResult {
    let middle = demands.len() / 2;
    let partitioned = |a: usize, b: usize| halved && (a < middle) != (b < middle);
    let mut lessor = CentralLessor::new(demands.len(), capacity);
    for _ in 0..(secs / STEP_SECS) as usize {
        fleet.run(Duration::from_secs_f64(STEP_SECS));
        lessor.step(fleet, demands, partitioned);
    }
    CentralResult {
        used: lessor.call_secs / secs / f64::from(capacity),
        peak: f64::from(lessor.peak) / f64::from(capacity),
    }
}
