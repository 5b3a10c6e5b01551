//! Slow start of an added backend. Its caches may be cold, so all servers together must send it few calls at first.

mod common;

use common::{HANDLER, backend};
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{
    AttemptOutcome, BackendSettings, BackendState, Settings, UpstreamManager,
};

/// Number of calls that each server makes in one burst.
const CALLS_PER_BURST: usize = 50;
/// Duration of a burst.
const BURST: Duration = Duration::from_millis(100);

/// Returns servers with four backends to which a fifth has just been added.
fn servers_with_added_backend(count: u64, now: Timestamp) -> Vec<UpstreamManager> {
    let settings = Settings {
        zone: "north".into(),
        ..Settings::default()
    };
    let four: Vec<BackendSettings> = (0..4).map(backend).collect();
    let server = |seed| {
        let mut upstream = UpstreamManager::new(now, seed, settings.clone(), four.clone());
        upstream.reload(now, settings.clone(), (0..5).map(backend).collect());
        upstream
    };
    (0..count).map(server).collect()
}

/// Runs one burst on all servers and returns how many of its calls go to the backend that listens on `port`.
fn calls_of_burst(port: u16, servers: &mut [UpstreamManager], now: Timestamp) -> usize {
    let mut calls = 0;
    for n in 0..CALLS_PER_BURST {
        let now = now + BURST.mul_f64(n as f64 / CALLS_PER_BURST as f64);
        for upstream in servers.iter_mut() {
            let attempt = upstream.pick(now, HANDLER).expect("a backend");
            calls += usize::from(attempt.address.port() == port);
            // Latencies differ, as real ones do. With equal ones, the same of two backends would always be cheaper.
            let latency = Duration::from_millis(3 + (n as u64 * 7 + calls as u64) % 5);
            upstream.finish(now + latency, &attempt, AttemptOutcome::Success);
        }
    }
    calls
}

/// With 20 and with 30 servers, a fifth backend is added to four. At first it gets no more than a quarter of an equal
/// share, plus a margin for chance. After ten seconds it gets an equal share.
#[test]
fn added_backend_gets_few_calls_at_first_and_its_share_later() {
    for count in [20, 30] {
        let start = Timestamp::from_micros(5_000_000);
        let mut servers = servers_with_added_backend(count, start);
        let equal_share = count as f64 * CALLS_PER_BURST as f64 / 5.0;
        let budget = equal_share / 4.0;
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        let first = calls_of_burst(7_004, &mut servers, start) as f64;
        assert!(
            first <= limit,
            "{first} calls of {count} servers, limit {limit}"
        );
        let late = start + Duration::from_millis(11_000);
        for upstream in &mut servers {
            for tenth in 1..110 {
                upstream.handle_timeout(start + Duration::from_millis(100 * tenth));
            }
            upstream.handle_timeout(late);
            let statuses = upstream.backend_statuses(late);
            assert!(
                statuses
                    .iter()
                    .all(|status| status.state == BackendState::Active)
            );
        }
        let calls = calls_of_burst(7_004, &mut servers, late) as f64;
        assert!(
            (calls - equal_share).abs() < 4.0 * equal_share.sqrt(),
            "{calls} of {equal_share}"
        );
    }
}
