//! Retries under a full outage, and calls while the configured backends change.

use crate::machine::{self, StallMonitor};
use crate::support::{
    BackendFleet, REQUESTS_PER_SECOND, SERVERS, WELL, backend_section, start_backend,
};
use madderbay_testkit::catalogue::Behavior;
use std::time::Instant;

/// All backends fail: none is ejected for good, retries stay within a tenth, and the end of it is found at once.
#[test]
fn bounds_retries_when_all_backends_fail() {
    machine::play(play_full_outage);
}

fn play_full_outage(monitor: &StallMonitor) {
    let mut fleet = BackendFleet::start(5, monitor);
    let all = |fleet: &BackendFleet, behavior| {
        fleet.backends.iter().for_each(|b| b.set_behavior(behavior));
    };
    all(&fleet, Behavior::Fails);
    let before = fleet.calls_received();
    let began = Instant::now();
    fleet.wait_while("four hundred calls", |f| {
        (f.calls_received() - before < 400).then(|| "fewer".into())
    });
    let calls = f64::from(fleet.calls_received() - before);
    let seconds = began.elapsed().as_secs_f64() + 0.3;
    let max_calls = REQUESTS_PER_SECOND * SERVERS as f64 * seconds * 1.1 * 1.25;
    assert!(
        calls <= max_calls,
        "{calls} calls, {max_calls:.0} at the most"
    );
    all(&fleet, WELL);
    let before = fleet.calls_completed();
    fleet.wait_while("calls to go well again", |f| {
        (f.calls_completed() - before < 100).then(|| "few went well".into())
    });
    fleet.finish();
}

/// Addresses change under load: a new backend is used, a removed one is not, and no call is lost for it.
#[test]
fn follows_changed_backend_list_without_losing_calls() {
    machine::play(play_changed_list);
}

fn play_changed_list(monitor: &StallMonitor) {
    let mut fleet = BackendFleet::start(7, monitor);
    let added = start_backend();
    let section = backend_section(9, added.address);
    let edit = |text: &str| without_backend(text, "b1") + &section;
    (0..SERVERS).for_each(|server| fleet.servers.rewrite(server, edit));
    fleet.wait_while("the new one to be used", |_| {
        (added.stats().done < 30).then(|| "few calls".into())
    });
    let before = fleet.backends[1].stats().received;
    let others = fleet.backends[0].stats().received;
    fleet.wait_while("calls to the others", |f| {
        (f.backends[0].stats().received < others + 30).then(|| "few".into())
    });
    assert_eq!(
        fleet.backends[1].stats().received,
        before,
        "one that is gone has no calls"
    );
    let load = fleet.finish();
    assert!(load.searches > 0.995 && load.bookings > 0.995, "{load}");
}

/// The text of an operator file without the section of one backend.
fn without_backend(text: &str, name: &str) -> String {
    let removed = format!("{name}]");
    let mut sections = text.split("[backend ");
    let head = sections.next().unwrap_or_default().to_string();
    let rest = sections.filter(|section| !section.starts_with(&removed));
    head + &rest.map(|s| format!("[backend {s}")).collect::<String>()
}
