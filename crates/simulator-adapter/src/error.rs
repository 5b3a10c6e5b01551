//! Errors of this crate.

use crate::instance_id::InstanceId;
use madderbay::interface::{HandlerId, TenantId};
use std::io;
use thiserror::Error;

/// The reason why the adapter stops. It is displayed to the operator as a single line.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input could not be read.
    #[error("input: {0}")]
    Input(#[source] io::Error),
    /// The output could not be written.
    #[error("output: {0}")]
    Output(#[source] io::Error),
    /// The input ends within a batch header.
    #[error("frame: input ends {received} bytes into a header of {expected}")]
    TruncatedHeader {
        /// Bytes of the header that were read.
        received: usize,
        /// Length of a batch header, in bytes.
        expected: usize,
    },
    /// The length in a batch header does not cover the last field of the header, the record count.
    #[error("frame: length {length} is too short for the record count")]
    LengthTooShort {
        /// The length that was sent, in bytes.
        length: u32,
    },
    /// The input ends within the records of a batch.
    #[error("frame: input ends {received} bytes into records of {expected}")]
    TruncatedBody {
        /// Bytes of the records that were read.
        received: u64,
        /// Length of the records according to the header, in bytes.
        expected: u64,
    },
    /// The body of a batch has bytes after its last record.
    #[error("frame: {bytes} bytes left after {records} records")]
    TrailingBytes {
        /// Bytes after the last record.
        bytes: usize,
        /// Number of records according to the header.
        records: u32,
    },
    /// One record of a batch is invalid.
    #[error("record {number} of {count}: {cause}")]
    Record {
        /// Position of the record in its batch, starting at 1.
        number: u32,
        /// Number of records in the batch.
        count: u32,
        /// The error in the record.
        #[source]
        cause: Box<AdapterError>,
    },
    /// A record ends within a field.
    #[error("record truncated at byte {position}: expected {needed} bytes, {available} left")]
    TruncatedRecord {
        /// Offset of the start of the field from the first record of the batch, in bytes.
        position: usize,
        /// Length of the field, in bytes.
        needed: usize,
        /// Bytes left in the batch.
        available: usize,
    },
    /// A floating-point field is infinite or not a number.
    #[error("number before byte {position} is not finite")]
    NumberNotFinite {
        /// Offset of the end of the field from the first record of the batch, in bytes.
        position: usize,
    },
    /// A record has an unknown event code.
    #[error("event code {code} is unknown")]
    UnknownEventCode {
        /// The code that was sent.
        code: u8,
    },
    /// The outcome code of a run or call is not defined.
    #[error("outcome {code} is unknown")]
    UnknownOutcome {
        /// The code of the outcome that was sent.
        code: u8,
    },
    /// An event refers to an instance that is not running.
    #[error("instance {instance} is not running")]
    UnknownInstance {
        /// The instance that the event refers to.
        instance: InstanceId,
    },
    /// A request refers to a handler that the settings do not define.
    #[error(
        "request {request_id}: class index {} is out of range: {handlers} classes are defined",
        handler.index()
    )]
    UnknownHandler {
        /// The request.
        request_id: u64,
        /// Index of the handler that was sent.
        handler: HandlerId,
        /// Number of handlers in the settings.
        handlers: usize,
    },
    /// A request refers to a tenant that the settings do not define.
    #[error(
        "request {request_id}: tenant index {} is out of range: {tenants} tenants are defined",
        tenant.index()
    )]
    UnknownTenant {
        /// The request.
        request_id: u64,
        /// Index of the tenant that was sent.
        tenant: TenantId,
        /// Number of tenants in the settings.
        tenants: usize,
    },
    /// The memory size of a request is negative.
    #[error("request {request_id}: held_kb is negative")]
    NegativeMemory {
        /// The request.
        request_id: u64,
    },
    /// A request arrives with the identifier of another one that has not ended.
    #[error("request {request_id}: arrived again before it had ended")]
    DuplicateRequest {
        /// The request.
        request_id: u64,
    },
    /// The settings of an instance cannot be read, or have unknown or contradictory values.
    #[error(transparent)]
    Settings(#[from] madderbay_settings::SettingsError),
}

impl AdapterError {
    /// Reports whether the settings of an instance caused the error, rather than malformed input.
    pub fn is_settings_error(&self) -> bool {
        match self {
            AdapterError::Settings(_) => true,
            AdapterError::Record { cause, .. } => cause.is_settings_error(),
            _ => false,
        }
    }
}
