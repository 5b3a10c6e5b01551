//! A central lessor, for comparison: in the view of each server it is the first member. It grants
//! the whole capacity by leases of a second to whoever asks, and a new one waits for nothing.

use madderbay::time::Duration;
use madderbay_membership::MemberState;
use madderbay_testkit::fleet::script::name;
use madderbay_testkit::fleet::simulated::SimulatedFleet;

/// The time that a step simulates, in seconds.
const STEP_SECS: f64 = 0.1;
const LEASE_SECS: f64 = 1.0;

/// What a lessor has granted.
#[derive(Clone)]
struct Grant {
    lessee: usize,
    units: u32,
    until: f64,
    /// What the lessee had demand for.
    demand: u32,
}

/// What a lessee holds.
#[derive(Clone, Default)]
struct Lease {
    units: u32,
    until: f64,
}

/// The leases of all servers, each of which may believe that it is the lessor.
struct CentralLessor {
    capacity: u32,
    /// By lessor.
    grants: Vec<Vec<Grant>>,
    /// By lessee.
    leases: Vec<Lease>,
    now: f64,
    peak: u32,
    /// Calls in flight, summed over time.
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

    /// Lets all lessees renew their leases, and sums up the calls that they then have in flight.
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

    /// Grants a lessee as much as is free and as its even part allows. None has more than that while
    /// others have demand for theirs.
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

/// The first server in the view of another; `None` if that one does not run.
fn lessor_of(fleet: &SimulatedFleet, server: usize, servers: usize) -> Option<usize> {
    let members = fleet.members(server)?;
    let is_up = |other: usize| {
        let state = members.member_state(&name(other));
        state.is_some_and(|state| !matches!(state, MemberState::Down | MemberState::Left))
    };
    let first = (0..servers).find(|other| *other == server || is_up(*other));
    Some(first.unwrap_or(server))
}

/// What a central lessor makes of a demand.
pub(crate) struct CentralResult {
    /// Calls in flight as a fraction of the capacity: the mean and the most.
    pub(crate) used: f64,
    pub(crate) peak: f64,
}

/// Plays a demand for some seconds. `halved` says that the two halves of the servers are partitioned.
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
