//! Errors of decoding, checking and encoding datagrams.

use thiserror::Error;

/// Why a datagram, or an update in it, was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// Too short, too long, or not of this protocol.
    #[error("not a datagram of this protocol")]
    Malformed,
    /// Of another version of the protocol.
    #[error("unsupported protocol version")]
    UnsupportedVersion,
    /// Damaged in transit.
    #[error("checksum mismatch")]
    ChecksumMismatch,
    /// From a server of another fleet.
    #[error("sent by another fleet")]
    ForeignFleet,
    /// The header is valid, but the body is not.
    #[error("invalid body")]
    InvalidBody,
    /// Contains an address outside the allowed networks, or an invalid identity.
    #[error("address outside the allowed networks")]
    NetworkNotAllowed,
    /// Addressed to another server.
    #[error("addressed to another server")]
    Misdirected,
    /// The member table has no free entry for the sender.
    #[error("member table is full")]
    TableFull,
    /// From an incarnation, or a revision of one, that was replaced by a newer one.
    #[error("sent by a former incarnation")]
    FormerIncarnation,
}

impl DatagramError {
    /// All errors, in the order of their counters.
    pub const ALL: [DatagramError; 9] = [
        DatagramError::Malformed,
        DatagramError::UnsupportedVersion,
        DatagramError::ChecksumMismatch,
        DatagramError::ForeignFleet,
        DatagramError::InvalidBody,
        DatagramError::NetworkNotAllowed,
        DatagramError::Misdirected,
        DatagramError::TableFull,
        DatagramError::FormerIncarnation,
    ];

    /// Returns the last part of the counter's key. Dashboards read these keys, so they must not
    /// change.
    pub fn counter_key(self) -> &'static str {
        match self {
            DatagramError::Malformed => "nonsense",
            DatagramError::UnsupportedVersion => "version",
            DatagramError::ChecksumMismatch => "checksum",
            DatagramError::ForeignFleet => "fleet",
            DatagramError::InvalidBody => "body",
            DatagramError::NetworkNotAllowed => "network",
            DatagramError::Misdirected => "misdirected",
            DatagramError::TableFull => "full",
            DatagramError::FormerIncarnation => "outlived",
        }
    }
}

/// Why a body could not be encoded.
#[derive(Debug, PartialEq, Eq, Error)]
pub(crate) enum EncodeError {
    /// The body does not fit in a datagram.
    #[error("body of {bytes} bytes does not fit in a datagram")]
    TooLong {
        /// Length of the encoded body, in bytes.
        bytes: usize,
    },
    /// The body could not be serialized.
    #[error("body could not be serialized: {0}")]
    Serialization(#[from] postcard::Error),
}
