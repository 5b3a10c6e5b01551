//! The command line: its arguments, its commands, and their output.

mod arguments;
mod commands;
mod compare;
mod error;
mod figures;
mod files;
mod outcome;
mod plot;
mod report_folder;
mod search;

pub(crate) use arguments::Arguments;
pub(crate) use commands::execute;
pub(crate) use outcome::CommandOutcome;
