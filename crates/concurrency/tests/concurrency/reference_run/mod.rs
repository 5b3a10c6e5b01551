//! Replays fixed seeds and compares limits and ceilings, bit for bit, with recorded ones.
//!
//! The recordings in `data` were written before the crate was renamed and restructured. They list each change of a limit,
//! and end with a hash of the state after every step.

use crate::model::{Mode, World, at, play};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::{
    AdaptiveLimit, AdjustmentCause, Completion, LimitChange, Permit,
};
use madderbay_concurrency::{
    CallRequirement, ConcurrencyConfig, ConcurrencyLimiter, HandlerProfile, PoolConfig,
    RequestStage, Reserve,
};
use std::fmt::Write;

/// FNV-1a over 64-bit words.
struct Digest(u64);
impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }
    fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
}

fn code(cause: AdjustmentCause) -> &'static str {
    match cause {
        AdjustmentCause::Queueing => "crowded",
        AdjustmentCause::ProbeReverted => "slower",
        AdjustmentCause::Demand => "wanted",
        AdjustmentCause::Failures => "failing",
        AdjustmentCause::Silence => "silent",
        AdjustmentCause::CircuitOpened => "resting",
        AdjustmentCause::CircuitHalfOpen => "tried",
    }
}

fn worlds() -> Vec<(&'static str, f64, World)> {
    let slow = |times| vec![(5_000, Mode::Slow(times)), (13_000, Mode::Slow(1.0))];
    let with = |script| World {
        script,
        ..World::default()
    };
    vec![
        ("calm", 12.0, World::default()),
        (
            "slow-2-busy",
            12.0,
            World {
                per_second: 250.0,
                ..with(slow(2.0))
            },
        ),
        ("slow-7", 12.0, with(slow(7.0))),
        (
            "slow-20-thrash",
            12.0,
            World {
                thrash: 0.5,
                ..with(slow(20.0))
            },
        ),
        (
            "slow-20-noise",
            12.0,
            World {
                spread: 1.0,
                ..with(slow(20.0))
            },
        ),
        (
            "slow-20-others",
            12.0,
            World {
                others: 3,
                ..with(slow(20.0))
            },
        ),
        (
            "fails-fast",
            12.0,
            with(vec![(5_000, Mode::Fails), (13_000, Mode::Slow(1.0))]),
        ),
        (
            "wide-thrash",
            40.0,
            World {
                per_second: 300.0,
                thrash: 0.5,
                ..with(slow(7.0))
            },
        ),
        (
            "few-hands",
            80.0,
            World {
                per_second: 90.0,
                hands: 15,
                ..with(slow(20.0))
            },
        ),
        (
            "silent",
            12.0,
            with(vec![(5_000, Mode::Silent), (13_000, Mode::Slow(1.0))]),
        ),
        (
            "cold",
            12.0,
            with(vec![(0, Mode::Slow(20.0)), (8_000, Mode::Slow(1.0))]),
        ),
    ]
}

fn worlds_text() -> String {
    let mut text = String::new();
    for (name, most, world) in worlds() {
        for seed in [3, 4] {
            let mut limit = AdaptiveLimit::new(at(0), 7, most, Duration::from_millis(200));
            let seen = play(
                &World {
                    seed,
                    ..world.clone()
                },
                &mut limit,
            );
            writeln!(text, "world {name} seed {seed}").expect("a string takes every line");
            let (mut digest, mut last) = (Digest::new(), f64::NAN);
            for (n, row) in seen.rows.iter().enumerate() {
                for word in [
                    row.0.to_bits(),
                    row.1 as u64,
                    u64::from(row.2),
                    u64::from(row.3),
                ] {
                    digest.add(word);
                }
                if row.0.to_bits() != last.to_bits() {
                    writeln!(text, "{} {:?}", n * 10, row.0).expect("a string takes every line");
                    last = row.0;
                }
            }
            let end = seen.rows.last().expect("rows");
            writeln!(text, "end {} {} {} {:016x}", end.1, end.2, end.3, digest.0)
                .expect("a string takes every line");
        }
    }
    text
}

