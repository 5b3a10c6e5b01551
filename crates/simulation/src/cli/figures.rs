//! The figures of a simulation as JSON lines: the rows, the violations, and a last line for the whole simulation.

use madderbay_simulation::SimulationReport;
use serde_json::json;

/// Returns the lines, without a newline at the end.
pub(crate) fn json_lines(report: &SimulationReport) -> Result<String, serde_json::Error> {
    let rows = report.rows.iter().map(serde_json::to_string);
    let violations = report.violations.iter().map(serde_json::to_string);
    let mut lines = rows.chain(violations).collect::<Result<Vec<String>, _>>()?;
    lines.push(summary(report).to_string());
    Ok(lines.join("\n"))
}

fn summary(report: &SimulationReport) -> serde_json::Value {
    json!({
        "settles": report.convergence_s,
        "unison": report.simultaneous_transitions,
        "load_below": report.calls_per_first_attempt,
        "broken": report.violations.len(),
    })
}
