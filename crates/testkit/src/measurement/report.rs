//! Medians, tables, rule violations, and figures of a process.

/// Maximum number of violations that are printed.
const MAX_PRINTED: usize = 20;

/// Returns the median of the values; of an even number of values, the upper of the two middle ones.
///
/// # Panics
///
/// If there are no values.
pub fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Returns the header of a Markdown table, which has two lines.
pub fn table_head(headings: &[&str]) -> String {
    format!(
        "| {} |\n|{}",
        headings.join(" | "),
        " --- |".repeat(headings.len())
    )
}

/// Rule violations of several runs, one line each.
#[derive(Default)]
pub struct Violations(Vec<String>);

impl Violations {
    /// Adds the violations of the run with a seed.
    pub fn add(&mut self, seed: u64, lines: impl IntoIterator<Item = String>) {
        let lines = lines.into_iter();
        self.0
            .extend(lines.map(|line| format!("seed {seed}: {line}")));
    }

    /// Returns the number of violations.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Prints the first violations, `MAX_PRINTED` at most, one line each.
    pub fn print_first(&self) {
        let printed = self.0.iter().take(MAX_PRINTED);
        printed.for_each(|line| println!("  {line}"));
    }
}

/// Returns the processor time per request in milliseconds, given that of all requests in seconds.
pub fn cpu_ms_per_request(cpu_secs: f64, requests: usize) -> f64 {
    cpu_secs * 1e3 / requests as f64
}

/// Returns a figure of this process in KB, by its name in `/proc/self/status`; 0 if the system does
/// not report it.
pub fn process_status_kb(name: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
