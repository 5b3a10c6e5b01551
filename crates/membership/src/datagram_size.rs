//! How long datagrams and their parts may be.

/// Longest datagram, in bytes: passes common networks without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Length of the header that every datagram begins with, in bytes.
pub(crate) const HEADER_BYTES: usize = 25;
/// Longest body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;
/// Longest payload of a subsystem message, in bytes: it and its sender's identity fit a datagram.
pub const MAX_SUBSYSTEM_PAYLOAD_BYTES: usize = 1_150;
