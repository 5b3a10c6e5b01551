//! The project's laboratory: a whole fleet, the program's own modules, in simulated time and under every mix of
//! faults, all from one seed. Servers, engines, balancers, backends and networks are simulated.

pub mod below;
pub mod fault;
pub mod features;
pub mod history;
pub mod mixes;
pub mod table;
pub mod world;

use history::History;
use world::{Found, World};

/// Plays a history to its end.
pub fn play(history: &History, seed: u64) -> Found {
    World::new(history.clone(), seed).play()
}

/// The fewest faults of a history under which a rule is still broken the same way: halves are left out, then
/// quarters, down to single ones.
pub fn shrink(history: &History, seed: u64, rule: &str) -> History {
    let breaks = |h: &History| play(h, seed).breaches.iter().any(|b| b.rule == rule);
    let mut small = history.clone();
    let mut size = small.faults.len().div_ceil(2);
    while size > 0 {
        let mut from = 0;
        while from < small.faults.len() {
            let mut fewer = small.clone();
            fewer
                .faults
                .drain(from..(from + size).min(small.faults.len()));
            if breaks(&fewer) {
                small = fewer;
            } else {
                from += size;
            }
        }
        size = if size == 1 { 0 } else { size.div_ceil(2) };
    }
    small
}
