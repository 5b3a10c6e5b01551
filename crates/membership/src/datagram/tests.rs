//! Tests with the datagrams in `tests/data`, which an earlier release recorded, at least one of
//! each kind. They must still decode to the same content, and that content must encode to the same
//! bytes.

use super::*;
use crate::datagram_size::MAX_BODY_BYTES;
use crate::identity::Phase;
use foca::{Member, Message, State as SwimState};
use std::path::PathBuf;

const FLEET: &str = "bookings";
/// Digest of the complete view of four members, as all of them sent it.
const COMPLETE_DIGEST: u64 = 891_137_805_139_384_825;

fn data_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data")
}

fn recorded(name: &str) -> Vec<u8> {
    std::fs::read(data_folder().join(name).with_extension("bin")).expect("a recorded datagram")
}

fn decode_recorded(bytes: &[u8]) -> (Header, &[u8]) {
    decode(bytes, fleet_hash(FLEET)).expect("a valid datagram")
}

fn identity(n: u16, revision: u32, phase: Phase) -> MemberIdentity {
    MemberIdentity {
        name: format!("n{n}").into(),
        address: ([127, 0, 0, 1], 1_000 + n).into(),
        zone: "north".into(),
        incarnation: 1_764_576_000_000,
        revision,
        phase,
    }
}

/// A member that has joined.
fn joined(n: u16) -> MemberIdentity {
    identity(n, 1, Phase::Joined)
}

fn member(identity: MemberIdentity, state: SwimState) -> Member<MemberIdentity> {
    Member::new(identity, 0, state)
}

fn reencode(kind: DatagramKind, body: &[u8]) -> Vec<u8> {
    match kind {
        DatagramKind::Swim => reencode_swim(body),
        DatagramKind::Notice => reencode_as::<Notice>(body),
        DatagramKind::RosterRequest => reencode_as::<RosterRequest>(body),
        DatagramKind::RosterPage => reencode_as::<RosterPage>(body),
        DatagramKind::SubsystemMessage => reencode_as::<SubsystemMessage>(body),
    }
}

/// Foca encodes the number of updates even if there are none, whereas this crate's own pings omit
/// it.
fn reencode_swim(body: &[u8]) -> Vec<u8> {
    let packet = SwimPacket::decode(body).expect("a packet");
    let mut reencoded = packet.encode();
    if packet.updates.is_empty() && body.len() == reencoded.len() + 2 {
        reencoded.extend([0, 0]);
    }
    reencoded
}

fn reencode_as<'a, T: serde::Serialize + serde::Deserialize<'a>>(body: &'a [u8]) -> Vec<u8> {
    encode_body(&decode_body::<T>(body).expect("a body")).expect("fits in a datagram")
}

#[test]
fn recorded_datagrams_encode_to_the_same_bytes() {
    let mut kinds = [0; KINDS.len()];
    for entry in std::fs::read_dir(data_folder()).expect("the folder") {
        let path = entry.expect("an entry").path();
        let bytes = std::fs::read(&path).expect("a recorded datagram");
        let (header, body) = decode_recorded(&bytes);
        let reencoded = encode(header, fleet_hash(FLEET), &reencode(header.kind, body));
        assert_eq!(reencoded, bytes, "{}", path.display());
        kinds[header.kind as usize] += 1;
    }
    assert_eq!(kinds, [14, 3, 1, 1, 2], "recorded datagrams by kind");
}

/// Checks a recorded SWIM message whose sender and receiver have joined.
fn check_swim(name: &str, message: Message<MemberIdentity>, from: u16, to: u16) {
    let bytes = recorded(name);
    let (header, body) = decode_recorded(&bytes);
    let expected = Header {
        kind: DatagramKind::Swim,
        digest: COMPLETE_DIGEST,
        health_score: 0,
    };
    assert_eq!(header, expected, "{name}");
    let packet = SwimPacket::decode(body).expect("a packet");
    assert_eq!(packet.header.message, message, "{name}");
    assert_eq!(
        (packet.header.src, packet.header.dst),
        (joined(from), joined(to)),
        "{name}"
    );
    assert_eq!(packet.header.src_incarnation, 0, "{name}");
    let updates = if name.ends_with("updates") {
        vec![member(joined(3), SwimState::Suspect)]
    } else {
        vec![]
    };
    assert_eq!(packet.updates, updates, "{name}");
}

#[test]
fn recorded_probes_decode_to_their_content() {
    let (target, origin, probe_number) = (joined(4), joined(1), 12);
    check_swim("swim-ping", Message::Ping(1), 1, 3);
    check_swim("swim-ping-with-updates", Message::Ping(21), 4, 1);
    check_swim("swim-ping-repeated", Message::Ping(12), 1, 4);
    check_swim("swim-ack", Message::Ack(1), 3, 1);
    check_swim("swim-ack-with-updates", Message::Ack(21), 1, 4);
    check_swim("swim-gossip", Message::Gossip, 4, 3);
    let request = Message::PingReq {
        target: target.clone(),
        probe_number,
    };
    check_swim("swim-ping-request", request, 1, 3);
    let ping = Message::IndirectPing {
        origin: origin.clone(),
        probe_number,
    };
    check_swim("swim-indirect-ping", ping, 2, 4);
    let ack = Message::IndirectAck {
        target: origin,
        probe_number,
    };
    check_swim("swim-indirect-ack", ack, 4, 2);
    let forwarded = Message::ForwardedAck {
        origin: target,
        probe_number,
    };
    check_swim("swim-forwarded-ack", forwarded, 2, 1);
}

