//! Named mixes of faults that occur together, and the histories that are built from them.

use crate::fault::{BackendFault, DatagramFaults, Fault, ScheduledFault};
use crate::features::Features;
use crate::history::History;
use crate::ids::{BackendId, ServerId};

/// The time of the first faults, in milliseconds after the start.
pub(crate) const FIRST_FAULT_MS: u64 = 5_000;
/// When all faults have ended.
pub(crate) const LAST_FAULT_MS: u64 = 17_000;
/// The length of the histories in seconds.
pub(crate) const SECONDS: u64 = 34;
const REQUESTS_PER_SECOND: f64 = 20.0;
/// The upstream calls in flight per server from which the quota of the fleet is computed.
const QUOTA_PER_SERVER: u32 = 4;
const MAX_ZONES: usize = 3;
/// The time of the fault of a single backend, a little after the first faults of its mix.
const BACKEND_FAULT_MS: u64 = FIRST_FAULT_MS + 500;
const DUPLICATION: f64 = 0.05;
const CORRUPTION: f64 = 0.02;

/// Faults that occur together.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultMix {
    /// The name of the mix in tables.
    pub name: &'static str,
    /// The faults to inject, without the final end of all faults, which [`FleetSize::history`] adds.
    pub faults: Vec<ScheduledFault>,
}

/// The size of a fleet for which mixes are built.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// The number of servers.
    pub servers: usize,
    /// The number of backends.
    pub backends: usize,
}

impl FleetSize {
    /// Returns a mix without faults, followed by eight mixes of faults.
    pub fn mixes(self) -> Vec<FaultMix> {
        let mix = |name, faults| FaultMix { name, faults };
        vec![
            mix("calm", vec![]),
            mix(
                "a cut that flaps, a backend silent",
                self.flapping_partition(),
            ),
            mix("one-way loss, three tenths lost", self.one_way_loss()),
            mix(
                "seconds of delay, work shifts",
                self.delay_and_uneven_load(),
            ),
            mix("pauses of processes, a backend slow", self.process_pauses()),
            mix("slow engines, one backend fails", self.slow_engines()),
            mix("a storm of crashes, a tenth lost", self.crashes()),
            mix("a release over a cut", self.rolling_restart_in_partition()),
            mix(
                "a third of the backends fail in turn",
                self.failing_backends(),
            ),
        ]
    }

    /// Returns a history that injects the faults of a mix and then ends all faults.
    pub fn history(self, features: Features, mix: &FaultMix) -> History {
        let mut history = History {
            servers: self.servers,
            backends: self.backends,
            zones: self.backends.min(MAX_ZONES),
            seconds: SECONDS,
            requests_per_second: REQUESTS_PER_SECOND,
            quota: self.servers as u32 * QUOTA_PER_SERVER,
            features,
            defect: None,
            faults: mix.faults.clone(),
        };
        self.end_faults(&mut history);
        history.faults.sort_by_key(|scheduled| scheduled.at_ms);
        history
    }

    fn end_faults(self, history: &mut History) {
        history.inject(LAST_FAULT_MS, Fault::Heal);
        history.inject(LAST_FAULT_MS, Fault::ClearDatagramFaults);
        for backend in (0..self.backends).map(BackendId) {
            let fault = None;
            history.inject(LAST_FAULT_MS, Fault::Backend { backend, fault });
        }
        for server in (0..self.servers).map(ServerId) {
            let factor = 1.0;
            history.inject(LAST_FAULT_MS, Fault::SlowEngine { server, factor });
            history.inject(LAST_FAULT_MS, Fault::Load { server, factor });
        }
    }

    /// Returns every `step`th server, beginning with the first, each with its position among those returned.
    fn every_nth_server(self, step: usize) -> impl Iterator<Item = (u64, ServerId)> {
        (0..).zip((0..self.servers).step_by(step).map(ServerId))
    }

    /// Returns the time of the fault with this number if every fourth server has one, such that all of the faults fit.
    fn staggered_ms(self, number: u64) -> u64 {
        FIRST_FAULT_MS + number * (LAST_FAULT_MS - FIRST_FAULT_MS) / (self.servers as u64 / 4 + 1)
    }

    fn single_backend_fault(self, index: usize, fault: BackendFault) -> ScheduledFault {
        let fault = Fault::Backend {
            backend: BackendId(index % self.backends),
            fault: Some(fault),
        };
        ScheduledFault::new(BACKEND_FAULT_MS, fault)
    }

