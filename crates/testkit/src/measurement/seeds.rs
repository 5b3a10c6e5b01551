//! Runs of one measurement with several seeds, some of them in parallel.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Mutex;

/// Runs a measurement with each seed of a range, up to `threads` of them in parallel, and returns
/// the results in the order of the seeds.
///
/// # Panics
///
/// If a run panics.
pub fn run_seeds<T: Send>(
    seeds: Range<u64>,
    threads: usize,
    run: impl Fn(u64) -> T + Sync,
) -> Vec<T> {
    let seeds: Vec<u64> = seeds.collect();
    run_seed_list(&seeds, threads, run)
}

/// Runs a measurement with each seed of a list, up to `threads` of them in parallel, and returns
/// the results in the order of the list.
///
/// # Panics
///
/// If a run panics.
pub fn run_seed_list<T: Send>(
    seeds: &[u64],
    threads: usize,
    run: impl Fn(u64) -> T + Sync,
) -> Vec<T> {
    let waiting: VecDeque<(usize, u64)> = seeds.iter().copied().enumerate().collect();
    let waiting = Mutex::new(waiting);
    let results = Mutex::new(vec![]);
    let run_next = || {
        let (position, seed) = waiting.lock().expect("no run has panicked").pop_front()?;
        let result = run(seed);
        results
            .lock()
            .expect("no run has panicked")
            .push((position, result));
        Some(())
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| while run_next().is_some() {});
        }
    });
    let mut results = results.into_inner().expect("no run has panicked");
    results.sort_by_key(|(position, _)| *position);
    results.into_iter().map(|(_, result)| result).collect()
}
