//! Whatever comes in: the view stays bounded and sound, and nothing goes out that nobody asked for.

use madderbay::time::{Duration, Timestamp};
use madderbay_membership::{
    AllowedNetworks, MemberState, Membership, STRANGERS, Settings, Stranger,
};
use proptest::prelude::*;
use std::net::SocketAddr;

const MOST: usize = 5;

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + n).into()
}

fn settings(n: u16, fleet: &str) -> Settings {
    Settings {
        name: format!("n{n}").into(),
        advertise: address(n),
        zone: "north".into(),
        fleet: fleet.into(),
        join: vec![address(1)],
        allowed_networks: AllowedNetworks::new(["127.0.0.0/8".parse().expect("a network")]),
        max_members: MOST,
        probe_interval: Duration::from_millis(500),
        probe_timeout: Duration::from_millis(200),
        suspicion_timeout: Duration::from_millis(3_000),
        down_retention: Duration::from_millis(10_000),
        local_health_aware: true,
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

fn member(n: u16, fleet: &str) -> Membership {
    Membership::new(at(0), 1_764_576_000_000, u64::from(n), settings(n, fleet))
}

/// Lets some speak with each other for a while; gives all that was said, with who it went to.
fn speak(all: &mut [Membership], from_ms: u64, to_ms: u64) -> Vec<(SocketAddr, Vec<u8>)> {
    let mut said = vec![];
    for ms in (from_ms..to_ms).step_by(10) {
        let mut out = vec![];
        for m in all.iter_mut() {
            m.handle_timeout(at(ms));
            let own = m.local_identity().address;
            out.extend(
                m.take_outgoing()
                    .into_iter()
                    .map(|(to, bytes)| (own, to, bytes)),
            );
        }
        for (from, to, bytes) in out {
            if let Some(m) = all.iter_mut().find(|m| m.local_identity().address == to) {
                m.received(at(ms), from, &bytes);
            }
            said.push((to, bytes));
        }
    }
    said
}

fn strangers(m: &Membership, why: Stranger) -> u64 {
    m.counters.strangers[STRANGERS.iter().position(|s| s.0 == why).expect("listed")]
}

#[test]
fn strangers_are_told_apart_and_not_heard() {
    let mut own = member(1, "bookings");
    let mut other = member(2, "payments");
    other.handle_timeout(at(0));
    let (_, foreign) = other.take_outgoing().remove(0);
    own.received(at(1), address(2), &foreign);
    assert_eq!(strangers(&own, Stranger::Fleet), 1);
    let mut friend = member(3, "bookings");
    friend.handle_timeout(at(0));
    let (_, good) = friend.take_outgoing().remove(0);
    own.received(at(1), ([192, 0, 2, 1], 9).into(), &good);
    assert_eq!(strangers(&own, Stranger::Network), 1);
    let spoilt = |at: usize| {
        let mut bytes = good.clone();
        bytes[at] ^= 1;
        bytes
    };
    own.received(at(1), address(3), &spoilt(2));
    assert_eq!(strangers(&own, Stranger::Version), 1);
    own.received(at(1), address(3), &spoilt(good.len() - 1));
    own.received(at(1), address(3), &spoilt(20));
    assert_eq!(strangers(&own, Stranger::Checksum), 2);
    own.received(at(1), address(3), &good[..10]);
    own.received(at(1), address(3), &[0; 1_401]);
    assert_eq!(strangers(&own, Stranger::Nonsense), 2);
    assert_eq!(own.active_count(), 0);
    assert!(
        own.take_outgoing().is_empty(),
        "nothing is said to strangers"
    );
    own.received(at(1), address(3), &good);
    assert_eq!(own.active_count(), 1);
}

/// A table that is full takes nobody in; those who are in go on, and a place that is free is taken.
#[test]
fn a_view_at_its_bound() {
    let mut all: Vec<Membership> = (1..=9).map(|n| member(n, "bookings")).collect();
    speak(&mut all, 0, 8_000);
    for m in &all {
        assert!(
            m.view().members.len() <= MOST + 1,
            "{} holds {}",
            m.local_identity().name,
            m.view().members.len()
        );
    }
    assert!(
        all.iter().filter(|m| m.active_count() > 0).count() > MOST,
        "the others go on"
    );
    assert!(all.iter().any(|m| strangers(m, Stranger::Full) > 0));
    all.truncate(MOST + 1);
    speak(&mut all, 8_000, 40_000);
    for m in &all {
        assert_eq!(m.active_count(), MOST, "{}", m.local_identity().name);
    }
}

/// Nobody is down by hearsay, whatever one that has been held up says.
#[test]
fn a_server_that_was_held_up_accuses_nobody() {
    let mut all: Vec<Membership> = (1..=4).map(|n| member(n, "bookings")).collect();
    speak(&mut all, 0, 5_000);
    // The first sleeps for 20 s; the others are silent towards it for a second after it wakes.
    for ms in (5_000..25_000).step_by(10) {
        speak(&mut all[1..], ms, ms + 10);
    }
    let before = all[0].counters.suspicions;
    for ms in (25_000..25_900).step_by(10) {
        all[0].handle_timeout(at(ms));
        all[0].take_outgoing();
    }
    assert_eq!(all[0].counters.suspicions, before);
    assert!(all[0].is_degraded());
    speak(&mut all, 25_900, 40_000);
    for m in &all {
        assert_eq!(
            (m.active_count(), m.member_state("n1")),
            (3, Some(MemberState::Alive)),
            "{}",
            m.local_identity().name
        );
    }
}

/// A datagram with a right checksum that names this server at another address: nobody answers there, so it goes
/// on under its name, and its word for itself outlives the wrong one.
#[test]
fn a_wrong_word_about_the_own_name_silences_nobody() {
    let mut all: Vec<Membership> = (1..=3).map(|n| member(n, "bookings")).collect();
    let said = speak(&mut all, 0, 3_000);
    let own = [b"n1\0\x7f\0\0\x01".as_slice(), &[0xe9, 7]].concat();
    let mut met = 0;
    for (_, true_one) in said.iter().filter(|s| s.0 == address(1)) {
        for place in 25..true_one.len() - own.len() {
            if true_one[place..].starts_with(&own) {
                let mut wrong = true_one.clone();
                wrong[place + 6] = 3;
                let sum = crc32c::crc32c_append(crc32c::crc32c(&wrong[..21]), &wrong[25..]);
                wrong[21..25].copy_from_slice(&sum.to_le_bytes());
                all[0].received(at(3_000 + met), address(2), &wrong);
                met += 1;
            }
        }
    }
    assert!(met > 10, "{met} words were changed");
    assert_eq!(all[0].member_state("n1"), Some(MemberState::Alive));
    speak(&mut all, 4_000, 20_000);
    for m in &all {
        assert_eq!(
            (m.active_count(), m.member_state("n1")),
            (2, Some(MemberState::Alive)),
            "{}",
            m.local_identity().name
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Bytes of any kind, and true datagrams cut, spliced and changed behind a right checksum, in any order:
    /// no panic, tables within their bounds, nothing larger than a datagram goes out, and the fleet settles.
    #[test]
    fn any_bytes(noise in proptest::collection::vec(
        (any::<u16>(), 0u8..5, proptest::collection::vec(any::<u8>(), 0..80)), 1..60)) {
        let mut all: Vec<Membership> = (1..=3).map(|n| member(n, "bookings")).collect();
        let said = speak(&mut all, 0, 3_000);
        let mut ms = 3_000;
        for (pick, kind, bytes) in noise {
            let (_, true_one) = &said[usize::from(pick) % said.len()];
            let mut datagram = match kind {
                0 => bytes,
                1 => true_one[..usize::from(pick) % (true_one.len() + 1)].to_vec(),
                2 => [&true_one[..], &bytes].concat(),
                3 => {
                    let mut changed = true_one.clone();
                    for (i, b) in bytes.iter().enumerate() {
                        let len = changed.len();
                        changed[(usize::from(pick) * 7 + i * 13) % len] ^= b;
                    }
                    changed
                }
                _ => true_one.clone(),
            };
            if datagram.len() >= 25 {
                let sum = crc32c::crc32c_append(crc32c::crc32c(&datagram[..21]), &datagram[25..]);
                datagram[21..25].copy_from_slice(&sum.to_le_bytes());
            }
            ms += 1;
            all[0].received(at(ms), address(2), &datagram);
            for (_, out) in all[0].take_outgoing() {
                prop_assert!(out.len() <= madderbay_membership::MAX_DATAGRAM_BYTES);
            }
            prop_assert!(all[0].view().members.len() <= MOST + 1);
        }
        speak(&mut all, ms + 1, ms + 30_000);
        let named = |m: &Membership| m.view().members.iter().filter(|v| v.state == MemberState::Alive
            && ["n1", "n2", "n3"].contains(&v.name.as_str())).count();
        for m in &all {
            prop_assert_eq!(named(m), 3, "{} {:?}", m.local_identity().name, m.view().members);
        }
    }
}
