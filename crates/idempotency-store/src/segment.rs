//! Segment files of the log: their names, their header and the records that follow it.
//!
//! ```text
//! segment   "MBKEPT" version:u16 checksum:u32 | record*
//! ```
//!
//! The checksum is the CRC-32C of the bytes before it. All numbers are little-endian.

use crate::record::Record;

/// Format version of new segments. Segments of older versions can be read; newer ones are rejected.
pub const FORMAT_VERSION: u16 = 1;
/// Size of the header of a segment, in bytes.
pub const HEADER_BYTES: usize = 12;

const MAGIC: &[u8; 6] = b"MBKEPT";
/// Number of header bytes that the checksum covers.
const HEADER_CHECKSUMMED_BYTES: usize = 8;
/// Minimum number of bytes of a damaged header that must match the magic number for the file to be
/// treated as a torn segment rather than a foreign file.
const MIN_MATCHING_MAGIC_BYTES: usize = 3;
/// Prefix of the file names of segments. It must not change, because it is part of the names of
/// files already stored.
const FILE_NAME_PREFIX: &str = "kept-";
/// Number of hexadecimal digits after the prefix.
const FILE_NAME_DIGITS: usize = 16;

/// Returns the file name of a segment. File names sort in the order of segment numbers.
pub(crate) fn file_name(number: u64) -> String {
    format!("{FILE_NAME_PREFIX}{number:016x}")
}

/// Parses the segment number from a file name. Returns `None` if the name is not that of a segment.
pub(crate) fn parse_file_name(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(FILE_NAME_PREFIX)?;
    if digits.len() != FILE_NAME_DIGITS {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

/// Appends the header of a new segment to `buffer`.
pub fn write_segment_header(buffer: &mut Vec<u8>) {
    write_segment_header_of_version(FORMAT_VERSION, buffer);
}

/// Appends the header of a segment of the given format version to `buffer`. The header has the same
/// layout in all versions.
pub fn write_segment_header_of_version(version: u16, buffer: &mut Vec<u8>) {
    let start = buffer.len();
    buffer.extend_from_slice(MAGIC);
    buffer.extend_from_slice(&version.to_le_bytes());
    let checksum = crc32c::crc32c(&buffer[start..]);
    buffer.extend_from_slice(&checksum.to_le_bytes());
}

/// Classification of a file by its header.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Header {
    /// A segment that this program can read.
    Valid,
    /// A segment that is truncated or damaged within its header. The header is synced together with
    /// the first records, so no record of such a segment was ever acknowledged.
    Torn,
    /// A segment of this newer format version.
    Newer(u16),
    /// Not a segment.
    Foreign,
}

impl Header {
    /// Classifies a file by its content.
    pub(crate) fn read(bytes: &[u8]) -> Header {
        match valid_header_version(bytes) {
            Some(version) if version > FORMAT_VERSION => Header::Newer(version),
            Some(_) => Header::Valid,
            None if resembles_magic(bytes) => Header::Torn,
            None => Header::Foreign,
        }
    }
}

/// Returns the format version if the magic number and the checksum of the header match.
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

/// Reports whether enough of the first bytes match the magic number for the file to be a damaged
/// segment. A zero byte counts as a match, because a crash may leave zeros in place of unwritten
/// bytes.
fn resembles_magic(bytes: &[u8]) -> bool {
    let matching = bytes
        .iter()
        .zip(MAGIC)
        .filter(|(byte, magic)| byte == magic || **byte == 0);
    matching.count() >= MIN_MATCHING_MAGIC_BYTES.min(bytes.len())
}

/// Iterator over the records of a segment. It ends at the first bytes that are not a complete
/// record.
pub(crate) struct Records<'a> {
    remaining: &'a [u8],
}

impl<'a> Records<'a> {
    /// Creates an iterator over the records of a segment, given the content of the whole file.
    pub(crate) fn of_segment(bytes: &'a [u8]) -> Records<'a> {
        Records {
            remaining: bytes.get(HEADER_BYTES..).unwrap_or_default(),
        }
    }

    /// Returns the number of bytes that have not been decoded. Once the iterator has ended, this is
    /// the size of the torn end.
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
