//! Invalid, hostile and excessive input: the view stays bounded and correct, and nothing is sent to
//! servers outside the fleet.

mod support;

use madderbay_membership::{DatagramError, MAX_DATAGRAM_BYTES, MemberState, Membership};
use proptest::prelude::*;
use support::{MAX_MEMBERS, SentDatagram, address, at, run, server, server_of};

fn rejection_count(server: &Membership, reason: DatagramError) -> u64 {
    server.counters().rejected.get(reason)
}

/// Recomputes the checksum of a modified datagram, so that it passes the check.
fn fix_checksum(datagram: &mut [u8]) {
    if datagram.len() >= 25 {
        let sum = crc32c::crc32c_append(crc32c::crc32c(&datagram[..21]), &datagram[25..]);
        datagram[21..25].copy_from_slice(&sum.to_le_bytes());
    }
}

/// Returns the first datagram that a server sends.
fn first_datagram(server: &mut Membership) -> Vec<u8> {
    server.handle_timeout(at(0));
    server.take_outgoing().remove(0).1
}

#[test]
fn rejects_invalid_and_foreign_datagrams_by_reason() {
    let mut own = server(1);
    let foreign = first_datagram(&mut server_of(2, "payments"));
    own.handle_datagram(at(1), address(2), &foreign);
    assert_eq!(rejection_count(&own, DatagramError::ForeignFleet), 1);
    let valid = first_datagram(&mut server(3));
    own.handle_datagram(at(1), ([192, 0, 2, 1], 9).into(), &valid);
    assert_eq!(rejection_count(&own, DatagramError::NetworkNotAllowed), 1);
    let damaged = |index: usize| {
        let mut bytes = valid.clone();
        bytes[index] ^= 1;
        bytes
    };
    own.handle_datagram(at(1), address(3), &damaged(2));
    assert_eq!(rejection_count(&own, DatagramError::UnsupportedVersion), 1);
    own.handle_datagram(at(1), address(3), &damaged(valid.len() - 1));
    own.handle_datagram(at(1), address(3), &damaged(20));
    assert_eq!(rejection_count(&own, DatagramError::ChecksumMismatch), 2);
    own.handle_datagram(at(1), address(3), &valid[..10]);
    own.handle_datagram(at(1), address(3), &[0; 1_401]);
    assert_eq!(rejection_count(&own, DatagramError::Malformed), 2);
    assert_eq!(own.active_count(), 0);
    assert!(
        own.take_outgoing().is_empty(),
        "rejected datagrams get no answer"
    );
    own.handle_datagram(at(1), address(3), &valid);
    assert_eq!(own.active_count(), 1);
}

#[test]
fn full_table_admits_a_member_only_after_an_entry_is_free() {
    let mut servers: Vec<Membership> = (1..=9).map(server).collect();
    run(&mut servers, 0, 8_000);
    for s in &servers {
        let (name, entries) = (&s.local_identity().name, s.view().members.len());
        assert!(entries <= MAX_MEMBERS + 1, "{name} holds {entries}");
    }
    let admitted = servers.iter().filter(|s| s.active_count() > 0).count();
    assert!(
        admitted > MAX_MEMBERS,
        "servers in a full table remain members"
    );
    assert!(
        servers
            .iter()
            .any(|s| rejection_count(s, DatagramError::TableFull) > 0)
    );
    servers.truncate(MAX_MEMBERS + 1);
    run(&mut servers, 8_000, 40_000);
    for s in &servers {
        assert_eq!(s.active_count(), MAX_MEMBERS, "{}", s.local_identity().name);
    }
}

#[test]
fn paused_server_suspects_no_member() {
    let mut servers: Vec<Membership> = (1..=4).map(server).collect();
    run(&mut servers, 0, 5_000);
    // The first server is paused for 20 s and receives nothing for almost another second.
    for ms in (5_000..25_000).step_by(10) {
        run(&mut servers[1..], ms, ms + 10);
    }
    let before = servers[0].counters().suspicions;
    for ms in (25_000..25_900).step_by(10) {
        servers[0].handle_timeout(at(ms));
        servers[0].take_outgoing();
    }
    assert_eq!(servers[0].counters().suspicions, before);
    assert!(servers[0].is_degraded());
    run(&mut servers, 25_900, 40_000);
    for s in &servers {
        let expected = (3, Some(MemberState::Alive));
        let name = &s.local_identity().name;
        assert_eq!((s.active_count(), s.member_state("n1")), expected, "{name}");
    }
}

