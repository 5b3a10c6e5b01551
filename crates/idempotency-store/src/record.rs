//! The records of the log and their encoding.
//!
//! ```text
//! record       length:u32 checksum:u32 | kind:u8 payload
//! intent 1     key:16 request_hash:u64 expires_at:u64 attempt_id:16
//! completed 2  key:16 result
//! no result 3  key:16
//! not run 4    key:16
//! ```
//!
//! The length and the checksum (CRC-32C) cover the kind and the payload. All numbers are
//! little-endian, and times are in Unix microseconds. A result is stored exactly as the run
//! returned it.

/// Identifies an idempotent request. All attempts of the request share the key.
pub type IdempotencyKey = u128;

/// Identifies one attempt of a request.
pub type AttemptId = [u8; 16];

/// Size in bytes of the length and the checksum that precede the kind of a record.
const FRAME_BYTES: usize = 8;
/// Size in bytes of the kind and the key, which every record has.
const KIND_AND_KEY_BYTES: usize = 17;
/// Size in bytes of the fields of an intent after its key.
const INTENT_FIELDS_BYTES: usize = 32;
/// Upper bound on the size of the kind and the payload of a record together, in bytes. It
/// exceeds the size of any result.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Encoded size in bytes of a record whose payload is only a key.
pub const KEY_RECORD_BYTES: usize = FRAME_BYTES + KIND_AND_KEY_BYTES;
/// Encoded size in bytes of an intent.
pub const INTENT_BYTES: usize = KEY_RECORD_BYTES + INTENT_FIELDS_BYTES;

const KIND_INTENT: u8 = 1;
const KIND_COMPLETED: u8 = 2;
const KIND_NO_RESULT: u8 = 3;
const KIND_NOT_RUN: u8 = 4;

/// One step in the life of an idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A run of the request is about to be started.
    Intent {
        /// Key of the request.
        key: IdempotencyKey,
        /// Hash of the handler and the body of the request.
        request_hash: u64,
        /// End of the period in which a client may send the key again, in Unix microseconds.
        expires_at_micros: u64,
        /// The attempt that starts the run.
        attempt_id: AttemptId,
    },
    /// The run returned a result.
    Completed {
        /// Key of the request.
        key: IdempotencyKey,
        /// The result as the run returned it.
        result: Box<[u8]>,
    },
    /// The run ended, but no result is available.
    NoResult {
        /// Key of the request.
        key: IdempotencyKey,
    },
    /// The run announced by the intent did not start and never will.
    NotRun {
        /// Key of the request.
        key: IdempotencyKey,
    },
}

/// A record with its encoded size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedRecord {
    /// The record.
    pub record: Record,
    /// Number of bytes that the encoded record occupies.
    pub size_bytes: usize,
}

/// The reason why a byte slice does not begin with a complete record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes end within the record.
    #[error("the record is truncated")]
    Truncated,
    /// The length field is out of range.
    #[error("the record has an invalid length of {length_bytes} bytes")]
    InvalidLength {
        /// The stored length.
        length_bytes: usize,
    },
    /// The checksum does not match the kind and the payload.
    #[error("the checksum of the record does not match")]
    ChecksumMismatch,
    /// The kind is unknown, or the payload has the wrong length for it.
    #[error("the record of kind {kind} has an invalid payload")]
    InvalidPayload {
        /// The stored kind.
        kind: u8,
    },
}

impl Record {
    /// Returns the key of the request that the record belongs to.
    pub fn key(&self) -> IdempotencyKey {
        match self {
            Record::Intent { key, .. }
            | Record::Completed { key, .. }
            | Record::NoResult { key }
            | Record::NotRun { key } => *key,
        }
    }

    /// Returns the encoded size in bytes.
    pub fn size_bytes(&self) -> usize {
        match self {
            Record::Intent { .. } => INTENT_BYTES,
            Record::Completed { result, .. } => KEY_RECORD_BYTES + result.len(),
            Record::NoResult { .. } | Record::NotRun { .. } => KEY_RECORD_BYTES,
        }
    }

