//! Many backends below real processes: who is left out, that the fleet hears of it, that nothing runs twice, and each
//! rule of each req meanwhile. `crates/upstream/tests/fleet.rs` plays many more cases simulated.

mod common;
#[path = "common/machine.rs"]
mod machine;

use machine::StallMonitor;
use madderbay::time::Duration;
use madderbay_testkit::catalogue::{Behavior, Catalogue};
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::gate::Gate;
use madderbay_testkit::load_balancer::{Load, RequestKind, RequestRecord, rule_violations};
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration as StdDuration, Instant};

const SERVERS: usize = 3;
const BACKENDS: usize = 5;
/// Longer than the longest time that one is left out; and the load, which ends when all was seen, lasts longer.
const TERM: StdDuration = StdDuration::from_secs(100);
const LOAD: StdDuration = StdDuration::from_secs(240);
/// Reqs a second of each server: three calls a second to each backend.
const RATE: f64 = 20.0;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}

fn settings() -> String {
    let roomy = common::SETTINGS.replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0");
    roomy
        .replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
        .replace("\"dep_share\": 8.0", "\"dep_share\": 60.0")
}

fn kinds() -> Vec<RequestKind> {
    let target = StdDuration::from_secs(2);
    let kind = |handler: &str, part, keyed| RequestKind {
        handler: handler.into(),
        part,
        target,
        keyed,
        project: "acme",
    };
    vec![kind("search", 3.0, false), kind("book", 1.0, true)]
}

/// Servers over backends, with load on all of them; the first server's ways to the backends can be cut.
struct Play {
    stand: ProcessFleet,
    backends: Vec<Catalogue>,
    gates: Vec<Gate>,
    on: Arc<AtomicBool>,
    loads: Vec<JoinHandle<(Vec<RequestRecord>, Vec<String>)>>,
}

fn section(n: usize, address: std::net::SocketAddr) -> String {
    format!("[backend b{n}]\naddress = {address}\nhandlers = search, book\n")
}

impl Play {
    fn new(seed: u64, monitor: &StallMonitor) -> Play {
        let backends: Vec<Catalogue> = (0..BACKENDS)
            .map(|_| Catalogue::start(100, StdDuration::from_millis(20)))
            .collect();
        let gates: Vec<Gate> = backends
            .iter()
            .map(|b| Gate::in_front_of(b.address))
            .collect();
        let work = |handler: &str| HandlerWork {
            handler: handler.into(),
            ms: (1.0, 2.0),
            calls: true,
        };
        let works = [work("search"), work("book")];
        let mut stand = ProcessFleet::new(
            FleetSetup::of(SERVERS),
            program(),
            &settings(),
            &works,
            seed,
        );
        for s in 0..SERVERS {
            let address = |n: usize| {
                if s == 0 {
                    gates[n].address
                } else {
                    backends[n].address
                }
            };
            let sections: String = (0..BACKENDS).map(|n| section(n, address(n))).collect();
            stand.each[s] = format!("[routes]\nenabled = on\n{sections}");
        }
        for who in 0..SERVERS {
            stand
                .act(&Action::Start {
                    who,
                    name: who,
                    clock: Duration::ZERO,
                    back: false,
                })
                .expect("started");
            monitor.watch(stand.server(who).expect("runs").pid());
        }
        let mut play = Play {
            stand,
            backends,
            gates,
            on: Arc::new(AtomicBool::new(true)),
            loads: vec![],
        };
        play.waits("a view", |p| p.stand.unmet(&Condition::Settled));
        (0..SERVERS).for_each(|s| play.load(s));
        play.waits("all to be used", |p| {
            let idle = p.backends.iter().filter(|b| b.stats().done < 30).count();
            (idle > 0).then(|| format!("{idle} had few calls"))
        });
        play
    }

    fn load(&mut self, server: usize) {
        let engine = self.stand.engine(server).clone();
        let address = self.stand.server(server).expect("runs").address;
        let on = self.on.clone();
        let rates = vec![(StdDuration::ZERO, RATE)];
        let load = Load {
            kinds: kinds(),
            rates,
            length: LOAD,
            seed: server as u64,
            allow_ms: 3_000,
        };
        self.loads.push(std::thread::spawn(move || {
            let on = || on.load(Ordering::Relaxed);
            let records = load.run_while(address, |name| engine.answered(name), |_| (), on);
            let broken = rule_violations(&records, &load.kinds, &engine.stats().bodies);
            (records, broken)
        }));
    }

