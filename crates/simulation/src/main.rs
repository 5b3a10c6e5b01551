//! The `madderbay-simulation` program: runs, generates, searches, shrinks, compares and reports histories of a
//! simulated fleet.

mod cli;

use clap::Parser;
use cli::{Arguments, CommandOutcome};
use std::process::ExitCode;

/// Exit status after an invalid command line or an error of a command, such as an invalid file.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            return fail(error.to_string().lines().next().unwrap_or_default());
        }
        Err(help_or_version) => {
            // If standard output is closed, there is no way to report the failure.
            let _ = help_or_version.print();
            return ExitCode::SUCCESS;
        }
    };
    match cli::execute(arguments.command) {
        Ok(CommandOutcome::Passed) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Violated) => ExitCode::FAILURE,
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(reason: &str) -> ExitCode {
    eprintln!("madderbay-simulation: {reason}");
    ExitCode::from(USAGE_ERROR)
}
