//! Tests of which connections are reported.

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

#[test]
fn reports_a_connection_once() {
    let mut detector = FloodDetector::default();
    let lines = FLOOD_LINES as usize / 2;
    assert!(!detector.turn_ended(at(5_000), lines));
    assert!(detector.turn_ended(at(5_900), lines));
    assert!(!detector.turn_ended(at(5_950), lines));
    assert!(!detector.turn_ended(at(8_000), 2 * lines));
}

#[test]
fn reports_no_connection_whose_lines_are_spread() {
    let mut detector = FloodDetector::default();
    let lines = FLOOD_LINES as usize / 2;
    for second in 1..20 {
        assert!(!detector.turn_ended(at(second * 1_100), lines));
    }
}
