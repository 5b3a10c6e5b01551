use madderbay_simulator_adapter::host::{Host, Wrong};
use madderbay_simulator_adapter::wire;
use std::io::{BufReader, Write, stdin, stdout};
use std::process::ExitCode;

/// Exit status where settings are unknown or contradict themselves.
const WRONGLY_SET: u8 = 2;

fn run() -> Result<(), Wrong> {
    let mut input = BufReader::with_capacity(1 << 16, stdin().lock());
    let mut output = stdout().lock();
    let mut host = Host::default();
    while let Some(batch) = wire::next_batch(&mut input)? {
        let frame = host.play(&batch)?;
        output
            .write_all(&frame)
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Wrong::Wire(what)) => {
            eprintln!("madderbay-drill: {what}");
            ExitCode::FAILURE
        }
        Err(Wrong::Set(what)) => {
            eprintln!("madderbay-drill: {what}");
            ExitCode::from(WRONGLY_SET)
        }
    }
}
