//! Finds the log lines in the source of the program.
//!
//! Reads the source files of this package, without its tests and comments.

use crate::{EVENT_COMPONENTS, QUOTED_LEVELS};
use std::path::{Path, PathBuf};

/// A log line with its level, as it is written in the source.
pub(crate) struct SourceLine {
    /// File and line number.
    pub place: String,
    pub level: String,
    pub text: String,
}

/// Collects the source files in a directory and its subdirectories, without those of tests.
fn source_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("a directory of the sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && path.file_name().is_some_and(|name| name != "tests.rs")
        {
            files.push(path);
        }
    }
    files.sort();
}

/// Returns the string literal that `source` begins with, its escapes resolved, and its length in the source; `None` if
/// `source` does not begin with a literal.
fn string_literal(source: &str) -> Option<(String, usize)> {
    let inner = source.strip_prefix('"')?;
    let mut text = String::new();
    let mut chars = inner.char_indices().peekable();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((text, at + 2)),
            '\\' => match chars.next()?.1 {
                'n' => text.push('\n'),
                '\n' => while chars.next_if(|(_, c)| c.is_whitespace()).is_some() {},
                other => text.push(other),
            },
            _ => text.push(c),
        }
    }
    None
}

/// Returns the source without comment lines, which may quote log lines.
fn without_comments(source: &str) -> String {
    let is_comment = |line: &&str| line.trim_start().starts_with("//");
    let blank_if_comment = |line| if is_comment(&line) { "" } else { line };
    let lines: Vec<&str> = source.lines().map(blank_if_comment).collect();
    lines.join("\n")
}

/// Collects the log lines that one file writes.
fn collect_lines(path: &Path, lines: &mut Vec<SourceLine>) {
    let source = without_comments(&std::fs::read_to_string(path).expect("a source file"));
    let name = path
        .strip_prefix(env!("CARGO_MANIFEST_DIR"))
        .expect("a file of this package");
    let place = |at: usize| format!("{}:{}", name.display(), source[..at].lines().count());
    for level in ["error", "warn", "info", "debug", "trace"] {
        let call = format!("log::{level}!(");
        for (at, _) in source.match_indices(&call) {
            let arguments = source[at + call.len()..].trim_start();
            let literal = string_literal(arguments).map(|(text, _)| text);
            lines.push(SourceLine {
                place: place(at),
                level: level.to_uppercase(),
                text: literal.unwrap_or_else(|| "no literal".into()),
            });
        }
    }
    for level in QUOTED_LEVELS {
        for (at, _) in source.match_indices(&format!("\"{level} ")) {
            let Some((text, _)) = string_literal(&source[at..]) else {
                continue;
            };
            let text = text[level.len() + 1..].trim_end().to_string();
            if is_placeholder(&text) {
                continue; // A line that is forwarded: its text is found where it is composed.
            }
            lines.push(SourceLine {
                place: place(at),
                level: level.into(),
                text,
            });
        }
    }
}

/// Returns the log lines of all source files of the program.
pub(crate) fn source_lines() -> Vec<SourceLine> {
    let mut files = vec![];
    source_files(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut files,
    );
    let mut lines = vec![];
    files
        .iter()
        .for_each(|file| collect_lines(file, &mut lines));
    lines
}

/// Reports whether the text is a single `{...}`.
fn is_placeholder(text: &str) -> bool {
    let inner = text
        .strip_prefix('{')
        .and_then(|rest| rest.strip_suffix('}'));
    inner.is_some_and(|inner| !inner.contains(['{', '}']))
}

/// Reports whether a line only adds a component to an event of the fleet's crates.
pub(crate) fn is_forwarded_event(text: &str) -> bool {
    let line = text.split_once(": ");
    line.is_some_and(|(component, event)| {
        EVENT_COMPONENTS.contains(&component) && is_placeholder(event)
    })
}
