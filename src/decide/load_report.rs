//! The load report on answers: no limit, or a part of this server's capacity per client. Owns the last one.

use super::*;

const REPORT_INTERVAL: Duration = Duration::from_millis(100); // Least time between two reports (ours).
const UNLIMITED: f64 = 1000.0; // Allowance that means no limit on requests (ours).
const CLIENT_SKEW: f64 = 4.0; // Sum of the clients' allowances over the limit: their traffic is unequal.

pub(super) struct LoadReporter {
    meaning: LoadReport,
    clients: u32,
    value: f64,
    updated: Timestamp,
}

impl LoadReporter {
    pub(super) fn new(now: Timestamp, downstream: &Downstream) -> LoadReporter {
        let Downstream {
            load_report: meaning,
            clients,
            ..
        } = *downstream;
        LoadReporter {
            meaning,
            clients,
            value: UNLIMITED,
            updated: now,
        }
    }
}

impl Decider {
    /// A cold server limits its clients before the first answer.
    pub(super) fn report_initial_load(&mut self, out: &mut dyn Actions) {
        self.load_report.value = self.warm_up_allowance(self.last_tick);
        if self.load_report.meaning == LoadReport::Allowance && self.load_report.value < UNLIMITED {
            out.set_load_report(self.load_report.value);
        }
    }

    /// Reports the load where it changed, at most once per interval.
    pub(super) fn report_load(&mut self, now: Timestamp, out: &mut dyn Actions) {
        let LoadReporter {
            meaning,
            clients,
            updated,
            ..
        } = self.load_report;
        if meaning == LoadReport::Unused || now - updated < REPORT_INTERVAL {
            return;
        }
        let (admitted, warm_up) = (self.admission.admitted, self.warm_up_allowance(now));
        let fair = CLIENT_SKEW * self.concurrency.limit / f64::from(clients.max(1));
        let value = match meaning {
            LoadReport::Allowance if admitted >= 1.0 && self.queue.len() == 0 => warm_up,
            LoadReport::Allowance => warm_up.min(fair),
            LoadReport::Floor => 1.0 - admitted,
            _ => admitted * (1.0 - self.admission.failures.value()),
        };
        self.load_report.updated = now;
        if std::mem::replace(&mut self.load_report.value, value) != value {
            out.set_load_report(value);
        }
    }

    /// Allowance of each client while this server warms up: the supported runs over all clients there may be.
    fn warm_up_allowance(&self, now: Timestamp) -> f64 {
        let clients = self
            .connections
            .clients
            .count()
            .max(self.load_report.clients as usize)
            .max(1) as f64;
        if self.concurrency.is_warming_up(now) {
            self.concurrency.max_runs(now) / clients
        } else {
            UNLIMITED
        }
    }
}
