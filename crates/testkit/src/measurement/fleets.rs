//! Fleets that are measured, real and simulated ones alike.

use crate::fleet::script::{Action, Condition, Fleet};
use madderbay::time::Duration;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

/// The release build of the program, from the root of the repository.
///
/// # Panics
///
/// If it isn't built.
pub fn release_binary() -> &'static Path {
    let binary = Path::new("target/release/madderbay");
    assert!(binary.exists(), "build the release first");
    binary
}

/// Carries out an action that can't fail.
///
/// # Panics
///
/// If it fails.
pub fn act(fleet: &mut impl Fleet, action: Action) {
    fleet.act(&action).expect("done");
}

/// Starts the servers with these indices under their own names.
///
/// # Panics
///
/// If one doesn't start.
pub fn start_all(fleet: &mut impl Fleet, servers: std::ops::Range<usize>) {
    servers.for_each(|server| act(fleet, Action::start(server)));
}

/// Waits until a condition holds. Gives the time that it took in seconds, infinite if that passes
/// the term.
pub fn wait_until(fleet: &mut impl Fleet, condition: &Condition, term: Duration) -> f64 {
    let began = fleet.at();
    while fleet.unmet(condition).is_some() {
        if fleet.at().saturating_sub(began) > term {
            return f64::INFINITY;
        }
        fleet.pass();
    }
    fleet.at().saturating_sub(began).as_secs_f64()
}

/// Calls a function with each seed from 0 up to a count, on several threads.
pub fn for_each_seed(count: u64, threads: usize, play: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= count {
                        return;
                    }
                    play(seed);
                }
            });
        }
    });
}
