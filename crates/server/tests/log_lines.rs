//! Holds the lines of the log and the operators' pages together: each line has the shape
//! `component: event, key=value, key=value`, `docs/on-call.md` has each line from `info` up, and each line that the
//! pages quote is one that the program writes.
//!
//! Lines are compared with `...` in place of each value. Lines of the source are found as the literals of the `log`
//! macros and as literals that begin with a level; those of the fleet's events come from the events themselves.

use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::{AdjustmentCause, LimitChange};
use madderbay_membership::{
    ChangeReason, Connectivity, ConnectivityEvidence, ConnectivityStatus, MemberState,
    MembershipEvent,
};
use madderbay_quota::{BudgetEvent, ChangeCause};
use madderbay_upstream::{BackendEvent, OutlierEvidence, State};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Levels whose lines the page has to quote.
const QUOTED_LEVELS: [&str; 3] = ["ERROR", "WARN", "INFO"];
/// Components whose lines are events of the fleet's crates.
const EVENT_COMPONENTS: [&str; 4] = ["membership", "quota", "upstream", "concurrency"];
/// What stands for a value.
const ANY: &str = "...";

/// A line with its level, as it stands in the source.
struct SourceLine {
    place: String,
    level: String,
    text: String,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The files of the program in a directory and those below it, without its tests.
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

/// The string literal that `source` begins with, its escapes resolved, and its length; nothing if there is none.
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

/// The source without the text of comments, which may quote lines.
fn without_comments(source: &str) -> String {
    let is_comment = |line: &&str| line.trim_start().starts_with("//");
    let blank_if_comment = |line| if is_comment(&line) { "" } else { line };
    let lines: Vec<&str> = source.lines().map(blank_if_comment).collect();
    lines.join("\n")
}

/// The lines that one file writes.
fn lines_of(path: &Path, lines: &mut Vec<SourceLine>) {
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
                continue; // A line that is passed on: its text is found where it is made.
            }
            lines.push(SourceLine {
                place: place(at),
                level: level.into(),
                text,
            });
        }
    }
}

fn source_lines() -> Vec<SourceLine> {
    let mut files = vec![];
    source_files(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut files,
    );
    let mut lines = vec![];
    files.iter().for_each(|file| lines_of(file, &mut lines));
    lines
}

/// Whether the text is one `{...}`.
fn is_placeholder(text: &str) -> bool {
    let inner = text
        .strip_prefix('{')
        .and_then(|rest| rest.strip_suffix('}'));
    inner.is_some_and(|inner| !inner.contains(['{', '}']))
}

/// Whether a line only puts a component before an event of the fleet's crates.
fn passes_event_on(text: &str) -> bool {
    let line = text.split_once(": ");
    line.is_some_and(|(component, event)| {
        EVENT_COMPONENTS.contains(&component) && is_placeholder(event)
    })
}

fn is_word(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    text.starts_with(|c: char| c.is_ascii_lowercase()) && text.chars().all(is_allowed)
}

fn is_key(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_lowercase() || c == '_')
}

/// Whether the text is `component: event, key=value, key=value`, each value accepted by `is_value`.
fn has_shape(text: &str, is_value: impl Fn(&str) -> bool) -> bool {
    let Some((component, rest)) = text.split_once(": ") else {
        return false;
    };
    let mut parts = rest.split(", ");
    let event = parts.next().unwrap_or_default();
    let is_pair = |pair: &str| {
        let pair = pair.split_once('=');
        pair.is_some_and(|(key, value)| is_key(key) && is_value(value))
    };
    is_word(component) && event.split(' ').all(is_word) && parts.all(is_pair)
}

/// The line with `...` in place of each value.
fn normalised(line: &str) -> String {
    let without_value = |part: &str| match part.split_once('=') {
        Some((key, _)) if is_key(key) => format!("{key}={ANY}"),
        _ => part.to_string(),
    };
    let parts: Vec<String> = line.split(", ").map(without_value).collect();
    parts.join(", ")
}

