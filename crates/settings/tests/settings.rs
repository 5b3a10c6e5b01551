//! Reading valid settings, and the errors of invalid ones.

use madderbay::interface::{Cancellation, LoadReport, RetrySafety, UpstreamKind};
use madderbay_settings::{InvalidValue, Settings, SettingsError, read};

/// Settings with two handlers, one of them with idempotency keys, and an upstream that all servers
/// share.
const VALID: &str = r#"{"classes": [
 {"name": "look", "aim_us": 900000, "hard_limit_us": 2500000, "importance": 1.0, "effect": "read_like"},
 {"name": "sell", "aim_us": 1500000, "hard_limit_us": 3500000, "importance": 2.0, "effect": "idempotency_key",
  "repeat_window_us": 5000000}],
 "tenants": [{"name": "a", "allowance_per_s": 5.0}, {"name": "b", "allowance_per_s": 5.0}],
 "family_info": {"n_cores": 2, "memory_kb": 4000.0, "blowup": 9.0, "preemption": "freeze", "below": "one_for_all",
  "dep_share": 0.5, "class_calls": [true, true], "class_skip_worth": [0.3, 0.0], "say": "allowance", "upstreams": 3},
 "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
 "rules": {"tip_multiple": 7.0}, "servers": 3}"#;

fn read_modified(changes: &[(&str, &str)]) -> Result<Settings, SettingsError> {
    let mut text = VALID.to_string();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    read(text.as_bytes())
}

fn read_valid(changes: &[(&str, &str)]) -> Settings {
    read_modified(changes).unwrap_or_else(|error| panic!("{error}"))
}

/// Each case consists of a part of the valid settings, its replacement and the expected error
/// message.
fn assert_errors(cases: &[(&str, &str, &str)]) {
    for (from, to, expected) in cases {
        let error = read_modified(&[(from, to)]).err().map(|e| e.to_string());
        assert_eq!(error.as_deref(), Some(*expected), "{from} -> {to}");
    }
}

#[test]
fn reads_each_word_for_a_cancellation() {
    let words = [
        ("none", Cancellation::Unsupported),
        ("discard", Cancellation::Discards),
        ("freeze", Cancellation::Pauses),
    ];
    for (word, cancellation) in words {
        let settings = read_valid(&[("freeze", word)]);
        assert_eq!(settings.machine.cancellation, cancellation, "{word}");
    }
}

#[test]
fn reads_each_word_for_the_load_report() {
    let words = [
        ("none", LoadReport::Unused),
        ("floor", LoadReport::Floor),
        ("allowance", LoadReport::Allowance),
        ("weight", LoadReport::Weight),
    ];
    for (word, load_report) in words {
        let settings = read_valid(&[("\"allowance\"", &format!("\"{word}\""))]);
        assert_eq!(settings.downstream.load_report, load_report, "{word}");
    }
}

#[test]
fn reads_a_handler_that_must_not_be_retried() {
    let settings = read_valid(&[("idempotency_key", "non_idempotent")]);
    assert_eq!(
        settings.handlers[1].retry_safety,
        RetrySafety::NonIdempotent
    );
}

#[test]
fn reads_a_server_without_upstream() {
    let settings = read_valid(&[("one_for_all", "none"), ("[true, true]", "[false, false]")]);
    assert_eq!(settings.upstream.kind, UpstreamKind::None);
}

#[test]
fn reads_settings_without_tenants() {
    let tenants =
        r#"[{"name": "a", "allowance_per_s": 5.0}, {"name": "b", "allowance_per_s": 5.0}]"#;
    assert!(read_valid(&[(tenants, "[]")]).tenants.is_empty());
}

#[test]
fn ignores_unknown_keys_and_takes_defaults_for_absent_ones() {
    let settings = read_valid(&[(
        "\"upstreams\": 3",
        "\"upstreams\": 3, \"tells_gone\": false, \"new_key\": [1, {}]",
    )]);
    assert!(!settings.rules.requests_carry_timeout);
}

