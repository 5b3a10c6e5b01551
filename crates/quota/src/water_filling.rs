//! Water filling (max-min fairness): divides a lessor's idle units among its lessees.
//!
//! The functions take the number of idle units, which [`crate::budget`] determines, and one
//! [`Claim`] per lessee. They keep no state.

/// Demand of one lessee and the units that it already has, as its lessor knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Claim {
    /// Calls that the lessee may have in flight without this lessor's units.
    pub(crate) other_units: u32,
    /// Calls that the lessee has in flight or wants to start, with headroom.
    pub(crate) demand: u32,
    /// Weight of the lessee. Its units are divided by the weight before they are compared with
    /// those of other lessees.
    pub(crate) weight: f64,
    /// Units that this lessor has currently granted to the lessee.
    pub(crate) granted: u32,
}

impl Claim {
    fn fill_level(&self, units: u32) -> f64 {
        f64::from(self.other_units + units) / self.weight
    }

    fn is_satisfied_with(&self, units: u32) -> bool {
        self.other_units + units >= self.demand
    }
}

/// Excess of a grant over its fair share, in units, up to which the grant is left unchanged. Moving
/// a single unit back and forth would cost more than it gains.
const MAX_TOLERATED_EXCESS_UNITS: u32 = 1;

/// Returns the max-min fair shares of `idle` units, one for each claim in the order of `claims`.
pub(crate) fn max_min_shares(idle: u32, claims: &[Claim]) -> Vec<u32> {
    let mut shares = vec![0; claims.len()];
    for _ in 0..idle {
        let Some(lowest) = lowest_unsatisfied(claims, &shares) else {
            break;
        };
        shares[lowest] += 1;
    }
    shares
}

fn lowest_unsatisfied(claims: &[Claim], shares: &[u32]) -> Option<usize> {
    let fill_level = |i: usize| claims[i].fill_level(shares[i]);
    // If the levels are equal, a lessee that already has the unit keeps it.
    let is_new = |i: usize| shares[i] >= claims[i].granted;
    (0..claims.len())
        .filter(|i| !claims[*i].is_satisfied_with(shares[*i]))
        .min_by(|a, b| {
            let by_level = fill_level(*a).total_cmp(&fill_level(*b));
            by_level.then(is_new(*a).cmp(&is_new(*b)))
        })
}

/// Returns the units that each lessee should have next, one number for each claim in the order of
/// `claims`.
///
/// A grant above its fair share is reduced by half of the excess, because all lessors adjust their
/// grants at the same time without knowing each other's decisions. While there is enough for all,
/// no lessee loses units that it has. Units that the lessor needs itself are taken back at once.
pub(crate) fn next_grants(idle: u32, claims: &[Claim]) -> Vec<u32> {
    let shares = max_min_shares(idle, claims);
    let granted: u32 = claims.iter().map(|c| c.granted).sum();
    let lessor_needs_units = granted > idle;
    let is_scarce = lessor_needs_units
        || shares
            .iter()
            .zip(claims)
            .any(|(share, c)| *share > c.granted);
    shares
        .iter()
        .zip(claims)
        .map(|(share, claim)| {
            let excess = claim.granted.saturating_sub(*share);
            if excess == 0 || lessor_needs_units {
                *share
            } else if !is_scarce || excess <= MAX_TOLERATED_EXCESS_UNITS {
                claim.granted
            } else {
                claim.granted - excess.div_ceil(2)
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
