//! Whose counts a snapshot holds.

use compact_str::CompactString;

/// The server, in one incarnation, that a snapshot is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotSource<'a> {
    /// Name of the server.
    pub server: &'a CompactString,
    /// Its incarnation.
    pub incarnation: u64,
}
