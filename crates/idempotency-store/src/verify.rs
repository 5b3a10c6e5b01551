//! Integrity check of stored segments for operators. The storage is only read, never changed.

use crate::error::StoreError;
use crate::segment::{self, HEADER_BYTES, Header, Records};
use crate::storage::{self, Storage};

/// A defect of one file. It is displayed to the operator as a single line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Defect {
    /// The file does not have the name of a segment.
    #[error("{file}: not a segment file of durable results")]
    UnknownFile {
        /// Name of the file.
        file: String,
    },
    /// The segment ends with bytes that are not a complete record.
    #[error("{segment}: after {records} whole records {bytes} bytes from {offset} on are none")]
    TornEnd {
        /// File name of the segment.
        segment: String,
        /// Number of complete records before the torn end.
        records: usize,
        /// Size of the torn end in bytes.
        bytes: usize,
        /// Offset of the torn end from the start of the file, in bytes.
        offset: usize,
    },
    /// The segment is truncated or damaged within its header.
    #[error("{segment}: is torn within its first {HEADER_BYTES} bytes")]
    TornHeader {
        /// File name of the segment.
        segment: String,
    },
    /// The format version of the segment is newer than this program supports.
    #[error("{segment}: format version {version} is newer than this program supports")]
    NewerVersion {
        /// File name of the segment.
        segment: String,
        /// Format version of the segment.
        version: u16,
    },
    /// The file has the name of a segment, but its content is not a segment.
    #[error("{segment}: not a segment of durable results")]
    ForeignFile {
        /// Name of the file.
        segment: String,
    },
}

/// Checks all files of a storage and returns their defects in ascending order of file names.
///
/// # Errors
///
/// Returns [`StoreError::List`] or [`StoreError::ReadSegment`] if the storage fails.
pub fn verify(storage: &impl Storage) -> Result<Vec<Defect>, StoreError> {
    let mut defects = vec![];
    for name in storage.list().map_err(StoreError::List)? {
        if segment::parse_file_name(&name).is_none() {
            defects.push(Defect::UnknownFile { file: name });
            continue;
        }
        let bytes = storage::read_segment(storage, &name)?;
        defects.extend(segment_defect(name, &bytes));
    }
    Ok(defects)
}

fn segment_defect(segment: String, content: &[u8]) -> Option<Defect> {
    match Header::read(content) {
        Header::Valid => torn_end(segment, content),
        Header::Torn => Some(Defect::TornHeader { segment }),
        Header::Newer(version) => Some(Defect::NewerVersion { segment, version }),
        Header::Foreign => Some(Defect::ForeignFile { segment }),
    }
}

fn torn_end(segment: String, content: &[u8]) -> Option<Defect> {
    let mut reader = Records::of_segment(content);
    let records = reader.by_ref().count();
    let bytes = reader.remaining_bytes();
    let offset = content.len() - bytes;
    (bytes > 0).then_some(Defect::TornEnd {
        segment,
        records,
        bytes,
        offset,
    })
}
