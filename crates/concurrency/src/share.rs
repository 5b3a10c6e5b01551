//! How a number of places is divided among pools: by weight among those that want more than they have, what
//! one leaves over going to the others.

/// What one pool wants, and may have at the most.
#[derive(Clone, Copy, Debug)]
pub struct Want {
    /// Nothing: only what the others leave.
    pub weight: f64,
    pub wants: usize,
    pub most: usize,
}

/// The places of each pool, `total` together at the most: the largest least share by weight (max-min). A pool
/// that weighs anything and wants anything gets one place before others get a second, as far as there are
/// any.
pub fn divide(total: usize, pools: &[Want]) -> Vec<usize> {
    let mut given = vec![0; pools.len()];
    let mut left = total;
    for weighty in [true, false] {
        while left > 0 {
            let open = |i: &usize| {
                let p = &pools[*i];
                (p.weight > 0.0) == weighty && given[*i] < p.wants.min(p.most)
            };
            // The next place goes where it leaves the least for its weight; among the weightless evenly.
            let after = |i: usize| {
                let weight = if weighty { pools[i].weight } else { 1.0 };
                (given[i] > 0, (given[i] + 1) as f64 / weight)
            };
            let next = (0..pools.len()).filter(open).min_by(|a, b| {
                let (a, b) = (after(*a), after(*b));
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
            });
            let Some(i) = next else { break };
            given[i] += 1;
            left -= 1;
        }
    }
    given
}

/// What each pool may have now: its own places and all that nobody wants, which it gives back as its runs
/// end.
pub fn ceilings(total: usize, pools: &[Want]) -> Vec<usize> {
    let given = divide(total, pools);
    let idle = total - given.iter().sum::<usize>();
    pools
        .iter()
        .zip(given)
        .map(|(p, g)| (g + idle).min(p.most))
        .collect()
}
