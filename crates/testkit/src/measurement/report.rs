//! Medians, tables, violated rules, and the figures of a process.

/// Violated rules that are printed.
const MAX_PRINTED: usize = 20;

/// The middle one of these values, the upper one of two.
///
/// # Panics
///
/// If there is none.
pub fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// The two lines that begin a Markdown table.
pub fn table_head(headings: &[&str]) -> String {
    format!(
        "| {} |\n|{}",
        headings.join(" | "),
        " --- |".repeat(headings.len())
    )
}

/// The violated rules of several runs, a line each.
#[derive(Default)]
pub struct Violations(Vec<String>);

impl Violations {
    /// Adds those of the run with a seed.
    pub fn add(&mut self, seed: u64, lines: impl IntoIterator<Item = String>) {
        let lines = lines.into_iter();
        self.0
            .extend(lines.map(|line| format!("seed {seed}: {line}")));
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Prints the first ones, a line each.
    pub fn print_first(&self) {
        let printed = self.0.iter().take(MAX_PRINTED);
        printed.for_each(|line| println!("  {line}"));
    }
}

/// The processor time of each request in milliseconds, by that of all in seconds.
pub fn cpu_ms_per_request(cpu_secs: f64, requests: usize) -> f64 {
    cpu_secs * 1e3 / requests as f64
}

/// A figure of this process in KB, by its name in `/proc/self/status`; 0 where the system doesn't
/// say.
pub fn process_status_kb(name: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
