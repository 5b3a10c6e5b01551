//! Identity of the server whose counts a snapshot holds.

use compact_str::CompactString;

/// One incarnation of a server, as the source of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotSource<'a> {
    /// Name of the server.
    pub server: &'a CompactString,
    /// Incarnation of the server.
    pub incarnation: u64,
}
