//! The arguments of the command line. Their doc comments are the program's help.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Simulates a whole fleet, with all random choices from one seed.
#[derive(Parser)]
#[command(name = "madderbay-simulation", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

// The arguments that describe a random history. A doc comment here would replace the help of the commands.
#[derive(Args)]
pub(crate) struct DrawArguments {
    /// Number of servers
    #[arg(long, default_value_t = 12)]
    pub(crate) servers: usize,
    /// Number of backends
    #[arg(long, default_value_t = 4)]
    pub(crate) backends: usize,
    /// Length of the simulation in seconds
    #[arg(long, default_value_t = 45)]
    pub(crate) seconds: u64,
    /// Requests per second of each server
    #[arg(long = "rate", value_name = "RATE", default_value_t = 20.0)]
    pub(crate) requests_per_second: f64,
    /// Number of random faults
    #[arg(long, default_value_t = 20)]
    pub(crate) faults: usize,
    /// Parts that are on, separated by commas, or `none`
    #[arg(
        long = "parts",
        value_name = "PARTS",
        default_value = "members,shared,routes,pools"
    )]
    pub(crate) features: String,
}

// The arguments of the `search` command.
#[derive(Args)]
pub(crate) struct SearchArguments {
    /// Number of histories
    #[arg(long, default_value_t = 100)]
    pub(crate) count: u64,
    /// The first seed
    #[arg(long = "seed", value_name = "SEED", default_value_t = 1)]
    pub(crate) first_seed: u64,
    /// Folder for the histories that violate an invariant
    #[arg(long = "to", value_name = "TO", default_value = "found")]
    pub(crate) folder: PathBuf,
    /// Simulations to run in parallel
    #[arg(long = "beside", value_name = "BESIDE", default_value_t = 4)]
    pub(crate) simulations_at_a_time: usize,
    #[command(flatten)]
    pub(crate) draw: DrawArguments,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run a history and print its figures as JSON lines
    Run {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Print the random history of a seed
    Draw {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        draw: DrawArguments,
    },
    /// Run random histories and write those that violate an invariant, with the first violation
    Search(SearchArguments),
    /// Reduce a history to the fewest faults that still violate the same invariant
    Shrink {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Print a table of a fleet's results without faults and under eight mixes of faults, with no parts on, each part,
    /// and all parts
    Table {
        #[arg(long, default_value_t = 10)]
        servers: usize,
        #[arg(long = "beside", value_name = "BESIDE", default_value_t = 4)]
        simulations_at_a_time: usize,
        /// Only mixes whose name contains this
        #[arg(long = "only", value_name = "ONLY", default_value = "")]
        mix_filter: String,
    },
    /// Print the figures of two outputs of `run` side by side
    Compare {
        #[arg(value_name = "ONE")]
        first: PathBuf,
        #[arg(value_name = "OTHER")]
        second: PathBuf,
    },
    /// Run a history and write a folder with its report: text, JSON lines and plots
    Report {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long = "to", value_name = "TO", default_value = "report")]
        folder: PathBuf,
    },
}
