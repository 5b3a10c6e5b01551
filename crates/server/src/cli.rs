//! The command line: its sub-commands, flags and environment variables. It does nothing but parse.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status for a wrong command line, configuration or operator file.
pub(crate) const INVALID_INPUT: u8 = 2;

/// An admission and scheduling server between load balancers, the local engine and upstream services
#[derive(Parser)]
#[command(name = "madderbay", version)]
pub(crate) struct Arguments {
    /// The operator file: what this server does beyond its platform; without one all of that is off
    #[arg(
        id = "operator",
        long = "operator",
        value_name = "FILE",
        env = "MADDERBAY_OPERATOR",
        global = true
    )]
    pub(crate) operator_file: Option<PathBuf>,
    /// For tests with incarnations on differing clocks: milliseconds added to the Unix clock that distinguishes
    /// incarnations
    #[arg(
        long = "unix-ahead-ms",
        hide = true,
        value_name = "MS",
        default_value_t = 0,
        allow_hyphen_values = true
    )]
    pub(crate) incarnation_offset_ms: i64,
    /// What to do; without a command, `run`.
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

// A sub-command. No doc comment: clap would print it; those of the variants are the help.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Serve, as configured by the file that RELAY_CONFIG names; the default command
    Run,
    /// Report what is wrong with an operator file, one line each; with RELAY_CONFIG set, its handlers are checked too
    Check { file: PathBuf },
    /// Show the members of the fleet, as a running server sees them
    Members(QueryArguments),
    /// Show the quotas and counters that a running server shares with its fleet
    Shared(QueryArguments),
    /// Show the backends of a running server
    Routes(QueryArguments),
    /// Show what a directory of durable results holds, also while a server uses it
    Kept {
        #[command(subcommand)]
        command: StoreCommand,
    },
}

/// A query to a running server.
#[derive(Args)]
pub(crate) struct QueryArguments {
    /// The server's control socket, as its operator file names it
    #[arg(long, value_name = "PATH")]
    pub(crate) socket: PathBuf,
    /// Print one line, a JSON object
    #[arg(long)]
    pub(crate) json: bool,
    /// Repeat every second until interrupted
    #[arg(long)]
    pub(crate) watch: bool,
}

// A sub-command of `kept`. No doc comment, for the same reason.
#[derive(Subcommand)]
pub(crate) enum StoreCommand {
    /// One line for each request with an idempotency key: key, state, expiry, size of the result
    List { directory: PathBuf },
    /// One line for each damaged or incomplete record; exits with status 1 if there is any
    Verify { directory: PathBuf },
    /// One line of JSON for each request with an idempotency key, with its result
    Export { directory: PathBuf },
}

/// Parses the command line. Help and errors are printed here, an error as one line; the status to exit with is
/// returned then.
pub(crate) fn parse() -> Result<Arguments, ExitCode> {
    Arguments::try_parse().map_err(|error| {
        if !error.use_stderr() {
            let _ = error.print();
            return ExitCode::SUCCESS;
        }
        let text = error.to_string();
        eprintln!("madderbay: {}", text.lines().next().unwrap_or_default());
        ExitCode::from(INVALID_INPUT)
    })
}
