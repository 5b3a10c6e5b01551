//! The pages of decisions and of constants keep up with the code.

use std::fs;
use std::path::{Path, PathBuf};

/// The page, from the root of the repository.
const PAGE: &str = "docs/decisions.md";
/// Where each constant comes from.
const CONSTANTS_PAGE: &str = "docs/capacity.md";
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

/// The source files of the decision module, without tests.
fn module_files() -> Vec<PathBuf> {
    let folder = fs::read_dir(root().join("src/decide")).expect("the decision module");
    let files = folder.map(|entry| entry.expect("a file").path());
    let mut files: Vec<PathBuf> = files.filter(|path| path.is_file()).collect();
    files.extend([
        root().join("src/decide.rs"),
        root().join("src/estimators.rs"),
    ]);
    files
}

/// The names of the constants that a file defines.
fn constants(file: &Path) -> Vec<String> {
    let text = fs::read_to_string(file).expect("a source file");
    let definition = |line: &str| {
        let line = line.trim_start();
        let visibility = ["pub(super) ", "pub(crate) ", "pub "];
        let line = visibility
            .iter()
            .find_map(|v| line.strip_prefix(v))
            .unwrap_or(line);
        let (name, _) = line.strip_prefix("const ")?.split_once(':')?;
        Some(name.to_string())
    };
    text.lines().filter_map(definition).collect()
}

#[test]
fn every_constant_of_the_module_has_a_row() {
    let page = fs::read_to_string(root().join(CONSTANTS_PAGE)).expect("the page of constants");
    let files = module_files();
    let all: Vec<String> = files.iter().flat_map(|file| constants(file)).collect();
    assert!(all.len() > 60, "only {} constants were found", all.len());
    let missing: Vec<&String> = all
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert!(missing.is_empty(), "no row: {missing:?}");
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
