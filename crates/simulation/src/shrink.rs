//! Reduces a history that violates an invariant to as few faults as possible.

use crate::history::History;
use crate::invariants::Invariant;
use crate::simulate;

/// Returns a history with the fewest faults under which the same invariant is still violated: halves of the faults are
/// removed, then quarters, down to single ones. A history that does not violate the invariant is returned unchanged.
pub fn shrink(history: &History, seed: u64, invariant: Invariant) -> History {
    let mut smallest = history.clone();
    let mut chunk = smallest.faults.len().div_ceil(2);
    while chunk > 0 {
        remove_chunks(&mut smallest, chunk, seed, invariant);
        chunk = if chunk == 1 { 0 } else { chunk.div_ceil(2) };
    }
    smallest
}

/// Removes each chunk of faults that the violation does not need.
fn remove_chunks(smallest: &mut History, chunk: usize, seed: u64, invariant: Invariant) {
    let mut start = 0;
    while start < smallest.faults.len() {
        let end = (start + chunk).min(smallest.faults.len());
        let mut shorter = smallest.clone();
        shorter.faults.drain(start..end);
        if violates(&shorter, seed, invariant) {
            *smallest = shorter;
        } else {
            start += chunk;
        }
    }
}

fn violates(history: &History, seed: u64, invariant: Invariant) -> bool {
    let report = simulate(history, seed);
    let mut violations = report.violations.iter();
    violations.any(|violation| violation.invariant == invariant)
}
