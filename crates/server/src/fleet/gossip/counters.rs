//! Formats the counters of the fleet, one line each in a fixed order. The names of the counters are fixed because
//! operators' scripts read them.

use crate::support::metrics::Lines;
use madderbay::time::Timestamp;
use madderbay_membership::Membership;
use madderbay_quota::FleetQuotas;

/// Counters of the gossip driver itself.
pub(super) struct DriverCounters {
    /// Received datagrams that were dropped because they exceeded the rate limit.
    pub(super) dropped_datagrams: u64,
    /// Datagrams that the socket did not accept at once and that were therefore not sent.
    pub(super) unsent_datagrams: u64,
    /// Events that are neither written to the log nor included in a reported number of omitted events.
    pub(super) unwritten_events: u64,
}

/// Returns the counters of the membership and of the driver.
pub(super) fn of_membership(membership: &Membership, driver: &DriverCounters) -> String {
    let counters = membership.counters();
    let mut lines = Lines::of("members");
    lines.add("active", membership.active_count() as u64 + 1);
    lines.add("heard", counters.received);
    lines.add("sent", counters.sent);
    lines.add("bytes_in", counters.bytes_in);
    lines.add("bytes_out", counters.bytes_out);
    for (reason, count) in counters.rejected.iter() {
        lines.add(&format!("strangers.{}", reason.counter_key()), count);
    }
    for (name, value) in [
        ("over", driver.dropped_datagrams),
        ("unsent", driver.unsent_datagrams),
        ("suspicions", counters.suspicions),
        ("refuted", counters.refutations),
        ("downs", counters.down_declarations),
        ("renewed", counters.identity_renewals),
        ("notices", counters.notices),
        ("rosters", counters.roster_requests),
        ("held_up", membership.pause_count()),
        ("untold", counters.dropped_events + driver.unwritten_events),
    ] {
        lines.add(name, value);
    }
    lines.text
}

/// Returns the counters of the quotas and of the replicated counters.
pub(super) fn of_quotas(quotas: &FleetQuotas, now: Timestamp) -> String {
    let mut lines = Lines::of("shared");
    add_budgets(&mut lines, quotas, now);
    for counter in quotas.counters() {
        let name = &counter.settings().name;
        let incarnations = counter.tracked_incarnations() as u64;
        lines.add(&format!("{name}.lives"), incarnations);
        lines.add(&format!("{name}.refused"), counter.rejected());
    }
    let totals = quotas.totals();
    for (name, value) in [
        ("surplus", u64::from(quotas.is_surplus())),
        ("heard", totals.datagrams_received),
        ("unread", totals.datagrams_rejected),
        ("misdirected", totals.misdirected),
        ("sent", totals.datagrams_sent),
        ("bytes_out", totals.bytes_sent),
    ] {
        lines.add(name, value);
    }
    lines.text
}

/// Adds the sizes and the use of each budget.
fn add_budgets(lines: &mut Lines, quotas: &FleetQuotas, now: Timestamp) {
    for budget in quotas.budget_views(now) {
        for (name, value) in [
            ("whole", budget.capacity),
            ("own", budget.base_quota),
            ("lent", budget.granted),
            ("borrowed", budget.leased),
            ("usable", budget.usable),
            ("in_use", budget.in_use),
            ("wants", budget.demand),
        ] {
            lines.add(&format!("{}.{name}", budget.name), u64::from(value));
        }
    }
}
