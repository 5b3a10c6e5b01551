//! The printed lines, each declared once, in the order in which they are printed.

use super::{Counters, Lines, LoadGauges};

/// One printed line: its name and the function that returns its value.
struct Metric {
    name: &'static str,
    value: fn(&Counters, &LoadGauges) -> u64,
}

/// Declares a line with this name and this function for its value.
const fn metric(name: &'static str, value: fn(&Counters, &LoadGauges) -> u64) -> Metric {
    Metric { name, value }
}

/// A line for each handler, named `NAME.HANDLER`, and the function that returns the values of all handlers.
struct HandlerMetric {
    name: &'static str,
    values: fn(&Counters) -> &[u64],
}

/// The lines that are printed for each handler, in order.
const HANDLER_METRICS: [HandlerMetric; 2] = [
    HandlerMetric {
        name: "read",
        values: |counters| &counters.requests_read,
    },
    HandlerMetric {
        name: "ran",
        values: |counters| &counters.runs_ended,
    },
];

/// All other lines, in order.
const METRICS: [Metric; 44] = [
    metric("answered.done", |counters, _| counters.answers.completed),
    metric("answered.partial", |counters, _| counters.answers.partial),
    metric("answered.shed", |counters, _| counters.answers.rejected),
    metric("answered.errored", |counters, _| counters.answers.failed),
    metric("gone", |counters, _| counters.clients_gone),
    metric("open", |_, gauges| gauges.open_requests as u64),
    metric("in_hand", |_, gauges| gauges.requests_in_flight as u64),
    metric("in_hand.answered", |_, gauges| {
        gauges.requests_answered as u64
    }),
    metric("joined", |counters, _| counters.requests_joined),
    metric("cut", |counters, _| counters.requests_disconnected),
    metric("runs.started", |counters, _| counters.runs_started),
    metric("runs.done", |counters, _| counters.run_outcomes.completed),
    metric("runs.errored", |counters, _| counters.run_outcomes.failed),
    metric("runs.stopped", |counters, _| {
        counters.run_outcomes.cancelled
    }),
    metric("runs.moot", |counters, _| {
        counters.run_outcomes.already_ended
    }),
    metric("runs.abandoned", |counters, _| counters.runs_abandoned),
    metric("calls.made", |counters, _| counters.calls_sent),
    metric("calls.done", |counters, _| counters.call_outcomes.completed),
    metric("calls.shed", |counters, _| counters.call_outcomes.rejected),
    metric("calls.errored", |counters, _| counters.call_outcomes.failed),
    metric("calls.timed_out", |counters, _| {
        counters.call_outcomes.timed_out
    }),
    metric("calls.unreached", |counters, _| {
        counters.call_outcomes.unreachable
    }),
    metric("calls.cut_off", |counters, _| {
        counters.call_outcomes.disconnected
    }),
    metric("calls.out", |_, gauges| gauges.calls_in_flight as u64),
    metric("calls.skipped", |counters, _| counters.calls_skipped),
    metric("connections.accepted", |counters, _| {
        counters.connections.accepted
    }),
    metric("connections.open", |_, gauges| gauges.connections as u64),
    metric("connections.cut", |counters, _| {
        counters.connections.evicted
    }),
    metric("connections.refused", |counters, _| {
        counters.connections.over_limit
    }),
    metric("connections.flooding", |counters, _| {
        counters.connections.flooding
    }),
    metric("keys.kept", |_, gauges| gauges.keys as u64),
    metric("bad.lines", |counters, _| counters.unreadable.lines),
    metric("bad.notices", |counters, _| counters.unreadable.notices),
    metric("bad.replies", |counters, _| counters.unreadable.replies),
    metric("strays", |counters, _| counters.unmatched_ends),
    metric("engine.declined", |counters, _| counters.commands_declined),
    metric("engine.links_lost", |counters, _| {
        counters.engine_links_lost
    }),
    metric("registry.reports", |counters, _| counters.reports.accepted),
    metric("registry.reports_lost", |counters, _| {
        counters.reports.failed
    }),
    metric("ticks", |counters, _| counters.ticks),
    metric("ticks.late", |counters, _| counters.late_ticks.late),
    metric("ticks.latest_ms", |counters, _| {
        counters.late_ticks.longest_millis()
    }),
    metric("reads.late", |counters, _| counters.late_reads.late),
    metric("reads.latest_ms", |counters, _| {
        counters.late_reads.longest_millis()
    }),
];

impl Counters {
    /// Returns all counters and gauges as lines, in their fixed order.
    pub fn lines(&self, gauges: &LoadGauges) -> String {
        let mut lines = Lines::of("");
        for (index, handler) in self.handlers.iter().enumerate() {
            for metric in &HANDLER_METRICS {
                let name = format!("{}.{handler}", metric.name);
                lines.add(&name, (metric.values)(self)[index]);
            }
        }
        for metric in &METRICS {
            lines.add(metric.name, (metric.value)(self, gauges));
        }
        lines.text
    }
}
