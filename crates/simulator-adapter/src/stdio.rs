//! Main loop of the program: reads batches until the input ends, and answers each one before it
//! reads the next.

use crate::codec::{Batch, BatchHeader};
use crate::error::AdapterError;
use crate::host::Host;
use std::io::{Read, Write};

/// Reads batches from `input` and writes a reply to each to `output`, in order. Returns at the end
/// of the input.
///
/// # Errors
///
/// Returns the first [`AdapterError`]. The batch that caused it gets no reply.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    while let Some(batch) = read_batch(input)? {
        let frame = host.process_batch(&batch)?;
        output.write_all(&frame).map_err(AdapterError::Output)?;
        output.flush().map_err(AdapterError::Output)?;
    }
    Ok(())
}

/// Reads the next batch. Returns `None` at the end of the input.
///
/// # Errors
///
/// Returns [`AdapterError::Input`], [`AdapterError::TruncatedHeader`],
/// [`AdapterError::TruncatedBody`] or [`AdapterError::LengthTooShort`].
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
    let expected = BatchHeader::ENCODED_LENGTH;
    let header = read_up_to(input, expected as u64)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < expected {
        return Err(AdapterError::TruncatedHeader {
            received: header.len(),
            expected,
        });
    }
    let header = BatchHeader::decode(&header)?;
    let expected = u64::from(header.body_length);
    let body = read_up_to(input, expected)?;
    let received = body.len() as u64;
    if received < expected {
        return Err(AdapterError::TruncatedBody { received, expected });
    }
    Ok(Some(Batch { header, body }))
}

/// Reads `length` bytes, or fewer if the input ends before.
fn read_up_to(input: &mut impl Read, length: u64) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = vec![];
    input
        .by_ref()
        .take(length)
        .read_to_end(&mut bytes)
        .map_err(AdapterError::Input)?;
    Ok(bytes)
}
