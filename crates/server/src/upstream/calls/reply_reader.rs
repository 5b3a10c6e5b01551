//! The replies on one connection, cut out of its bytes.
//!
//! The reader owns the bytes of a reply that is not complete yet. It is given bytes as they come and never keeps more
//! than one reply may have.

use super::wire_names::{CRLF, outcome};
use crate::support::attempt_name::AttemptName;
use madderbay::interface::Outcome;

/// Length of a name, in bytes.
const NAME_BYTES: usize = 16;
/// Longer than the first line of any legal reply, in bytes.
const MAX_LINE_BYTES: usize = 64;
/// Longer than any legal body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// One reply.
#[derive(Debug)]
pub struct Reply<'a> {
    /// The attempt that called.
    pub name: AttemptName,
    /// How the call ended.
    pub outcome: Outcome,
    /// The body of a completed call, else empty.
    pub body: &'a [u8],
}

/// A reply at the start of some bytes, and the number of bytes that it takes.
struct ParsedReply<'a> {
    reply: Reply<'a>,
    length: usize,
}

/// Why bytes are no reply. Nothing after them on their connection can be read.
#[derive(Debug, thiserror::Error)]
enum ReplyError {
    #[error("the line is too long or does not begin with a name")]
    Line,
    #[error("the line is no text that ends in CR LF")]
    LineEnd,
    #[error("the name has not 16 bytes")]
    Name,
    #[error("the outcome is missing or unknown")]
    Outcome,
    #[error("the length of the body is missing, no number or too large")]
    BodyLength,
    #[error("the body does not end in CR LF")]
    BodyEnd,
}

/// Reads the replies of one connection.
#[derive(Default)]
pub struct ReplyReader {
    /// The bytes that were not used yet.
    buffered: Vec<u8>,
}

impl ReplyReader {
    /// Calls `on_reply` for every complete reply. False when the stream can't be read on.
    pub fn feed(&mut self, bytes: &[u8], mut on_reply: impl FnMut(Reply)) -> bool {
        self.buffered.extend_from_slice(bytes);
        let mut used = 0;
        let is_readable = loop {
            match parse(&self.buffered[used..]) {
                Ok(Some(parsed)) => {
                    on_reply(parsed.reply);
                    used += parsed.length;
                }
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        self.buffered.drain(..used);
        is_readable
    }
}

/// The reply that the bytes begin with; nothing while it is not complete.
fn parse(bytes: &[u8]) -> Result<Option<ParsedReply<'_>>, ReplyError> {
    let Some(line_end) = bytes.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
        // Noise is found before its line ends, which may be never.
        return if may_become_line(bytes) {
            Ok(None)
        } else {
            Err(ReplyError::Line)
        };
    };
    let line = bytes[..line_end].strip_suffix(b"\r");
    let line = line.and_then(|line| std::str::from_utf8(line).ok());
    let mut words = line.ok_or(ReplyError::LineEnd)?.split(' ');
    let name = words.next().unwrap_or_default();
    let outcome_word = words.next().ok_or(ReplyError::Outcome)?;
    let name: AttemptName = name.as_bytes().try_into().map_err(|_| ReplyError::Name)?;
    let outcome = match outcome_word {
        outcome::COMPLETED => return parse_body(bytes, line_end + 1, name, words.next()),
        outcome::REJECTED => Outcome::Rejected,
        outcome::FAILED => Outcome::Failed,
        outcome::TIMED_OUT => Outcome::TimedOut,
        outcome::UNREACHABLE => Outcome::Unreachable,
        _ => return Err(ReplyError::Outcome),
    };
    Ok(Some(ParsedReply {
        reply: Reply {
            name,
            outcome,
            body: &[],
        },
        length: line_end + 1,
    }))
}

/// The reply of a completed call, whose body begins at `start`; nothing while it is not complete.
fn parse_body<'a>(
    bytes: &'a [u8],
    start: usize,
    name: AttemptName,
    length: Option<&str>,
) -> Result<Option<ParsedReply<'a>>, ReplyError> {
    let length: usize = length
        .and_then(|length| length.parse().ok())
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(ReplyError::BodyLength)?;
    let end = start + length;
    let reply_end = end + CRLF.len();
    match bytes.get(end..reply_end) {
        None => Ok(None),
        Some(CRLF) => Ok(Some(ParsedReply {
            reply: Reply {
                name,
                outcome: Outcome::Completed,
                body: &bytes[start..end],
            },
            length: reply_end,
        })),
        Some(_) => Err(ReplyError::BodyEnd),
    }
}

/// Whether bytes without an end of line may be the beginning of a reply's line.
fn may_become_line(bytes: &[u8]) -> bool {
    let begins_with_name = bytes.iter().take(NAME_BYTES).all(u8::is_ascii_hexdigit);
    let space_after_name = bytes.get(NAME_BYTES).is_none_or(|byte| *byte == b' ');
    begins_with_name && space_after_name && bytes.len() < MAX_LINE_BYTES
}
