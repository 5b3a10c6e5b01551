//! Checks how many datagrams of a flood are processed.

use super::*;
use madderbay::time::Duration;

/// Length of a flood in seconds.
const FLOOD_SECONDS: u64 = 10;

/// Returns how many datagrams are processed of a flood with evenly spaced arrivals.
fn count_admitted(datagrams_per_second: u64) -> u64 {
    let start = Timestamp::from_micros(1_000_000);
    let mut limit = DatagramLimit::new(start);
    let count = datagrams_per_second * FLOOD_SECONDS;
    let admitted = (0..count).filter(|n| {
        let elapsed = Duration::from_micros(n * 1_000_000 / datagrams_per_second);
        limit.try_take(start + elapsed)
    });
    admitted.count() as u64
}

/// Guards against a limiter that a flood starves: of 6,000 datagrams per second it once admitted one in ten, of 10,000
/// one in fifty, and the view of the fleet received no more updates.
#[test]
fn admits_the_permitted_rate_during_any_flood() {
    let permitted = DATAGRAMS_PER_SECOND as u64 * FLOOD_SECONDS;
    for flood in [6_000, 10_000, 50_000, 1_000_000] {
        let admitted = count_admitted(flood);
        let max_admitted = permitted + u64::from(MAX_BURST);
        assert!(
            (permitted..=max_admitted).contains(&admitted),
            "{admitted} of {flood} a second"
        );
    }
    for flood in [100, 4_000, 5_000] {
        assert_eq!(
            count_admitted(flood),
            flood * FLOOD_SECONDS,
            "of {flood} a second"
        );
    }
}
