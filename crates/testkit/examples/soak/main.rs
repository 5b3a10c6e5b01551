//! Runs soak tests of the real program. Each seed determines the load, faults and signals of one soak run:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example soak -- SEEDS [PROGRAM]
//!
//! SEEDS is a seed or a range such as `1..57`, whose end is excluded. PROGRAM is the program to
//! run; by default it is the release build of this workspace. Prints one line per seed, followed by
//! its violations. Exits with 1 if a rule was broken, and with 2 on wrong arguments.

use madderbay_testkit::measurement::seeds::run_seeds;
use madderbay_testkit::soak::{Plan, Violation, play, violations};
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Number of soak runs that are executed in parallel: few enough that servers, fakes and clients
/// find a free core.
const PARALLEL_SOAK_RUNS: usize = 4;
/// Maximum number of violations that are printed for one soak run.
const MAX_PRINTED: usize = 5;

/// Arguments of the command line.
struct Arguments {
    seeds: Range<u64>,
    program: PathBuf,
}

fn main() -> ExitCode {
    let Some(arguments) = read_arguments(std::env::args().skip(1)) else {
        eprintln!("soak: usage: soak SEED|FIRST..END [PROGRAM]");
        return ExitCode::from(2);
    };
    let program = &arguments.program;
    let results = run_seeds(arguments.seeds, PARALLEL_SOAK_RUNS, |seed| {
        let found = violations(&play(program, &Plan::draw(seed)));
        print_soak_run(seed, program, &found);
        found
    });
    print_summary(&results);
    let is_clean = results.iter().all(Vec::is_empty);
    ExitCode::from(u8::from(!is_clean))
}

fn read_arguments(mut arguments: impl Iterator<Item = String>) -> Option<Arguments> {
    let seeds = read_seeds(&arguments.next()?)?;
    let program = arguments.next();
    let program = program.map_or_else(|| PathBuf::from("target/release/madderbay"), PathBuf::from);
    let is_complete = arguments.next().is_none() && program.is_file();
    is_complete.then_some(Arguments { seeds, program })
}

/// Parses a seed, or a range of seeds that is not empty.
fn read_seeds(text: &str) -> Option<Range<u64>> {
    let seeds = match text.split_once("..") {
        Some((first, end)) => first.parse().ok()?..end.parse().ok()?,
        None => {
            let seed: u64 = text.parse().ok()?;
            seed..seed.checked_add(1)?
        }
    };
    (!seeds.is_empty()).then_some(seeds)
}

/// Prints the violations of one soak run and, if there are any, the command that repeats it.
fn print_soak_run(seed: u64, program: &Path, found: &[Violation]) {
    println!("seed {seed}: {} violations", found.len());
    for violation in found.iter().take(MAX_PRINTED) {
        println!("  {violation}");
    }
    if found.len() > MAX_PRINTED {
        println!("  and {} more", found.len() - MAX_PRINTED);
    }
    if !found.is_empty() {
        println!("  again: soak {seed} {}", program.display());
    }
}

/// Prints how many soak runs there were, how many had no violations, and how many broke each rule.
fn print_summary(results: &[Vec<Violation>]) {
    let mut by_rule: BTreeMap<&str, usize> = BTreeMap::new();
    for found in results {
        let mut rules: Vec<&str> = found.iter().map(|violation| violation.rule).collect();
        rules.sort_unstable();
        rules.dedup();
        for rule in rules {
            *by_rule.entry(rule).or_default() += 1;
        }
    }
    let clean = results.iter().filter(|found| found.is_empty()).count();
    println!("{} plays, {clean} clean", results.len());
    for (rule, count) in by_rule {
        println!("  {count} plays broke: {rule}");
    }
}
