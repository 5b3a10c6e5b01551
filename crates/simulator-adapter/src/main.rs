//! Program that runs madderbay's decision module for the simulator. It reads batches of events from
//! standard input and writes one reply per batch to standard output.
//!
//! The program exits at the end of its input. An error is reported as one line on standard error.

use madderbay_simulator_adapter::{AdapterError, serve};
use std::io::{BufReader, stdin, stdout};
use std::process::ExitCode;

/// Exit status if the settings of an instance have unknown or contradictory values. For all other
/// errors the exit status is 1.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Size of the buffer for standard input, in bytes.
const INPUT_BUFFER_BYTES: usize = 64 * 1024;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, stdin().lock());
    let mut output = stdout().lock();
    match serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", env!("CARGO_BIN_NAME"));
            exit_status(&error)
        }
    }
}

fn exit_status(error: &AdapterError) -> ExitCode {
    if error.is_settings_error() {
        ExitCode::from(EXIT_INVALID_SETTINGS)
    } else {
        ExitCode::FAILURE
    }
}