#[test]
fn recorded_join_and_leave_messages_decode_to_their_content() {
    let packet = |name| {
        let bytes = recorded(name);
        SwimPacket::decode(decode_recorded(&bytes).1).expect("a packet")
    };
    let announce = packet("swim-announce");
    assert_eq!(announce.header.message, Message::Announce);
    assert_eq!(announce.header.src, identity(2, 0, Phase::Joining));
    assert_eq!(
        announce.header.dst,
        MemberIdentity::unknown(joined(1).address)
    );
    let feed = packet("swim-feed");
    assert_eq!(feed.header.message, Message::Feed);
    assert_eq!(feed.header.dst, identity(4, 0, Phase::Joining));
    let joining = |n| member(identity(n, 0, Phase::Joining), SwimState::Alive);
    assert_eq!(feed.updates, [joining(2), joining(3)]);
    let gossip = packet("swim-gossip-with-updates");
    let former = member(identity(4, 0, Phase::Joining), SwimState::Down);
    let alive = member(joined(1), SwimState::Alive);
    assert_eq!(gossip.updates, [former, joining(3), alive, joining(2)]);
    let leaving = packet("swim-gossip-with-updates-leaving");
    assert_eq!(leaving.header.src, identity(4, 2, Phase::Left));
    assert_eq!(leaving.updates, [member(joined(4), SwimState::Down)]);
}

#[test]
fn recorded_notices_decode_to_their_content() {
    let renewed = identity(3, 2, Phase::Joined);
    let cases = [
        (
            "notice-alive",
            8,
            renewed.clone(),
            member(renewed, SwimState::Alive),
        ),
        (
            "notice-suspect",
            0,
            joined(1),
            member(joined(3), SwimState::Suspect),
        ),
        (
            "notice-down",
            0,
            joined(2),
            member(joined(3), SwimState::Down),
        ),
    ];
    for (name, health_score, from, about) in cases {
        let bytes = recorded(name);
        let (header, body) = decode_recorded(&bytes);
        assert_eq!(
            (header.kind, header.health_score),
            (DatagramKind::Notice, health_score)
        );
        let notice: Notice = decode_body(body).expect("a notice");
        assert_eq!((notice.from, notice.member), (from, about), "{name}");
    }
}

#[test]
fn recorded_roster_messages_decode_to_their_content() {
    let bytes = recorded("roster-request");
    let (header, body) = decode_recorded(&bytes);
    assert_eq!(
        (header.kind, header.health_score),
        (DatagramKind::RosterRequest, 8)
    );
    let request: RosterRequest = decode_body(body).expect("a request");
    assert_eq!((request.from, request.after.as_str()), (joined(3), ""));
    let buckets: Vec<(usize, u32)> = request
        .buckets
        .iter()
        .copied()
        .enumerate()
        .filter(|(_, hash)| *hash != 0)
        .collect();
    assert_eq!(request.buckets.len(), 64);
    let expected = [
        (2, 2_773_137_231),
        (20, 469_902_904),
        (33, 1_265_098_785),
        (51, 4_268_917_834),
    ];
    assert_eq!(buckets, expected);

    let bytes = recorded("roster-page");
    let (header, body) = decode_recorded(&bytes);
    assert_eq!(
        (header.kind, header.digest),
        (DatagramKind::RosterPage, COMPLETE_DIGEST)
    );
    let page: RosterPage = decode_body(body).expect("a page");
    assert_eq!((page.from, page.last), (joined(1), true));
    assert_eq!(
        page.members,
        [2, 3, 4].map(|n| member(joined(n), SwimState::Alive))
    );
}

#[test]
fn recorded_subsystem_messages_decode_to_their_content() {
    let cases: [(&str, Subsystem, &[u8]); 2] = [
        ("subsystem-message-quota", Subsystem::Quota, b"quota"),
        (
            "subsystem-message-upstream",
            Subsystem::Upstream,
            b"upstream",
        ),
    ];
    for (name, subsystem, payload) in cases {
        let bytes = recorded(name);
        let (header, body) = decode_recorded(&bytes);
        assert_eq!(header.kind, DatagramKind::SubsystemMessage);
        let message: SubsystemMessage = decode_body(body).expect("a message");
        assert_eq!(message.from, joined(1));
        assert_eq!((message.subsystem, message.payload), (subsystem, payload));
    }
}

#[test]
fn inspect_datagram_returns_kind_and_sender() {
    let inspect = |name| inspect_datagram(&recorded(name), FLEET);
    assert_eq!(inspect("swim-ping"), Ok((DatagramKind::Swim, joined(1))));
    assert_eq!(
        inspect("notice-down"),
        Ok((DatagramKind::Notice, joined(2)))
    );
    assert_eq!(
        inspect("roster-request"),
        Ok((DatagramKind::RosterRequest, joined(3)))
    );
    assert_eq!(
        inspect("roster-page"),
        Ok((DatagramKind::RosterPage, joined(1)))
    );
    let message = inspect("subsystem-message-quota");
    assert_eq!(message, Ok((DatagramKind::SubsystemMessage, joined(1))));
    let foreign = inspect_datagram(&recorded("swim-ping"), "payments");
    assert_eq!(foreign, Err(DatagramError::ForeignFleet));
}

#[test]
fn rejects_body_that_does_not_fit_in_a_datagram() {
    let message = |bytes: usize| {
        let payload = vec![0; bytes];
        let message = SubsystemMessage {
            from: joined(1),
            subsystem: Subsystem::Quota,
            payload: &payload,
        };
        encode_body(&message).map(|body| body.len())
    };
    assert_eq!(message(1_348), Ok(MAX_BODY_BYTES));
    let too_long = crate::error::EncodeError::TooLong {
        bytes: MAX_BODY_BYTES + 1,
    };
    assert_eq!(message(1_349), Err(too_long));
}
