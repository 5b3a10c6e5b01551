//! Runs the command that the command line names. An error carries the lines to print and the exit status.

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
    /// The server could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// `check` found a wrong operator file.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// `check` found no valid configuration to check the operator file against.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A query to a running server failed.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// A directory of durable results can't be read.
    #[error(transparent)]
    Store(#[from] InspectionError),
    /// A directory of durable results is damaged; what is wrong was printed as the command's output.
    #[error("the store is damaged")]
    DamagedStore,
}

impl CommandError {
    /// The lines for standard error.
    pub(crate) fn lines(&self) -> Vec<String> {
        match self {
            CommandError::Start(error) => error.lines(),
            CommandError::Operator(error) => error.lines(),
            CommandError::DamagedStore => vec![],
            other => vec![other.to_string()],
        }
    }

    /// [`INVALID_INPUT`] where the input of a start or of a check is wrong, else 1.
    pub(crate) fn exit_status(&self) -> ExitCode {
        match self {
            CommandError::Start(error) if error.is_invalid_input() => ExitCode::from(INVALID_INPUT),
            CommandError::Operator(_) => ExitCode::from(INVALID_INPUT),
            _ => ExitCode::FAILURE,
        }
    }
}

/// Runs the command; without one, serves.
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

/// Checks an operator file, and its handlers' names where a configuration is at hand.
fn check(file: &Path) -> Result<(), CommandError> {
    let operator = operator_plan::read(Some(file))?;
    if std::env::var_os("RELAY_CONFIG").is_some() {
        OperatorPlan::new(&operator, &config::load()?)?;
    }
    println!("{}: good", file.display());
    Ok(())
}

/// Asks a running server, once or again and again, and prints its answers.
fn query(subject: Subject, arguments: &QueryArguments) -> Result<(), CommandError> {
    let format = if arguments.json {
        Format::Json
    } else {
        Format::Text
    };
    let mut out = std::io::stdout();
    loop {
        let answer = control_client::query(&arguments.socket, subject, format)?;
        // Where the reader has closed the pipe, there is nobody left to print for.
        if writeln!(out, "{answer}").is_err() || !arguments.watch {
            return Ok(());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

/// Prints what a directory of durable results holds.
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
