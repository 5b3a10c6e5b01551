//! The program that plays madderbay's decisions on the simulator's wire: batches of events on
//! standard input, one reply a batch on standard output.
//!
//! It ends with its input. An error is one line on standard error.

use madderbay_simulator_adapter::{AdapterError, serve};
use std::io::{BufReader, stdin, stdout};
use std::process::ExitCode;

/// Exit status where an instance's settings are unknown or contradict themselves. Every other
/// error ends the program with status 1.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Size of the buffer before standard input, in bytes.
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