    fn flapping_partition(self) -> Vec<ScheduledFault> {
        let mut faults = vec![];
        for flap in 0..6 {
            let partition_ms = FIRST_FAULT_MS + flap * 2_000;
            faults.push(ScheduledFault::new(partition_ms, Fault::PartitionHalves));
            faults.push(ScheduledFault::new(partition_ms + 1_000, Fault::Heal));
        }
        faults.push(self.single_backend_fault(1, BackendFault::Silent));
        faults
    }

    fn one_way_loss(self) -> Vec<ScheduledFault> {
        let one_way = |(_, server)| at_first_fault_time(Fault::BlockOutgoing(server));
        let mut faults: Vec<ScheduledFault> = self.every_nth_server(5).map(one_way).collect();
        faults.push(at_first_fault_time(datagram_faults(0.3, 20)));
        faults
    }

    fn delay_and_uneven_load(self) -> Vec<ScheduledFault> {
        let mut faults = vec![];
        for (_, server) in self.every_nth_server(2) {
            let neighbour = ServerId((server.0 + 1) % self.servers);
            faults.push(at_first_fault_time(load(server, 2.0)));
            faults.push(at_first_fault_time(load(neighbour, 0.2)));
        }
        faults.push(at_first_fault_time(datagram_faults(0.0, 2_000)));
        faults
    }

    fn process_pauses(self) -> Vec<ScheduledFault> {
        let mut faults = vec![];
        for (number, server) in self.every_nth_server(4) {
            let at_ms = self.staggered_ms(number);
            faults.push(ScheduledFault::new(at_ms, Fault::Stop(server)));
            faults.push(ScheduledFault::new(at_ms + 3_000, Fault::Continue(server)));
        }
        faults.push(self.single_backend_fault(0, BackendFault::Slow { factor: 10.0 }));
        faults
    }

    fn slow_engines(self) -> Vec<ScheduledFault> {
        let factor = 5.0;
        let slow = |(_, server)| at_first_fault_time(Fault::SlowEngine { server, factor });
        let mut faults: Vec<ScheduledFault> = self.every_nth_server(4).map(slow).collect();
        faults.push(self.single_backend_fault(2, BackendFault::Failing));
        faults
    }

    fn crashes(self) -> Vec<ScheduledFault> {
        let mut faults = vec![];
        for (number, server) in self.every_nth_server(4) {
            let at_ms = self.staggered_ms(number);
            faults.push(ScheduledFault::new(at_ms, Fault::Kill(server)));
            faults.push(ScheduledFault::new(at_ms + 2_000, Fault::Start(server)));
        }
        faults.push(at_first_fault_time(datagram_faults(0.1, 20)));
        faults
    }

    fn rolling_restart_in_partition(self) -> Vec<ScheduledFault> {
        let mut faults = vec![];
        for (number, server) in self.every_nth_server(2) {
            let at_ms = FIRST_FAULT_MS + number * 7_000 / (self.servers as u64 / 2 + 1);
            faults.push(ScheduledFault::new(at_ms, Fault::Kill(server)));
            faults.push(ScheduledFault::new(at_ms + 500, Fault::Start(server)));
        }
        faults.push(ScheduledFault::new(
            FIRST_FAULT_MS + 1_000,
            Fault::PartitionHalves,
        ));
        faults
    }

    fn failing_backends(self) -> Vec<ScheduledFault> {
        let kinds = [
            BackendFault::Silent,
            BackendFault::Failing,
            BackendFault::Slow { factor: 20.0 },
        ];
        let mut faults = vec![];
        for index in 0..self.backends.div_ceil(3) {
            let backend = BackendId(index);
            let at_ms = FIRST_FAULT_MS + index as u64 * 3_000 % (LAST_FAULT_MS - FIRST_FAULT_MS);
            let fault = Some(kinds[index % kinds.len()]);
            let injected = Fault::Backend { backend, fault };
            let cleared = Fault::Backend {
                backend,
                fault: None,
            };
            faults.push(ScheduledFault::new(at_ms, injected));
            faults.push(ScheduledFault::new(at_ms + 5_000, cleared));
        }
        faults
    }
}

/// Returns a fault that is injected at [`FIRST_FAULT_MS`].
fn at_first_fault_time(fault: Fault) -> ScheduledFault {
    ScheduledFault::new(FIRST_FAULT_MS, fault)
}

fn load(server: ServerId, factor: f64) -> Fault {
    Fault::Load { server, factor }
}

fn datagram_faults(loss: f64, max_delay_ms: u64) -> Fault {
    Fault::Datagrams(DatagramFaults {
        loss,
        duplication: DUPLICATION,
        corruption: CORRUPTION,
        max_delay_ms,
    })
}
