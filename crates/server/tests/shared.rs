//! The scripts of faults under `tests/shared` on real processes over one catalogue, whose datagrams pass through
//! relays: never more calls in hand below than the whole, and each rule of each req kept meanwhile.

mod common;

use madderbay::time::Duration;
use madderbay_testkit::balancer::{Answer, Ask, Fate, Load, breaches};
use madderbay_testkit::engine::{Engine, Work};
use madderbay_testkit::fleet::script::{Act, Budgeted, Condition, Fleet, Setup, play, scripts};
use madderbay_testkit::fleet::stand::Stand;
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
    let scripts = scripts(&folder);
    let works = vec![Work {
        handler: "book".into(),
        ms: (1.0, 3.0),
        calls: true,
    }];
    let (next, failed) = (AtomicUsize::new(0), Mutex::new(vec![]));
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while let Some((name, script)) = scripts.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let mut stand = Stand::new(
                        script.setup.clone(),
                        program(),
                        &settings(),
                        &works,
                        name.len() as u64,
                    );
                    let played = play(script, &mut stand).err();
                    let (reqs, broken) = stand.judged();
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

fn start(stand: &mut Stand, n: usize) {
    (0..n).for_each(|s| {
        stand
            .act(&Act::Start {
                who: s,
                name: s,
                clock: Duration::ZERO,
                back: false,
            })
            .expect("started");
    });
    waits(stand, &Condition::Settled);
}

fn waits(stand: &mut Stand, what: &Condition) {
    let began = stand.at();
    while let Some(amiss) = stand.amiss(what) {
        assert!(
            stand.at().saturating_sub(began) < Duration::from_millis(20_000),
            "{amiss}"
        );
        stand.pass();
    }
}

fn ask(handler: &str, part: f64, keyed: bool, project: &'static str) -> Ask {
    Ask {
        handler: handler.into(),
        part,
        target: StdDuration::from_secs(3),
        keyed,
        project,
    }
}

/// A server's own engine, and where it listens.
fn ends(stand: &Stand, server: usize) -> (Engine, SocketAddr) {
    (
        stand.engine(server).clone(),
        stand.server(server).expect("runs").address,
    )
}

/// Sends a server reqs; what became of them, and that no rule was broken.
fn send(to: (Engine, SocketAddr), asks: &[Ask], rate: f64, secs: u64, allow_ms: u64) -> Vec<Fate> {
    let (engine, address) = to;
    let (rates, length) = (
        vec![(StdDuration::ZERO, rate)],
        StdDuration::from_secs(secs),
    );
    let load = Load {
        asks: asks.to_vec(),
        rates,
        length,
        seed: rate as u64,
        allow_ms,
    };
    let fates = load.run(address, |name| engine.answered(name), |_| ());
    let broken = breaches(&fates, asks, &engine.ran().bodies);
    assert!(broken.is_empty(), "{broken:?}");
    fates
}

/// A budget of one call and work for ten: what finds no room in time is shed before its caller gives up, with a
/// time to come back; the budget is never passed.
#[test]
fn a_req_shed_for_want_of_a_budget_is_told_when_to_come_back() {
    let ms = Duration::from_millis;
    let budget = Budgeted {
        whole: 1,
        servers: 1,
        seats: true,
        lease: ms(300),
        longest: ms(400),
        call: ms(300),
        handlers: "book",
    };
    let works = vec![Work {
        handler: "book".into(),
        ms: (1.0, 3.0),
        calls: true,
    }];
    let mut stand = Stand::new(
        Setup {
            budget: Some(budget),
            ..Setup::of(1)
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
    let fates = send(
        ends(&stand, 0),
        &[ask("book", 1.0, true, "acme")],
        30.0,
        4,
        4_000,
    );
    let done = fates
        .iter()
        .filter(|f| matches!(f.answers[..], [(Answer::Done, _)]))
        .count();
    let shed = |f: &&Fate| matches!(f.answers[..], [(Answer::Shed(_), _)]);
    let told = |f: &&Fate| matches!(f.answers[..], [(Answer::Shed(ms), _)] if ms > 0);
    let (shed, told) = (
        fates.iter().filter(shed).count(),
        fates.iter().filter(told).count(),
    );
    assert!(
        done >= 8 && shed > 40,
        "{done} done, {shed} shed of {}",
        fates.len()
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
    let works = vec![Work {
        handler: "quote".into(),
        ms: (1.0, 1.0),
        calls: false,
    }];
    let mut stand = Stand::new(Setup::of(3), program(), &settings(), &works, 7);
    stand.operator =
        "[shared]\nenabled = on\n[count tenants]\nby = tenant\nwindow_s = 15\nmost = 100\n".into();
    start(&mut stand, 3);
    let acme = ask("quote", 1.0, false, "acme");
    let sent: usize = (0..3)
        .map(|s| send(ends(&stand, s), std::slice::from_ref(&acme), 40.0, 1, 2_000).len())
        .sum();
    assert!(sent > 60, "{sent}");
    let told = |stand: &Stand| {
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
        .act(&Act::Cut(vec![vec![0, 1], vec![2]]))
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
        let works = vec![Work {
            handler: "quote".into(),
            ms: (20.0, 20.0),
            calls: false,
        }];
        let mut stand = Stand::new(Setup::of(2), program(), &settings, &works, 6);
        if counts {
            stand.operator =
                "[shared]\nenabled = on\n[count tenants]\nby = tenant\nwindow_s = 2\nmost = 400\n"
                    .into();
        }
        start(&mut stand, 2);
        let acme = ask("quote", 1.0, false, "acme");
        let crowd = [
            ask("quote", 8.0, false, "acme"),
            ask("quote", 132.0, false, "zenith"),
        ];
        let fates = std::thread::scope(|scope| {
            let other = ends(&stand, 1);
            scope.spawn(|| send(other, std::slice::from_ref(&acme), 40.0, 12, 3_000));
            send(ends(&stand, 0), &crowd, 140.0, 12, 3_000)
        });
        // From the fourth second on: a window has passed by then, and all is told.
        let of = |handler: usize| {
            let late = |f: &&Fate| f.handler == handler && f.sent > StdDuration::from_secs(4);
            let all: Vec<&Fate> = fates.iter().filter(late).collect();
            let done = all
                .iter()
                .filter(|f| matches!(f.answers[..], [(Answer::Done, _)]))
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
