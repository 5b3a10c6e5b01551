use madderbay_drill::{host::Host, wire};
use std::io::{BufReader, Write, stdin, stdout};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, stdin().lock());
    let mut output = stdout().lock();
    let mut host = Host::default();
    while let Some(batch) = wire::next_batch(&mut input)? {
        let frame = host.play(&batch)?;
        output.write_all(&frame).and_then(|()| output.flush()).map_err(|e| format!("output: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("madderbay-drill: {what}");
            ExitCode::FAILURE
        }
    }
}
