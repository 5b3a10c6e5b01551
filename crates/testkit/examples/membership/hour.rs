//! One simulated hour in which one datagram in ten is lost and, each minute, one server in twenty
//! is paused for 2 s. Counts the running servers that are declared down.

use crate::heartbeats::Heartbeats;
use crate::row::{lossy_network, settle};
use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, FleetSetup};
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::measurement::fleets::{act, start_all};
use oorandom::Rand64;

const MEMBERS: usize = 100;
const LOSS: f64 = 0.1;
const MINUTES: usize = 60;
/// Fraction of the servers that are paused in a minute.
const PAUSED_FRACTION: f64 = 0.05;
const PAUSE_MS: u64 = 2_000;
const MINUTE_MS: u64 = 60_000;
const FLEET_SEED: u64 = 1;
/// Seed that determines the servers that are paused.
const PAUSE_SEED: u128 = 5;

/// Simulates the hour for each variant, and prints one line for each.
pub(crate) fn measure() {
    let variants = [
        ("this protocol", true),
        ("this protocol without local health", false),
    ];
    for (variant, local_health_aware) in variants {
        let (downs, suspicions) = swim(local_health_aware);
        println!(
            "{variant}: {downs} live members held down, {suspicions} suspicions, {MEMBERS} members, {MINUTES} minutes"
        );
    }
    let downs = heartbeats();
    println!(
        "all-to-all heartbeats: {downs} live members held down, {MEMBERS} members, {MINUTES} minutes"
    );
}

/// Draws the servers that are paused in the next minute.
fn draw_paused(random: &mut Rand64) -> Vec<usize> {
    (0..MEMBERS)
        .filter(|_| random.rand_float() < PAUSED_FRACTION)
        .collect()
}

/// Returns the number of down declarations and of suspicions of the membership protocol.
fn swim(local_health_aware: bool) -> (u64, u64) {
    let setup = FleetSetup {
        local_health_aware,
        ..FleetSetup::of(MEMBERS)
    };
    let mut fleet = SimulatedFleet::new(setup, FLEET_SEED);
    act(&mut fleet, lossy_network(LOSS));
    start_all(&mut fleet, 0..MEMBERS);
    settle(&mut fleet);
    let mut random = Rand64::new(PAUSE_SEED);
    for _ in 0..MINUTES {
        let paused = draw_paused(&mut random);
        for server in &paused {
            act(&mut fleet, Action::Stop(*server));
        }
        fleet.run(Duration::from_millis(PAUSE_MS));
        for server in &paused {
            act(&mut fleet, Action::Continue(*server));
        }
        fleet.run(Duration::from_millis(MINUTE_MS - PAUSE_MS));
    }
    let counters = fleet.running().map(|(_, members)| members.counters());
    counters.fold((0, 0), |(downs, suspicions), counters| {
        (
            downs + counters.down_declarations,
            suspicions + counters.suspicions,
        )
    })
}

/// Returns how often a server's view of another one changed from up to down under heartbeats.
fn heartbeats() -> u64 {
    let mut fleet = Heartbeats::new(MEMBERS, LOSS, FLEET_SEED);
    let mut random = Rand64::new(PAUSE_SEED);
    let mut downs = 0;
    // Whether each member was up in each observer's view before, by observer and member.
    let mut was_up = vec![true; MEMBERS * MEMBERS];
    fleet.settle();
    for _ in 0..MINUTES {
        let began = fleet.now();
        for server in draw_paused(&mut random) {
            fleet.pause(server, began + PAUSE_MS as f64 / 1e3);
        }
        while fleet.now() - began < MINUTE_MS as f64 / 1e3 {
            fleet.step();
            downs += new_downs(&fleet, &mut was_up);
        }
    }
    downs
}

/// Counts the members that went down in the view of a server that is not paused, and updates
/// `was_up`.
fn new_downs(fleet: &Heartbeats, was_up: &mut [bool]) -> u64 {
    let mut downs = 0;
    for observer in (0..MEMBERS).filter(|observer| !fleet.is_paused(*observer)) {
        for member in (0..MEMBERS).filter(|member| *member != observer) {
            let is_up = fleet.is_up(observer, member);
            let was_up_before = std::mem::replace(&mut was_up[observer * MEMBERS + member], is_up);
            downs += u64::from(was_up_before && !is_up);
        }
    }
    downs
}
