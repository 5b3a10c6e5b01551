//! Size limits of datagrams and their parts.

/// Maximum length of a datagram, in bytes. Common networks transport this length without
/// fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Length of the header at the start of every datagram, in bytes.
pub(crate) const HEADER_BYTES: usize = 25;
/// Maximum length of a body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES;
/// Maximum length of the payload of a subsystem message, in bytes. With the sender's identity, such
/// a payload fits in a datagram.
pub const MAX_SUBSYSTEM_PAYLOAD_BYTES: usize = 1_150;
