//! Weighted max-min fair division of a number of permits among pools.
//!
//! Pure functions without state or time. Permits that no pool demands are offered to every pool.

/// Demand of one pool for permits, and its bounds.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Relative weight. A pool of weight 0 gets only the permits that pools of positive weight do
    /// not want.
    pub weight: f64,
    /// Number of permits that the pool can use now.
    pub wanted: usize,
    /// Upper bound on the number of its permits.
    pub max: usize,
}

impl Demand {
    fn attainable(&self) -> usize {
        self.wanted.min(self.max)
    }
}

/// Allocates up to `total` permits by weighted max-min fairness. Among pools of positive weight,
/// every pool that wants a permit gets its first before any pool gets its second, as far as there
/// are enough permits.
pub fn allocate(total: usize, demands: &[Demand]) -> Vec<usize> {
    let mut allocated = vec![0; demands.len()];
    let mut remaining = total;
    for weighted in [true, false] {
        while remaining > 0 {
            let Some(next) = next_pool_to_serve(demands, &allocated, weighted) else {
                break;
            };
            allocated[next] += 1;
            remaining -= 1;
        }
    }
    allocated
}

/// Returns the pool that gets the next permit: one without any permit first, then the pool whose
/// allocation relative to its weight is the lowest after one more permit. Considers pools of
/// positive weight if `weighted`; otherwise pools of weight 0, which count alike.
fn next_pool_to_serve(demands: &[Demand], allocated: &[usize], weighted: bool) -> Option<usize> {
    let wants_more = |pool: &usize| {
        let demand = &demands[*pool];
        (demand.weight > 0.0) == weighted && allocated[*pool] < demand.attainable()
    };
    let relative_after = |pool: usize| {
        let weight = if weighted { demands[pool].weight } else { 1.0 };
        (allocated[pool] + 1) as f64 / weight
    };
    (0..demands.len()).filter(wants_more).min_by(|a, b| {
        let has_permit = (allocated[*a] > 0).cmp(&(allocated[*b] > 0));
        has_permit.then(relative_after(*a).total_cmp(&relative_after(*b)))
    })
}

/// Returns the number of permits that each pool may use now: its allocation plus every permit that
/// no pool wants, up to its maximum. Borrowed permits return to their owners as the runs of the
/// borrowers end.
pub fn ceilings(total: usize, demands: &[Demand]) -> Vec<usize> {
    let allocated = allocate(total, demands);
    let idle = total - allocated.iter().sum::<usize>();
    let with_idle = |(demand, own): (&Demand, usize)| (own + idle).min(demand.max);
    demands.iter().zip(allocated).map(with_idle).collect()
}
