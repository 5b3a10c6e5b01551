//! Retries under a full outage, and calls while the configured backends change.

use crate::machine::{StallMonitor, run_fleet_case};
use crate::support::{BackendFleet, HEALTHY, SERVERS, backend_section, start_backend};
use madderbay_testkit::catalogue::Behavior;

/// Upper bound on the calls per request: one first attempt, and retries for a tenth of the first attempts.
const MAX_CALLS_PER_REQUEST: f64 = 1.1;
/// Factor by which a short load may exceed [`MAX_CALLS_PER_REQUEST`].
const TOLERANCE: f64 = 1.25;

/// While all backends fail, none is ejected for good and retries stay within a tenth of the first attempts. The servers
/// notice at once when the failures end.
#[test]
fn bounds_retries_when_all_backends_fail() {
    run_fleet_case(fail_all_backends);
}

fn fail_all_backends(monitor: &StallMonitor) {
    let mut fleet = BackendFleet::start(5, monitor);
    let all = |fleet: &BackendFleet, behavior| {
        fleet.backends.iter().for_each(|b| b.set_behavior(behavior));
    };
    all(&fleet, Behavior::Fails);
    let before = fleet.calls_received();
    // Requests that have started, but whose call has not arrived yet, are among those counted later.
    let started_before = fleet.requests_started().min(before);
    fleet.wait_while("four hundred calls", |f| {
        (f.calls_received() - before < 400).then(|| "fewer".into())
    });
    let calls = f64::from(fleet.calls_received() - before);
    let first_attempts = f64::from(fleet.requests_started() - started_before);
    let max_calls = first_attempts * MAX_CALLS_PER_REQUEST * TOLERANCE;
    assert!(
        calls <= max_calls,
        "{calls} calls for {first_attempts} requests, {max_calls:.0} at the most"
    );
    all(&fleet, HEALTHY);
    let before = fleet.calls_completed();
    fleet.wait_while("calls to be completed again", |f| {
        (f.calls_completed() - before < 100).then(|| "few were completed".into())
    });
    fleet.finish();
}

/// The list of backends changes under load: a new backend is used, a removed one no longer is, and no call is lost.
#[test]
fn follows_changed_backend_list_without_losing_calls() {
    run_fleet_case(change_backend_list);
}

fn change_backend_list(monitor: &StallMonitor) {
    let mut fleet = BackendFleet::start(7, monitor);
    let added = start_backend();
    let section = backend_section(9, added.address);
    let edit = |text: &str| without_backend(text, "b1") + &section;
    (0..SERVERS).for_each(|server| fleet.servers.processes.rewrite(server, edit));
    fleet.wait_while("all to have the new list", |f| {
        (0..SERVERS).find_map(|server| {
            f.missing_at(server, |states| {
                let is_new = states.contains_key("b9") && !states.contains_key("b1");
                (!is_new).then(|| format!("n{}: {states:?}", server + 1))
            })
        })
    });
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
        "a removed backend was called"
    );
    let load = fleet.finish();
    assert!(load.searches > 0.995 && load.bookings > 0.995, "{load}");
}

/// Returns the text of an operator file without the section of one backend.
fn without_backend(text: &str, name: &str) -> String {
    let removed = format!("{name}]");
    let mut sections = text.split("[backend ");
    let head = sections.next().unwrap_or_default().to_string();
    let rest = sections.filter(|section| !section.starts_with(&removed));
    head + &rest.map(|s| format!("[backend {s}")).collect::<String>()
}
