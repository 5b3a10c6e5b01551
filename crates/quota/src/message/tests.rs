//! Compatibility with datagrams that an earlier version sent: see `tests/data/README.md`.

use super::*;

const TRIP_BOOK: &str = "trip-book";
const FARES: &str = "fares";
/// Incarnation numbers of the servers in slots 1 to 3 of the recorded fleet.
const INCARNATIONS: [u64; 3] = [
    0x1234_5678_9abc_0000,
    0x1234_5678_9abc_0001,
    0x1234_5678_9abc_0002,
];

/// Returns a datagram with one message from the server in `from_slot` to the server in `to_slot`,
/// as in the recorded fleet.
fn datagram(from_slot: u32, to_slot: u32, message: Message) -> Datagram {
    let incarnation = |slot: u32| INCARNATIONS[slot as usize - 1];
    Datagram {
        from_incarnation: incarnation(from_slot),
        to_incarnation: incarnation(to_slot),
        from_slot,
        messages: vec![message],
    }
}

/// Checks that the bytes decode to the datagram and that the datagram encodes to the bytes.
fn check_codec(bytes: &[u8], expected: &Datagram) {
    assert_eq!(Datagram::decode(bytes).as_ref(), Ok(expected));
    assert_eq!(expected.encode().as_deref(), Ok(bytes));
}

#[test]
fn recorded_lease_request_round_trips() {
    let request = LeaseRequest {
        budget_hash: name_hash(TRIP_BOOK),
        request_id: 2,
        units: 8,
        other_units: 11,
        demand: 32,
        weight: 1.0,
    };
    let bytes = include_bytes!("../../tests/data/ask.bin");
    check_codec(bytes, &datagram(1, 3, Message::LeaseRequest(request)));
}

#[test]
fn recorded_lease_grants_round_trip() {
    let granted = LeaseGrant {
        budget_hash: name_hash(TRIP_BOOK),
        request_id: 48,
        units: 2,
        available: 1,
    };
    let bytes = include_bytes!("../../tests/data/grant.bin");
    check_codec(bytes, &datagram(2, 3, Message::LeaseGrant(granted)));
    let nothing_granted = LeaseGrant {
        budget_hash: name_hash(FARES),
        request_id: 2,
        units: 0,
        available: 0,
    };
    let bytes = include_bytes!("../../tests/data/grant-nothing-spare.bin");
    check_codec(bytes, &datagram(1, 2, Message::LeaseGrant(nothing_granted)));
}

#[test]
fn recorded_lease_return_round_trips() {
    let returned = LeaseReturn {
        budget_hash: name_hash(TRIP_BOOK),
        request_id: 29,
        kept_units: 2,
    };
    let bytes = include_bytes!("../../tests/data/back.bin");
    check_codec(bytes, &datagram(1, 3, Message::LeaseReturn(returned)));
}

#[test]
fn recorded_lease_recall_round_trips() {
    let recall = LeaseRecall {
        budget_hash: name_hash(TRIP_BOOK),
        kept_units: 4,
    };
    let bytes = include_bytes!("../../tests/data/recall.bin");
    check_codec(bytes, &datagram(3, 1, Message::LeaseRecall(recall)));
}

#[test]
fn recorded_offer_of_units_round_trips() {
    let offer = UnitsAvailable {
        budget_hash: name_hash(FARES),
        units: 1,
    };
    let bytes = include_bytes!("../../tests/data/spare.bin");
    check_codec(bytes, &datagram(2, 3, Message::UnitsAvailable(offer)));
}

#[test]
fn recorded_counter_poll_round_trips() {
    let bytes = include_bytes!("../../tests/data/pull.bin");
    check_codec(
        bytes,
        &datagram(2, 1, Message::CounterPoll(CounterPoll { poll_id: 2 })),
    );
}

#[test]
fn recorded_counter_reply_round_trips() {
    let bytes = include_bytes!("../../tests/data/cells.bin");
    let decoded = Datagram::decode(bytes).expect("datagram decodes");
    assert_eq!(decoded.encode().as_deref(), Ok(bytes.as_slice()));
    let [Message::CounterReply(reply)] = decoded.messages.as_slice() else {
        panic!("unexpected messages: {decoded:?}");
    };
    assert_eq!(reply.poll_id, 3);
    let [own, all_listed, unlisted] = reply.snapshots.as_slice() else {
        panic!("expected snapshots of three servers: {reply:?}");
    };
    assert_eq!(
        (own.server.as_str(), own.incarnation, own.time_slot),
        ("north-2", 41, 4)
    );
    assert_eq!((own.min_age_ms, own.max_age_ms), (36, 37));
    assert_eq!(
        (own.max_unlisted, own.max_light_key, own.sketch.len()),
        (0, 28, 64)
    );
    assert_eq!(own.heavy_keys.len(), 12);
    let heaviest = KeyCounts {
        key: 726_252_797,
        counts: vec![7, 11, 5, 7, 6],
    };
    assert_eq!(own.heavy_keys[0], heaviest);
    assert_eq!(
        (all_listed.server.as_str(), all_listed.heavy_keys.len()),
        ("north-1", 6)
    );
    assert_eq!((all_listed.max_light_key, all_listed.sketch.len()), (0, 0));
    assert_eq!(
        (unlisted.server.as_str(), unlisted.max_unlisted),
        ("south-1", 5)
    );
    assert!(
        reply
            .snapshots
            .iter()
            .all(|s| s.counter_hash == name_hash("tenants"))
    );
}

#[test]
fn malformed_datagrams_are_rejected() {
    let bytes = include_bytes!("../../tests/data/ask.bin");
    for length in 0..bytes.len() {
        let truncated = Datagram::decode(&bytes[..length]);
        assert!(
            matches!(truncated, Err(CodecError::Decode(_))),
            "{length} bytes: {truncated:?}"
        );
    }
}
