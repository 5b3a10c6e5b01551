//! Runs of one measurement with several seeds, some of them at a time.

use std::ops::Range;
use std::sync::Mutex;

/// The results of a run with each of these seeds, in the order of the seeds. Up to `threads` of
/// them run at a time.
///
/// # Panics
///
/// If a run panics.
pub fn run_seeds<T: Send>(
    seeds: Range<u64>,
    threads: usize,
    run: impl Fn(u64) -> T + Sync,
) -> Vec<T> {
    let next = Mutex::new(seeds);
    let results = Mutex::new(vec![]);
    let run_next = || {
        let seed = next.lock().expect("seeds").next()?;
        let result = run(seed);
        results.lock().expect("results").push((seed, result));
        Some(())
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| while run_next().is_some() {});
        }
    });
    let mut results = results.into_inner().expect("results");
    results.sort_by_key(|(seed, _)| *seed);
    results.into_iter().map(|(_, result)| result).collect()
}