    /// Waits until nothing is amiss, for the term at the most.
    fn waits(&mut self, what: &str, amiss: impl Fn(&mut Play) -> Option<String>) -> StdDuration {
        let began = Instant::now();
        while let Some(amiss) = amiss(self) {
            assert!(began.elapsed() < TERM, "waits for {what}: {amiss}");
            self.stand.pass();
        }
        began.elapsed()
    }

    /// All servers but some leave a backend out, or have it in.
    fn is(&mut self, backend: usize, out: bool, but: &[usize]) -> StdDuration {
        let name = format!("b{backend}");
        self.waits(
            &format!("{name} to be {}", if out { "out" } else { "in" }),
            |p| {
                (0..SERVERS).filter(|s| !but.contains(s)).find_map(|s| {
                    let Some(routes) = p.stand.routes(s) else {
                        return Some(does_not_answer(s));
                    };
                    let (state, weight, _) = routes.get(&name)?;
                    let is_out =
                        state == "ejected" || state == "trial" || *weight < 0.2 && state == "in";
                    (is_out != out).then(|| format!("n{}: {routes:?}", s + 1))
                })
            },
        )
    }

    /// The end of the load: the part of the reqs of each handler that was done, and what broke a rule.
    fn over(self) -> (Vec<f64>, usize) {
        self.on.store(false, Ordering::Relaxed);
        let mut all = vec![];
        for load in self.loads {
            let (records, broken) = load.join().expect("loaded");
            assert!(broken.is_empty(), "{broken:?}");
            all.extend(records);
        }
        // No keyed req has had its call done at two places, or twice at one.
        let mut calls: std::collections::HashMap<String, u32> = Default::default();
        for backend in &self.backends {
            for (name, n) in backend.stats().names {
                *calls.entry(name).or_default() += n;
            }
        }
        let booked = all.iter().filter(|f| f.handler == 1);
        let twice: Vec<&str> = booked
            .map(|f| f.name.as_str())
            .filter(|n| calls.get(*n).copied().unwrap_or(0) > 1)
            .collect();
        assert!(twice.is_empty(), "called twice: {twice:?}");
        let part = |handler| {
            let of: Vec<&RequestRecord> = all.iter().filter(|f| f.handler == handler).collect();
            of.iter()
                .filter(|f| f.kept(StdDuration::from_secs(2)))
                .count() as f64
                / of.len().max(1) as f64
        };
        (vec![part(0), part(1)], all.len())
    }
}

fn does_not_answer(server: usize) -> String {
    format!("n{} does not answer", server + 1)
}

/// One that fails, is silent, resets or is slow is left out by all, and let in again once it is well.
fn ill_and_well(mood: Behavior, seed: u64) {
    machine::play(|monitor| ill_and_well_once(mood, seed, monitor));
}

fn ill_and_well_once(mood: Behavior, seed: u64, monitor: &StallMonitor) {
    let mut play = Play::new(seed, monitor);
    play.backends[2].set_behavior(mood);
    play.is(2, true, &[]);
    play.backends[2].set_behavior(Behavior::Slow(1.0));
    play.is(2, false, &[]);
    let (kept, reqs) = play.over();
    // What may run twice hardly suffers; a booking that may have run is errored, and not made again.
    assert!(
        kept[0] > 0.97 && kept[1] > 0.85,
        "{mood:?}: {kept:?} of {reqs}"
    );
}

#[test]
fn one_that_fails() {
    ill_and_well(Behavior::Fails, 1);
}

#[test]
fn one_that_never_answers() {
    ill_and_well(Behavior::Silent, 2);
}

#[test]
fn one_that_resets() {
    ill_and_well(Behavior::Resets, 3);
}

#[test]
fn one_that_is_slow() {
    ill_and_well(Behavior::Slow(15.0), 4);
}

