//! Datagrams that an earlier release recorded are passed to a server, which must accept them and
//! answer as that release did.

mod support;

use madderbay_membership::{DatagramKind, Membership, inspect_datagram};
use std::path::Path;
use support::{address, at, run, server};

fn recorded(name: &str) -> Vec<u8> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    std::fs::read(folder.join(name).with_extension("bin")).expect("a recorded datagram")
}

/// Returns the n-th of four servers whose views are complete, as in the recording.
fn converged_server(n: usize) -> Membership {
    let mut servers: Vec<Membership> = (1..=4).map(server).collect();
    run(&mut servers, 0, 5_000);
    let mut server = servers.remove(n - 1);
    server.take_outgoing();
    server
}

fn kind(bytes: &[u8]) -> DatagramKind {
    inspect_datagram(bytes, "bookings")
        .expect("a valid datagram")
        .0
}

/// Returns the kinds of a converged server's answers to a recorded datagram, which it must accept.
fn answer_kinds(name: &str, from: u16, to: u16) -> Vec<DatagramKind> {
    let mut receiver = converged_server(usize::from(to));
    receiver.handle_datagram(at(5_000), address(from), &recorded(name));
    let rejected: u64 = receiver
        .counters()
        .rejected
        .iter()
        .map(|(_, count)| count)
        .sum();
    assert_eq!(rejected, 0, "{name}");
    assert_eq!(receiver.active_count(), 3, "{name}");
    receiver
        .take_outgoing()
        .iter()
        .map(|(_, bytes)| kind(bytes))
        .collect()
}

#[test]
fn accepts_recorded_swim_messages() {
    let swim = [DatagramKind::Swim];
    assert_eq!(answer_kinds("swim-ping", 1, 3), swim);
    assert_eq!(answer_kinds("swim-ping-repeated", 1, 4), swim);
    assert_eq!(answer_kinds("swim-ping-request", 1, 3), swim);
    assert_eq!(answer_kinds("swim-indirect-ping", 2, 4), swim);
    assert_eq!(answer_kinds("swim-indirect-ack", 4, 2), swim);
    assert_eq!(answer_kinds("swim-gossip", 4, 3), []);
    assert_eq!(answer_kinds("swim-ack", 3, 1), []);
}

#[test]
fn answers_recorded_announcement_with_its_members() {
    let mut first = server(1);
    first.handle_timeout(at(0));
    first.handle_datagram(at(1), address(2), &recorded("swim-announce"));
    let sent = first.take_outgoing();
    assert!(
        sent.iter()
            .any(|(to, bytes)| *to == address(2) && kind(bytes) == DatagramKind::Swim)
    );
    assert_eq!(first.active_count(), 1);
    assert!(first.member("n2").is_some());
}

#[test]
fn learns_members_from_recorded_feed() {
    let mut fourth = server(4);
    fourth.handle_timeout(at(0));
    fourth.handle_datagram(at(1), address(1), &recorded("swim-feed"));
    assert_eq!(fourth.active_count(), 3);
}

#[test]
fn answers_recorded_roster_request_with_a_page() {
    let sent = answer_kinds("roster-request", 3, 1);
    assert_eq!(sent, [DatagramKind::RosterPage]);
}

#[test]
fn ignores_recorded_page_that_it_did_not_request() {
    assert_eq!(answer_kinds("roster-page", 1, 2), []);
}

#[test]
fn refutes_recorded_suspicion() {
    // The server gossips the refutation to three members and answers the sender.
    let gossip = DatagramKind::Swim;
    let expected = [gossip, gossip, gossip, DatagramKind::Notice];
    assert_eq!(answer_kinds("notice-suspect", 1, 3), expected);
}

#[test]
fn renews_identity_after_recorded_notice_that_it_is_down() {
    let mut third = converged_server(3);
    let before = third.local_identity().revision;
    third.handle_datagram(at(5_000), address(2), &recorded("notice-down"));
    assert_eq!(third.local_identity().revision, before + 1);
    assert_eq!(third.counters().identity_renewals, 1);
}

#[test]
fn delivers_recorded_subsystem_message() {
    let mut second = converged_server(2);
    second.handle_datagram(at(5_000), address(1), &recorded("subsystem-message-quota"));
    let messages = second.take_subsystem_messages();
    assert_eq!(messages.len(), 1);
    assert_eq!(
        (messages[0].from.as_str(), messages[0].payload.as_slice()),
        ("n1", b"quota".as_slice())
    );
}
