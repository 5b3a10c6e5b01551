//! Tests of the limit per place in the code. The numbers are those of the on-call page.

use super::*;

const START: Timestamp = Timestamp::from_micros(0);

fn place(line: u32) -> Place {
    Place {
        module: "madderbay_server::upstream",
        line,
    }
}

#[test]
fn admits_five_lines_of_each_place_in_an_interval() {
    let mut limit = PlaceLimit::new(START);
    let mut admitted = |line| (0..8).filter(|_| limit.admit(START, place(line))).count();
    assert_eq!((admitted(1), admitted(2)), (5, 5));
}

#[test]
fn end_of_interval_reports_suppressed_lines_in_order_and_resets_counts() {
    let mut limit = PlaceLimit::new(START);
    for (line, times) in [(9, 7), (3, 6), (5, 5)] {
        (0..times).for_each(|_| {
            limit.admit(START, place(line));
        });
    }
    let suppressed = |line, count| SuppressedLines {
        place: place(line),
        count,
    };
    let before_end = START + INTERVAL.saturating_sub(Duration::from_micros(1));
    assert_eq!(limit.end_interval(before_end), None);
    let end = START + INTERVAL;
    let expected = vec![suppressed(3, 1), suppressed(9, 2)];
    assert_eq!(limit.end_interval(end), Some(expected));
    assert!(limit.admit(end, place(9)));
    assert_eq!(limit.end_interval(end + INTERVAL), Some(vec![]));
}
