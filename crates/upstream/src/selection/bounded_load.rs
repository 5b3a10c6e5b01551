//! Rendezvous hashing with bounded load. It is not used yet; `docs/notes/backends.md` discusses it.

/// Load from which a backend is skipped, in multiples of the mean load.
const MAX_RELATIVE_LOAD: f64 = 1.25;

/// Returns the index, below `backends`, of the backend that a key belongs to: the first in the key's own order of
/// preference whose load is no more than a quarter over the mean. `load` returns the attempts in flight at the backend
/// with an index.
pub fn backend_for_key(key: u64, backends: usize, load: impl Fn(usize) -> usize) -> Option<usize> {
    let total: usize = (0..backends).map(&load).sum();
    let mean = total as f64 / backends.max(1) as f64;
    let load_limit = (MAX_RELATIVE_LOAD * (mean + 1.0)).ceil() as usize;
    let score =
        |index: usize| xxhash_rust::xxh3::xxh3_64_with_seed(&key.to_le_bytes(), index as u64);
    let mut preferred: Vec<usize> = (0..backends).collect();
    preferred.sort_by_key(|index| std::cmp::Reverse(score(*index)));
    let below_limit = preferred
        .iter()
        .copied()
        .find(|index| load(*index) < load_limit);
    below_limit.or(preferred.first().copied())
}

#[cfg(test)]
mod tests;
