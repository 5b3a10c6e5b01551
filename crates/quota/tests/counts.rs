//! Counts over a simulated fleet, against what was truly counted: always within the bound told, through loss,
//! cuts, crashes and pauses; and counts alone: in any order, however many keys.

use madderbay::time::{Duration, Timestamp};
use madderbay_quota::counter::{CounterSettings, ReplicatedCounter};
use madderbay_quota::name_hash;
use madderbay_testkit::fleet::script::{Act, Condition, Fleet, Setup};
use madderbay_testkit::fleet::sim::Sim;

const WINDOW: Duration = Duration::from_millis(5_000);

fn start(who: usize) -> Act {
    Act::Start {
        who,
        name: who,
        clock: Duration::ZERO,
        back: false,
    }
}

fn fleet(n: usize, seed: u64) -> Sim {
    let setup = Setup {
        window: Some(WINDOW),
        memory: Duration::from_millis(30_000),
        ..Setup::of(n)
    };
    let mut sim = Sim::new(setup, seed);
    sim.log = Some(vec![]);
    (0..n).for_each(|s| sim.act(&start(s)).expect("started"));
    while let Some(amiss) = sim.amiss(&Condition::Settled) {
        assert!(sim.at() < Duration::from_millis(40_000), "{amiss}");
        sim.pass();
    }
    sim
}

/// Lets time pass and looks at every server now and then, at all keys.
fn look(sim: &mut Sim, keys: &[u32], ms: u64) {
    for _ in 0..ms / 250 {
        sim.run(Duration::from_millis(250));
        let running: Vec<usize> = sim.running().map(|m| m.0).collect();
        for who in running {
            for key in keys {
                sim.told(who, *key, 1.0);
            }
        }
    }
    let told: Vec<&String> = sim
        .log
        .iter()
        .flatten()
        .filter(|l| l.contains(" tells "))
        .collect();
    assert_eq!(
        sim.out_of_bounds.0, 0,
        "of {}: {told:?}",
        sim.out_of_bounds.1
    );
}

#[test]
fn within_the_bound_told_whatever_happens() {
    for seed in 0..6 {
        let n = 7;
        let mut sim = fleet(n, seed);
        let (acme, zenith) = (name_hash("acme"), name_hash("zenith"));
        for who in 0..n {
            sim.reqs(who, acme, 20.0 + 3.0 * who as f64);
        }
        sim.reqs(2, zenith, 4.0);
        let keys = [acme, zenith, name_hash("nobody")];
        look(&mut sim, &keys, 12_000);
        // In calm it is exact, and half of it by each is the whole.
        let (told, truth) = (sim.told(0, acme, 1.0).expect("counts"), sim.truth(acme));
        assert_eq!(
            (told.stale_servers, told.low, told.high),
            (0, f64::from(truth), f64::from(truth))
        );
        assert!(truth > 600, "{truth}");
        let net = |loss| Act::Net {
            loss: Some(loss),
            double: Some(0.1),
            spoil: Some(0.05),
            delay: None,
        };
        sim.act(&net(0.2)).expect("set");
        look(&mut sim, &keys, 6_000);
        sim.act(&Act::Cut(vec![vec![0, 1, 2], vec![3, 4, 5, 6]]))
            .expect("cut");
        sim.reqs(5, acme, 110.0);
        look(&mut sim, &keys, 10_000);
        sim.act(&Act::Kill(1)).expect("killed");
        look(&mut sim, &keys, 2_000);
        sim.act(&Act::Heal).expect("healed");
        sim.act(&start(1)).expect("started");
        sim.act(&Act::Stop(3)).expect("stopped");
        look(&mut sim, &keys, 6_000);
        sim.act(&Act::Continue(3)).expect("continued");
        sim.act(&Act::Drain(4)).expect("drained");
        look(&mut sim, &keys, 8_000);
    }
}