/// Whether a line of a page is this line: its values don't count, and `...` in its event stands for any word.
fn quotes(quoted: &str, line: &str) -> bool {
    let (quoted, line) = (normalised(quoted), normalised(line));
    let (quoted, line): (Vec<_>, Vec<_>) = (quoted.split(' ').collect(), line.split(' ').collect());
    let is_same = |(quoted, word): (&&str, &&str)| {
        quoted == word
            || quoted.trim_end_matches(',') == ANY && quoted.ends_with(',') == word.ends_with(',')
    };
    quoted.len() == line.len() && quoted.iter().zip(&line).all(is_same)
}

/// The texts between backticks on a page.
fn quoted_texts(page: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(page).expect("a page");
    let mut quoted = vec![];
    for line in text.lines().filter(|line| !line.starts_with("    ")) {
        quoted.extend(line.split('`').skip(1).step_by(2).map(str::to_string));
    }
    quoted
}

/// The lines on the on-call page, each with its level.
fn lines_on_call() -> BTreeSet<String> {
    let has_level = |text: &String| {
        let level = text.split_once(' ').map_or("", |(level, _)| level);
        QUOTED_LEVELS.contains(&level) || level == "DEBUG"
    };
    let page = root().join("docs/on-call.md");
    quoted_texts(&page).into_iter().filter(has_level).collect()
}

/// All that the operators' pages quote.
fn operators_texts() -> BTreeSet<String> {
    let pages = std::fs::read_dir(root().join("docs/operators")).expect("the pages");
    pages
        .flat_map(|page| quoted_texts(&page.expect("a page").path()))
        .collect()
}

fn membership_events() -> Vec<String> {
    let address: SocketAddr = ([10, 0, 0, 9], 7_946).into();
    let since_received = Some(Duration::from_millis(1_500));
    let changed = |from, to, reason| MembershipEvent::StateChanged {
        name: "n3".into(),
        address,
        from: Some(from),
        to,
        reason,
    };
    let connectivity = |level| MembershipEvent::ConnectivityChanged {
        status: ConnectivityStatus {
            level,
            since: Timestamp::default(),
            evidence: ConnectivityEvidence::default(),
        },
        at: Timestamp::default(),
    };
    use MemberState::{Alive, Down, Draining, Joining, Suspect};
    let events = [
        changed(Joining, Joining, ChangeReason::Discovered),
        changed(Alive, Suspect, ChangeReason::ProbeFailed { since_received }),
        changed(
            Suspect,
            Down,
            ChangeReason::SuspicionExpired { since_received },
        ),
        changed(Alive, Draining, ChangeReason::Announced),
        changed(Suspect, Alive, ChangeReason::Refuted),
        changed(Down, Alive, ChangeReason::Recovered),
        changed(Alive, Alive, ChangeReason::Restarted { from: 5, to: 9 }),
        connectivity(Connectivity::Complete),
        connectivity(Connectivity::Partial),
        connectivity(Connectivity::Isolated),
        MembershipEvent::Paused {
            duration: Duration::from_millis(250),
        },
        MembershipEvent::IncarnationSuperseded { incarnation: 7 },
        MembershipEvent::IdentityRenewed { revision: 3 },
        MembershipEvent::NameConflict { address },
        MembershipEvent::NameRegained,
    ];
    events
        .iter()
        .map(|event| format!("membership: {event}"))
        .collect()
}

fn quota_events() -> Vec<String> {
    let causes = [
        ChangeCause::Leased,
        ChangeCause::Granted,
        ChangeCause::Returned,
        ChangeCause::Expired,
        ChangeCause::StartupWaitOver,
        ChangeCause::Reconfigured,
    ];
    let event = |cause| BudgetEvent {
        budget: "trip-book".into(),
        usable_before: 5,
        usable_after: 9,
        cause,
        granted: 0,
        leased: 4,
    };
    causes
        .iter()
        .map(|cause| format!("quota: {}", event(*cause)))
        .collect()
}