/// All fail: nobody is left out for good, repeats stay within a tenth, and the end of it is found at once.
#[test]
fn all_fail() {
    machine::play(all_fail_once);
}

fn all_fail_once(monitor: &StallMonitor) {
    let mut play = Play::new(5, monitor);
    let came = |p: &Play| p.backends.iter().map(|b| b.stats().came).sum::<u32>();
    play.backends
        .iter()
        .for_each(|b| b.set_behavior(Behavior::Fails));
    let before = came(&play);
    let began = Instant::now();
    play.waits("four hundred calls", |p| {
        (came(p) - before < 400).then(|| "fewer".into())
    });
    let calls = f64::from(came(&play) - before);
    let most = RATE * SERVERS as f64 * (began.elapsed().as_secs_f64() + 0.3) * 1.1 * 1.25;
    assert!(calls <= most, "{calls} calls, {most:.0} at the most");
    play.backends
        .iter()
        .for_each(|b| b.set_behavior(Behavior::Slow(1.0)));
    let done = |p: &Play| p.backends.iter().map(|b| b.stats().done).sum::<u32>();
    let before = done(&play);
    play.waits("calls to go well again", |p| {
        (done(p) - before < 100).then(|| "few went well".into())
    });
    play.over();
}

/// A server whose own ways are cut finds all bad: the others go on as they were.
#[test]
fn one_server_that_finds_all_bad_convinces_nobody() {
    machine::play(one_server_that_finds_all_bad_convinces_nobody_once);
}

fn one_server_that_finds_all_bad_convinces_nobody_once(monitor: &StallMonitor) {
    let mut play = Play::new(6, monitor);
    play.gates.iter().for_each(|g| g.cut(true));
    play.waits("the first to doubt one", |p| {
        let Some(routes) = p.stand.routes(0) else {
            return Some(does_not_answer(0));
        };
        // Most look bad to it, so that it leaves nobody out.
        (routes.values().filter(|b| b.2 > 0).count() < 3).then(|| format!("{routes:?}"))
    });
    let done = |p: &Play| p.backends.iter().map(|b| b.stats().done).sum::<u32>();
    let before = done(&play);
    play.waits("the others to go on", |p| {
        for s in 1..SERVERS {
            let Some(routes) = p.stand.routes(s) else {
                return Some(does_not_answer(s));
            };
            assert!(
                routes.values().all(|b| b.0 == "in"),
                "n{}: {routes:?}",
                s + 1
            );
        }
        (done(p) - before < 100).then(|| "few calls".into())
    });
    play.gates.iter().for_each(|g| g.cut(false));
    play.waits("the first to have all in", |p| {
        let Some(routes) = p.stand.routes(0) else {
            return Some(does_not_answer(0));
        };
        routes
            .values()
            .any(|b| b.0 != "in" && b.0 != "rising")
            .then(|| format!("{routes:?}"))
    });
    let (kept, reqs) = play.over();
    assert!(kept[0] > 0.5, "{kept:?} of {reqs}");
}

/// Addresses change under load: a new one is used, one that is gone is not, and no call is lost for it.
#[test]
fn a_list_that_changes_under_load() {
    machine::play(a_list_that_changes_under_load_once);
}

fn a_list_that_changes_under_load_once(monitor: &StallMonitor) {
    let mut play = Play::new(7, monitor);
    let fresh = Catalogue::start(100, StdDuration::from_millis(20));
    let added = section(9, fresh.address);
    let without = |text: &str| {
        let parts: Vec<&str> = text.split("[backend ").collect();
        let kept = parts.iter().enumerate().filter(|p| !p.1.starts_with("b1]"));
        let kept = kept.map(|(i, p)| {
            if i == 0 {
                p.to_string()
            } else {
                format!("[backend {p}")
            }
        });
        kept.collect::<String>() + &added
    };
    (0..SERVERS).for_each(|s| play.stand.rewrite(s, without));
    play.waits("the new one to be used", |_| {
        (fresh.stats().done < 30).then(|| "few calls".into())
    });
    let before = play.backends[1].stats().came;
    let others = play.backends[0].stats().came;
    play.waits("calls to the others", |p| {
        (p.backends[0].stats().came < others + 30).then(|| "few".into())
    });
    assert_eq!(
        play.backends[1].stats().came,
        before,
        "one that is gone has no calls"
    );
    let (kept, reqs) = play.over();
    assert!(kept.iter().all(|k| *k > 0.995), "{kept:?} of {reqs}");
}

