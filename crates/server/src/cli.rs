//! The command line: its subcommands, flags and environment variables. This module only parses it.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status for a wrong command line, configuration or operator file.
pub(crate) const INVALID_INPUT: u8 = 2;

/// An admission and scheduling server between load balancers, the local engine and upstream services
#[derive(Parser)]
#[command(name = "madderbay", version)]
pub(crate) struct Arguments {
    /// The operator file, which enables features beyond the platform's; without it all of these are off
    #[arg(
        id = "operator",
        long = "operator",
        value_name = "FILE",
        env = "MADDERBAY_OPERATOR",
        global = true
    )]
    pub(crate) operator_file: Option<PathBuf>,
    /// Milliseconds added to the Unix time from which the incarnation number is taken, for tests in which the
    /// incarnations of a server have different clocks
    #[arg(
        long = "unix-ahead-ms",
        hide = true,
        value_name = "MS",
        default_value_t = 0,
        allow_hyphen_values = true
    )]
    pub(crate) incarnation_offset_ms: i64,
    /// The command to run; `run` if there is none.
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

// A subcommand. This is no doc comment because clap would print it. The variants' doc comments are the help text.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Serve, as configured by the file that RELAY_CONFIG names; the default command
    Run,
    /// Check an operator file and print one line per error; with RELAY_CONFIG set, names of handlers are checked too
    Check { file: PathBuf },
    /// Show the members of the fleet as a running server sees them
    Members(QueryArguments),
    /// Show the quotas and counters that a running server shares with its fleet
    Shared(QueryArguments),
    /// Show the backends of a running server
    Routes(QueryArguments),
    /// Show the contents of a directory of durable results; a server may be using it
    Kept {
        #[command(subcommand)]
        command: StoreCommand,
    },
}

/// A query to a running server.
#[derive(Args)]
pub(crate) struct QueryArguments {
    /// Path of the server's control socket, as set in its operator file
    #[arg(long, value_name = "PATH")]
    pub(crate) socket: PathBuf,
    /// Print one line that holds a JSON object
    #[arg(long)]
    pub(crate) json: bool,
    /// Repeat every second until interrupted
    #[arg(long)]
    pub(crate) watch: bool,
}

// A subcommand of `kept`. This is no doc comment for the same reason.
#[derive(Subcommand)]
pub(crate) enum StoreCommand {
    /// Print one line for each request with an idempotency key: key, state, expiry, size of the result
    List { directory: PathBuf },
    /// Print one line for each damaged or incomplete record; exit with status 1 if there is any
    Verify { directory: PathBuf },
    /// Print one line of JSON for each request with an idempotency key, with its result
    Export { directory: PathBuf },
}

/// Parses the command line. Prints help, or an error as one line, and then returns the exit status as the error.
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