fn upstream_events() -> Vec<String> {
    let ejected = |witnesses, overdue, slowdown| BackendEvent::Ejected {
        name: "b".into(),
        evidence: OutlierEvidence {
            successes: 0.4,
            failures: 3.0,
            overdue,
            slowdown,
            reported_failures: 1.2,
            reporting_zones: 1,
            witnesses,
        },
        ejection_time: Duration::from_millis(2_140),
    };
    let changed = |from, to| BackendEvent::StateChanged {
        name: "b".into(),
        from,
        to,
    };
    let panic_mode = |active| BackendEvent::PanicModeChanged {
        name: "b".into(),
        active,
        outliers: 6,
        backends: 10,
    };
    let configured = |present| BackendEvent::ConfigurationChanged {
        name: "b".into(),
        present,
    };
    let events = [
        ejected(5, 0, None),
        ejected(0, 0, None),
        ejected(5, 2, None),
        ejected(5, 0, Some(6.0)),
        changed(State::Ejected, State::Probing),
        changed(State::Probing, State::Ejected),
        changed(State::Probing, State::SlowStart),
        changed(State::SlowStart, State::Active),
        panic_mode(true),
        panic_mode(false),
        configured(true),
        configured(false),
    ];
    events
        .iter()
        .map(|event| format!("upstream: {event}"))
        .collect()
}

fn concurrency_events() -> Vec<String> {
    let changes = [
        (12.0, 7.2, AdjustmentCause::Queueing),
        (7.2, 12.0, AdjustmentCause::ProbeReverted),
        (7.2, 8.0, AdjustmentCause::Demand),
        (8.0, 4.0, AdjustmentCause::Failures),
        (8.0, 4.0, AdjustmentCause::Silence),
        (4.0, 0.0, AdjustmentCause::CircuitOpened),
        (0.0, 1.0, AdjustmentCause::CircuitHalfOpen),
    ];
    let line = |(from, to, cause)| format!("concurrency: {}", LimitChange { from, to, cause });
    changes.into_iter().map(line).collect()
}

fn events() -> Vec<String> {
    [
        membership_events(),
        quota_events(),
        upstream_events(),
        concurrency_events(),
    ]
    .concat()
}

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
        .filter(|line| !passes_event_on(&line.text) && !has_shape(&line.text, is_value))
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
    let page: BTreeSet<String> = lines_on_call()
        .iter()
        .map(|line| normalised(line))
        .collect();
    let is_due = |line: &&SourceLine| {
        QUOTED_LEVELS.contains(&line.level.as_str()) && !passes_event_on(&line.text)
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
    let is_unknown = |quoted: &String| !lines.iter().any(|line| quotes(quoted, line));
    let unknown: Vec<String> = lines_on_call().into_iter().filter(is_unknown).collect();
    assert_none(&unknown, "lines of docs/on-call.md are not in the program");
}

#[test]
fn operators_pages_have_each_event() {
    let texts = operators_texts();
    let mut missing = vec![];
    for event in events() {
        if !texts.iter().any(|quoted| quotes(quoted, &event)) {
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
    let is_unknown = |quoted: &String| !lines.iter().any(|line| quotes(quoted, line));
    let unknown: Vec<String> = operators_texts()
        .into_iter()
        .filter(|text| is_event(text) && is_unknown(text))
        .collect();
    assert_none(&unknown, "lines of docs/operators are not in the program");
}

#[test]
fn broken_shapes_are_found() {
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
    assert!(quotes(
        "INFO a: member ..., name=n3",
        "INFO a: member down, name={name}"
    ));
    assert!(!quotes(
        "INFO a: member ..., name=n3",
        "INFO a: member down, from={from}"
    ));
    assert!(!quotes(
        "INFO a: member ...",
        "INFO a: member down, name={name}"
    ));
}
