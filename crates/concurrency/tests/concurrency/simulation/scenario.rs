//! Scenarios: an upstream, its callers and its faults.

/// When the fault of [`Scenario::with_fault`] starts, in ms.
pub(crate) const FAULT_MS: u64 = 5_000;
/// When that fault ends, in ms.
pub(crate) const RECOVERY_MS: u64 = 13_000;
/// When the upstream of [`Scenario::warming_up`] is warm, in ms.
pub(crate) const WARM_MS: u64 = 8_000;

/// Behavior of the upstream during a phase.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Behavior {
    /// Calls take this multiple of their normal time.
    Slow(f64),
    /// Calls fail after a millisecond.
    Failing,
    /// Calls never return.
    Silent,
}

/// A phase: the behavior of the upstream from a given time on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Phase {
    pub(crate) from_ms: u64,
    pub(crate) behavior: Behavior,
}

/// An upstream, its callers and its faults.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) slots: usize,
    /// Normal time of a call, in ms.
    pub(crate) call_ms: f64,
    /// Spread of the call time: at 0 it is constant, at 1 exponentially distributed.
    pub(crate) spread: f64,
    /// Slowdown under overload: fraction by which the call time grows for each further multiple of
    /// the slots that is in use or requested.
    pub(crate) overload_slowdown: f64,
    /// Calls wanted per second.
    pub(crate) per_second: f64,
    /// Time for which a wanted call waits for its start before it is given up, in ms.
    pub(crate) max_wait_ms: u64,
    /// Number of slots that other callers occupy at all times.
    pub(crate) other_callers: usize,
    /// Upper bound on the calls in flight, whatever the limit.
    pub(crate) caller_capacity: usize,
    pub(crate) phases: Vec<Phase>,
    pub(crate) length_ms: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            seed: 1,
            slots: 8,
            call_ms: 25.0,
            spread: 0.3,
            overload_slowdown: 0.0,
            per_second: 60.0,
            max_wait_ms: 2_500,
            other_callers: 0,
            caller_capacity: usize::MAX,
            phases: vec![],
            length_ms: 20_000,
        }
    }
}

impl Scenario {
    /// Returns the default scenario with a fault from [`FAULT_MS`] to [`RECOVERY_MS`].
    pub(crate) fn with_fault(behavior: Behavior) -> Scenario {
        Scenario::with_phases([(FAULT_MS, behavior), (RECOVERY_MS, Behavior::Slow(1.0))])
    }

    /// Returns the default scenario with an upstream that is slow until [`WARM_MS`].
    pub(crate) fn warming_up() -> Scenario {
        Scenario::with_phases([(0, Behavior::Slow(20.0)), (WARM_MS, Behavior::Slow(1.0))])
    }

    fn with_phases(phases: [(u64, Behavior); 2]) -> Scenario {
        let phase = |(from_ms, behavior)| Phase { from_ms, behavior };
        Scenario {
            phases: phases.map(phase).to_vec(),
            ..Scenario::default()
        }
    }

    /// Returns the scenario after a change to its fields.
    pub(crate) fn with(mut self, change: impl FnOnce(&mut Scenario)) -> Scenario {
        change(&mut self);
        self
    }
}
