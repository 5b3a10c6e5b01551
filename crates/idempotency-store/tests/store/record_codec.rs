//! Tests of the encoding of single records.

use madderbay_idempotency_store::record::{
    DecodeError, INTENT_BYTES, KEY_RECORD_BYTES, MAX_BODY_BYTES, Record,
};

fn encoded(record: &Record) -> Vec<u8> {
    let mut bytes = vec![];
    record.encode(&mut bytes);
    bytes
}

fn one_record_of_each_kind() -> [Record; 4] {
    let key = 0x0123_4567_89ab_cdef_0011_2233_4455_6677;
    let attempt_id = *b"0000000000000001";
    [
        Record::Intent {
            key,
            request_hash: 7,
            expires_at_micros: 11,
            attempt_id,
        },
        Record::Completed {
            key,
            result: b"\"WFla\""[..].into(),
        },
        Record::NoResult { key },
        Record::NotRun { key },
    ]
}

#[test]
fn decodes_encoded_records() {
    let sizes = [
        INTENT_BYTES,
        KEY_RECORD_BYTES + 6,
        KEY_RECORD_BYTES,
        KEY_RECORD_BYTES,
    ];
    for (record, size_bytes) in one_record_of_each_kind().into_iter().zip(sizes) {
        let mut bytes = encoded(&record);
        assert_eq!((bytes.len(), record.size_bytes()), (size_bytes, size_bytes));
        bytes.extend_from_slice(b"more");
        let decoded = Record::decode(&bytes).expect("decoded");
        assert_eq!((decoded.record, decoded.size_bytes), (record, size_bytes));
    }
}

#[test]
fn rejects_truncated_record() {
    for record in one_record_of_each_kind() {
        let bytes = encoded(&record);
        for length in 0..bytes.len() {
            assert_eq!(
                Record::decode(&bytes[..length]),
                Err(DecodeError::Truncated)
            );
        }
    }
}

#[test]
fn rejects_length_out_of_range() {
    for length_bytes in [0, 16, MAX_BODY_BYTES + 1] {
        let mut bytes = vec![0; 8 + length_bytes];
        bytes[..4].copy_from_slice(&(length_bytes as u32).to_le_bytes());
        assert_eq!(
            Record::decode(&bytes),
            Err(DecodeError::InvalidLength { length_bytes })
        );
    }
}

#[test]
fn rejects_changed_byte_and_unknown_kind() {
    let mut bytes = encoded(&one_record_of_each_kind()[2]);
    bytes[8] = 9;
    assert_eq!(Record::decode(&bytes), Err(DecodeError::ChecksumMismatch));
    let checksum = crc32c::crc32c(&bytes[8..]);
    bytes[4..8].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(
        Record::decode(&bytes),
        Err(DecodeError::InvalidPayload { kind: 9 })
    );
}
