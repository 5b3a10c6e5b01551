//! A central lessor, for comparison: each server holds the first one in its view to be it. It
//! grants the whole budget by leases of a second to whoever asks, and a new one waits for nothing.

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
    /// What the lessee had work for.
    demand: u32,
}

/// What a lessee holds.
#[derive(Clone, Default)]
struct Lease {
    units: u32,
    until: f64,
}

/// The leases of all servers, each of which may hold itself to be the lessor.
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

    fn step(
        &mut self,
        fleet: &SimulatedFleet,
        demands: &[u32],
        apart: impl Fn(usize, usize) -> bool,
    ) {
        self.now += STEP_SECS;
        let mut used = 0;
        for (lessee, demand) in demands.iter().enumerate() {
            let Some(lessor) = lessor_of(fleet, lessee, demands.len()) else {
                continue;
            };
            if !apart(lessee, lessor) && fleet.members(lessor).is_some() {
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

    /// Grants a lessee as much as is free and as its even part allows.
    fn renew(&mut self, lessor: usize, lessee: usize, demand: u32) {
        let now = self.now;
        let grants = &mut self.grants[lessor];
        grants.retain(|grant| grant.until > now && grant.lessee != lessee);
        let granted = grants.iter().map(|grant| grant.units).sum();
        let free = self.capacity.saturating_sub(granted);
        // None has more than its part while others have work for theirs.
        let others = grants.iter().map(|grant| grant.demand);
        let others = others.filter(|demand| *demand > 0);
        let even = self.capacity / (1 + others.clone().count() as u32);
        let idle = others.map(|demand| even.saturating_sub(demand));
        let idle = idle.sum::<u32>();
        let units = demand.min(free).min(even + idle);
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
    /// Calls in flight as a part of the capacity: the mean and the most.
    pub(crate) used: f64,
    pub(crate) peak: f64,
}

/// Plays a demand for some seconds; `cut` separates the two halves of the servers.
pub(crate) fn play(
    fleet: &mut SimulatedFleet,
    capacity: u32,
    demands: &[u32],
    cut: bool,
    secs: f64,
) -> CentralResult {
    let middle = demands.len() / 2;
    let apart = |a: usize, b: usize| cut && (a < middle) != (b < middle);
    let mut lessor = CentralLessor::new(demands.len(), capacity);
    for _ in 0..(secs / STEP_SECS) as usize {
        fleet.run(Duration::from_secs_f64(STEP_SECS));
        lessor.step(fleet, demands, apart);
    }
    CentralResult {
        used: lessor.call_secs / secs / f64::from(capacity),
        peak: f64::from(lessor.peak) / f64::from(capacity),
    }
}
