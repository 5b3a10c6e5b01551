//! The counters' names, their order and their form: operators' pages and programs depend on them.

use madderbay::interface::Outcome;
use madderbay::time::Duration;
use madderbay_server::support::metrics::{Counters, Lines, LoadGauges};

const EXPECTED: &str = "\
counter read.quote 1
counter ran.quote 2
counter read.book 3
counter ran.book 4
counter answered.done 2
counter answered.partial 1
counter answered.shed 5
counter answered.errored 3
counter gone 7
counter open 101
counter in_hand 102
counter joined 6
counter cut 8
counter runs.started 9
counter runs.done 2
counter runs.errored 1
counter runs.stopped 1
counter runs.moot 3
counter calls.made 10
counter calls.done 1
counter calls.shed 1
counter calls.errored 1
counter calls.timed_out 1
counter calls.unreached 1
counter calls.cut_off 3
counter calls.out 104
counter calls.skipped 11
counter connections.accepted 12
counter connections.open 103
counter connections.cut 13
counter connections.refused 14
counter keys.kept 105
counter bad.lines 15
counter bad.notices 16
counter bad.replies 17
counter strays 18
counter engine.declined 19
counter engine.links_lost 20
counter registry.reports 21
counter registry.reports_lost 22
counter ticks 3
counter ticks.late 1
counter ticks.latest_ms 30
counter reads.late 1
counter reads.latest_ms 21
";

fn counted() -> Counters {
    let mut counters = Counters::new(&["quote".into(), "book".into()]);
    (counters.read, counters.ran) = (vec![1, 3], vec![2, 4]);
    for (is_done, is_partial, times) in [(true, false, 2), (true, true, 1), (false, false, 2)] {
        (0..times).for_each(|_| counters.answered(is_done, is_partial));
    }
    counters.answered(false, true);
    (counters.shed, counters.joined, counters.gone, counters.cut) = (5, 6, 7, 8);
    (counters.runs, counters.calls, counters.skipped) = (9, 10, 11);
    counters.connections = 12;
    (counters.connections_cut, counters.connections_refused) = (13, 14);
    (
        counters.bad_lines,
        counters.bad_notices,
        counters.bad_replies,
    ) = (15, 16, 17);
    (counters.strays, counters.declined, counters.relinks) = (18, 19, 20);
    (counters.reports, counters.reports_lost) = (21, 22);
    for outcome in [
        Outcome::Completed,
        Outcome::Rejected,
        Outcome::Failed,
        Outcome::TimedOut,
        Outcome::Unreachable,
        Outcome::Disconnected,
        Outcome::Cancelled,
        Outcome::AlreadyEnded,
    ] {
        counters.call_over(outcome);
    }
    for outcome in [
        Outcome::Completed,
        Outcome::Completed,
        Outcome::Failed,
        Outcome::Cancelled,
        Outcome::AlreadyEnded,
        Outcome::TimedOut,
        Outcome::Disconnected,
    ] {
        counters.run_over(outcome);
    }
    for late_micros in [0, 30_000, 30_001] {
        counters.tick(Duration::from_micros(late_micros));
    }
    for unread_micros in [20_000, 21_999] {
        counters.read_late(Duration::from_micros(unread_micros));
    }
    counters
}

#[test]
fn counters_have_their_names_order_and_form() {
    let gauges = LoadGauges {
        open_requests: 101,
        requests_in_flight: 102,
        connections: 103,
        calls_in_flight: 104,
        keys: 105,
    };
    assert_eq!(counted().lines(&gauges), EXPECTED);
}

#[test]
fn counters_of_a_part_stand_under_its_name() {
    let mut lines = Lines::of("routes");
    lines.add("firsts", 1);
    lines.add("again", u64::MAX);
    let expected = "counter routes.firsts 1\ncounter routes.again 18446744073709551615\n";
    assert_eq!(lines.text, expected);
}
