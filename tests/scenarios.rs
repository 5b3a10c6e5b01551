//! Plays every file in `tests/scenarios`; `scenario_runner` documents their syntax.

mod scenario_runner;

use scenario_runner::{Problem, ScriptError, play};

#[test]
fn every_scenario_file_gives_the_expected_actions() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the scenario directory is readable")
        .map(|f| f.expect("a file").path())
        .collect();
    files.sort();
    assert!(!files.is_empty());
    let mut failures = vec![];
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a text file");
        let name = file.file_name().expect("a name").to_string_lossy();
        match play(&name, &text) {
            Ok(mut failed_checks) => failures.append(&mut failed_checks),
            Err(error) => failures.push(error.to_string()),
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Returns a scenario of three valid lines and the given fourth line.
fn with_last_line(last: &str) -> String {
    format!("machine cores=1\nhandler search objective=1s\n0ms request 1 search\n{last}\n")
}

/// Asserts that each line, as the last of an otherwise valid file, is reported with file, line, word and problem.
fn assert_reported(cases: &[(&str, &str, Problem)]) {
    for (line, word, problem) in cases {
        let expected = ScriptError {
            file: "wrong.txt".to_string(),
            line: 4,
            word: (*word).to_string(),
            problem: *problem,
        };
        let reported = play("wrong.txt", &with_last_line(line));
        assert_eq!(reported, Err(expected), "{line}");
    }
}

#[test]
fn wrong_event_is_reported_with_file_line_and_word() {
    assert_reported(&[
        ("100ms arrive 2", "arrive", Problem::UnknownEvent),
        (
            "100ms request 2 search slowly",
            "slowly",
            Problem::UnknownWord,
        ),
        (
            "100ms request 2 search client=1 client=2",
            "client=2",
            Problem::UnknownWord,
        ),
        ("100ms request 2 book", "book", Problem::UnknownHandler),
        (
            "100ms ceiling search,book runs=1",
            "search,book",
            Problem::UnknownHandler,
        ),
        (
            "100ms call_finished 1 lost 5ms",
            "lost",
            Problem::UnknownValue,
        ),
        ("100ms wait ; +10ms lost 1", "lost", Problem::UnknownEvent),
    ]);
}

#[test]
fn wrong_number_or_time_is_reported_with_file_line_and_word() {
    assert_reported(&[
        ("100ms request two search", "two", Problem::NotANumber),
        (
            "100ms request 2 search tenant=a",
            "tenant=a",
            Problem::NotANumber,
        ),
        ("100 wait", "100", Problem::NotADuration),
        ("100min wait", "100min", Problem::NotADuration),
        (
            "100ms request 2 search timeout=-1s",
            "timeout=-1s",
            Problem::NotADuration,
        ),
        ("100ms x20 request 2 search", "x20", Problem::NotARepetition),
        (
            "100ms x20/often request 2 search",
            "x20/often",
            Problem::NotARepetition,
        ),
    ]);
}

#[test]
fn missing_word_is_reported_with_file_line_and_preceding_word() {
    assert_reported(&[
        ("100ms", "100ms", Problem::Missing("event")),
        ("100ms request", "request", Problem::Missing("identifier")),
        ("100ms request 2", "2", Problem::Missing("handler")),
        ("100ms completed 1", "1", Problem::Missing("duration")),
        (
            "100ms run_queue",
            "run_queue",
            Problem::Missing("number of runs"),
        ),
        ("= start", "start", Problem::Missing("range")),
        ("~ budget <", "<", Problem::Missing("bound")),
    ]);
}

#[test]
fn wrong_check_is_reported_with_file_line_and_word() {
    assert_reported(&[
        ("> begin 1", "begin", Problem::UnknownAction),
        ("= start 1 some", "some", Problem::NotARange),
        ("= start 1..", "1..", Problem::NotARange),
        ("~ latency < 1", "latency", Problem::UnknownStatus),
        ("~ budget = 1", "=", Problem::NotAComparison),
        ("~ budget < much", "much", Problem::NotANumber),
    ]);
}

#[test]
fn wrong_set_up_is_reported_with_file_line_and_word() {
    assert_reported(&[("handler book", "handler", Problem::LateSetup)]);
    let cases = [
        ("servers 3", "servers", Problem::UnknownLine),
        ("machine cores=two", "cores=two", Problem::NotANumber),
        (
            "machine cancellation=never",
            "cancellation=never",
            Problem::UnknownValue,
        ),
        ("handler", "handler", Problem::Missing("handler's name")),
        (
            "handler search objective=1",
            "objective=1",
            Problem::NotADuration,
        ),
        ("upstream", "upstream", Problem::Missing("kind of upstream")),
        ("upstream below", "below", Problem::UnknownValue),
        ("clients unmarked", "unmarked", Problem::UnknownWord),
        ("> start 1", ">", Problem::EarlyCheck),
    ];
    for (line, word, problem) in cases {
        let reported = play("wrong.txt", &format!("# a comment\n{line}\n"));
        let error = reported.expect_err(line);
        assert_eq!(
            (error.line, error.word.as_str(), error.problem),
            (2, word, problem),
            "{line}"
        );
        let prefix = format!("wrong.txt:2: '{word}': ");
        assert!(error.to_string().starts_with(&prefix), "{error}");
    }
}

#[test]
fn failed_check_is_reported_with_file_line_and_actions() {
    let failures = play("failing.txt", &with_last_line("! start 1")).expect("a sound file");
    assert_eq!(failures.len(), 1);
    let prefix = "failing.txt:4: ! start 1  actions [";
    assert!(failures[0].starts_with(prefix), "{}", failures[0]);
    assert!(failures[0].contains("\"start 1\""), "{}", failures[0]);
}
