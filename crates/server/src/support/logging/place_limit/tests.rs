//! The numbers here are those of the on-call page.

use super::*;

fn place(line: u32) -> Place {
    Place {
        module: "madderbay_server::upstream",
        line,
    }
}

#[test]
fn admits_five_lines_of_each_place_in_a_window() {
    let mut limit = PlaceLimit::default();
    let mut admitted = |line| (0..8).filter(|_| limit.admit(place(line))).count();
    assert_eq!((admitted(1), admitted(2)), (5, 5));
}

#[test]
fn end_of_window_reports_suppressed_lines_in_order_and_starts_anew() {
    let mut limit = PlaceLimit::default();
    for (line, times) in [(9, 7), (3, 6), (5, 5)] {
        (0..times).for_each(|_| {
            limit.admit(place(line));
        });
    }
    let suppressed = |line, count| SuppressedLines {
        place: place(line),
        count,
    };
    assert_eq!(limit.end_window(), [suppressed(3, 1), suppressed(9, 2)]);
    assert!(limit.admit(place(9)) && limit.end_window().is_empty());
}
