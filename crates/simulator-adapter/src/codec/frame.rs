//! The frame of a batch: a header of fixed length, followed by the records.

use super::field_reader::FieldReader;
use crate::error::AdapterError;
use madderbay::time::Timestamp;

/// Size of the record count in bytes. The length field in the header of a frame includes it.
pub(super) const RECORD_COUNT_BYTES: u32 = 4;

/// Header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// Time at which all events of the batch occur.
    pub clock: Timestamp,
    /// Length of the records, in bytes.
    pub body_length: u32,
    /// Number of records.
    pub record_count: u32,
}

impl BatchHeader {
    /// Length of an encoded header, in bytes.
    pub const ENCODED_LENGTH: usize = 16;

    /// Decodes a header.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] if `bytes` is shorter than a header, and
    /// [`AdapterError::LengthTooShort`] if the length field does not cover the record count.
    pub fn decode(bytes: &[u8]) -> Result<BatchHeader, AdapterError> {
        let mut fields = FieldReader::new(bytes);
        let clock = Timestamp::from_micros(fields.read_u64()?);
        let length = fields.read_u32()?;
        let record_count = fields.read_u32()?;
        let body_length = length
            .checked_sub(RECORD_COUNT_BYTES)
            .ok_or(AdapterError::LengthTooShort { length })?;
        Ok(BatchHeader {
            clock,
            body_length,
            record_count,
        })
    }
}

/// A batch with a decoded header and records that are still encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The header.
    pub header: BatchHeader,
    /// The encoded records.
    pub body: Vec<u8>,
}