/// A datagram with a valid checksum reports this server's name at another address. Nothing answers
/// at that address, so the server keeps its name, and its own claim prevails.
#[test]
fn wrong_report_about_own_name_does_not_silence_a_server() {
    let mut servers: Vec<Membership> = (1..=3).map(server).collect();
    let sent = run(&mut servers, 0, 3_000);
    let own = [b"n1\0\x7f\0\0\x01".as_slice(), &[0xe9, 7]].concat();
    let mut changed = 0;
    for SentDatagram { bytes, .. } in sent.iter().filter(|s| s.to == address(1)) {
        for index in 25..bytes.len() - own.len() {
            if bytes[index..].starts_with(&own) {
                let mut wrong = bytes.clone();
                wrong[index + 6] = 3;
                fix_checksum(&mut wrong);
                servers[0].handle_datagram(at(3_000 + changed), address(2), &wrong);
                changed += 1;
            }
        }
    }
    assert!(changed > 10, "{changed} identities were changed");
    assert_eq!(servers[0].member_state("n1"), Some(MemberState::Alive));
    run(&mut servers, 4_000, 20_000);
    for s in &servers {
        let expected = (2, Some(MemberState::Alive));
        let name = &s.local_identity().name;
        assert_eq!((s.active_count(), s.member_state("n1")), expected, "{name}");
    }
}

/// Input of the property test: which sent datagram to take, how to modify it, and bytes for the
/// modification.
type FuzzInput = (u16, u8, Vec<u8>);

/// Returns a datagram that is arbitrary or derived from a valid one: truncated, extended, modified
/// or unchanged.
fn fuzzed_datagram(valid: &[u8], (pick, kind, random_bytes): FuzzInput) -> Vec<u8> {
    let mut datagram = match kind {
        0 => random_bytes,
        1 => valid[..usize::from(pick) % (valid.len() + 1)].to_vec(),
        2 => [valid, &random_bytes].concat(),
        3 => {
            let mut changed = valid.to_vec();
            for (i, byte) in random_bytes.iter().enumerate() {
                changed[(usize::from(pick) * 7 + i * 13) % valid.len()] ^= byte;
            }
            changed
        }
        _ => valid.to_vec(),
    };
    fix_checksum(&mut datagram);
    datagram
}

/// Returns how many of the three servers are alive in a server's view.
fn alive_servers(server: &Membership) -> usize {
    let members = server.view().members;
    let alive = members.iter().filter(|m| m.state == MemberState::Alive);
    alive
        .filter(|m| ["n1", "n2", "n3"].contains(&m.name.as_str()))
        .count()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No input causes a panic, an unbounded table or an oversized datagram, and the fleet
    /// converges afterwards.
    #[test]
    fn fleet_survives_arbitrary_datagrams(inputs in proptest::collection::vec(
        (any::<u16>(), 0u8..5, proptest::collection::vec(any::<u8>(), 0..80)), 1..60)) {
        let mut servers: Vec<Membership> = (1..=3).map(server).collect();
        let sent = run(&mut servers, 0, 3_000);
        let mut ms = 3_000;
        for input in inputs {
            let valid = &sent[usize::from(input.0) % sent.len()].bytes;
            ms += 1;
            servers[0].handle_datagram(at(ms), address(2), &fuzzed_datagram(valid, input));
            for (_, bytes) in servers[0].take_outgoing() {
                prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            }
            prop_assert!(servers[0].view().members.len() <= MAX_MEMBERS + 1);
        }
        run(&mut servers, ms + 1, ms + 30_000);
        for s in &servers {
            let name = &s.local_identity().name;
            prop_assert_eq!(alive_servers(s), 3, "{} {:?}", name, s.view().members);
        }
    }
}
