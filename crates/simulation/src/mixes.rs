//! Named mixes of faults that come together, and a table of what a fleet keeps in each with which parts on.

use crate::history::{Deed, History, Ill, Parts};
use crate::play;
use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// Faults lie between these, in milliseconds; then all is well again for `SECONDS`.
const FROM: u64 = 5_000;
const TO: u64 = 17_000;
const SECONDS: u64 = 34;

type Deeds = Vec<(u64, Deed)>;

fn each(step: usize, n: usize, deeds: impl Fn(usize, u64) -> Deeds) -> Deeds {
    (0..n)
        .step_by(step)
        .enumerate()
        .flat_map(|(i, s)| deeds(s, i as u64))
        .collect()
}

/// Calm, and eight mixes.
pub fn mixes(n: usize, backends: usize) -> Vec<(&'static str, Deeds)> {
    let loss = |loss, delay_ms| Deed::Net {
        loss,
        double: 0.05,
        spoil: 0.02,
        delay_ms,
    };
    let flaps = (0..6).flat_map(|i| {
        let at = FROM + i * 2_000;
        [(at, Deed::Halves), (at + 1_000, Deed::Heal)]
    });
    let ill = |b: usize, ill| vec![(FROM + 500, Deed::Backend(b % backends, Some(ill)))];
    let spread = |i: u64| FROM + i * (TO - FROM) / (n as u64 / 4 + 1);
    vec![
        ("calm", vec![]),
        (
            "a cut that flaps, a backend silent",
            flaps.chain(ill(1, Ill::Silent)).collect(),
        ),
        (
            "one-way loss, three tenths lost",
            each(5, n, |s, _| vec![(FROM, Deed::OneWay(s))])
                .into_iter()
                .chain([(FROM, loss(0.3, 20))])
                .collect(),
        ),
        (
            "seconds of delay, work shifts",
            each(2, n, |s, _| {
                vec![
                    (FROM, Deed::Load(s, 2.0)),
                    (FROM, Deed::Load((s + 1) % n, 0.2)),
                ]
            })
            .into_iter()
            .chain([(FROM, loss(0.0, 2_000))])
            .collect(),
        ),
        (
            "pauses of processes, a backend slow",
            each(4, n, |s, i| {
                vec![
                    (spread(i), Deed::Stop(s)),
                    (spread(i) + 3_000, Deed::Continue(s)),
                ]
            })
            .into_iter()
            .chain(ill(0, Ill::Slow(10.0)))
            .collect(),
        ),
        (
            "slow engines, one backend fails",
            each(4, n, |s, _| vec![(FROM, Deed::Slow(s, 5.0))])
                .into_iter()
                .chain(ill(2, Ill::Fails))
                .collect(),
        ),
        (
            "a storm of crashes, a tenth lost",
            each(4, n, |s, i| {
                vec![
                    (spread(i), Deed::Kill(s)),
                    (spread(i) + 2_000, Deed::Start(s)),
                ]
            })
            .into_iter()
            .chain([(FROM, loss(0.1, 20))])
            .collect(),
        ),
        (
            "a release over a cut",
            each(2, n, |s, i| {
                let at = FROM + i * 7_000 / (n as u64 / 2 + 1);
                vec![(at, Deed::Kill(s)), (at + 500, Deed::Start(s))]
            })
            .into_iter()
            .chain([(FROM + 1_000, Deed::Halves)])
            .collect(),
        ),
        (
            "a third of the backends fail in turn",
            (0..backends.div_ceil(3))
                .flat_map(|b| {
                    let at = FROM + b as u64 * 3_000 % (TO - FROM);
                    let kind = [Ill::Silent, Ill::Fails, Ill::Slow(20.0)][b % 3];
                    [
                        (at, Deed::Backend(b, Some(kind))),
                        (at + 5_000, Deed::Backend(b, None)),
                    ]
                })
                .collect(),
        ),
    ]
}

pub const WAYS: [(&str, Parts); 6] = {
    let off = Parts {
        members: false,
        shared: false,
        routes: false,
        pools: false,
    };
    [
        ("off", off),
        (
            "members",
            Parts {
                members: true,
                ..off
            },
        ),
        (
            "shared",
            Parts {
                members: true,
                shared: true,
                ..off
            },
        ),
        (
            "routes",
            Parts {
                members: true,
                routes: true,
                ..off
            },
        ),
        ("pools", Parts { pools: true, ..off }),
        ("all", Parts::ALL),
    ]
};

/// One history of a mix: faults end at `TO`.
pub fn history(n: usize, backends: usize, parts: Parts, mut deeds: Deeds) -> History {
    deeds.extend([(TO, Deed::Heal), (TO, Deed::Calm)]);
    deeds.extend((0..backends).map(|b| (TO, Deed::Backend(b, None))));
    for s in 0..n {
        deeds.extend([(TO, Deed::Slow(s, 1.0)), (TO, Deed::Load(s, 1.0))]);
    }
    deeds.sort_by_key(|d| d.0);
    let (zones, whole) = (backends.min(3), n as u32 * 4);
    History {
        servers: n,
        backends,
        zones,
        seconds: SECONDS,
        rate: 20.0,
        whole,
        parts,
        plant: None,
        deeds,
    }
}

/// The table for fleets of one size, a row a mix and a way.
pub fn table(n: usize, beside: usize, only: &str) -> String {
    let backends = (n / 10).clamp(3, 30);
    let mut jobs = vec![];
    for (name, deeds) in mixes(n, backends)
        .into_iter()
        .filter(|m| m.0.contains(only))
    {
        for (way, parts) in WAYS {
            jobs.push((name, way, history(n, backends, parts, deeds.clone())));
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
                    let settles = found.settles.filter(|_| of.parts.members);
                    let settles = settles.map_or("-".into(), |s| format!("{s:.0}"));
                    let unison = found.unison.values().max().copied().unwrap_or(0);
                    let mut row = String::new();
                    let _ = write!(
                        row,
                        "| {n}, {name} | {way} | {:.3}, {:.3}, {:.3} | {:.2} | {settles} | {:.0} | {unison} | {} | {cost:.2} |",
                        part(0),
                        part(1),
                        part(2),
                        f64::from(peak) / f64::from(of.whole),
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
