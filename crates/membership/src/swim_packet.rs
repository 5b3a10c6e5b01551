//! Codec of SWIM bodies in foca's format: a header followed by updates.

use crate::error::DatagramError;
use crate::identity::MemberIdentity;
use foca::{Codec, Header, Member, Message, PostcardCodec};

/// A decoded SWIM body.
pub(crate) struct SwimPacket {
    pub(crate) header: Header<MemberIdentity>,
    pub(crate) updates: Vec<Member<MemberIdentity>>,
}

impl SwimPacket {
    /// Decodes a body. Fails if bytes are missing, invalid or left over.
    pub(crate) fn decode(mut bytes: &[u8]) -> Result<SwimPacket, DatagramError> {
        let invalid = |_| DatagramError::InvalidBody;
        let header = PostcardCodec.decode_header(&mut bytes).map_err(invalid)?;
        let mut updates = vec![];
        if let Some((count, rest)) = bytes.split_first_chunk::<2>() {
            bytes = rest;
            for _ in 0..u16::from_be_bytes(*count) {
                updates.push(PostcardCodec.decode_member(&mut bytes).map_err(invalid)?);
            }
        }
        if !bytes.is_empty() {
            return Err(DatagramError::InvalidBody);
        }
        Ok(SwimPacket { header, updates })
    }

    /// Encodes the body.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![];
        // Writing to memory does not fail.
        let _ = PostcardCodec.encode_header(&self.header, &mut bytes);
        if !self.updates.is_empty() {
            bytes.extend((self.updates.len() as u16).to_be_bytes());
            for update in &self.updates {
                let _ = PostcardCodec.encode_member(update, &mut bytes);
            }
        }
        bytes
    }
}

/// Decodes only the header of a body that foca encoded.
pub(crate) fn decode_header(mut body: &[u8]) -> Result<Header<MemberIdentity>, DatagramError> {
    PostcardCodec
        .decode_header(&mut body)
        .map_err(|_| DatagramError::InvalidBody)
}

/// Encodes a ping without updates.
pub(crate) fn encode_ping(
    src: MemberIdentity,
    src_incarnation: u16,
    dst: MemberIdentity,
    probe_number: u8,
) -> Vec<u8> {
    let header = Header {
        src,
        src_incarnation,
        dst,
        message: Message::Ping(probe_number),
    };
    SwimPacket {
        header,
        updates: vec![],
    }
    .encode()
}
