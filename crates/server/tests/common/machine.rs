//! Runs test cases with fleets of processes on a machine that is shared with other processes.
//!
//! Limits how many fleets run at the same time within one test program, and measures for how long the machine stalled
//! the servers of a fleet. The case tells it which processes to watch. A case is never run again, and no assertion is
//! relaxed: a case that fails prints how long the machine stalled its servers, and fails.

use std::collections::VecDeque;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Fleets that run at the same time: few enough that servers and simulated peers find a free core when they wake up.
const MAX_FLEETS: usize = 2;
/// Window over which stalls are added up: the time within which the cases expect a request to be answered.
const WINDOW: Duration = Duration::from_millis(2_000);
/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

static RUNNING_FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

/// Runs a case with a fleet once, as soon as another fleet may run. If the case panics, the longest stall of its
/// servers is printed with the failure.
pub(crate) fn run_fleet_case(case: impl FnOnce(&StallMonitor)) {
    let _permit = FleetPermit::acquire();
    let monitor = StallMonitor::start();
    case(&monitor);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The right to run one fleet, until it is dropped.
struct FleetPermit;

impl FleetPermit {
    fn acquire() -> FleetPermit {
        let is_full = |running: &mut usize| *running >= MAX_FLEETS;
        let mut running = FLEET_ENDED
            .wait_while(lock(&RUNNING_FLEETS), is_full)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        FleetPermit
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *lock(&RUNNING_FLEETS) -= 1;
        FLEET_ENDED.notify_one();
    }
}

/// Measures, until it is dropped, for how long the machine stalls the servers of one case or this process.
pub(crate) struct StallMonitor {
    state: Arc<MonitorState>,
    sampler: Option<JoinHandle<()>>,
}

impl StallMonitor {
    fn start() -> StallMonitor {
        let state = Arc::new(MonitorState::default());
        let sampled = state.clone();
        let sampler = std::thread::spawn(move || sampled.sample_until_ended());
        StallMonitor {
            state,
            sampler: Some(sampler),
        }
    }

    /// Watches a further server, given by its process id.
    pub(crate) fn watch(&self, pid: u32) {
        lock(&self.state.watched).push(pid);
    }

    /// Returns how long the case has run, without the time for which the machine stalled a watched server or this
    /// process. A timeout that is measured in this time does not expire because the machine was busy.
    pub(crate) fn unstalled_time(&self) -> Duration {
        lock(&self.state.statistics).unstalled
    }

    /// Returns the longest stall within any window so far.
    pub(crate) fn longest_stall(&self) -> LongestStall {
        LongestStall(lock(&self.state.statistics).longest_stall)
    }
}

impl Drop for StallMonitor {
    fn drop(&mut self) {
        self.state.has_ended.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            let _ = sampler.join();
        }
        if std::thread::panicking() {
            eprintln!("{}", self.longest_stall());
        }
    }
}

/// The longest stall of a watched server, or of this process, within any window.
pub(crate) struct LongestStall(Duration);

impl fmt::Display for LongestStall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let stall = self.0;
        write!(f, "the machine stalled it for {stall:.2?} of {WINDOW:?}")
    }
}

#[derive(Default)]
struct MonitorState {
    watched: Mutex<Vec<u32>>,
    statistics: Mutex<StallStatistics>,
    has_ended: AtomicBool,
}

#[derive(Default)]
struct StallStatistics {
    unstalled: Duration,
    longest_stall: Duration,
}

impl MonitorState {
    fn sample_until_ended(&self) {
        let mut window: VecDeque<Sample> = VecDeque::new();
        let mut oversleep = Duration::ZERO;
        while !self.has_ended.load(Ordering::Relaxed) {
            let slept = Instant::now();
            std::thread::sleep(SAMPLE_INTERVAL);
            oversleep += slept.elapsed().saturating_sub(SAMPLE_INTERVAL);
            let sample = Sample::take(oversleep, &lock(&self.watched));
            while window.front().is_some_and(|s| sample.at - s.at > WINDOW) {
                window.pop_front();
            }
            lock(&self.statistics).add(&sample, &window);
            window.push_back(sample);
        }
    }
}

impl StallStatistics {
    /// Adds a sample that was taken after those of the window.
    fn add(&mut self, sample: &Sample, window: &VecDeque<Sample>) {
        let (Some(first), Some(last)) = (window.front(), window.back()) else {
            return;
        };
        let elapsed = sample.at - last.at;
        self.unstalled += elapsed.saturating_sub(sample.stall_since(last));
        self.longest_stall = self.longest_stall.max(sample.stall_since(first));
    }
}

struct Sample {
    at: Instant,
    /// Total time by which this process's sleeps were too long, since the start of the case.
    oversleep: Duration,
    /// For each watched server, how long it has waited for a processor since its start, in the order of watching.
    run_queue_waits: Vec<Duration>,
}

impl Sample {
    fn take(oversleep: Duration, watched: &[u32]) -> Sample {
        Sample {
            at: Instant::now(),
            oversleep,
            run_queue_waits: watched.iter().copied().map(run_queue_wait).collect(),
        }
    }

    fn stall_since(&self, earlier: &Sample) -> Duration {
        let waits = self.run_queue_waits.iter().zip(&earlier.run_queue_waits);
        let of_servers = waits.map(|(now, before)| now.saturating_sub(*before)).max();
        let of_this_process = self.oversleep - earlier.oversleep;
        of_servers.unwrap_or_default().max(of_this_process)
    }
}

/// Returns how long the main thread of a process was ready to run without running, or zero if the system does not
/// report it. A server does everything but logging on its main thread.
fn run_queue_wait(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).unwrap_or_default();
    let nanos = text.split_whitespace().nth(1).and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}
