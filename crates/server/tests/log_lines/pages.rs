//! Reads the texts that the operators' pages quote.

use crate::QUOTED_LEVELS;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the texts between backticks on a page.
fn quoted_texts(page: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(page).expect("a page");
    let mut quoted = vec![];
    for line in text.lines().filter(|line| !line.starts_with("    ")) {
        quoted.extend(line.split('`').skip(1).step_by(2).map(str::to_string));
    }
    quoted
}

/// Returns the log lines that the on-call page quotes, each with its level.
pub(crate) fn on_call_lines() -> BTreeSet<String> {
    let has_level = |text: &String| {
        let level = text.split_once(' ').map_or("", |(level, _)| level);
        QUOTED_LEVELS.contains(&level) || level == "DEBUG"
    };
    let page = root().join("docs/on-call.md");
    quoted_texts(&page).into_iter().filter(has_level).collect()
}

/// Returns all texts that the operators' pages quote.
pub(crate) fn operator_page_quotes() -> BTreeSet<String> {
    let pages = std::fs::read_dir(root().join("docs/operators")).expect("the pages");
    pages
        .flat_map(|page| quoted_texts(&page.expect("a page").path()))
        .collect()
}
