//! Helpers for measured fleets, real and simulated alike.

use crate::fleet::script::{Action, Condition, Fleet};
use madderbay::time::Duration;
use std::path::PathBuf;

/// Environment variable that names a program to measure instead of the release build.
const PROGRAM_VARIABLE: &str = "MADDERBAY";
/// Path of the program's release build, relative to the root of the repository.
const RELEASE_BINARY: &str = "target/release/madderbay";

/// Returns the path of the program to measure: the release build, unless the environment variable
/// `MADDERBAY` names another one.
///
/// # Panics
///
/// If the program does not exist.
pub fn release_binary() -> PathBuf {
    let path = std::env::var(PROGRAM_VARIABLE).unwrap_or_else(|_| RELEASE_BINARY.into());
    let binary = PathBuf::from(path);
    assert!(
        binary.exists(),
        "{} does not exist; run cargo build --release first",
        binary.display()
    );
    binary
}

/// Carries out an action that is expected to succeed.
///
/// # Panics
///
/// If it fails.
pub fn act(fleet: &mut impl Fleet, action: Action) {
    fleet.act(&action).expect("the action succeeds");
}

/// Starts the servers with these indices under their own names.
///
/// # Panics
///
/// If one doesn't start.
pub fn start_all(fleet: &mut impl Fleet, servers: std::ops::Range<usize>) {
    servers.for_each(|server| act(fleet, Action::start(server)));
}

/// Waits until a condition holds. Returns the time that it took in seconds, infinite if the
/// condition does not hold within `timeout`.
pub fn wait_until(fleet: &mut impl Fleet, condition: &Condition, timeout: Duration) -> f64 {
    let began = fleet.at();
    while fleet.unmet(condition).is_some() {
        if fleet.at().saturating_sub(began) > timeout {
            return f64::INFINITY;
        }
        fleet.pass();
    }
    fleet.at().saturating_sub(began).as_secs_f64()
}
