//! Medians, tables, and the memory of this process.

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
pub fn table_head(heads: &[&str]) -> String {
    format!(
        "| {} |\n|{}",
        heads.join(" | "),
        " --- |".repeat(heads.len())
    )
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
