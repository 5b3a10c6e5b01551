//! Whom a call goes to among those that are in: two are drawn by weight, and the one with less to wait for has
//! it. What is drawn from is made anew now and then, so that a choice costs the same among ten and a thousand.

/// Weights added up, to draw from.
#[derive(Clone, Debug, Default)]
pub struct Drawn {
    /// Sums up to and with each, and who it is.
    sums: Vec<(f64, usize)>,
}

impl Drawn {
    pub fn of(weights: impl IntoIterator<Item = (usize, f64)>) -> Drawn {
        let mut sum = 0.0;
        let open = weights.into_iter().filter(|w| w.1 > 0.0);
        let sums = open.map(|(who, weight)| {
            sum += weight;
            (sum, who)
        });
        Drawn {
            sums: sums.collect(),
        }
    }

    pub fn sum(&self) -> f64 {
        self.sums.last().map_or(0.0, |s| s.0)
    }

    pub fn len(&self) -> usize {
        self.sums.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    /// The one at a place from 0 to 1 of all weights.
    pub fn at(&self, place: f64) -> Option<usize> {
        let want = place * self.sum();
        let found = self
            .sums
            .partition_point(|s| s.0 <= want)
            .min(self.sums.len().checked_sub(1)?);
        Some(self.sums[found].1)
    }

    /// Two drawn by weight, the better of them; `avoid` only where there is nobody else. `cost` tells what a
    /// call would wait for there.
    pub fn better(
        &self,
        avoid: Option<usize>,
        mut draw: impl FnMut() -> f64,
        cost: impl Fn(usize) -> f64,
    ) -> Option<usize> {
        let mut one = || {
            let first = self.at(draw())?;
            if Some(first) != avoid || self.len() < 2 {
                return Some(first);
            }
            // Drawn among the others: the place behind it.
            let at = self.sums.iter().position(|s| s.1 == first)?;
            let step = 1 + (draw() * (self.len() - 1) as f64) as usize;
            Some(self.sums[(at + step.min(self.len() - 1)) % self.len()].1)
        };
        let (a, b) = (one()?, one()?);
        Some(if cost(b) < cost(a) { b } else { a })
    }
}

/// The place of a subject among `n`, with bounded load: the first on its way round that has no more than a
/// quarter over the mean in hand. Weighed in `docs/notes/routes.md`.
pub fn by_subject(subject: u64, n: usize, in_hand: impl Fn(usize) -> usize) -> Option<usize> {
    let mean = (0..n).map(&in_hand).sum::<usize>() as f64 / n.max(1) as f64;
    let most = (1.25 * (mean + 1.0)).ceil() as usize;
    let score = |i: usize| xxhash_rust::xxh3::xxh3_64_with_seed(&subject.to_le_bytes(), i as u64);
    let mut way: Vec<usize> = (0..n).collect();
    way.sort_by_key(|i| std::cmp::Reverse(score(*i)));
    way.iter()
        .copied()
        .find(|i| in_hand(*i) < most)
        .or(way.first().copied())
}

#[cfg(test)]
mod tests;
