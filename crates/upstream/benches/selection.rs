//! What one choice costs, and its end, by the number of backends.
//!
//!     cargo bench -p madderbay-upstream

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{AttemptOutcome, BackendSettings, Settings, UpstreamManager};

fn choices(c: &mut Criterion) {
    let mut group = c.benchmark_group("choice");
    for n in [10u16, 100, 1_000] {
        let backend = |i: u16| BackendSettings {
            name: format!("b{i}").as_str().into(),
            address: ([127, 0, 0, 1], 1_000 + i).into(),
            zone: if i.is_multiple_of(2) {
                "north"
            } else {
                "south"
            }
            .into(),
            weight: 1.0,
            handlers: vec![0],
        };
        let set = Settings {
            zone: "north".into(),
            ..Settings::default()
        };
        let mut now = Timestamp::from_micros(1_000_000);
        let mut routes = UpstreamManager::new(now, 1, set, (0..n).map(backend).collect());
        group.bench_with_input(BenchmarkId::from_parameter(n), &n, |b, _| {
            b.iter(|| {
                now = now + Duration::from_micros(100);
                let ticket = routes.pick(now, 0).expect("there are some");
                routes.finish(now, &ticket, AttemptOutcome::Success);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choices);
criterion_main!(benches);
