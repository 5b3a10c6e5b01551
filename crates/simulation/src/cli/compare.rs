//! Compares the figures of two runs.

use super::error::CommandError;
use super::files;
use super::outcome::CommandOutcome;
use madderbay_simulation::{Handler, SecondRow};
use std::path::Path;

/// Totals over the JSON lines of a run.
#[derive(Default)]
struct Totals {
    answered_in_time: [f64; Handler::COUNT],
    requests: [f64; Handler::COUNT],
    peak_calls_in_flight: f64,
    datagram_bytes: f64,
}

impl Totals {
    /// Adds up the rows. Lines that are not rows add nothing.
    fn from_json_lines(json_lines: &str) -> Totals {
        let mut totals = Totals::default();
        for line in json_lines.lines() {
            totals.add(&serde_json::from_str(line).unwrap_or_default());
        }
        totals
    }

    fn add(&mut self, row: &SecondRow) {
        for handler in Handler::ALL.map(Handler::index) {
            self.answered_in_time[handler] += f64::from(row.answered_in_time[handler]);
            self.requests[handler] += f64::from(row.requests[handler]);
        }
        let peak = f64::from(row.peak_calls_in_flight);
        self.peak_calls_in_flight = self.peak_calls_in_flight.max(peak);
        self.datagram_bytes += row.datagram_bytes as f64;
    }

    fn fraction_in_time(&self, handler: Handler) -> f64 {
        let handler = handler.index();
        self.answered_in_time[handler] / self.requests[handler].max(1.0)
    }
}

/// Prints the figures of two outputs of `run`, and whether the outputs are the same.
pub(crate) fn compare(first: &Path, second: &Path) -> Result<CommandOutcome, CommandError> {
    let first_lines = files::read_text(first)?;
    let second_lines = files::read_text(second)?;
    let one = Totals::from_json_lines(&first_lines);
    let other = Totals::from_json_lines(&second_lines);
    println!(
        "{:<24} {:>12} {:>12}",
        "",
        first.display(),
        second.display()
    );
    for handler in Handler::ALL {
        println!(
            "{:<24} {:>12.4} {:>12.4}",
            format!("kept of {}", handler.name()),
            one.fraction_in_time(handler),
            other.fraction_in_time(handler)
        );
    }
    println!(
        "{:<24} {:>12} {:>12}",
        "most in hand below", one.peak_calls_in_flight, other.peak_calls_in_flight
    );
    println!(
        "{:<24} {:>12} {:>12}",
        "bytes between servers", one.datagram_bytes, other.datagram_bytes
    );
    let verdict = if first_lines == second_lines {
        "the same to the byte"
    } else {
        "not the same"
    };
    println!("{verdict}");
    Ok(CommandOutcome::Passed)
}