#[test]
fn rejects_unknown_words() {
    assert_errors(&[
        (
            "\"freeze\"",
            "\"melt\"",
            "settings: family_info.preemption is 'melt', which is not a known word",
        ),
        (
            "\"allowance\"",
            "\"sing\"",
            "settings: family_info.say is 'sing', which is not a known word",
        ),
        (
            "one_for_all",
            "two",
            "settings: family_info.below is 'two', which is not a known word",
        ),
        (
            "read_like",
            "odd",
            "settings: classes[0].effect is 'odd', which is not a known word",
        ),
    ]);
}

#[test]
fn rejects_lists_by_class_of_another_length_or_range() {
    assert_errors(&[
        (
            "[true, true]",
            "[true]",
            "settings: family_info.class_calls has 1 entries for 2 classes",
        ),
        (
            "[0.3, 0.0]",
            "[0.3, 0, 0]",
            "settings: family_info.class_skip_worth has 3 entries for 2 classes",
        ),
        (
            "[0.3, 0.0]",
            "[1.3, 0]",
            "settings: family_info.class_skip_worth[0] is not within 0 to 1",
        ),
    ]);
}

#[test]
fn rejects_names_that_occur_twice() {
    assert_errors(&[
        (
            "\"sell\"",
            "\"look\"",
            "settings: classes[1].name 'look' is already the name of another entry",
        ),
        (
            "\"b\"",
            "\"a\"",
            "settings: tenants[1].name 'a' is already the name of another entry",
        ),
    ]);
}

#[test]
fn rejects_keys_that_contradict_each_other() {
    assert_errors(&[
        (
            "one_for_all",
            "none",
            "settings: family_info.class_calls[0] is true, but family_info.below is none",
        ),
        (
            "\"repeat_window_us\": 5000000",
            "\"repeat_window_us\": 0",
            "settings: classes[1].repeat_window_us is 0, but its effect is idempotency_key",
        ),
        (
            "\"max_retry_after_us\": 1000000",
            "\"max_retry_after_us\": 0",
            "settings: permissions.max_retry_after_us is 0, but retry_after is true",
        ),
    ]);
}

#[test]
fn rejects_numbers_outside_of_their_range() {
    let cases = [
        (
            "\"n_cores\": 2",
            "\"n_cores\": 0",
            "family_info.n_cores is 0",
        ),
        (
            "\"memory_kb\": 4000.0",
            "\"memory_kb\": 0",
            "family_info.memory_kb is not above 0",
        ),
        (
            "\"blowup\": 9.0",
            "\"blowup\": 0.5",
            "family_info.blowup is under 1",
        ),
        (
            "\"dep_share\": 0.5",
            "\"dep_share\": -0.5",
            "family_info.dep_share is under 0",
        ),
        (
            "\"tip_multiple\": 7.0",
            "\"tip_multiple\": 7.0, \"cold_from\": 1.5",
            "rules.cold_from is not within 0 to 1",
        ),
        (
            "\"aim_us\": 1500000",
            "\"aim_us\": 0",
            "classes[1].aim_us is 0",
        ),
        (
            "\"importance\": 2.0",
            "\"importance\": -2.0",
            "classes[1].importance is under 0",
        ),
    ];
    for (from, to, expected) in cases {
        assert_errors(&[(from, to, &format!("settings: {expected}"))]);
    }
}

#[test]
fn reports_the_first_error_in_the_order_of_the_checks() {
    let error = read_modified(&[
        ("\"freeze\"", "\"melt\""),
        ("\"importance\": 2.0", "\"importance\": -2.0"),
        ("\"blowup\": 9.0", "\"blowup\": 0.5"),
    ]);
    let key = match error.err().expect("three errors") {
        SettingsError::Invalid { key, reason } => {
            assert!(matches!(reason, InvalidValue::OutOfRange(_)), "{reason:?}");
            key
        }
        other => panic!("{other}"),
    };
    assert_eq!(key, "family_info.blowup");
}

#[test]
fn reports_missing_keys_and_text_that_is_not_json() {
    let error = read_modified(&[("\"servers\": 3", "\"tier\": 0")]).err();
    let line = error.expect("a key is missing").to_string();
    assert!(
        line.starts_with("settings: missing field `servers`"),
        "{line}"
    );
    let error = read(b"no json").err().expect("no JSON");
    assert!(matches!(error, SettingsError::Json(_)), "{error}");
}
