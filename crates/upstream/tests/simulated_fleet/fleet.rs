//! A simulated fleet, with the operations and measurements that the test cases use.

use madderbay::time::Duration;
use madderbay_testkit::backend_simulation::{
    BackendFault, BackendFleetSetup, BackendSimulation, SimulatedBackendId,
};
use std::ops::Range;

/// The backend that gets the fault in cases with one faulty backend.
pub(crate) const FAULTY: SimulatedBackendId = SimulatedBackendId::new(3);

/// A simulated fleet. Times are in milliseconds since the start.
pub(crate) struct Fleet {
    pub(crate) simulation: BackendSimulation,
}

impl Fleet {
    /// Creates a fleet that has run for five seconds with hardly any failed call and without ejections.
    pub(crate) fn stable(setup: BackendFleetSetup, seed: u64) -> Fleet {
        let simulation = BackendSimulation::new(setup, seed);
        let mut fleet = Fleet { simulation };
        fleet.run(5_000);
        let success = fleet.success_rate(1_000..5_000);
        assert!(success > 0.995, "{success}");
        let simulation = &fleet.simulation;
        assert_eq!(simulation.ejections(), 0, "{:?}", simulation.log());
        fleet
    }

    /// Creates a stable fleet of twelve servers and ten backends.
    pub(crate) fn standard(seed: u64) -> Fleet {
        Fleet::stable(BackendFleetSetup::new(12, 10), seed)
    }

    pub(crate) fn run(&mut self, millis: u64) {
        self.simulation.run(Duration::from_millis(millis));
    }

    /// Sets the fault of the first `backends` backends.
    pub(crate) fn set_faults(&mut self, backends: usize, fault: BackendFault) {
        for backend in SimulatedBackendId::first(backends) {
            self.simulation.set_backend_fault(backend, fault);
        }
    }

    /// Sets the fault of the backend [`FAULTY`].
    pub(crate) fn set_fault(&mut self, fault: BackendFault) {
        self.simulation.set_backend_fault(FAULTY, fault);
    }

    /// Reloads all servers with these backends.
    pub(crate) fn reload(&mut self, backends: Range<usize>) {
        let backends: Vec<_> = backends.map(SimulatedBackendId::new).collect();
        self.simulation.reload(&backends);
    }

    /// Returns the fraction of the calls that succeeded.
    pub(crate) fn success_rate(&self, time: Range<u64>) -> f64 {
        self.simulation.success_rate(time)
    }

    /// Returns the number of attempts per first attempt.
    pub(crate) fn attempts_per_call(&self, time: Range<u64>) -> f64 {
        self.simulation.attempts_per_call(time)
    }

    /// Returns the fraction of the attempts at any backend that reached this one.
    pub(crate) fn traffic(&self, backend: SimulatedBackendId, time: Range<u64>) -> f64 {
        self.simulation.traffic_fraction(backend, time)
    }

    /// Returns for how long a backend was out of selection, in seconds, summed over the servers.
    pub(crate) fn ejected_seconds(&self, backend: SimulatedBackendId, time: Range<u64>) -> f64 {
        self.simulation.ejected_seconds(backend, time)
    }

    /// Returns the highest number of attempts that reached a backend in a tenth of a second.
    pub(crate) fn peak_attempts(&self, backend: SimulatedBackendId, time: Range<u64>) -> u32 {
        let rows = self.simulation.rows(time).iter();
        rows.map(|row| row.attempts_by_backend[backend.index()])
            .max()
            .unwrap_or(0)
    }
}
