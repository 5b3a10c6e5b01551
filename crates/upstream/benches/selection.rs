//! Measures the cost of one selection, including the end of its attempt, by the number of backends.
//!
//!     cargo bench -p madderbay-upstream

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{AttemptOutcome, BackendSettings, Settings, UpstreamManager};

fn backend(n: u16) -> BackendSettings {
    BackendSettings {
        name: format!("b{n}").as_str().into(),
        address: ([127, 0, 0, 1], 1_000 + n).into(),
        zone: ["north", "south"][usize::from(n % 2)].into(),
        weight: 1.0,
        handlers: vec![HandlerId::new(0)],
    }
}

fn selection(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for backends in [10u16, 100, 1_000] {
        let settings = Settings {
            zone: "north".into(),
            ..Settings::default()
        };
        let mut now = Timestamp::from_micros(1_000_000);
        let listed = (0..backends).map(backend).collect();
        let mut upstream = UpstreamManager::new(now, 1, settings, listed);
        let id = BenchmarkId::from_parameter(backends);
        group.bench_with_input(id, &backends, |bencher, _| {
            bencher.iter(|| {
                now = now + Duration::from_micros(100);
                let attempt = upstream.pick(now, HandlerId::new(0)).expect("a backend");
                upstream.finish(now, &attempt, AttemptOutcome::Success);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, selection);
criterion_main!(benches);
