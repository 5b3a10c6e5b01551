//! The script `.ci/tests`, which skips the tests that `KNOWN-RED.txt` lists, run with a stub of `cargo`.

mod repository;

use repository::{
    LIST_TESTS_CALL, Repository, ScriptRun, TWO_ENTRIES, TWO_TESTS, run_to_completion,
};
use std::fs;
use std::process::Command;

/// Asserts that the script rejects a line of the list with one error line, before any test is run.
fn assert_rejects(list: &str, expected: &str) {
    let run = Repository::with_list(list).run();
    assert!(!run.succeeded, "accepts {list:?}");
    assert!(
        run.stderr.starts_with(expected) && run.stderr.lines().count() == 1,
        "{list:?}: {} instead of {expected}",
        run.stderr
    );
    assert_eq!(run.stdout, "");
    let ran_tests = run.calls.iter().any(|call| call != LIST_TESTS_CALL);
    assert!(!ran_tests, "{list:?}: {:?}", run.calls);
}

#[test]
fn runs_all_tests_without_list() {
    Repository::new().run().assert_ran_all_tests();
}

#[test]
fn runs_all_tests_when_list_has_no_entry() {
    for list in ["", "\n", "# TEST | COMMAND | SEEN | ISSUE\n\n  \t\n#\n"] {
        Repository::with_list(list).run().assert_ran_all_tests();
    }
}

#[test]
fn fails_without_list_when_test_fails() {
    let run = Repository::new()
        .with_failing_tests("shutdown::drains\n")
        .run();
    assert!(!run.succeeded);
    assert_eq!(run.calls, ["[test][--workspace]"]);
}

#[test]
fn skips_exactly_listed_tests() {
    let run = Repository::with_list(TWO_ENTRIES)
        .with_failing_tests(TWO_TESTS)
        .run();
    assert!(run.succeeded, "{}", run.stderr);
    let expected_calls = [
        LIST_TESTS_CALL,
        "[test][--workspace][--][--exact][--skip][budget::holds][--skip][shutdown::drains]",
        "[test][--workspace][--quiet][--][--exact][budget::holds]",
        "[test][--workspace][--quiet][--][--exact][shutdown::drains]",
    ];
    assert_eq!(run.calls, expected_calls);
}

#[test]
fn reports_listed_test() {
    let run = Repository::with_list(TWO_ENTRIES)
        .with_failing_tests(TWO_TESTS)
        .run();
    assert!(run.succeeded, "{}", run.stderr);
    let expected = "\nKNOWN RED: budget::holds fails\n  command and seed: cargo test -p x -- --seed 7, twice\n  \
        what was seen: 5 calls, not 4\n  issue: #12\n\nKNOWN RED: shutdown::drains fails\n  \
        command and seed: SEED=3 make test\n  what was seen: hung\n  issue: #13\n";
    assert_eq!(run.stdout, expected);
}

/// Rustdoc splits a skipped name at its spaces and would then skip every documentation test.
#[test]
fn rejects_documentation_test() {
    for name in [
        "src/lib.rs - limits (line 12)",
        "budget::holds ",
        "budget:: holds",
    ] {
        let list = format!("startup::binds | c | s | #1\n{name} | c | s | #2\n");
        let expected = format!("KNOWN-RED.txt:2: '{name}' has a space, which only a documentation");
        assert_rejects(&list, &expected);
    }
}

#[test]
fn reads_last_line_without_newline() {
    let list = "budget::holds | c | s | #1\nstartup::binds | c | s | #2";
    let run = Repository::with_list(list).run();
    assert!(run.succeeded, "{}", run.stderr);
    assert!(run.calls[1].ends_with("[--skip][startup::binds]"));
}