/// What is cut off fades to its fair share: never to nothing, nor for ever what it was.
#[test]
fn the_unheard_fade_to_their_fair_share() {
    let n = 4;
    let mut sim = fleet(n, 3);
    let acme = name_hash("acme");
    (0..n).for_each(|who| sim.reqs(who, acme, 50.0));
    look(&mut sim, &[acme], 12_000);
    let fair = 10.0;
    let value = |sim: &mut Sim| sim.told(0, acme, fair).expect("counts").value;
    assert!((900.0..1_100.0).contains(&value(&mut sim)));
    sim.act(&Act::Cut(vec![vec![0], vec![1, 2, 3]]))
        .expect("cut");
    sim.run(Duration::from_millis(8_000));
    let soon = value(&mut sim);
    sim.run(Duration::from_millis(17_000));
    let late = value(&mut sim);
    // Its own 250, and of three others 50 each, of their fair 10 a second.
    assert!(
        soon > late && (395.0..460.0).contains(&late),
        "{soon} and {late}"
    );
}

/// One req of a tenant on each of many servers is as many as there are servers.
#[test]
fn one_on_each_of_many() {
    let n = 60;
    let mut sim = fleet(n, 5);
    let rare = name_hash("rare");
    for who in 0..n {
        (0..20).for_each(|key| sim.reqs(who, 1_000 + key, 2.0));
        sim.reqs(who, rare, 0.2);
    }
    look(&mut sim, &[rare], 20_000);
    let told = sim.told(7, rare, 0.2).expect("counts");
    let truth = f64::from(sim.truth(rare));
    assert!((30.0..90.0).contains(&truth), "{truth}");
    assert!(truth >= told.low && truth <= told.high);
}

fn settings() -> CounterSettings {
    CounterSettings {
        name: "tenants".into(),
        window: WINDOW,
        max_per_second: 1_000.0,
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

/// A hundred thousand tenants: what is kept is bounded, the heavy are exact to the error told.
#[test]
fn however_many_tenants() {
    let mut counts = ReplicatedCounter::new(at(0), settings());
    let mut chance = oorandom::Rand64::new(9);
    let heavy = name_hash("heavy");
    let mut sure = 0;
    for ms in 0..8_000u64 {
        for _ in 0..12 {
            counts.add(at(ms), chance.rand_range(0..100_000) as u32, 1);
        }
        if ms % 10 == 0 {
            counts.add(at(ms), heavy, 1);
            // The window that is told of at the end: slots 3 to 12.
            sure += u32::from((1_500..6_500).contains(&ms));
        }
    }
    let told = counts.own(at(8_000), heavy);
    assert!(
        told.low <= f64::from(sure) && f64::from(sure) <= told.high,
        "{told:?}, {sure}"
    );
    assert!(told.bound() < 100.0 && told.value > 450.0, "{told:?}");
    let name = "n1".into();
    let cells = counts.cells(at(8_000), &name, 1, 0.0, 10);
    assert_eq!(cells.len(), 1);
    assert!(counts.heaviest_keys(1_000).len() <= 256 * 14);
}

/// The same words in any order, doubled, lead to the same answers.
#[test]
fn words_merge_in_any_order() {
    let key = name_hash("acme");
    let mut words = vec![];
    for server in 0..5u64 {
        for life in 0..2u64 {
            let mut counts = ReplicatedCounter::new(at(0), settings());
            (0..200).for_each(|n| counts.add(at(n * 20), key, 1 + server as u32));
            for ms in [2_000, 3_000, 4_000] {
                let name = format!("n{server}").as_str().into();
                words.extend(counts.cells(at(ms), &name, life, 0.0, 0));
            }
        }
    }
    let now = at(4_200);
    let own = ("own".into(), 1);
    let told = |words: &[madderbay_quota::Cell]| {
        let mut counts = ReplicatedCounter::new(at(0), settings());
        words
            .iter()
            .for_each(|w| counts.hear(now, Duration::ZERO, w.clone(), (&own.0, own.1)));
        (
            counts.estimate(now, key, 0.0),
            counts.tracked_incarnations(),
        )
    };
    let first = told(&words);
    assert_eq!(first.1, 10);
    let mut chance = oorandom::Rand64::new(4);
    for _ in 0..50 {
        let mut mixed: Vec<_> = words.iter().chain(&words).cloned().collect();
        for i in (1..mixed.len()).rev() {
            mixed.swap(i, chance.rand_range(0..i as u64 + 1) as usize);
        }
        assert_eq!(told(&mixed), first);
    }
}
