//! A backend that is set beside others may be cold: what all servers together send to it has to be little at first.

use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{AttemptOutcome, BackendSettings, Settings, State, UpstreamManager};

fn backend(n: usize) -> BackendSettings {
    BackendSettings {
        name: format!("b{n}").as_str().into(),
        address: ([127, 0, 0, 1], 7_000 + n as u16).into(),
        zone: "north".into(),
        weight: 1.0,
        handlers: vec![0],
    }
}

/// Calls that the backend at this port gets of so many from each server within a tenth of a second.
fn to(port: u16, servers: &mut [UpstreamManager], now: Timestamp, each: usize) -> usize {
    let mut found = 0;
    for n in 0..each {
        let now = now + Duration::from_millis(100).mul_f64(n as f64 / each as f64);
        for routes in servers.iter_mut() {
            let ticket = routes.pick(now, 0).expect("a backend");
            found += usize::from(ticket.address.port() == port);
            // Unlike times, as real ones are: of two paces alike to a hair one would always be the better.
            let took = Duration::from_millis(3 + (n as u64 * 7 + found as u64) % 5);
            routes.finish(now + took, &ticket, AttemptOutcome::Success);
        }
    }
    found
}

/// Twenty and thirty servers, four backends and a fifth: at first no more than a quarter of an even share, beyond which
/// only chance counts; after ten seconds an even share.
#[test]
fn what_all_send_to_one_that_is_added_is_little_at_first() {
    for count in [20, 30] {
        let start = Timestamp::from_micros(5_000_000);
        let set = Settings {
            zone: "north".into(),
            ..Settings::default()
        };
        let four: Vec<BackendSettings> = (0..4).map(backend).collect();
        let mut servers: Vec<UpstreamManager> = (0..count)
            .map(|seed| UpstreamManager::new(start, seed, set.clone(), four.clone()))
            .collect();
        for routes in &mut servers {
            routes.reload(start, set.clone(), (0..5).map(backend).collect());
        }
        let even = count as f64 * 50.0 / 5.0;
        let budget = even / 4.0;
        let most = budget + 2.0 * budget.sqrt() + 2.0;
        let first = to(7_004, &mut servers, start, 50) as f64;
        assert!(
            first <= most,
            "{first} calls of {count} servers, {most} at the most"
        );
        let late = start + Duration::from_millis(11_000);
        for routes in &mut servers {
            (1..110).for_each(|tenth| {
                routes.handle_timeout(start + Duration::from_millis(100 * tenth))
            });
            routes.handle_timeout(late);
            assert!(
                routes
                    .backend_statuses(late)
                    .iter()
                    .all(|v| v.state == State::Active)
            );
        }
        let whole = to(7_004, &mut servers, late, 50) as f64;
        assert!(
            (whole - even).abs() < 4.0 * even.sqrt(),
            "{whole} of {even}"
        );
    }
}