    /// Appends the encoded record to `buffer`.
    pub fn encode(&self, buffer: &mut Vec<u8>) {
        let start = buffer.len();
        buffer.extend_from_slice(&[0; FRAME_BYTES]);
        buffer.push(self.kind());
        buffer.extend_from_slice(&self.key().to_le_bytes());
        match self {
            Record::Intent {
                request_hash,
                expires_at_micros,
                attempt_id,
                ..
            } => {
                buffer.extend_from_slice(&request_hash.to_le_bytes());
                buffer.extend_from_slice(&expires_at_micros.to_le_bytes());
                buffer.extend_from_slice(attempt_id);
            }
            Record::Completed { result, .. } => buffer.extend_from_slice(result),
            Record::NoResult { .. } | Record::NotRun { .. } => {}
        }
        let (frame, body) = buffer[start..].split_at_mut(FRAME_BYTES);
        frame[..4].copy_from_slice(&(body.len() as u32).to_le_bytes());
        frame[4..].copy_from_slice(&crc32c::crc32c(body).to_le_bytes());
    }

    /// Decodes the record at the start of `bytes`. Bytes after the record are ignored.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if `bytes` does not begin with a complete record.
    pub fn decode(bytes: &[u8]) -> Result<DecodedRecord, DecodeError> {
        let (length, rest) = bytes.split_first_chunk().ok_or(DecodeError::Truncated)?;
        let (checksum, rest) = rest.split_first_chunk().ok_or(DecodeError::Truncated)?;
        let length_bytes = u32::from_le_bytes(*length) as usize;
        if !(KIND_AND_KEY_BYTES..=MAX_BODY_BYTES).contains(&length_bytes) {
            return Err(DecodeError::InvalidLength { length_bytes });
        }
        let body = rest.get(..length_bytes).ok_or(DecodeError::Truncated)?;
        if crc32c::crc32c(body) != u32::from_le_bytes(*checksum) {
            return Err(DecodeError::ChecksumMismatch);
        }
        Ok(DecodedRecord {
            record: decode_body(body)?,
            size_bytes: FRAME_BYTES + length_bytes,
        })
    }

    fn kind(&self) -> u8 {
        match self {
            Record::Intent { .. } => KIND_INTENT,
            Record::Completed { .. } => KIND_COMPLETED,
            Record::NoResult { .. } => KIND_NO_RESULT,
            Record::NotRun { .. } => KIND_NOT_RUN,
        }
    }
}

/// Decodes the kind and the payload of a record, after its checksum has been verified.
fn decode_body(body: &[u8]) -> Result<Record, DecodeError> {
    let (kind, payload) = body.split_first().ok_or(DecodeError::Truncated)?;
    let (key, fields) = payload.split_first_chunk().ok_or(DecodeError::Truncated)?;
    let key = IdempotencyKey::from_le_bytes(*key);
    match (*kind, fields.len()) {
        (KIND_INTENT, INTENT_FIELDS_BYTES) => decode_intent(key, fields),
        (KIND_COMPLETED, _) => Ok(Record::Completed {
            key,
            result: fields.into(),
        }),
        (KIND_NO_RESULT, 0) => Ok(Record::NoResult { key }),
        (KIND_NOT_RUN, 0) => Ok(Record::NotRun { key }),
        (kind, _) => Err(DecodeError::InvalidPayload { kind }),
    }
}

fn decode_intent(key: IdempotencyKey, fields: &[u8]) -> Result<Record, DecodeError> {
    let (request_hash, fields) = fields.split_first_chunk().ok_or(DecodeError::Truncated)?;
    let (expires_at, fields) = fields.split_first_chunk().ok_or(DecodeError::Truncated)?;
    let attempt_id = fields.try_into().map_err(|_| DecodeError::Truncated)?;
    Ok(Record::Intent {
        key,
        request_hash: u64::from_le_bytes(*request_hash),
        expires_at_micros: u64::from_le_bytes(*expires_at),
        attempt_id,
    })
}