#[test]
fn accepts_any_number_of_entries() {
    let names = [
        "budget::holds",
        "budget::holds_after_crash",
        "shutdown::drains",
        "startup::binds",
    ];
    let list: String = names.map(|name| format!("{name} | c | s | #1\n")).concat();
    let run = Repository::with_list(&list)
        .with_failing_tests(&names.join("\n"))
        .run();
    assert!(run.succeeded, "{}", run.stderr);
    assert_eq!(run.stdout.matches("KNOWN RED:").count(), names.len());
}

#[test]
fn rejects_line_without_four_fields() {
    for (line, fields) in [
        ("budget::holds", 1),
        ("budget::holds, cause, issue", 1),
        ("budget::holds|c|s|#1", 1),
        ("budget::holds | c", 2),
        ("budget::holds | c | s", 3),
        ("budget::holds | c | s |", 3),
        ("budget::holds | c | s | #1 | more", 5),
        ("budget::holds | a | b | s | #1", 5),
    ] {
        let expected = format!("KNOWN-RED.txt:2: '{line}' has {fields} fields: not the four");
        assert_rejects(&format!("# list\n{line}\n"), &expected);
    }
}

#[test]
fn rejects_line_with_empty_field() {
    for line in [
        " | c | s | #1",
        "budget::holds |  | s | #1",
        "budget::holds |   | s | #1",
        "budget::holds | c |  | #1",
        "budget::holds | c | s | ",
        "budget::holds | c | s | \t",
    ] {
        let expected = format!("KNOWN-RED.txt:1: '{line}' has an empty field: not the four");
        assert_rejects(&format!("{line}\n"), &expected);
    }
}

#[test]
fn rejects_invalid_line_after_valid_ones() {
    let list = "budget::holds | c | s | #1\n\nstartup::binds | c | s\n";
    assert_rejects(
        list,
        "KNOWN-RED.txt:3: 'startup::binds | c | s' has 3 fields",
    );
}

#[test]
fn rejects_name_that_matches_no_single_test() {
    for (name, tests) in [
        ("budget::unknown", 0),
        ("budget", 0),
        ("holds", 0),
        ("budget::hold.", 0),
        ("benches::not_a_test", 0),
        ("every_script", 2),
    ] {
        let list = format!("startup::binds | c | s | #1\n{name} | c | s | #2\n");
        let expected =
            format!("KNOWN-RED.txt:2: '{name}' is the name of {tests} tests, not of one");
        assert_rejects(&list, &expected);
    }
}

#[test]
fn rejects_test_that_is_listed_twice() {
    let list = "startup::binds | c | s | #1\nstartup::binds | d | t | #2\n";
    assert_rejects(list, "KNOWN-RED.txt:1: 'startup::binds' is listed 2 times");
}

#[test]
fn fails_when_tests_cannot_be_listed() {
    let repository = Repository::with_list("budget::holds | c | s | #1\n");
    repository.write("bin/broken", "");
    let run = repository.run();
    assert!(!run.succeeded);
    assert_eq!(run.calls, [LIST_TESTS_CALL]);
}

#[test]
fn reports_listed_test_that_passes() {
    let list = "budget::holds | c | s | #1\nstartup::binds | c | s | #2\n";
    let run = Repository::with_list(list)
        .with_failing_tests("startup::binds\n")
        .run();
    assert!(run.succeeded, "{}", run.stderr);
    let passes = "KNOWN RED: budget::holds passes: take it off KNOWN-RED.txt\n";
    assert!(run.stdout.contains(passes), "{}", run.stdout);
    assert!(run.stdout.contains("KNOWN RED: startup::binds fails\n"));
}

#[test]
fn reports_listed_test_that_was_not_run() {
    let repository = Repository::with_list("budget::holds | c | s | #1\n");
    repository.write("bin/ignored", "budget::holds\n");
    let run = repository.run();
    assert!(run.succeeded, "{}", run.stderr);
    let not_run = "KNOWN RED: budget::holds was not run\n";
    assert!(run.stdout.contains(not_run), "{}", run.stdout);
}

