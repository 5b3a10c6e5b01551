//! Generates random faults for a history. The same seed and history give the same faults.

use super::History;
use crate::fault::{BackendFault, DatagramFaults, Fault};
use crate::ids::{BackendId, ServerId};
use oorandom::Rand64;

/// Random faults are injected no earlier than this time.
const FIRST_FAULT_MS: f64 = 4_000.0;
/// The time without faults at the end of a history, in which the views of the fleet can converge.
const FAULT_FREE_END_S: f64 = 16.0;
/// Faults end no earlier than this time, however short the history is.
const MIN_LAST_FAULT_S: f64 = 5.0;
const MS_PER_S: f64 = 1e3;

/// The number of equally likely cases from which a random fault is chosen.
const FAULT_KINDS: f64 = 16.0;
/// The highest probability that a datagram is lost or duplicated.
const MAX_DATAGRAM_FAULT_PROBABILITY: f64 = 0.3;
/// The probability that a datagram is corrupted, relative to the probability that it is lost.
const CORRUPTION_PER_LOSS: f64 = 0.3;
const MAX_DELAY_MS: f64 = 1_500.0;
/// The largest additional time of a slow engine, as a multiple of the usual time.
const MAX_ENGINE_SLOWDOWN: f64 = 6.0;
/// The smallest slowdown of a slow backend, as a multiple of the usual time, and the largest that is added to it.
const MIN_BACKEND_SLOWDOWN: f64 = 2.0;
const MAX_BACKEND_SLOWDOWN: f64 = 18.0;
/// The highest load of a server, in tenths of the usual load.
const MAX_LOAD_TENTHS: f64 = 30.0;

impl History {
    /// Adds `faults` random faults generated from `seed`, and then the end of all of them, so that the views of the
    /// fleet can converge.
    #[must_use]
    pub fn with_random_faults(mut self, seed: u64, faults: usize) -> History {
        let mut generator = FaultGenerator::new(seed, &self);
        let end_ms = (self.seconds as f64 - FAULT_FREE_END_S).max(MIN_LAST_FAULT_S) * MS_PER_S;
        for at_ms in generator.draw_times(faults, end_ms) {
            let fault = generator.draw_fault();
            self.inject(at_ms, fault);
        }
        self.end_faults(end_ms as u64, &generator);
        self
    }

    /// Ends all faults at `at_ms`.
    fn end_faults(&mut self, at_ms: u64, generator: &FaultGenerator) {
        self.inject(at_ms, Fault::Heal);
        self.inject(at_ms, Fault::ClearDatagramFaults);
        for backend in (0..self.backends).map(BackendId) {
            let fault = None;
            self.inject(at_ms, Fault::Backend { backend, fault });
        }
        for server in (0..self.servers).map(ServerId) {
            if !generator.is_up[server.0] {
                self.inject(at_ms, Fault::Start(server));
            }
            if generator.is_stopped[server.0] {
                self.inject(at_ms, Fault::Continue(server));
            }
            let factor = 1.0;
            self.inject(at_ms, Fault::SlowEngine { server, factor });
            self.inject(at_ms, Fault::Load { server, factor });
        }
    }
}

/// The random number generator, and the state in which the faults so far leave the servers.
struct FaultGenerator {
    random: Rand64,
    backends: f64,
    is_up: Vec<bool>,
    is_stopped: Vec<bool>,
}

impl FaultGenerator {
    fn new(seed: u64, history: &History) -> FaultGenerator {
        FaultGenerator {
            random: Rand64::new(u128::from(seed) * 2 + 1),
            backends: history.backends as f64,
            is_up: vec![true; history.servers],
            is_stopped: vec![false; history.servers],
        }
    }

    /// Returns a random number of at least 0 and below `max`.
    fn draw_below(&mut self, max: f64) -> f64 {
        self.random.rand_float() * max
    }

    fn draw_times(&mut self, count: usize, end_ms: f64) -> Vec<u64> {
        let mut times: Vec<u64> = (0..count)
            .map(|_| (FIRST_FAULT_MS + self.draw_below(end_ms - FIRST_FAULT_MS)) as u64)
            .collect();
        times.sort_unstable();
        times
    }

    /// Draws a target and a kind of fault. If the kind does not apply in the target's state, the fault changes the
    /// target's load instead.
    fn draw_fault(&mut self) -> Fault {
        let servers = self.is_up.len() as f64;
        let server = ServerId(self.draw_below(servers) as usize);
        let backend = BackendId(self.draw_below(self.backends) as usize);
        let loss = self.draw_below(MAX_DATAGRAM_FAULT_PROBABILITY);
        match self.draw_below(FAULT_KINDS) as usize {
            0 | 1 if !self.is_up[server.0] => self.start(server),
            0 | 1 if !self.is_stopped[server.0] => self.kill(server),
            2 | 3 if self.is_stopped[server.0] => self.continue_process(server),
            2 | 3 if self.is_up[server.0] => self.stop(server),
            4 => self.draw_engine_slowdown(server),
            5 => Fault::PartitionHalves,
            6 => Fault::Isolate(server),
            7 => Fault::BlockOutgoing(server),
            8 => Fault::Heal,
            9 => self.draw_datagram_faults(loss),
            10 => Fault::ClearDatagramFaults,
            11 => backend_fault(backend, Some(BackendFault::Silent)),
            12 => backend_fault(backend, Some(BackendFault::Failing)),
            13 => self.draw_backend_slowdown(backend),
            14 => backend_fault(backend, None),
            _ => self.draw_load(server),
        }
    }

    fn start(&mut self, server: ServerId) -> Fault {
        self.is_up[server.0] = true;
        Fault::Start(server)
    }

    fn kill(&mut self, server: ServerId) -> Fault {
        self.is_up[server.0] = false;
        Fault::Kill(server)
    }

    fn continue_process(&mut self, server: ServerId) -> Fault {
        self.is_stopped[server.0] = false;
        Fault::Continue(server)
    }

    fn stop(&mut self, server: ServerId) -> Fault {
        self.is_stopped[server.0] = true;
        Fault::Stop(server)
    }

    fn draw_engine_slowdown(&mut self, server: ServerId) -> Fault {
        let factor = 1.0 + self.draw_below(MAX_ENGINE_SLOWDOWN).round();
        Fault::SlowEngine { server, factor }
    }

    fn draw_datagram_faults(&mut self, loss: f64) -> Fault {
        Fault::Datagrams(DatagramFaults {
            loss: to_hundredths(loss),
            duplication: to_hundredths(loss),
            corruption: to_hundredths(loss * CORRUPTION_PER_LOSS),
            max_delay_ms: self.draw_below(MAX_DELAY_MS) as u64,
        })
    }

    fn draw_backend_slowdown(&mut self, backend: BackendId) -> Fault {
        let factor = MIN_BACKEND_SLOWDOWN + self.draw_below(MAX_BACKEND_SLOWDOWN).round();
        backend_fault(backend, Some(BackendFault::Slow { factor }))
    }

    fn draw_load(&mut self, server: ServerId) -> Fault {
        let factor = self.draw_below(MAX_LOAD_TENTHS).round() / 10.0;
        Fault::Load { server, factor }
    }
}

fn backend_fault(backend: BackendId, fault: Option<BackendFault>) -> Fault {
    Fault::Backend { backend, fault }
}

fn to_hundredths(probability: f64) -> f64 {
    (probability * 100.0).round() / 100.0
}
