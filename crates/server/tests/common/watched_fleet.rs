//! A fleet of processes whose servers are watched for stalls of the machine from their start.

use crate::machine::StallMonitor;
use madderbay::time::Duration;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, ActionError, Condition, Fleet};

/// A fleet of processes. Its time, in which timeouts are measured, leaves out the stalls of its servers.
pub(crate) struct WatchedFleet<'a> {
    pub processes: ProcessFleet,
    pub monitor: &'a StallMonitor,
}

impl Fleet for WatchedFleet<'_> {
    fn act(&mut self, action: &Action) -> Result<(), ActionError> {
        self.processes.act(action)?;
        if let Action::Start { who, .. } = action {
            let server = self.processes.server(*who).expect("the program runs");
            self.monitor.watch(server.pid());
        }
        Ok(())
    }

    fn unmet(&mut self, condition: &Condition) -> Option<String> {
        self.processes.unmet(condition)
    }

    fn pass(&mut self) {
        self.processes.pass();
    }

    fn at(&self) -> Duration {
        Duration::from_micros(self.monitor.unstalled_time().as_micros() as u64)
    }
}

impl WatchedFleet<'_> {
    /// Waits until `missing`, which describes what is still missing, returns `None`. Panics after `timeout` in the
    /// fleet's time.
    pub(crate) fn wait_while(
        &mut self,
        timeout: Duration,
        mut missing: impl FnMut(&mut Self) -> Option<String>,
    ) {
        let began = self.at();
        while let Some(missing) = missing(self) {
            let waited = self.at().saturating_sub(began);
            let timeout_ms = timeout.as_millis();
            assert!(waited < timeout, "not within {timeout_ms} ms: {missing}");
            self.pass();
        }
    }
}
