//! The format of the file: sections, keys, and how errors are reported.

use crate::support::{error_lines, full_file, read_valid};
use madderbay_operator_config::{OperatorConfig, Problem, read};

#[test]
fn everything_is_off_without_sections() {
    assert_eq!(read_valid(""), OperatorConfig::default());
    assert_eq!(
        read_valid("; only\n# comments\n"),
        OperatorConfig::default()
    );
}

/// All errors are reported at once, each in one line that names its place.
#[test]
fn reports_all_errors_in_the_order_of_their_lines() {
    let text = "stray = 1\n[pools]\nenabled = yes\nlimit = fixed\n[pool a]\nhandlers = x, x\nweight = -1\n\
                [pool b]\nhandlers = x\nruns = 0\n[pool]\nhandlers =\n[reserve]\npart = 0.9\n[poools]\n";
    let expected = [
        "o.ini:1: stray: key outside of any section",
        "o.ini:3: [pools] enabled: 'yes' is not one of on, off",
        "o.ini:4: [pools] limit: no such key; known are enabled, limits",
        "o.ini:6: [pool a] handlers: 'x' is listed twice",
        "o.ini:7: [pool a] weight: '-1' is not a number from 0 to 1000000",
        "o.ini:9: [pool b] handlers: 'x' already belongs to pool a",
        "o.ini:10: [pool b] runs: '0' is not a number from 1 to 100000",
        "o.ini:11: [pool]: a pool must have a name: [pool NAME]",
        "o.ini:12: [pool] handlers: a pool must have at least one handler",
        "o.ini:14: [reserve] part: '0.9' is not a number from 0 to 0.5",
        "o.ini:15: [poools]: no such section",
    ];
    assert_eq!(error_lines(text), expected);
}

#[test]
fn an_error_has_its_place_and_problem() {
    let errors = read("o.ini", "[pools]\nenabled = yes\n").expect_err("one error");
    let [error] = &errors.iter().collect::<Vec<_>>()[..] else {
        panic!("{errors}");
    };
    let place = &error.place;
    assert_eq!((place.file.as_str(), place.line), ("o.ini", 2));
    assert_eq!(place.section.as_deref(), Some("pools"));
    assert_eq!(place.key.as_deref(), Some("enabled"));
    let expected = Problem::UnknownWord {
        text: "yes".into(),
        words: vec!["on", "off"],
    };
    assert_eq!(error.problem, expected);
    assert_eq!(errors.to_string(), errors.lines().join("\n"));
}

#[test]
fn rejects_repeated_keys_and_sections() {
    assert_eq!(
        error_lines("[pools]\nenabled = on\nenabled = off\n"),
        ["o.ini:3: [pools] enabled: is defined twice"]
    );
    let twice = "[pools]\n[pool a]\nhandlers = x\n[pool a]\nhandlers = y\n";
    assert_eq!(error_lines(twice), ["o.ini:4: [pool a]: is defined twice"]);
}

#[test]
fn rejects_a_name_on_a_section_that_takes_none() {
    assert_eq!(
        error_lines("[pools x]\n"),
        ["o.ini:1: [pools x]: takes no name"]
    );
}

#[test]
fn reports_text_that_is_not_ini_in_one_line() {
    assert_eq!(error_lines("[pools\nenabled = on\n").len(), 1);
}

/// Any text is either read or reported with one line for each error.
#[test]
fn reads_or_reports_every_prefix_of_a_file() {
    let text = full_file();
    for cut in 0..text.len() {
        if text.is_char_boundary(cut)
            && let Err(errors) = read("o.ini", &text[..cut])
        {
            let lines = errors.lines();
            assert!(
                lines
                    .iter()
                    .all(|l| l.starts_with("o.ini:") && !l.contains('\n')),
                "{lines:?}"
            );
        }
    }
}
