//! Compares the log lines of the program with the operators' pages: each line has the shape
//! `component: event, key=value, key=value`, `docs/on-call.md` has each line of level `info` and above, and each line
//! that the pages quote is one that the program writes.
//!
//! Lines are compared with `...` in place of each value. The lines of the program's source are found as the literals of
//! the `log` macros and as literals that begin with a level. The lines of the fleet's events are made from the events.

mod events;
mod pages;
mod shape;
mod source;

use events::events;
use pages::{on_call_lines, operator_page_quotes};
use shape::{has_shape, is_quote_of, normalised};
use source::{SourceLine, is_forwarded_event, source_lines};
use std::collections::BTreeSet;

/// Levels whose lines the on-call page has to quote.
const QUOTED_LEVELS: [&str; 3] = ["ERROR", "WARN", "INFO"];
/// Components whose lines are events of the fleet's crates.
const EVENT_COMPONENTS: [&str; 4] = ["membership", "quota", "upstream", "concurrency"];

#[track_caller]
fn assert_none(wrong: &[String], what: &str) {
    assert!(
        wrong.is_empty(),
        "{} {what}:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
}

#[test]
fn source_lines_have_the_shape() {
    let is_value = |value: &str| value.starts_with('{') && value.ends_with('}');
    let lines = source_lines();
    assert!(
        lines.len() > 20,
        "only {} lines found in the sources",
        lines.len()
    );
    let wrong: Vec<String> = lines
        .iter()
        .filter(|line| !is_forwarded_event(&line.text) && !has_shape(&line.text, is_value))
        .map(|line| format!("{}: {} {}", line.place, line.level, line.text))
        .collect();
    assert_none(&wrong, "lines are not `component: event, key={value}`");
}

#[test]
fn event_lines_have_the_shape() {
    let is_value = |value: &str| !value.is_empty() && !value.contains(' ');
    let is_wrong = |line: &String| !has_shape(line, is_value);
    let wrong: Vec<String> = events().into_iter().filter(is_wrong).collect();
    assert_none(&wrong, "events are not `component: event, key=value`");
}

#[test]
fn on_call_page_has_each_line() {
    let page: BTreeSet<String> = on_call_lines()
        .iter()
        .map(|line| normalised(line))
        .collect();
    let is_due = |line: &&SourceLine| {
        QUOTED_LEVELS.contains(&line.level.as_str()) && !is_forwarded_event(&line.text)
    };
    let missing: Vec<String> = source_lines()
        .iter()
        .filter(is_due)
        .filter(|line| !page.contains(&normalised(&format!("{} {}", line.level, line.text))))
        .map(|line| format!("{}: {} {}", line.place, line.level, line.text))
        .collect();
    assert_none(&missing, "lines are not on docs/on-call.md");
}

#[test]
fn on_call_page_quotes_only_lines_of_the_program() {
    let mut lines: Vec<String> = source_lines()
        .iter()
        .map(|line| format!("{} {}", line.level, line.text))
        .collect();
    lines.extend(events().iter().map(|event| format!("INFO {event}")));
    let is_unknown = |quoted: &String| !lines.iter().any(|line| is_quote_of(quoted, line));
    let unknown: Vec<String> = on_call_lines().into_iter().filter(is_unknown).collect();
    assert_none(&unknown, "lines of docs/on-call.md are not in the program");
}

#[test]
fn operators_pages_have_each_event() {
    let texts = operator_page_quotes();
    let mut missing = vec![];
    for event in events() {
        if !texts.iter().any(|quoted| is_quote_of(quoted, &event)) {
            missing.push(event.clone());
        }
        let is_cause = |part: &&str| part.starts_with("cause=") || part.starts_with("reason=");
        for cause in event.split(", ").filter(is_cause) {
            if !texts
                .iter()
                .any(|quoted| quoted.split(", ").any(|part| part == cause))
            {
                missing.push(format!("{cause} of {event}"));
            }
        }
    }
    assert_none(&missing, "events or causes are not on docs/operators");
}

#[test]
fn operators_pages_quote_only_events_of_the_program() {
    let mut lines = events();
    lines.extend(source_lines().into_iter().map(|line| line.text));
    let is_event = |text: &String| {
        let component = text.split_once(": ").map_or("", |(component, _)| component);
        EVENT_COMPONENTS.contains(&component)
    };
    let is_unknown = |quoted: &String| !lines.iter().any(|line| is_quote_of(quoted, line));
    let unknown: Vec<String> = operator_page_quotes()
        .into_iter()
        .filter(|text| is_event(text) && is_unknown(text))
        .collect();
    assert_none(&unknown, "lines of docs/operators are not in the program");
}

#[test]
fn detects_malformed_lines() {
    let is_value = |value: &str| value.starts_with('{') && value.ends_with('}');
    for line in [
        "engine: unreachable, error={e}",
        "listener: closed",
        "log: lines dropped, count={}",
    ] {
        assert!(has_shape(line, is_value), "{line}");
    }
    for line in [
        "listening no more",
        "engine: can't be reached: {e}",
        "Engine: unreachable",
        "engine: unreachable, {e}",
        "engine: unreachable, error=",
        "engine: {what} failed",
        "engine: up {how} {} ms ago",
    ] {
        assert!(!has_shape(line, is_value), "{line}");
    }
    assert!(is_quote_of(
        "INFO a: member ..., name=n3",
        "INFO a: member down, name={name}"
    ));
    assert!(!is_quote_of(
        "INFO a: member ..., name=n3",
        "INFO a: member down, from={from}"
    ));
    assert!(!is_quote_of(
        "INFO a: member ...",
        "INFO a: member down, name={name}"
    ));
}
