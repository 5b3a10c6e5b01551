//! The steps that inform clients about this server: its health, its load and the limit on idle connections.

use super::Decider;
use super::load_report::LoadInputs;
use crate::interface::{Actions, Arrival};
use crate::time::Timestamp;

impl Decider {
    /// Counts the client of an arrival, and sets the limit on the idle time of connections if it changed.
    pub(super) fn record_client(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        out: &mut dyn Actions,
    ) {
        self.rejections.on_arrival(arrival.is_retry);
        let retry_fraction = self.rejections.retry_fraction();
        let limit = self
            .connections
            .on_arrival(now, arrival.client, retry_fraction);
        if let Some(limit) = limit {
            out.set_idle_limit(limit);
        }
    }

    /// Sets the answer to health checks if it changed. A hung server reports itself as unhealthy to clients that check
    /// its health; if all servers hang, nothing is lost by that. A draining server is unhealthy because it takes no new
    /// requests.
    pub(super) fn update_health(&mut self, out: &mut dyn Actions) {
        let is_healthy = self.drain.is_none() && !self.stalls.is_hung();
        if std::mem::replace(&mut self.is_healthy, is_healthy) != is_healthy {
            out.set_health(is_healthy);
        }
    }

    /// Reports the load before the first answer if it is limited from the start.
    pub(super) fn report_initial_load(&mut self, out: &mut dyn Actions) {
        let inputs = self.load_inputs(self.last_tick);
        if let Some(value) = self.load_report.initial_report(&inputs) {
            out.set_load_report(value);
        }
    }

    /// Reports the load if it changed.
    pub(super) fn report_load(&mut self, now: Timestamp, out: &mut dyn Actions) {
        let inputs = self.load_inputs(now);
        if let Some(value) = self.load_report.report(now, &inputs) {
            out.set_load_report(value);
        }
    }

    fn load_inputs(&self, now: Timestamp) -> LoadInputs {
        let supported = self.concurrency.supported();
        let is_cold = supported.is_warming_up(now);
        LoadInputs {
            admitted_fraction: self.admission.admitted_fraction(),
            failure_rate: self.admission.failure_rate(),
            is_queue_empty: self.queue.is_empty(),
            concurrency_limit: self.concurrency.limit(),
            max_runs_while_warming_up: is_cold.then(|| supported.max_runs(now)),
            clients_seen: self.connections.clients_seen(),
        }
    }
}
