//! Integrity check of stored segments for the operator.
//!
//! This module is given a storage, reads it and never changes it.

use crate::error::StoreError;
use crate::segment::{self, HEADER_BYTES, Header, Records};
use crate::storage::{self, Storage};

/// A defect of one file. It displays as the one line that an operator is shown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Defect {
    /// The file does not have the name of a segment.
    #[error("{file}: is no file of kept results")]
    UnknownFile {
        /// Name of the file.
        file: String,
    },
    /// The segment ends in bytes that are no complete record.
    #[error("{segment}: after {records} whole records {bytes} bytes from {offset} on are none")]
    TornEnd {
        /// File name of the segment.
        segment: String,
        /// Number of complete records before the torn end.
        records: usize,
        /// Bytes of the torn end.
        bytes: usize,
        /// Where the torn end begins, in bytes from the start of the file.
        offset: usize,
    },
    /// The segment is truncated or damaged within its header.
    #[error("{segment}: is torn within its first {HEADER_BYTES} bytes")]
    TornHeader {
        /// File name of the segment.
        segment: String,
    },
    /// The segment was written in a format newer than this program's.
    #[error("{segment}: is of the newer version {version}")]
    NewerVersion {
        /// File name of the segment.
        segment: String,
        /// Format version of the segment.
        version: u16,
    },
    /// The file has the name of a segment and other content.
    #[error("{segment}: is no segment of kept results")]
    ForeignFile {
        /// File name of the segment.
        segment: String,
    },
}

/// Returns the defects of all files in ascending order of their names.
///
/// # Errors
///
/// [`StoreError::List`] or [`StoreError::ReadSegment`] if the storage fails.
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
