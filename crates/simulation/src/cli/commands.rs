//! Executes the commands.

use super::arguments::{Command, DrawArguments};
use super::error::CommandError;
use super::outcome::CommandOutcome;
use super::{compare, figures, files, report_folder, search};
use madderbay_simulation::{Features, History, fault_mix_table, shrink, simulate};
use std::path::Path;

/// The number of zones of a random history, or the number of its backends if that is smaller.
const MAX_ZONES: usize = 3;
/// The upstream calls in flight per server from which the quota of a random history is computed.
const QUOTA_PER_SERVER: usize = 6;
/// The smallest number of servers with which the mixes of faults work.
const MIN_TABLE_SERVERS: usize = 4;

/// Executes a command.
pub(crate) fn execute(command: Command) -> Result<CommandOutcome, CommandError> {
    match command {
        Command::Run { file, seed } => run(&file, seed),
        Command::Draw { seed, draw } => {
            print!("{}", draw.draw(seed)?);
            Ok(CommandOutcome::Passed)
        }
        Command::Search(arguments) => search::search(&arguments),
        Command::Shrink { file, seed } => shrink_history(&file, seed),
        Command::Table {
            servers,
            simulations_at_a_time,
            mix_filter,
        } => print_table(servers, simulations_at_a_time, &mix_filter),
        Command::Compare { first, second } => compare::compare(&first, &second),
        Command::Report { file, seed, folder } => report(&file, seed, &folder),
    }
}

fn run(file: &Path, seed: u64) -> Result<CommandOutcome, CommandError> {
    let report = simulate(&files::read_history(file)?, seed);
    println!("{}", figures::json_lines(&report)?);
    Ok(CommandOutcome::from_violation_count(
        report.violations.len(),
    ))
}

fn shrink_history(file: &Path, seed: u64) -> Result<CommandOutcome, CommandError> {
    let history = files::read_history(file)?;
    let report = simulate(&history, seed);
    let Some(violation) = report.violations.first() else {
        return Err(CommandError::NothingViolated {
            path: file.into(),
            seed,
        });
    };
    let shortest = shrink(&history, seed, violation.invariant);
    print!("# seed {seed}: {}\n{shortest}", violation.invariant);
    Ok(CommandOutcome::Passed)
}

fn print_table(
    servers: usize,
    simulations_at_a_time: usize,
    mix_filter: &str,
) -> Result<CommandOutcome, CommandError> {
    if servers < MIN_TABLE_SERVERS {
        return Err(CommandError::FleetTooSmallForTable);
    }
    let table = fault_mix_table(servers, simulations_at_a_time, mix_filter);
    println!("{table}");
    Ok(CommandOutcome::Passed)
}

/// Runs a history and writes its report. Violations are in the report, but do not affect the outcome.
fn report(file: &Path, seed: u64, folder: &Path) -> Result<CommandOutcome, CommandError> {
    let history = files::read_history(file)?;
    let report = simulate(&history, seed);
    report_folder::write(folder, &history, seed, &report)?;
    println!("{}", folder.display());
    Ok(CommandOutcome::Passed)
}

impl DrawArguments {
    /// Generates the random history of a seed.
    pub(crate) fn draw(&self, seed: u64) -> Result<History, CommandError> {
        let features = self.parse_features()?;
        if self.servers < 2 || self.backends == 0 {
            return Err(CommandError::FleetTooSmall);
        }
        let history = History {
            servers: self.servers,
            backends: self.backends,
            zones: self.backends.min(MAX_ZONES),
            seconds: self.seconds,
            requests_per_second: self.requests_per_second,
            quota: (self.servers * QUOTA_PER_SERVER) as u32,
            features,
            defect: None,
            faults: vec![],
        };
        Ok(history.with_random_faults(seed, self.faults))
    }

    /// Parses the features as the `parts` line of a history.
    fn parse_features(&self) -> Result<Features, CommandError> {
        let line = format!("parts {}\n", self.features.replace(',', " "));
        Ok(History::parse("--parts", &line)?.features)
    }
}
