//! How a lender divides what it can spare among those who ask: to whom has least for its weight first, as far
//! as it wants more (max-min, by water filling).

/// One who asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wish {
    /// Calls that it may have beside what this lender gives it, and calls that it has work for.
    pub base: u32,
    pub wants: u32,
    pub weight: f64,
    /// What this lender gives it now.
    pub has: u32,
}

impl Wish {
    fn level(&self, given: u32) -> f64 {
        f64::from(self.base + given) / self.weight
    }
}

/// So much of a difference, in units, is left alone: what is moved for less swings back.
const SLACK: u32 = 1;

/// What each would have if all were divided anew.
pub fn divide(spare: u32, wishes: &[Wish]) -> Vec<u32> {
    let mut given = vec![0; wishes.len()];
    for _ in 0..spare {
        let open = |i: &usize| wishes[*i].base + given[*i] < wishes[*i].wants;
        let least = (0..wishes.len()).filter(open).min_by(|a, b| {
            let level = |i: &usize| wishes[*i].level(given[*i]);
            // Where it is equal, whoever has it keeps it.
            level(a)
                .total_cmp(&level(b))
                .then((given[*a] >= wishes[*a].has).cmp(&(given[*b] >= wishes[*b].has)))
        });
        let Some(i) = least else { break };
        given[i] += 1;
    }
    given
}

/// What each is to have next: half of the way to what is right, since other lenders move too and none knows
/// what the others do at the same moment. Where there is plenty nothing is taken of anybody who wants it.
pub fn step(spare: u32, wishes: &[Wish]) -> Vec<u32> {
    let right = divide(spare, wishes);
    let used: u32 = wishes.iter().map(|w| w.has).sum();
    let short = right.iter().zip(wishes).any(|(r, w)| *r > w.has) || used > spare;
    right
        .iter()
        .zip(wishes)
        .map(|(right, wish)| {
            let over = wish.has.saturating_sub(*right);
            if *right >= wish.has {
                *right
            } else if used > spare {
                // The lender wants it back itself.
                *right
            } else if !short || over <= SLACK {
                wish.has
            } else {
                wish.has - over.div_ceil(2)
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