/// Random events straight at a limit, in phases of quick, slow, failing and abandoned calls.
fn events_text() -> String {
    let mut text = String::new();
    for seed in 0..6u64 {
        let most = [1.0, 4.0, 8.0, 12.5, 40.0, 80.0][seed as usize];
        let linger = Duration::from_millis([0, 200, 50, 0, 400, 200][seed as usize]);
        let mut chance = oorandom::Rand64::new(u128::from(100 + seed));
        let mut limit = AdaptiveLimit::new(at(0), seed, most, linger);
        let mut open: Vec<Permit> = vec![];
        let (mut ms, mut digest) = (20_000u64, Digest::new());
        writeln!(text, "limit {seed} of {most:?}").expect("a string takes every line");
        for n in 0..6_000u64 {
            let phase = (n / 750) % 4;
            let draw = chance.rand_float();
            if draw < 0.4 {
                if limit.in_flight() < limit.allowed_in_flight() {
                    open.push(limit.acquire(at(ms)));
                } else {
                    limit.record_saturation();
                }
            } else if draw < 0.75 {
                if !open.is_empty() {
                    let ticket = open.swap_remove(chance.rand_range(0..open.len() as u64) as usize);
                    let odd = chance.rand_float();
                    let end = match phase {
                        2 if odd < 0.7 => Completion::Failure,
                        3 if odd < 0.8 => Completion::TimedOut,
                        _ if odd < 0.02 => Completion::Failure,
                        _ if odd < 0.04 => Completion::TimedOut,
                        _ if odd < 0.06 => Completion::Cancelled,
                        _ => Completion::Success,
                    };
                    limit.release(at(ms), ticket, end, chance.rand_float() < 0.03);
                }
            } else if draw < 0.752 {
                limit.set_max(most * (0.5 + chance.rand_float()));
            } else if draw < 0.7525 {
                ms = ms.saturating_sub(chance.rand_range(0..1_500));
            } else {
                ms += chance.rand_range(0..if phase == 1 { 60 } else { 15 });
            }
            if let Some(LimitChange { from, cause, .. }) = limit.tick(at(ms)) {
                writeln!(
                    text,
                    "{n} {from:?} {:?} {} {}",
                    limit.limit(),
                    code(cause),
                    limit.allowed_in_flight()
                )
                .expect("a string takes every line");
            }
            digest.add(limit.limit().to_bits());
            digest.add(limit.minimum_latency_secs().map_or(0, f64::to_bits));
            digest.add(limit.allowed_in_flight() as u64);
            digest.add(limit.in_flight() as u64);
        }
        writeln!(text, "end {:016x}", digest.0).expect("a string takes every line");
    }
    text
}

fn pool(name: &str, handlers: &[usize], weight: f64, call_weight: f64) -> PoolConfig {
    PoolConfig {
        name: name.into(),
        handlers: handlers.to_vec(),
        weight,
        call_weight,
        ..PoolConfig::default()
    }
}

fn plans() -> Vec<(&'static str, ConcurrencyConfig)> {
    let three = || {
        vec![
            pool("a", &[0], 1.0, 0.0),
            pool("b", &[1], 2.0, 1.0),
            pool("c", &[2], 3.0, 2.0),
        ]
    };
    let reserve = |handlers: &[usize], part| {
        Some(Reserve {
            handlers: handlers.to_vec(),
            fraction: part,
        })
    };
    let base = ConcurrencyConfig {
        pools: three(),
        call_quota: Some(8.0),
        abandoned_call_lifetime: Duration::from_millis(200),
        cores: 4,
        ..ConcurrencyConfig::default()
    };
    let mut bound = three();
    (bound[1].max_runs, bound[2].max_calls) = (Some(2), Some(3));
    vec![
        ("plain", base.clone()),
        (
            "rest",
            ConcurrencyConfig {
                pools: vec![pool("c", &[2], 0.5, 1.0)],
                reserve: reserve(&[1], 0.2),
                ..base.clone()
            },
        ),
        (
            "cheapest",
            ConcurrencyConfig {
                reserve: reserve(&[], 0.3),
                ..base.clone()
            },
        ),
        (
            "fixed",
            ConcurrencyConfig {
                adaptive: false,
                pools: bound.clone(),
                ..base.clone()
            },
        ),
        (
            "free",
            ConcurrencyConfig {
                call_quota: None,
                pools: bound,
                reserve: reserve(&[0, 1], 0.1),
                ..base.clone()
            },
        ),
        (
            "groups",
            ConcurrencyConfig {
                upstream_groups: vec![(vec![0], 0.4), (vec![2], 0.6)],
                call_quota: Some(20.0),
                ..base.clone()
            },
        ),
        (
            "group-and-others",
            ConcurrencyConfig {
                upstream_groups: vec![(vec![2], 1.0)],
                reserve: reserve(&[2], 0.2),
                ..base
            },
        ),
    ]
}

fn ceilings_text(
    pools: &mut ConcurrencyLimiter,
    now: Timestamp,
    workers: f64,
    digest: &mut Digest,
) -> String {
    let number = |n: usize| {
        if n == usize::MAX {
            "-".into()
        } else {
            n.to_string()
        }
    };
    let mut line = vec![];
    for c in pools.ceilings(now, workers) {
        let handlers: String = c.handlers.iter().map(usize::to_string).collect();
        c.handlers.iter().for_each(|h| digest.add(*h as u64));
        digest.add(c.runs as u64);
        digest.add(c.calls as u64);
        digest.add(c.start_interval.as_secs_f64().to_bits());
        line.push(format!(
            "{handlers}:{}/{}/{:?}",
            number(c.runs),
            number(c.calls),
            c.start_interval.as_secs_f64()
        ));
    }
    line.join(" ")
}

