//! A table of what a fleet keeps in each mix of faults, with which parts on.

use crate::features::Features;
use crate::mixes::{FIRST_FAULT_MS as FROM, FleetSize, LAST_FAULT_MS as TO, SECONDS};
use crate::play;
use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

pub const WAYS: [(&str, Features); 6] = {
    let off = Features::NONE;
    [
        ("off", off),
        (
            "members",
            Features {
                membership: true,
                ..off
            },
        ),
        (
            "shared",
            Features {
                membership: true,
                quota: true,
                ..off
            },
        ),
        (
            "routes",
            Features {
                membership: true,
                backends: true,
                ..off
            },
        ),
        (
            "pools",
            Features {
                concurrency: true,
                ..off
            },
        ),
        ("all", Features::ALL),
    ]
};

/// The table for fleets of one size, a row a mix and a way.
pub fn table(n: usize, beside: usize, only: &str) -> String {
    let backends = (n / 10).clamp(3, 30);
    let mut jobs = vec![];
    let size = FleetSize {
        servers: n,
        backends,
    };
    for mix in size.mixes() {
        if !mix.name.contains(only) {
            continue;
        }
        for (way, features) in WAYS {
            jobs.push((mix.name, way, size.history(features, &mix)));
        }
    }
    let (next, rows) = (
        AtomicUsize::new(0),
        Mutex::new(vec![String::new(); jobs.len()]),
    );
    std::thread::scope(|scope| {
        for _ in 0..beside.max(1) {
            scope.spawn(|| {
                while let Some((i, (name, way, of))) =
                    Some(next.fetch_add(1, Ordering::Relaxed)).and_then(|i| Some((i, jobs.get(i)?)))
                {
                    let began = Instant::now();
                    let found = play(of, 1);
                    let cost = began.elapsed().as_secs_f64() * 1e3 / (n as f64 * SECONDS as f64);
                    let during = &found.rows[(FROM / 1_000) as usize..(TO / 1_000) as usize];
                    let part = |h: usize| {
                        let kept: u32 = during.iter().map(|r| r.kept[h]).sum();
                        let asked: u32 = during.iter().map(|r| r.asked[h]).sum();
                        (f64::from(kept) / f64::from(asked.max(1))).min(1.0)
                    };
                    let peak = found.rows.iter().map(|r| r.peak).max().unwrap_or(0);
                    let bytes: u64 = found.rows.iter().map(|r| r.bytes).sum();
                    let settles = found.settles.filter(|_| of.features.membership);
                    let settles = settles.map_or("-".into(), |s| format!("{s:.0}"));
                    let unison = found.unison.values().max().copied().unwrap_or(0);
                    let mut row = String::new();
                    let _ = write!(
                        row,
                        "| {n}, {name} | {way} | {:.3}, {:.3}, {:.3} | {:.2} | {settles} | {:.0} | {unison} | {} | {cost:.2} |",
                        part(0),
                        part(1),
                        part(2),
                        f64::from(peak) / f64::from(of.quota),
                        bytes as f64 / (n as f64 * SECONDS as f64),
                        found.breaches.len()
                    );
                    rows.lock().expect("rows")[i] = row;
                }
            });
        }
    });
    let heads = "| servers, mix | on | kept in the trouble: search, quote, book | most below, of the budget | settles, s | bytes a \
                 second a server | unison | rules broken | ms of a core a server-second |";
    let rows = rows.into_inner().expect("rows").join("\n");
    format!("{heads}\n|{}\n{rows}", " --- |".repeat(9))
}
