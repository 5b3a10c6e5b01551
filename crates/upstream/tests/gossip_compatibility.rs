//! Compatibility with gossip payloads written by the version before the public names changed (`tests/data/*.bin`). They
//! are decoded, encoded again to the same bytes, and sent again by a manager that goes through the same events.

mod common;

use common::HANDLER;
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{
    AttemptOutcome, BackendId, BackendReport, BackendSettings, FailedCall, GossipMessage, Settings,
    UpstreamManager, name_hash,
};

const FAILING_BACKEND: &[u8] = include_bytes!("data/failing_backend.bin");
const EJECTED_BACKEND: &[u8] = include_bytes!("data/ejected_backend.bin");
const STALLED_SENDER: &[u8] = include_bytes!("data/stalled_sender.bin");
const RECOVERING_BACKEND: &[u8] = include_bytes!("data/recovering_backend.bin");
const RETRIES_ONLY: &[u8] = include_bytes!("data/retries_only.bin");
const MOST_REPORTS: &[u8] = include_bytes!("data/most_reports.bin");
const ALL_FIELDS: &[u8] = include_bytes!("data/all_fields.bin");

/// Time that a failed call has left: far more than a call takes.
const CALL_TIME_LEFT: Duration = Duration::from_millis(1_000);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

fn backend(n: u16) -> BackendSettings {
    BackendSettings {
        name: format!("book-{n}").as_str().into(),
        address: ([127, 0, 0, 1], 7_700 + n).into(),
        ..common::backend(usize::from(n))
    }
}

/// Returns a manager of a number of backends, with two active peers.
fn manager(backends: u16) -> UpstreamManager {
    let settings = Settings {
        zone: "north".into(),
        ..Settings::default()
    };
    let backends = (0..backends).map(backend).collect();
    let mut upstream = UpstreamManager::new(at(0), 7, settings, backends);
    upstream.update_peer(&"n2".into(), 3, &"north".into(), true);
    upstream.update_peer(&"n3".into(), 5, &"south".into(), true);
    upstream
}

/// Makes a call every 10 ms. Each takes 5 ms and ends with the `outcome` for its backend and its time in milliseconds.
/// Returns the last payload that was sent within `millis`.
fn last_payload(
    upstream: &mut UpstreamManager,
    millis: u64,
    outcome: impl Fn(BackendId, u64) -> AttemptOutcome,
) -> Vec<u8> {
    let mut last = vec![];
    for ms in (0..millis).step_by(10) {
        upstream.handle_timeout(at(ms));
        if let Some((_, payload)) = upstream.take_datagrams().pop() {
            last = payload;
        }
        let attempt = upstream.pick(at(ms), HANDLER).expect("a backend");
        let outcome = outcome(attempt.backend, ms);
        let ended = at(ms) + Duration::from_millis(5);
        upstream.finish(ended, &attempt, outcome);
        let call = FailedCall {
            outcome,
            is_idempotent: false,
            time_left: CALL_TIME_LEFT,
        };
        if outcome == AttemptOutcome::Rejected
            && let Ok(retry) = upstream.retry(ended, &attempt, call)
        {
            let ended = at(ms) + Duration::from_millis(9);
            upstream.finish(ended, &retry, AttemptOutcome::Success);
        }
    }
    last
}

/// Returns outcomes by backend and time: one backend ends its calls with `wrong` until a time in milliseconds, and all
/// other calls succeed.
fn one_backend_until(
    wrong: AttemptOutcome,
    until: u64,
) -> impl Fn(BackendId, u64) -> AttemptOutcome {
    move |backend, ms| {
        if backend == BackendId::new(2) && ms < until {
            wrong
        } else {
            AttemptOutcome::Success
        }
    }
}

#[test]
fn encodes_old_payloads_to_the_same_bytes() {
    let payloads = [
        FAILING_BACKEND,
        EJECTED_BACKEND,
        STALLED_SENDER,
        RECOVERING_BACKEND,
        RETRIES_ONLY,
        MOST_REPORTS,
        ALL_FIELDS,
    ];
    for old in payloads {
        let message = GossipMessage::decode(old).expect("an old payload");
        assert_eq!(message.encode(), old, "{message:?}");
    }
}

#[test]
fn reads_each_field_of_an_old_payload() {
    let reports = vec![
        BackendReport {
            name_hash: name_hash("book-2"),
            successes: 0,
            failures: u16::MAX,
            age_ms: 1_500,
        },
        BackendReport {
            name_hash: name_hash("book-3"),
            successes: 40,
            failures: 0,
            age_ms: 0,
        },
    ];
    let expected = GossipMessage {
        stalled: true,
        backends_seen: 300,
        backends_failing: 2,
        first_attempts: 70_000,
        retries: 200,
        reports,
    };
    assert_eq!(
        GossipMessage::decode(ALL_FIELDS).expect("an old payload"),
        expected
    );
    assert_eq!(expected.encode(), ALL_FIELDS);
}

#[test]
fn sends_the_same_payloads_in_the_same_situations() {
    let failing = |until| one_backend_until(AttemptOutcome::Failed, until);
    let sent = last_payload(&mut manager(4), 600, failing(120));
    assert_eq!(sent, FAILING_BACKEND);
    let sent = last_payload(&mut manager(4), 2_000, failing(u64::MAX));
    assert_eq!(sent, EJECTED_BACKEND);
    let mut stalled = manager(4);
    stalled.set_stalled(true);
    let sent = last_payload(&mut stalled, 1_000, failing(u64::MAX));
    assert_eq!(sent, STALLED_SENDER);
    let sent = last_payload(&mut manager(4), 6_000, failing(1_000));
    assert_eq!(sent, RECOVERING_BACKEND);
    let rejecting = one_backend_until(AttemptOutcome::Rejected, u64::MAX);
    assert_eq!(
        last_payload(&mut manager(4), 3_000, rejecting),
        RETRIES_ONLY
    );
    let sent = last_payload(&mut manager(100), 3_000, |_, _| AttemptOutcome::Failed);
    assert_eq!(sent, MOST_REPORTS);
}

#[test]
fn counts_reports_of_old_payloads_unless_their_sender_is_stalled() {
    let failures_after = |payload: &[u8]| {
        let mut upstream = manager(4);
        upstream.handle_datagram(at(1), &"n2".into(), payload);
        assert_eq!(upstream.totals().datagrams_rejected, 0);
        upstream.handle_timeout(at(100));
        upstream.backend_statuses(at(100))[2].gossip_failures
    };
    assert!(failures_after(EJECTED_BACKEND) > 0.5);
    assert_eq!(failures_after(STALLED_SENDER), 0.0);
    assert_eq!(failures_after(RECOVERING_BACKEND), 0.0);
}
