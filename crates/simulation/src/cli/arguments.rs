//! The arguments. Their doc comments are the program's help.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// A whole fleet in simulated time, from one seed.
#[derive(Parser)]
#[command(name = "madderbay-simulation", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

// What drawn histories have in common. A doc comment here would replace the help of the commands.
#[derive(Args)]
pub(crate) struct DrawArguments {
    /// Servers, backends, and seconds of a drawn history
    #[arg(long, default_value_t = 12)]
    pub(crate) servers: usize,
    #[arg(long, default_value_t = 4)]
    pub(crate) backends: usize,
    #[arg(long, default_value_t = 45)]
    pub(crate) seconds: u64,
    /// Reqs a second of each server
    #[arg(long = "rate", value_name = "RATE", default_value_t = 20.0)]
    pub(crate) requests_per_second: f64,
    /// Faults in it
    #[arg(long, default_value_t = 20)]
    pub(crate) faults: usize,
    /// Parts that are on, with commas between, or none
    #[arg(
        long = "parts",
        value_name = "PARTS",
        default_value = "members,shared,routes,pools"
    )]
    pub(crate) features: String,
}

// The arguments of `search`.
#[derive(Args)]
pub(crate) struct SearchArguments {
    #[arg(long, default_value_t = 100)]
    pub(crate) count: u64,
    /// The first seed
    #[arg(long = "seed", value_name = "SEED", default_value_t = 1)]
    pub(crate) first_seed: u64,
    /// Where to write
    #[arg(long = "to", value_name = "TO", default_value = "found")]
    pub(crate) folder: PathBuf,
    /// Plays at a time
    #[arg(long = "beside", value_name = "BESIDE", default_value_t = 4)]
    pub(crate) simulations_at_a_time: usize,
    #[command(flatten)]
    pub(crate) draw: DrawArguments,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Play a history; the figures as JSON lines
    Run {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Write the history that a seed draws
    Draw {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        draw: DrawArguments,
    },
    /// Play drawn histories; those that break something are written, with what they broke
    Search(SearchArguments),
    /// The fewest deeds under which a history still breaks a rule
    Shrink {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// What a fleet keeps in calm and in eight mixes of faults, with nothing on, each part, and all
    Table {
        #[arg(long, default_value_t = 10)]
        servers: usize,
        #[arg(long = "beside", value_name = "BESIDE", default_value_t = 4)]
        simulations_at_a_time: usize,
        /// Mixes whose name holds this
        #[arg(long = "only", value_name = "ONLY", default_value = "")]
        mix_filter: String,
    },
    /// Two outputs of `run` beside each other
    Compare {
        #[arg(value_name = "ONE")]
        first: PathBuf,
        #[arg(value_name = "OTHER")]
        second: PathBuf,
    },
    /// A folder with what a history does: text, JSON lines and plots
    Report {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long = "to", value_name = "TO", default_value = "report")]
        folder: PathBuf,
    },
}
