//! `madderbay members`, which reports a server's view of its fleet.

use crate::machine::run_fleet_case;
use crate::support::{query_cli, start_fleet};
use crate::watched_fleet::WatchedFleet;
use madderbay::time::Duration;
use std::path::Path;

/// Longest wait for a report in which no member is suspected.
const REPORT_TIMEOUT: Duration = Duration::from_millis(20_000);

#[test]
fn command_line_reports_view_of_server() {
    run_fleet_case(|monitor| {
        let mut fleet = start_fleet("servers 3\nstart all\nsettle 20s", monitor);
        assert_reports_json(&mut fleet);
        let text = report_of_settled_view(&mut fleet, &[]);
        assert!(
            text.starts_with("n2 hears whole since ") && text.lines().count() == 4,
            "{text}"
        );
        assert_reports_missing_socket();
    });
}

/// Returns the report of the second server once it suspects no member.
fn report_of_settled_view(fleet: &mut WatchedFleet, flags: &[&str]) -> String {
    let mut text = String::new();
    fleet.wait_while(REPORT_TIMEOUT, |fleet| {
        let output = query_cli(fleet.processes.socket(1), flags);
        assert!(output.status.success());
        text = String::from_utf8(output.stdout).expect("valid UTF-8");
        text.contains("suspect").then(|| text.clone())
    });
    text
}

fn assert_reports_json(fleet: &mut WatchedFleet) {
    let text = report_of_settled_view(fleet, &["--json"]);
    assert_eq!(text.lines().count(), 1);
    let view: serde_json::Value = serde_json::from_str(&text).expect("a JSON object");
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
    let error = String::from_utf8(missing.stderr).expect("valid UTF-8");
    assert!(
        error.starts_with("madderbay: /nonexistent.sock: ") && error.lines().count() == 1,
        "{error}"
    );
}
