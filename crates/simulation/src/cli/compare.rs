//! Puts the figures of two runs beside each other.

use super::error::CommandError;
use super::files;
use super::outcome::CommandOutcome;
use madderbay_simulation::Handler;
use serde_json::Value;
use std::path::Path;

/// What the JSON lines of a run add up to.
#[derive(Default)]
struct Totals {
    answered_in_time: [f64; Handler::COUNT],
    requests: [f64; Handler::COUNT],
    peak_calls_in_flight: f64,
    datagram_bytes: f64,
}

impl Totals {
    /// Adds up the rows. Lines that are not rows add nothing.
    fn of(json_lines: &str) -> Totals {
        let mut totals = Totals::default();
        for line in json_lines.lines() {
            totals.add(&serde_json::from_str(line).unwrap_or_default());
        }
        totals
    }

    fn add(&mut self, row: &Value) {
        let number = |value: &Value| value.as_f64().unwrap_or(0.0);
        for handler in Handler::ALL.map(Handler::index) {
            self.answered_in_time[handler] += number(&row["kept"][handler]);
            self.requests[handler] += number(&row["asked"][handler]);
        }
        self.peak_calls_in_flight = self.peak_calls_in_flight.max(number(&row["peak"]));
        self.datagram_bytes += number(&row["bytes"]);
    }

    fn fraction_in_time(&self, handler: Handler) -> f64 {
        let handler = handler.index();
        self.answered_in_time[handler] / self.requests[handler].max(1.0)
    }
}

/// Prints the figures of two outputs of `run`, and whether they are the same.
pub(crate) fn compare(first: &Path, second: &Path) -> Result<CommandOutcome, CommandError> {
    let (first_lines, second_lines) = (files::read_text(first)?, files::read_text(second)?);
    let (one, other) = (Totals::of(&first_lines), Totals::of(&second_lines));
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
