//! A table of the results of a fleet under each mix of faults, by the features that are on.

use crate::features::Features;
use crate::history::History;
use crate::mixes::{FIRST_FAULT_MS, FleetSize, LAST_FAULT_MS, SECONDS};
use crate::report::{SimulationReport, fractions_in_time};
use crate::simulate;
use crate::workload::Handler;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const SEED: u64 = 1;
const COLUMNS: usize = 9;
const HEADER: &str = "| servers, mix | on | kept in the trouble: search, quote, book | most below, of the budget | settles, s | bytes a \
                      second a server | unison | rules broken | ms of a core a server-second |";
/// The number of servers per backend. The number of backends stays between the two bounds below.
const SERVERS_PER_BACKEND: usize = 10;
const MIN_BACKENDS: usize = 3;
const MAX_BACKENDS: usize = 30;

/// The sets of features that are compared, with their names in the table.
const FEATURE_SETS: [(&str, Features); 6] = [
    ("off", Features::NONE),
    ("members", MEMBERSHIP),
    (
        "shared",
        Features {
            quota: true,
            ..MEMBERSHIP
        },
    ),
    (
        "routes",
        Features {
            backends: true,
            ..MEMBERSHIP
        },
    ),
    (
        "pools",
        Features {
            concurrency: true,
            ..Features::NONE
        },
    ),
    ("all", Features::ALL),
];

const MEMBERSHIP: Features = Features {
    membership: true,
    ..Features::NONE
};

/// A row of the table that is to be measured.
struct Job {
    mix: &'static str,
    feature_set: &'static str,
    history: History,
}

/// Measures all mixes whose names contain `mix_filter` on a fleet of `servers` servers, with `simulations_at_a_time`
/// simulations in parallel, and returns the table as Markdown. The last column is elapsed real time, and differs from
/// run to run.
pub fn fault_mix_table(servers: usize, simulations_at_a_time: usize, mix_filter: &str) -> String {
    let jobs = jobs(servers, mix_filter);
    let next_job = AtomicUsize::new(0);
    let rows = Mutex::new(vec![String::new(); jobs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..simulations_at_a_time.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next_job.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else {
                        return;
                    };
                    let row = job.measure();
                    rows.lock().expect("no simulation panics")[index] = row;
                }
            });
        }
    });
    let rows = rows.into_inner().expect("no simulation panics").join("\n");
    format!("{HEADER}\n|{}\n{rows}", " --- |".repeat(COLUMNS))
}

fn jobs(servers: usize, mix_filter: &str) -> Vec<Job> {
    let size = FleetSize {
        servers,
        backends: (servers / SERVERS_PER_BACKEND).clamp(MIN_BACKENDS, MAX_BACKENDS),
    };
    let mixes = size.mixes().into_iter();
    let chosen = mixes.filter(|mix| mix.name.contains(mix_filter));
    let jobs_of_mix = chosen.flat_map(|mix| {
        FEATURE_SETS.map(|(feature_set, features)| Job {
            mix: mix.name,
            feature_set,
            history: size.history(features, &mix),
        })
    });
    jobs_of_mix.collect()
}

impl Job {
    /// Runs the simulation and returns its row of the table.
    fn measure(&self) -> String {
        let started_at = Instant::now();
        let report = simulate(&self.history, SEED);
        self.row(&report, started_at.elapsed())
    }

    fn row(&self, report: &SimulationReport, elapsed: Duration) -> String {
        let servers = self.history.servers;
        let server_seconds = servers as f64 * SECONDS as f64;
        let [search, quote, booking] = fractions_during_faults(report);
        let peak_of_quota =
            f64::from(report.peak_calls_in_flight()) / f64::from(self.history.quota);
        let convergence = self.convergence(report);
        let bytes: u64 = report.rows.iter().map(|row| row.datagram_bytes).sum();
        let transitions = report.simultaneous_transitions.values();
        format!(
            "| {servers}, {} | {} | {search:.3}, {quote:.3}, {booking:.3} | {peak_of_quota:.2} | {convergence} | {:.0} | {} | {} | {:.2} |",
            self.mix,
            self.feature_set,
            bytes as f64 / server_seconds,
            transitions.max().copied().unwrap_or(0),
            report.violations.len(),
            elapsed.as_secs_f64() * 1e3 / server_seconds
        )
    }

    /// Returns the seconds until the views agreed, or `-` without membership or if they did not agree.
    fn convergence(&self, report: &SimulationReport) -> String {
        match report.convergence_s {
            Some(seconds) if self.history.features.membership => format!("{seconds:.0}"),
            _ => "-".into(),
        }
    }
}

/// Returns the fraction of each handler's requests that were answered in time while there were faults.
fn fractions_during_faults(report: &SimulationReport) -> [f64; Handler::COUNT] {
    let [first, last] = [FIRST_FAULT_MS, LAST_FAULT_MS].map(|ms| (ms / 1_000) as usize);
    // An answer may arrive in a later second than its request, which can make the fraction exceed 1.
    fractions_in_time(&report.rows[first..last]).map(|fraction| fraction.min(1.0))
}
