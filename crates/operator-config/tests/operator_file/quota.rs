//! `[shared]`, `[budget NAME]` and `[count NAME]`.

use crate::support::{MEMBERS, error_lines, read_valid};
use madderbay_operator_config::quota::CounterKind;

/// A budget with fewer calls than servers, one with several errors, and a counter.
const INVALID: &str = "[shared]\nenabled = on\n[budget a]\nhandlers = x\ncalls = 3\nservers = 5\n\
                       [budget b c]\nhandlers = x\nservers = 0\n[count d]\nby = hour\n";

#[test]
fn reads_budgets_and_counters_with_defaults_for_absent_keys() {
    let text = "[shared]\nenabled = on\n[budget trip-book]\nhandlers = seat-book\ncalls = 64\nservers = 12\n\
                [count tenants]\nby = tenant\n";
    let shared = read_valid(&format!("{MEMBERS}{text}")).quota.expect("on");
    let budget = &shared.budgets[0];
    assert_eq!(
        (budget.name.as_str(), budget.capacity, budget.max_servers),
        ("trip-book", 64, 12)
    );
    assert_eq!(
        (
            budget.lease_ms,
            budget.max_call_ms,
            shared.slot,
            shared.weight
        ),
        (1_000, 2_000, None, 1.0)
    );
    let counter = &shared.counters[0];
    assert_eq!(
        (counter.by, counter.window_s, counter.max_per_second),
        (CounterKind::Tenant, 10, 1_000.0)
    );
}

#[test]
fn quotas_that_are_off_are_none() {
    assert_eq!(read_valid("[shared]\nenabled = off\n").quota, None);
}

#[test]
fn quotas_need_members() {
    assert_eq!(
        error_lines("[shared]\nenabled = on\n"),
        ["o.ini:2: [shared] enabled: requires [members], through which the servers communicate"]
    );
}

#[test]
fn reports_invalid_budgets_and_counters() {
    assert_eq!(
        error_lines(&format!("{MEMBERS}{INVALID}")),
        [
            "o.ini:8: [budget a] calls: 3 calls leave 5 servers without a base quota: set each server's seat in \
             [shared]",
            "o.ini:10: [budget b c] calls: must be set",
            "o.ini:10: [budget b c]: must have a name of 1 to 63 letters, digits, '-', '_' or '.'",
            "o.ini:11: [budget b c] handlers: 'x' already belongs to budget a",
            "o.ini:12: [budget b c] servers: '0' is not a number from 1 to 10000",
            "o.ini:14: [count d] by: 'hour' is not one of tenant, handler",
        ]
    );
}

#[test]
fn a_budget_may_have_fewer_calls_than_servers_where_slots_are_set() {
    let with_slot = INVALID.replace("enabled = on", "enabled = on\nseat = 2");
    let lines = error_lines(&format!("{MEMBERS}{with_slot}"));
    assert!(!lines.iter().any(|l| l.contains("without a base quota")));
}

#[test]
fn a_budget_requires_the_shared_section() {
    assert_eq!(
        error_lines("[budget a]\ncalls = 1\n"),
        ["o.ini:1: [budget a]: requires a section [shared]"]
    );
}
