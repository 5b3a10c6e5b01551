//! Settings that are unlike, and what is told of those that can't be.

use madderbay::interface::{Cancellation, LoadReport, RetrySafety, UpstreamKind};
use madderbay_settings::{Settings, SettingsError, read};

/// Two handlers, one of them keyed, before something that all share.
const GOOD: &str = r#"{"classes": [
 {"name": "look", "aim_us": 900000, "hard_limit_us": 2500000, "importance": 1.0, "effect": "read_like"},
 {"name": "sell", "aim_us": 1500000, "hard_limit_us": 3500000, "importance": 2.0, "effect": "idempotency_key",
  "repeat_window_us": 5000000}],
 "tenants": [{"name": "a", "allowance_per_s": 5.0}, {"name": "b", "allowance_per_s": 5.0}],
 "family_info": {"n_cores": 2, "memory_kb": 4000.0, "blowup": 9.0, "preemption": "freeze", "below": "one_for_all",
  "dep_share": 0.5, "class_calls": [true, true], "class_skip_worth": [0.3, 0.0], "say": "allowance", "upstreams": 3},
 "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
 "rules": {"tip_multiple": 7.0}, "servers": 3}"#;

fn with(changes: &[(&str, &str)]) -> Result<Settings, SettingsError> {
    let mut text = GOOD.to_string();
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    read(text.as_bytes())
}

fn good(changes: &[(&str, &str)]) -> Settings {
    with(changes).unwrap_or_else(|what| panic!("{what}"))
}

#[test]
fn what_stops_do_and_what_callers_are_told_is_as_the_settings_say() {
    let stops = [
        ("none", Cancellation::Unsupported),
        ("discard", Cancellation::Discards),
        ("freeze", Cancellation::Pauses),
    ];
    for (word, stop) in stops {
        assert_eq!(
            good(&[("freeze", word)]).machine.cancellation,
            stop,
            "{word}"
        );
    }
    let says = [
        ("none", LoadReport::Unused),
        ("floor", LoadReport::Floor),
        ("allowance", LoadReport::Allowance),
        ("weight", LoadReport::Weight),
    ];
    for (word, free) in says {
        assert_eq!(
            good(&[("\"allowance\"", &format!("\"{word}\""))])
                .callers
                .load_report,
            free,
            "{word}"
        );
    }
    assert_eq!(
        good(&[("idempotency_key", "non_idempotent")]).handlers[1].retry_safety,
        RetrySafety::NonIdempotent
    );
    let bare = good(&[("one_for_all", "none"), ("[true, true]", "[false, false]")]);
    assert_eq!(bare.below.kind, UpstreamKind::None);
}

#[test]
fn a_site_may_have_no_tenants_and_no_word_of_callers_that_went() {
    let tenants =
        r#"[{"name": "a", "allowance_per_s": 5.0}, {"name": "b", "allowance_per_s": 5.0}]"#;
    assert!(good(&[(tenants, "[]")]).tenants.is_empty());
    let s = good(&[(
        "\"upstreams\": 3",
        "\"upstreams\": 3, \"tells_gone\": false, \"new_key\": [1, {}]",
    )]);
    assert!(!s.rules.requests_carry_timeout);
}

#[test]
fn what_is_unknown_or_contradicts_itself_is_told_by_its_key() {
    let wrong = [
        (
            "\"freeze\"",
            "\"melt\"",
            "settings: family_info.preemption is 'melt', which is none of those known",
        ),
        (
            "\"allowance\"",
            "\"sing\"",
            "settings: family_info.say is 'sing', which is none of those known",
        ),
        (
            "one_for_all",
            "two",
            "settings: family_info.below is 'two', which is none of those known",
        ),
        (
            "read_like",
            "odd",
            "settings: classes[0].effect is 'odd', which is none of those known",
        ),
        (
            "[true, true]",
            "[true]",
            "settings: family_info.class_calls has 1 places for 2 classes",
        ),
        (
            "[0.3, 0.0]",
            "[0.3, 0, 0]",
            "settings: family_info.class_skip_worth has 3 places for 2 classes",
        ),
        (
            "[0.3, 0.0]",
            "[1.3, 0]",
            "settings: family_info.class_skip_worth[0] is not within 0 to 1",
        ),
        (
            "\"sell\"",
            "\"look\"",
            "settings: classes[1].name 'look' is that of another",
        ),
        (
            "\"b\"",
            "\"a\"",
            "settings: tenants[1].name 'a' is that of another",
        ),
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
    ];
    for (from, to, told) in wrong {
        let error = with(&[(from, to)]).err().map(|e| e.to_string());
        assert_eq!(error.as_deref(), Some(told));
    }
}
