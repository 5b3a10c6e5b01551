//! The files of the log: their names, their headers and the records after the header.
//!
//! ```text
//! segment   "MBKEPT" version:u16 checksum:u32 | record*
//! ```
//!
//! The checksum is the CRC-32C of the bytes before it. All numbers are little-endian.
//!
//! This module owns the layout of a segment. It is given bytes and does no I/O.

use crate::record::Record;

/// Format version that is written. Older versions are read, newer ones are rejected.
pub const FORMAT_VERSION: u16 = 1;
/// Bytes of a segment's header.
pub const HEADER_BYTES: usize = 12;

const MAGIC: &[u8; 6] = b"MBKEPT";
/// Bytes of the header that its checksum covers.
const HEADER_CHECKSUMMED_BYTES: usize = 8;
/// Bytes of a damaged header that must match the magic for the file to count as a torn segment
/// rather than a foreign file.
const MIN_MATCHING_MAGIC_BYTES: usize = 3;
/// Part of a stored file name, so it stays as it was first released.
const FILE_NAME_PREFIX: &str = "kept-";
const FILE_NAME_DIGITS: usize = 16;

/// Returns the file name of a segment. Names sort in the order of their numbers.
pub(crate) fn file_name(number: u64) -> String {
    format!("{FILE_NAME_PREFIX}{number:016x}")
}

/// Returns the number of a segment by its file name, or nothing if a file is no segment.
pub(crate) fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(FILE_NAME_PREFIX)?;
    if digits.len() != FILE_NAME_DIGITS {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

/// Appends the header of a new segment to a buffer.
pub fn write_segment_header(buffer: &mut Vec<u8>) {
    write_segment_header_of_version(FORMAT_VERSION, buffer);
}

/// Appends the header of a segment of any version, all of which have the same layout.
pub fn write_segment_header_of_version(version: u16, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.extend_from_slice(MAGIC);
    buffer.extend_from_slice(&version.to_le_bytes());
    let checksum = crc32c::crc32c(&buffer[start..]);
    buffer.extend_from_slice(&checksum.to_le_bytes());
}

/// What the first bytes of a file say about it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Header {
    /// A segment that this program can read.
    Valid,
    /// A segment truncated or damaged within its header. The header is synced together with the
    /// first records, so no record of such a segment was ever acknowledged.
    Torn,
    /// A segment of a newer format version.
    Newer(u16),
    /// No segment.
    Foreign,
}

impl Header {
    /// Reads the header of a file from its bytes.
    pub(crate) fn read(bytes: &[u8]) -> Header {
        match valid_header_version(bytes) {
            Some(version) if version > FORMAT_VERSION => Header::Newer(version),
            Some(_) => Header::Valid,
            None if resembles_magic(bytes) => Header::Torn,
            None => Header::Foreign,
        }
    }
}

/// Returns the version of a header whose magic and checksum match.
fn valid_header_version(bytes: &[u8]) -> Option<u16> {
    let (checksummed, checksum) = bytes
        .get(..HEADER_BYTES)?
        .split_at(HEADER_CHECKSUMMED_BYTES);
    if crc32c::crc32c(checksummed).to_le_bytes() != checksum {
        return None;
    }
    let version = checksummed.strip_prefix(MAGIC)?;
    Some(u16::from_le_bytes(version.try_into().ok()?))
}

/// A zero byte counts as a match, because a crash may leave zeros in place of unwritten bytes.
fn resembles_magic(bytes: &[u8]) -> bool {
    let matching = bytes
        .iter()
        .zip(MAGIC)
        .filter(|(byte, magic)| byte == magic || **byte == 0);
    matching.count() >= MIN_MATCHING_MAGIC_BYTES.min(bytes.len())
}

/// Iterates over the complete records after a segment's header. It ends at the first bytes that are
/// no complete record.
pub(crate) struct Records<'a> {
    remaining: &'a [u8],
}

impl<'a> Records<'a> {
    /// Reads the records of a segment from all its bytes.
    pub(crate) fn of_segment(bytes: &'a [u8]) -> Records<'a> {
        Records {
            remaining: bytes.get(HEADER_BYTES..).unwrap_or_default(),
        }
    }

    /// Bytes that were not read as records. After the last record these are the torn bytes.
    pub(crate) fn remaining_bytes(&self) -> usize {
        self.remaining.len()
    }
}

impl Iterator for Records<'_> {
    type Item = Record;

    fn next(&mut self) -> Option<Record> {
        let decoded = Record::decode(self.remaining).ok()?;
        self.remaining = &self.remaining[decoded.size_bytes..];
        Some(decoded.record)
    }
}