/// A backend comes back while the fleet is cut, and a server is killed and comes back knowing nothing: all have
/// it in again in the end; `madderbay routes` tells it.
#[test]
fn a_return_over_a_cut_and_a_new_life() {
    machine::play(a_return_over_a_cut_and_a_new_life_once);
}

fn a_return_over_a_cut_and_a_new_life_once(monitor: &StallMonitor) {
    let mut play = Play::new(8, monitor);
    play.backends[3].set_behavior(Behavior::Fails);
    play.is(3, true, &[]);
    play.stand
        .act(&Action::Cut(vec![vec![0], vec![1, 2]]))
        .expect("cut");
    play.backends[3].set_behavior(Behavior::Slow(1.0));
    play.is(3, false, &[]);
    play.stand.act(&Action::Heal).expect("healed");
    let told = Command::new(program())
        .args(["routes", "--json", "--socket"])
        .arg(play.stand.socket(1))
        .output()
        .expect("it runs");
    let told: serde_json::Value =
        serde_json::from_slice(&told.stdout).expect("one line, an object");
    let all = told["backends"].as_array().expect("backends");
    assert_eq!(all.len(), BACKENDS);
    for b in all {
        assert!(
            b["name"].is_string()
                && b["weight"].is_f64()
                && b["seen"].is_u64()
                && b["heard_from"].is_u64()
        );
        assert!(
            ["in", "rising", "ejected", "trial"].contains(&b["state"].as_str().expect("a state")),
            "{b}"
        );
    }
    play.over();
}

/// A way cut between one server and one backend: that server leaves it out, the others go on using it.
#[test]
fn bad_for_one_server_alone() {
    machine::play(bad_for_one_server_alone_once);
}

fn bad_for_one_server_alone_once(monitor: &StallMonitor) {
    let mut play = Play::new(9, monitor);
    play.gates[2].cut(true);
    play.is(2, true, &[1, 2]);
    let before = play.backends[2].stats().done;
    play.waits("the others to use it", |p| {
        for s in 1..SERVERS {
            let Some(routes) = p.stand.routes(s) else {
                return Some(does_not_answer(s));
            };
            assert!(routes["b2"].0 == "in", "n{}: {routes:?}", s + 1);
        }
        (p.backends[2].stats().done < before + 40).then(|| "few calls".into())
    });
    play.gates[2].cut(false);
    play.is(2, false, &[]);
    let (kept, reqs) = play.over();
    assert!(kept[0] > 0.97 && kept[1] > 0.9, "{kept:?} of {reqs}");
}

/// One that fails and is well again by turns, and then all, one after the other: what may run twice hardly suffers.
#[test]
fn one_that_flaps_and_all_in_turn() {
    machine::play(one_that_flaps_and_all_in_turn_once);
}

fn one_that_flaps_and_all_in_turn_once(monitor: &StallMonitor) {
    let mut play = Play::new(10, monitor);
    let calls = |p: &mut Play, n: u32| {
        let sum = |p: &Play| p.backends.iter().map(|b| b.stats().came).sum::<u32>();
        let before = sum(p);
        p.waits("some calls", |p| {
            (sum(p) < before + n).then(|| "too few".into())
        });
    };
    for _ in 0..5 {
        play.backends[1].set_behavior(Behavior::Fails);
        calls(&mut play, 50);
        play.backends[1].set_behavior(Behavior::Slow(1.0));
        calls(&mut play, 50);
    }
    for b in 0..BACKENDS {
        play.backends[b].set_behavior(Behavior::Resets);
        calls(&mut play, 90);
        play.backends[b].set_behavior(Behavior::Slow(1.0));
        calls(&mut play, 30);
    }
    let (kept, reqs) = play.over();
    assert!(kept[0] > 0.95 && kept[1] > 0.8, "{kept:?} of {reqs}");
}
