//! Whatever is said, chosen and ended, in any order: no panic, tables within their bounds, and a choice wherever there
//! is a backend.

use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{
    AttemptOutcome, BackendSettings, RetryKind, Settings, State, UpstreamManager,
};
use proptest::prelude::*;

fn backend(n: usize) -> BackendSettings {
    BackendSettings {
        name: format!("b{n}").as_str().into(),
        address: ([127, 0, 0, 1], 7_000 + n as u16).into(),
        zone: if n.is_multiple_of(2) {
            "north"
        } else {
            "south"
        }
        .into(),
        weight: 1.0 + n as f64,
        handlers: vec![n % 2],
    }
}

const ENDS: [AttemptOutcome; 8] = [
    AttemptOutcome::Success,
    AttemptOutcome::Rejected,
    AttemptOutcome::NotConnected,
    AttemptOutcome::Failed,
    AttemptOutcome::Disconnected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::LostToHedge,
    AttemptOutcome::Cancelled,
];

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order(deeds in proptest::collection::vec((0u8..9, any::<u16>(),
        proptest::collection::vec(any::<u8>(), 0..60)), 1..400)) {
        let mut now = Timestamp::from_micros(5_000_000);
        let set = Settings { zone: "north".into(), ..Settings::default() };
        let mut routes = UpstreamManager::new(now, 3, set.clone(), (0..6).map(backend).collect());
        let mut out = vec![];
        for (deed, n, bytes) in deeds {
            let n = usize::from(n);
            now = now + Duration::from_micros(n as u64 * 7);
            match deed {
                0..3 => {
                    let ticket = routes.pick(now, n % 3);
                    prop_assert_eq!(ticket.is_some(), n % 3 < 2 && routes.group_of(n % 3).is_some());
                    out.extend(ticket);
                }
                3 if !out.is_empty() => {
                    let before = out[n % out.len()].clone();
                    let how = [RetryKind::OtherBackend, RetryKind::Hedge, RetryKind::AfterBackoff][n % 3];
                    if let Some(ticket) = routes.retry(now, &before, how) {
                        prop_assert!(how == RetryKind::AfterBackoff || ticket.backend != before.backend);
                        out.push(ticket);
                    }
                }
                4 if !out.is_empty() => {
                    let ticket = out.swap_remove(n % out.len());
                    routes.finish(now, &ticket, ENDS[n % ENDS.len()]);
                }
                5 => routes.handle_datagram(now, &format!("n{}", n % 5).as_str().into(), &bytes),
                6 => {
                    let zone = if n.is_multiple_of(2) { "north" } else { "south" }.into();
                    routes.update_peer(&format!("n{}", n % 200).as_str().into(), n as u64 % 3, &zone, n.is_multiple_of(3));
                }
                7 => routes.remove_peer(&format!("n{}", n % 200).as_str().into()),
                8 if n.is_multiple_of(5) => {
                    let some = (0..10).filter(|b| n >> b & 1 == 1).map(backend).collect();
                    routes.reload(now, set.clone(), some);
                }
                _ => routes.handle_timeout(now),
            }
            prop_assert!(routes.take_datagrams().iter().all(|o| o.1.len() <= madderbay_membership::MAX_SUBSYSTEM_PAYLOAD_BYTES));
            prop_assert!(routes.take_events().len() <= 64);
            let views = routes.backend_statuses(now);
            for (handlers, n) in routes.groups() {
                let of = views.iter().filter(|v| {
                    let at: usize = v.name[1..].parse().unwrap_or(0);
                    handlers.contains(&(at % 2)) && matches!(v.state, State::Ejected | State::Probing)
                });
                prop_assert!(n < 2 || of.count() < n, "all are left out: {views:?}");
            }
        }
    }
}
