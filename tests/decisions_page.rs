//! The page of decisions names code that exists.

use std::fs;
use std::path::{Path, PathBuf};

/// The page, from the root of the repository.
const PAGE: &str = "docs/decisions.md";
/// Begins the line of a rule that says where it stands.
const WHERE: &str = "- Where: ";

/// A function that the page names, and its file.
struct NamedFunction<'a> {
    file: &'a str,
    function: &'a str,
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// The quoted words of a line, in order.
fn quoted(line: &str) -> Vec<&str> {
    line.split('`').skip(1).step_by(2).collect()
}

/// The functions of one line, each behind its file.
fn named_functions(line: &str) -> Vec<NamedFunction<'_>> {
    let words = quoted(line);
    assert!(!words.is_empty(), "no code is named: {line}");
    let pairs = words.chunks(2);
    pairs
        .map(|pair| {
            let [file, function] = pair else {
                panic!("a file without a function: {line}");
            };
            NamedFunction { file, function }
        })
        .collect()
}

fn defines(file: &Path, function: &str) -> bool {
    let Ok(text) = fs::read_to_string(file) else {
        return false;
    };
    let starts = [format!("fn {function}("), format!("fn {function}<")];
    starts.iter().any(|start| text.contains(start))
}

#[test]
fn every_function_of_the_page_of_decisions_exists() {
    let page = fs::read_to_string(root().join(PAGE)).expect("the page of decisions");
    let lines: Vec<&str> = page.lines().filter(|l| l.starts_with(WHERE)).collect();
    let missing: Vec<String> = lines
        .iter()
        .flat_map(|line| named_functions(line))
        .filter(|named| !defines(&root().join(named.file), named.function))
        .map(|named| format!("{}: {}", named.file, named.function))
        .collect();
    assert!(missing.is_empty(), "not found: {missing:#?}");
    let rules = page.lines().filter(|line| line.starts_with("### ")).count();
    assert_eq!(lines.len(), rules, "each rule says where it stands");
}

#[test]
fn every_file_that_decides_in_the_module_is_on_the_page() {
    let page = fs::read_to_string(root().join(PAGE)).expect("the page of decisions");
    let folder = fs::read_dir(root().join("src/decide")).expect("the decision module");
    let unnamed: Vec<String> = folder
        .map(|entry| entry.expect("a file").file_name())
        .map(|name| format!("src/decide/{}", name.to_string_lossy()))
        .filter(|file| !page.contains(file.as_str()))
        .collect();
    assert!(unnamed.is_empty(), "not on the page: {unnamed:?}");
}
