//! The scripts of faults under `tests/shared` on real processes over one catalogue, whose datagrams pass through
//! relays: never more calls in hand below than the whole, and each rule of each req kept meanwhile.

mod common;

use madderbay::time::Duration;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{
    Action, Condition, Fleet, FleetSetup, QuotaSetup, load_scripts, run_script,
};
use madderbay_testkit::load_balancer::{Answer, Load, RequestKind, RequestRecord, rule_violations};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration as StdDuration;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}

/// A server that may use all of a budget has room for the runs.
fn settings() -> String {
    let roomy = common::SETTINGS.replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0");
    roomy.replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
}

#[test]
fn every_script_on_real_processes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/shared");
    let scripts = load_scripts(&folder);
    let works = vec![HandlerWork {
        handler: "book".into(),
        ms: (1.0, 3.0),
        calls: true,
    }];
    let (next, failed) = (AtomicUsize::new(0), Mutex::new(vec![]));
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while let Some((name, script)) = scripts.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let mut stand = ProcessFleet::new(
                        script.setup.clone(),
                        program(),
                        &settings(),
                        &works,
                        name.len() as u64,
                    );
                    let played = run_script(script, &mut stand).err();
                    let (reqs, broken) = stand.finish_loads();
                    let mut failed = failed.lock().expect("a list");
                    failed.extend(
                        played
                            .into_iter()
                            .chain(broken)
                            .map(|what| format!("{name}: {what}")),
                    );
                    if reqs == 0 {
                        failed.push(format!("{name}: no req was sent"));
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().expect("a list");
    assert!(
        failed.is_empty(),
        "{} failures:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

fn start(stand: &mut ProcessFleet, n: usize) {
    (0..n).for_each(|s| {
        stand
            .act(&Action::Start {
                who: s,
                name: s,
                clock: Duration::ZERO,
                back: false,
            })
            .expect("started");
    });
    waits(stand, &Condition::Settled);
}

fn waits(stand: &mut ProcessFleet, what: &Condition) {
    let began = stand.at();
    while let Some(amiss) = stand.unmet(what) {
        assert!(
            stand.at().saturating_sub(began) < Duration::from_millis(20_000),
            "{amiss}"
        );
        stand.pass();
    }
}

fn kind(handler: &str, part: f64, keyed: bool, project: &'static str) -> RequestKind {
    RequestKind {
        handler: handler.into(),
        part,
        target: StdDuration::from_secs(3),
        keyed,
        project,
    }
}

/// A server's own engine, and where it listens.
fn ends(stand: &ProcessFleet, server: usize) -> (Engine, SocketAddr) {
    (
        stand.engine(server).clone(),
        stand.server(server).expect("runs").address,
    )
}

/// Sends a server reqs; what became of them, and that no rule was broken.
fn send(
    to: (Engine, SocketAddr),
    kinds: &[RequestKind],
    rate: f64,
    secs: u64,
    allow_ms: u64,
) -> Vec<RequestRecord> {
    let (engine, address) = to;
    let (rates, length) = (
        vec![(StdDuration::ZERO, rate)],
        StdDuration::from_secs(secs),
    );
    let load = Load {
        kinds: kinds.to_vec(),
        rates,
        length,
        seed: rate as u64,
        allow_ms,
    };
    let records = load.run(address, |name| engine.answered(name), |_| ());
    let broken = rule_violations(&records, kinds, &engine.stats().bodies);
    assert!(broken.is_empty(), "{broken:?}");
    records
}

/// A budget of one call and work for ten: what finds no room in time is shed before its caller gives up, with a
/// time to come back; the budget is never passed.
#[test]
fn a_req_shed_for_want_of_a_budget_is_told_when_to_come_back() {
    let ms = Duration::from_millis;
    let budget = QuotaSetup {
        whole: 1,
        servers: 1,
        seats: true,
        lease: ms(300),
        longest: ms(400),
        call: ms(300),
        handlers: "book",
    };
    let works = vec![HandlerWork {
        handler: "book".into(),
        ms: (1.0, 3.0),
        calls: true,
    }];
    let mut stand = ProcessFleet::new(
        FleetSetup {
            budget: Some(budget),
            ..FleetSetup::of(1)
        },
        program(),
        &settings(),
        &works,
        5,
    );
    start(&mut stand, 1);
    waits(
        &mut stand,
        &Condition::Has {
            who: vec![0],
            least: 1,
            most: 1,
        },
    );
    stand.catalogue(0).peak();
    let records = send(
        ends(&stand, 0),
        &[kind("book", 1.0, true, "acme")],
        30.0,
        4,
        4_000,
    );
    let done = records
        .iter()
        .filter(|f| matches!(f.answers[..], [(Answer::Completed, _)]))
        .count();
    let shed = |f: &&RequestRecord| matches!(f.answers[..], [(Answer::Rejected(_), _)]);
    let told = |f: &&RequestRecord| matches!(f.answers[..], [(Answer::Rejected(ms), _)] if ms > 0);
    let (shed, told) = (
        records.iter().filter(shed).count(),
        records.iter().filter(told).count(),
    );
    assert!(
        done >= 8 && shed > 40,
        "{done} done, {shed} shed of {}",
        records.len()
    );
    assert!(
        told * 10 >= shed * 9,
        "{told} of {shed} were told when to come back"
    );
    assert_eq!(stand.catalogue(0).peak(), 1);
}

/// What came to three servers is told by each of them, exactly; and where one is cut off the bound says so.
#[test]
fn counts_of_real_processes_are_told_with_their_bounds() {
    let works = vec![HandlerWork {
        handler: "quote".into(),
        ms: (1.0, 1.0),
        calls: false,
    }];
    let mut stand = ProcessFleet::new(FleetSetup::of(3), program(), &settings(), &works, 7);
    stand.operator =
        "[shared]\nenabled = on\n[count tenants]\nby = tenant\nwindow_s = 15\nmost = 100\n".into();
    start(&mut stand, 3);
    let acme = kind("quote", 1.0, false, "acme");
    let sent: usize = (0..3)
        .map(|s| send(ends(&stand, s), std::slice::from_ref(&acme), 40.0, 1, 2_000).len())
        .sum();
    assert!(sent > 60, "{sent}");
    let told = |stand: &ProcessFleet| {
        (0..3)
            .map(|s| stand.counted(s, "acme").unwrap_or((0.0, 0.0)))
            .collect::<Vec<_>>()
    };
    let began = stand.at();
    loop {
        let all = told(&stand);
        for (value, bound) in &all {
            assert!(
                value - bound <= sent as f64,
                "{value} less {bound} told of {sent}"
            );
        }
        if all.iter().all(|t| *t == (sent as f64, 0.0)) {
            break;
        }
        assert!(
            stand.at().saturating_sub(began) < Duration::from_millis(14_000),
            "{all:?} told of {sent}"
        );
        stand.pass();
    }
    stand
        .act(&Action::Cut(vec![vec![0, 1], vec![2]]))
        .expect("cut");
    let began = stand.at();
    while told(&stand).iter().any(|t| t.1 == 0.0) {
        assert!(
            stand.at().saturating_sub(began) < Duration::from_millis(14_000),
            "{:?}",
            told(&stand)
        );
        stand.pass();
    }
}

/// A tenant that has its allowance at one server already is worth less at another, which alone sees it well
/// within.
#[test]
fn a_tenants_allowance_is_one_for_the_fleet() {
    let kept = |counts: bool| {
        let settings = settings()
            .replace(
                "\"servers\": 3",
                "\"servers\": 2, \"over_share_worth\": 0.05",
            )
            .replace(
                "\"acme\", \"allowance_per_s\": 50.0",
                "\"acme\", \"allowance_per_s\": 20.0",
            )
            .replace(
                "\"zenith\", \"allowance_per_s\": 50.0",
                "\"zenith\", \"allowance_per_s\": 600.0",
            );
        let works = vec![HandlerWork {
            handler: "quote".into(),
            ms: (20.0, 20.0),
            calls: false,
        }];
        let mut stand = ProcessFleet::new(FleetSetup::of(2), program(), &settings, &works, 6);
        if counts {
            stand.operator =
                "[shared]\nenabled = on\n[count tenants]\nby = tenant\nwindow_s = 2\nmost = 400\n"
                    .into();
        }
        start(&mut stand, 2);
        let acme = kind("quote", 1.0, false, "acme");
        let crowd = [
            kind("quote", 8.0, false, "acme"),
            kind("quote", 132.0, false, "zenith"),
        ];
        let records = std::thread::scope(|scope| {
            let other = ends(&stand, 1);
            scope.spawn(|| send(other, std::slice::from_ref(&acme), 40.0, 12, 3_000));
            send(ends(&stand, 0), &crowd, 140.0, 12, 3_000)
        });
        // From the fourth second on: a window has passed by then, and all is told.
        let of = |handler: usize| {
            let late =
                |f: &&RequestRecord| f.handler == handler && f.sent > StdDuration::from_secs(4);
            let all: Vec<&RequestRecord> = records.iter().filter(late).collect();
            let done = all
                .iter()
                .filter(|f| matches!(f.answers[..], [(Answer::Completed, _)]))
                .count();
            (all.len(), done as f64 / all.len() as f64)
        };
        (of(0), of(1))
    };
    let (alone, shared) = std::thread::scope(|scope| {
        let alone = scope.spawn(|| kept(false));
        (alone.join().expect("played"), kept(true))
    });
    let ((_, acme), (_, zenith)) = alone;
    assert!(
        zenith < 0.95 && acme > zenith - 0.2,
        "alone: acme {acme:.2}, zenith {zenith:.2}"
    );
    let ((n, acme), (_, zenith)) = shared;
    assert!(
        n > 30 && acme < 0.6 * zenith,
        "with a count: acme {acme:.2} of {n}, zenith {zenith:.2}"
    );
}