/// The script fails if a test that is not listed fails, even if its name begins with that of a listed test. The verdict
/// on the listed test is printed nevertheless.
#[test]
fn fails_when_unlisted_test_fails() {
    let failing = "budget::holds\nbudget::holds_after_crash\n";
    let run = Repository::with_list("budget::holds | c | s | #1\n")
        .with_failing_tests(failing)
        .run();
    assert!(!run.succeeded);
    assert!(run.stdout.contains("KNOWN RED: budget::holds fails\n"));
}

/// Source of a library on which the script is run with the real cargo: a test that fails, a test whose name contains
/// the name of the former, a test whose name is contained in it, and a documentation test.
const REAL_LIBRARY: &str = "//! A library.\n//! ```\n//! assert_eq!(1 + 1, 2);\n//! ```\n\
    #[test]\nfn holds() {\n    panic!();\n}\n#[test]\nfn holds_after_crash() {}\n#[test]\nfn hold() {}\n";

/// Runs the script on [`REAL_LIBRARY`] with the real cargo.
fn run_with_cargo(list: &str) -> ScriptRun {
    let repository = Repository::with_list(list);
    fs::remove_file(repository.root.join("bin/cargo")).expect("no stub");
    let manifest = "[workspace]\n[package]\nname = \"listed\"\nedition = \"2024\"\n";
    repository.write("Cargo.toml", manifest);
    fs::create_dir(repository.root.join("src")).expect("a directory");
    repository.write("src/lib.rs", REAL_LIBRARY);
    let output = run_to_completion(
        Command::new(repository.root.join(".ci/tests"))
            .env("CARGO_TARGET_DIR", repository.root.join("target"))
            .env("CARGO_NET_OFFLINE", "true"),
    );
    ScriptRun::new(&output, &repository.root)
}

#[test]
fn cargo_skips_only_listed_test() {
    let run = run_with_cargo("holds | cargo test holds | panics | #1\n");
    assert!(run.succeeded, "{}{}", run.stdout, run.stderr);
    for expected in [
        "test hold ... ok\n",
        "test holds_after_crash ... ok\n",
        "test result: ok. 2 passed; 0 failed; 0 ignored; 0 measured; 1 filtered out;",
        "test src/lib.rs - (line 2) ... ok\n",
        "KNOWN RED: holds fails\n",
    ] {
        assert!(run.stdout.contains(expected), "{expected}: {}", run.stdout);
    }
    assert!(!run.stdout.contains("test holds ..."), "{}", run.stdout);
}

#[test]
fn cargo_fails_when_unlisted_test_fails() {
    let run = run_with_cargo("hold | cargo test hold | panics | #1\n");
    assert!(!run.succeeded);
    assert!(run.stdout.contains("test holds ... FAILED\n"));
    let passes = "KNOWN RED: hold passes: take it off KNOWN-RED.txt\n";
    assert!(run.stdout.contains(passes), "{}", run.stdout);
}

/// Returns the names of the tests that this test program lists with these arguments.
fn list_own_tests(arguments: &[&str]) -> Vec<String> {
    let program = std::env::current_exe().expect("this program");
    let output = run_to_completion(Command::new(program).arg("--list").args(arguments));
    let text = String::from_utf8(output.stdout).expect("valid UTF-8");
    let names = text.lines().filter_map(|line| line.strip_suffix(": test"));
    names.map(String::from).collect()
}

/// The script relies on this: with `--exact`, a test program skips exactly the given names and runs all other tests.
#[test]
fn exact_skip_excludes_only_listed_test() {
    let all = list_own_tests(&[]);
    let listed = "reports_listed_test";
    let containing = all.iter().filter(|name| name.contains(listed)).count();
    assert_eq!(containing, 3, "other names contain it: {all:?}");
    let mut rest = all.clone();
    rest.retain(|name| name != listed);
    assert_eq!(list_own_tests(&["--exact", "--skip", listed]), rest);
    assert_eq!(list_own_tests(&["--exact", listed]), [listed]);
}
