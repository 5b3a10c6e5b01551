//! Names, order and format of the counters. Operators' pages and programs depend on them.

use madderbay::interface::{HandlerId, Outcome};
use madderbay::time::Duration;
use madderbay_server::support::metrics::{Counters, Lines, LoadGauges};

const QUOTE: HandlerId = HandlerId::new(0);
const BOOK: HandlerId = HandlerId::new(1);

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
counter in_hand.answered 106
counter joined 6
counter cut 8
counter runs.started 9
counter runs.done 2
counter runs.errored 1
counter runs.stopped 1
counter runs.moot 3
counter runs.abandoned 21
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
counter connections.flooding 22
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

/// Calls `count` `times` times.
fn repeat(times: u64, mut count: impl FnMut()) {
    for _ in 0..times {
        count();
    }
}

/// Returns counters that have counted each event a different number of times, as far as the lines allow.
fn counters_with_events() -> Counters {
    let mut counters = Counters::new(&["quote".into(), "book".into()]);
    count_requests(&mut counters);
    count_runs(&mut counters);
    count_calls(&mut counters);
    count_connections(&mut counters);
    for late_micros in [0, 30_000, 30_001] {
        counters.ticked(Duration::from_micros(late_micros));
    }
    for delay_micros in [20_000, 21_999] {
        counters.read_delayed(Duration::from_micros(delay_micros));
    }
    counters
}

fn count_requests(counters: &mut Counters) {
    repeat(1, || counters.request_read(QUOTE));
    repeat(3, || counters.request_read(BOOK));
    repeat(2, || counters.request_completed(false));
    repeat(1, || counters.request_completed(true));
    repeat(3, || counters.request_failed());
    repeat(5, || counters.request_rejected());
    repeat(6, || counters.request_joined());
    repeat(7, || counters.client_gone());
    counters.requests_disconnected(3);
    counters.requests_disconnected(5);
}

fn count_runs(counters: &mut Counters) {
    repeat(9, || counters.run_started());
    for outcome in [Outcome::Completed, Outcome::Completed] {
        counters.run_ended(QUOTE, outcome);
    }
    for outcome in [
        Outcome::Failed,
        Outcome::Cancelled,
        Outcome::TimedOut,
        Outcome::Disconnected,
    ] {
        counters.run_ended(BOOK, outcome);
    }
    counters.run_not_sent();
    repeat(21, || counters.run_abandoned());
    repeat(16, || counters.notice_unreadable());
    repeat(18, || counters.unmatched_end());
    repeat(19, || counters.command_declined());
    repeat(20, || counters.engine_link_lost());
}

fn count_calls(counters: &mut Counters) {
    repeat(10, || counters.call_sent());
    repeat(11, || counters.call_skipped());
    repeat(17, || counters.reply_unreadable());
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
        counters.call_ended(outcome);
    }
}

fn count_connections(counters: &mut Counters) {
    repeat(12, || counters.connection_accepted());
    repeat(13, || counters.connection_evicted());
    repeat(14, || counters.connection_over_limit());
    repeat(22, || counters.connection_flooding());
    repeat(15, || counters.line_unreadable());
    repeat(21, || counters.report_accepted());
    repeat(22, || counters.report_failed());
}

#[test]
fn counter_lines_have_expected_names_and_order() {
    let gauges = LoadGauges {
        open_requests: 101,
        requests_in_flight: 102,
        requests_answered: 106,
        connections: 103,
        calls_in_flight: 104,
        keys: 105,
    };
    assert_eq!(counters_with_events().lines(&gauges), EXPECTED);
}

#[test]
fn prefixes_counters_with_component_name() {
    let mut lines = Lines::of("routes");
    lines.add("firsts", 1);
    lines.add("again", u64::MAX);
    let expected = "counter routes.firsts 1\ncounter routes.again 18446744073709551615\n";
    assert_eq!(lines.text, expected);
}
