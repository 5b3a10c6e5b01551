//! One simulated server: its decision module and the settings that the adapter itself needs.

use crate::error::AdapterError;
use madderbay::decide::Decider;
use madderbay::interface::{Arrival, Gauges};
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::Settings;

/// Name in the settings of the only gauge that the decision module uses.
const RUN_QUEUE_GAUGE: &str = "on_cores";

/// One incarnation of a simulated server.
pub(super) struct Instance {
    pub(super) decider: Decider,
    /// Number of handlers in the settings.
    handlers: usize,
    /// Number of tenants in the settings.
    tenants: usize,
    requests_carry_timeout: bool,
    /// Index of the run queue gauge among the gauges of the settings, if they list it.
    run_queue_gauge: Option<usize>,
}

impl Instance {
    pub(super) fn new(now: Timestamp, seed: u64, settings: &Settings) -> Instance {
        Instance {
            decider: settings.decider(now, seed),
            handlers: settings.handlers.len(),
            tenants: settings.tenants.len(),
            requests_carry_timeout: settings.rules.requests_carry_timeout,
            run_queue_gauge: settings.gauge_index(RUN_QUEUE_GAUGE),
        }
    }

    /// Checks a request and returns it. Its timeout is replaced by zero unless the settings say
    /// that requests carry one.
    pub(super) fn validate(&self, arrival: Arrival) -> Result<Arrival, AdapterError> {
        self.check_indices(&arrival)?;
        let request_id = arrival.id;
        if arrival.memory_kb < 0.0 {
            return Err(AdapterError::NegativeMemory { request_id });
        }
        if self.decider.contains(request_id) {
            return Err(AdapterError::DuplicateRequest { request_id });
        }
        let timeout = if self.requests_carry_timeout {
            arrival.timeout
        } else {
            Duration::ZERO
        };
        Ok(Arrival { timeout, ..arrival })
    }

    /// Checks that the handler and the tenant of a request exist.
    fn check_indices(&self, arrival: &Arrival) -> Result<(), AdapterError> {
        if arrival.handler.index() >= self.handlers {
            return Err(AdapterError::UnknownHandler {
                request_id: arrival.id,
                handler: arrival.handler,
                handlers: self.handlers,
            });
        }
        // If the settings define no tenants, all requests carry tenant 0.
        if arrival.tenant.index() >= self.tenants.max(1) {
            return Err(AdapterError::UnknownTenant {
                request_id: arrival.id,
                tenant: arrival.tenant,
                tenants: self.tenants,
            });
        }
        Ok(())
    }

    /// Selects the gauges that the decision module uses from the values of all gauges.
    pub(super) fn gauges(&self, values: &[f64]) -> Gauges {
        let run_queue = self.run_queue_gauge.and_then(|index| values.get(index));
        Gauges {
            run_queue: run_queue.copied(),
        }
    }
}