fn pools_text() -> String {
    let kinds = [
        CallRequirement::Optional,
        CallRequirement::Never,
        CallRequirement::Required,
    ]
    .map(|calls| HandlerProfile { calls });
    let mut text = String::new();
    for (at_plan, (name, plan)) in plans().into_iter().enumerate() {
        let mut chance = oorandom::Rand64::new(500 + at_plan as u128);
        let mut pools = ConcurrencyLimiter::new(at(0), 11, plan, &kinds);
        let (mut ms, mut digest, mut next) = (30_000u64, Digest::new(), 0u64);
        // Requests that are open: id, handler, and how far each is.
        let mut open: Vec<(u64, usize, u8)> = vec![];
        writeln!(text, "plan {name}").expect("a string takes every line");
        for n in 0..4_000u64 {
            let phase = (n / 800) % 3;
            let draw = chance.rand_float();
            if draw < 0.2 && open.len() < 60 {
                next += 1;
                let handler = chance.rand_range(0..4) as usize;
                pools.set_stage(at(ms), next, handler, RequestStage::Queued);
                open.push((next, handler, 0));
            } else if draw < 0.85 && !open.is_empty() {
                let i = chance.rand_range(0..open.len() as u64) as usize;
                let (id, handler, step) = open[i];
                let odd = chance.rand_float();
                match step {
                    0 => {
                        pools.set_stage(at(ms), id, handler, RequestStage::Running);
                        open[i].2 = 1;
                    }
                    1 if handler != 1 && odd < 0.8 => {
                        pools.set_stage(at(ms), id, handler, RequestStage::AwaitingCall);
                        open[i].2 = 2;
                    }
                    2 if odd < 0.1 => {
                        pools.call_skipped(at(ms), id);
                        open[i].2 = 4;
                    }
                    2 => {
                        let (most, out) = pools
                            .call_usage()
                            .map_or((100.0, 0), |c| (c.limit, c.in_flight));
                        if (out as f64) < most {
                            pools.set_stage(at(ms), id, handler, RequestStage::Calling);
                            open[i].2 = 3;
                        } else if odd > 0.9 {
                            pools.request_answered(at(ms), id);
                        }
                    }
                    3 => {
                        let end = match phase {
                            1 if odd < 0.6 => Completion::Failure,
                            2 if odd < 0.6 => Completion::TimedOut,
                            _ if odd < 0.05 => Completion::Cancelled,
                            _ => Completion::Success,
                        };
                        pools.call_finished(at(ms), id, end);
                        open[i].2 = if end == Completion::Success { 4 } else { 2 };
                    }
                    _ => {
                        pools.request_finished(at(ms), id);
                        open.swap_remove(i);
                    }
                }
            } else if draw < 0.86 {
                pools.set_call_quota(4.0 + 12.0 * chance.rand_float());
            } else if draw < 0.862 {
                pools.process_stalled(at(ms));
            } else if draw < 0.863 {
                ms = ms.saturating_sub(chance.rand_range(0..1_000));
            } else {
                ms += chance.rand_range(0..60);
            }
            if pools.is_stale(at(ms)) {
                let workers = 6.0 + 6.0 * chance.rand_float();
                let line = ceilings_text(&mut pools, at(ms), workers, &mut digest);
                if n % 250 == 0 {
                    writeln!(text, "{n} {line}").expect("a string takes every line");
                }
            }
            let (told, untold) = pools.take_limit_changes();
            for change in told {
                writeln!(
                    text,
                    "{n} {:?} {:?} {}",
                    change.from,
                    change.to,
                    code(change.cause)
                )
                .expect("a string takes every line");
            }
            digest.add(untold);
            pools
                .reserved()
                .iter()
                .for_each(|h| digest.add(100 + *h as u64));
            for upstream in pools.upstream_usage() {
                digest.add(upstream.calls.limit.to_bits());
                digest.add(upstream.calls.in_flight as u64);
            }
            for u in pools.pool_usage() {
                let counters = [u.queued, u.runs, u.calls, u.max_runs, u.max_calls];
                counters.iter().for_each(|v| digest.add(*v as u64));
            }
            digest.add(pools.hung() as u64);
        }
        writeln!(
            text,
            "end {} {} {:016x}",
            pools.change_count(),
            pools.len(),
            digest.0
        )
        .expect("a string takes every line");
    }
    text
}

#[test]
fn limits_in_worlds_equal_recorded_ones() {
    assert_eq!(worlds_text(), include_str!("data/scenarios.txt"));
}

#[test]
fn limits_after_random_calls_equal_recorded_ones() {
    assert_eq!(events_text(), include_str!("data/limit_events.txt"));
}

#[test]
fn ceilings_after_random_requests_equal_recorded_ones() {
    assert_eq!(pools_text(), include_str!("data/limiter_events.txt"));
}
