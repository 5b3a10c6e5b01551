//! Searches for random histories that violate an invariant.

use super::arguments::SearchArguments;
use super::error::CommandError;
use super::files;
use super::outcome::CommandOutcome;
use madderbay_simulation::{SimulationReport, simulate};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The seed of a history that violates an invariant, and the violation.
struct Finding {
    seed: u64,
    summary: String,
}

/// The seed of the history in which the fewest requests were answered in time.
struct WorstHistory {
    seed: u64,
    /// The fraction of requests answered in time, summed over the handlers.
    answered_in_time: f64,
}

/// What the simulations have found so far.
struct SearchState {
    findings: Vec<Finding>,
    worst: WorstHistory,
}

impl SearchState {
    fn new() -> SearchState {
        SearchState {
            findings: vec![],
            worst: WorstHistory {
                seed: 0,
                answered_in_time: f64::INFINITY,
            },
        }
    }

    fn add(&mut self, seed: u64, report: &SimulationReport) {
        let answered_in_time = report.fractions_in_time().iter().sum();
        if answered_in_time < self.worst.answered_in_time {
            self.worst = WorstHistory {
                seed,
                answered_in_time,
            };
        }
        if let Some(summary) = summarize(report) {
            self.findings.push(Finding { seed, summary });
        }
    }
}

/// Describes the first violation and the number of all violations. Returns `None` if there are none.
fn summarize(report: &SimulationReport) -> Option<String> {
    let first = report.violations.first()?;
    let count = report.violations.len();
    let invariant = first.invariant;
    let detail = &first.detail;
    Some(format!("{invariant}: {detail} ({count} in all)"))
}

/// Simulates the random histories, prints what was found, and writes each history that violates an invariant.
pub(crate) fn search(arguments: &SearchArguments) -> Result<CommandOutcome, CommandError> {
    // Reports invalid arguments before any simulation starts.
    arguments.draw.draw(arguments.first_seed)?;
    let mut state = simulate_all(arguments);
    state.findings.sort_by_key(|finding| finding.seed);
    println!(
        "{} histories of {} servers, {} faults each: {} broken",
        arguments.count,
        arguments.draw.servers,
        arguments.draw.faults,
        state.findings.len()
    );
    println!("least kept: seed {}", state.worst.seed);
    write_findings(arguments, &state.findings)?;
    Ok(CommandOutcome::from_violation_count(state.findings.len()))
}

fn simulate_all(arguments: &SearchArguments) -> SearchState {
    let next_seed = AtomicU64::new(arguments.first_seed);
    let state = Mutex::new(SearchState::new());
    std::thread::scope(|scope| {
        for _ in 0..arguments.simulations_at_a_time.max(1) {
            scope.spawn(|| simulate_remaining(arguments, &next_seed, &state));
        }
    });
    state.into_inner().expect("no simulation panics")
}

/// Simulates histories until no seeds are left.
fn simulate_remaining(
    arguments: &SearchArguments,
    next_seed: &AtomicU64,
    state: &Mutex<SearchState>,
) {
    let end = arguments.first_seed + arguments.count;
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let Ok(history) = arguments.draw.draw(seed) else {
            return;
        };
        let report = simulate(&history, seed);
        let mut state = state.lock().expect("no simulation panics");
        state.add(seed, &report);
    }
}

fn write_findings(arguments: &SearchArguments, findings: &[Finding]) -> Result<(), CommandError> {
    if !findings.is_empty() {
        files::create_folder(&arguments.folder)?;
    }
    for Finding { seed, summary } in findings {
        println!("seed {seed}: {summary}");
        let history = arguments.draw.draw(*seed)?;
        let path = arguments.folder.join(format!("{seed}.txt"));
        files::write_text(&path, &format!("# seed {seed}: {summary}\n{history}"))?;
    }
    Ok(())
}
