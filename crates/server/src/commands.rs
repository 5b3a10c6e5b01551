//! Runs the command given on the command line. An error holds the lines to print and the exit status.

use crate::cli::{Arguments, Command, INVALID_INPUT, QueryArguments, StoreCommand};
use crate::operator_plan::{self, OperatorError, OperatorPlan};
use crate::start_error::StartError;
use crate::startup;
use crate::store_inspection::{self, InspectionError};
use madderbay_server::fleet::control_client::{self, Format, QueryError, Subject};
use madderbay_server::support::config::{self, ConfigError};
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration as StdDuration;

/// Pause between two queries with `--watch`.
const WATCH_INTERVAL: StdDuration = StdDuration::from_millis(1_000);

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The server can't start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The operator file given to `check` is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The configuration against which `check` compares the operator file is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A query to a running server failed.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// A directory of durable results can't be read.
    #[error(transparent)]
    Store(#[from] InspectionError),
    /// A directory of durable results is damaged. The command has already printed the defects as its output.
    #[error("the store is damaged")]
    DamagedStore,
}

impl CommandError {
    /// Returns the lines to print on standard error.
    pub(crate) fn lines(&self) -> Vec<String> {
        match self {
            CommandError::Start(error) => error.lines(),
            CommandError::Operator(error) => error.lines(),
            CommandError::DamagedStore => vec![],
            other => vec![other.to_string()],
        }
    }

    /// Returns [`INVALID_INPUT`] if an input of the start or of `check` is invalid, otherwise 1.
    pub(crate) fn exit_status(&self) -> ExitCode {
        match self {
            CommandError::Start(error) if error.is_invalid_input() => ExitCode::from(INVALID_INPUT),
            CommandError::Operator(_) => ExitCode::from(INVALID_INPUT),
            _ => ExitCode::FAILURE,
        }
    }
}

/// Runs the command; without a command, serves.
pub(crate) fn execute(arguments: Arguments) -> Result<(), CommandError> {
    let operator_file = arguments.operator_file.as_deref();
    match arguments.command.unwrap_or(Command::Run) {
        Command::Run => Ok(startup::run(
            operator_file,
            arguments.incarnation_offset_ms,
        )?),
        Command::Check { file } => check(&file),
        Command::Members(arguments) => query(Subject::Members, &arguments),
        Command::Shared(arguments) => query(Subject::Quotas, &arguments),
        Command::Routes(arguments) => query(Subject::Backends, &arguments),
        Command::Kept { command } => inspect_store(&command),
    }
}

/// Checks an operator file, and also its names of handlers if the environment variable for the configuration is set.
fn check(file: &Path) -> Result<(), CommandError> {
    let operator = operator_plan::read(Some(file))?;
    if std::env::var_os("RELAY_CONFIG").is_some() {
        OperatorPlan::new(&operator, &config::load()?)?;
    }
    println!("{}: good", file.display());
    Ok(())
}

/// Queries a running server, once or repeatedly, and prints its answers.
fn query(subject: Subject, arguments: &QueryArguments) -> Result<(), CommandError> {
    let format = if arguments.json {
        Format::Json
    } else {
        Format::Text
    };
    let mut out = std::io::stdout();
    loop {
        let answer = control_client::query(&arguments.socket, subject, format)?;
        // The write fails if the reader has closed the pipe; the command then ends.
        if writeln!(out, "{answer}").is_err() || !arguments.watch {
            return Ok(());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

/// Prints the contents or the defects of a directory of durable results.
fn inspect_store(command: &StoreCommand) -> Result<(), CommandError> {
    let lines = match command {
        StoreCommand::List { directory } => store_inspection::list(directory),
        StoreCommand::Export { directory } => store_inspection::export(directory),
        StoreCommand::Verify { directory } => store_inspection::verify(directory),
    }?;
    lines.iter().for_each(|line| println!("{line}"));
    let is_verify = matches!(command, StoreCommand::Verify { .. });
    if is_verify && !lines.is_empty() {
        return Err(CommandError::DamagedStore);
    }
    Ok(())
}
