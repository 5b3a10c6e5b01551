//! `madderbay members`: what a server knows of its fleet.

use crate::machine;
use crate::support::{query_cli, start_fleet};
use madderbay_testkit::fleet::processes::ProcessFleet;
use std::path::Path;

#[test]
fn command_line_reports_view_of_server() {
    machine::play(|_| {
        let fleet = start_fleet("servers 3\nstart all\nsettle 20s");
        assert_reports_json(&fleet);
        let text = String::from_utf8(query_cli(fleet.socket(1), &[]).stdout).expect("text");
        assert!(
            text.starts_with("n2 hears whole since ") && text.lines().count() == 4,
            "{text}"
        );
        assert_reports_missing_socket();
    });
}

fn assert_reports_json(fleet: &ProcessFleet) {
    let output = query_cli(fleet.socket(1), &["--json"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(text.lines().count(), 1);
    let view: serde_json::Value = serde_json::from_str(&text).expect("an object");
    assert_eq!(
        (&view["name"], &view["hears"]),
        (&"n2".into(), &"whole".into())
    );
    let members = view["members"].as_array().expect("members");
    let name = |m: &serde_json::Value| m["name"].as_str().unwrap_or_default().to_string();
    assert_eq!(
        members.iter().map(name).collect::<Vec<_>>(),
        ["n1", "n2", "n3"]
    );
    assert!(
        members
            .iter()
            .all(|m| m["state"] == "alive" && m["zone"] == "north"),
        "{text}"
    );
}

fn assert_reports_missing_socket() {
    let missing = query_cli(Path::new("/nonexistent.sock"), &[]);
    assert_eq!(missing.status.code(), Some(1));
    let error = String::from_utf8(missing.stderr).expect("text");
    assert!(
        error.starts_with("madderbay: /nonexistent.sock: ") && error.lines().count() == 1,
        "{error}"
    );
}
