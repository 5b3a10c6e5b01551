//! Parses the replies on one connection.
//!
//! `ReplyReader` owns the bytes of an incomplete reply. It is fed bytes and buffers no more than one reply may
//! have.

use super::wire_names::{CRLF, outcome};
use crate::support::attempt_name::AttemptName;
use madderbay::interface::Outcome;

/// Length of the name of an attempt, in bytes.
const NAME_BYTES: usize = 16;
/// Maximum length of the first line of a reply, in bytes. Every legal line is shorter.
const MAX_LINE_BYTES: usize = 64;
/// Maximum length of a body, in bytes. Every legal body is shorter.
const MAX_BODY_BYTES: usize = 64 << 10;

/// A reply to a call.
#[derive(Debug)]
pub struct Reply<'a> {
    /// The name of the attempt that made the call.
    pub name: AttemptName,
    /// The outcome of the call.
    pub outcome: Outcome,
    /// The body of a completed call; empty for other outcomes.
    pub body: &'a [u8],
}

/// A reply at the start of a buffer, and the number of bytes that it takes.
struct ParsedReply<'a> {
    reply: Reply<'a>,
    length: usize,
}

/// The reason why bytes are not a valid reply. Nothing after them on the connection can be read.
#[derive(Debug, thiserror::Error)]
enum ReplyError {
    #[error("the line is too long or does not begin with a name")]
    Line,
    #[error("the line is not text that ends with CR LF")]
    LineEnd,
    #[error("the name is not 16 bytes long")]
    Name,
    #[error("the outcome is missing or unknown")]
    Outcome,
    #[error("the length of the body is missing, not a number or too large")]
    BodyLength,
    #[error("the body does not end with CR LF")]
    BodyEnd,
}

/// Reads the replies of one connection.
#[derive(Default)]
pub struct ReplyReader {
    /// The bytes of an incomplete reply.
    buffered: Vec<u8>,
}

impl ReplyReader {
    /// Calls `on_reply` for every complete reply. Returns false when the stream can't be read any further.
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

/// Parses the reply at the start of `bytes`. Returns `None` while it is incomplete.
fn parse(bytes: &[u8]) -> Result<Option<ParsedReply<'_>>, ReplyError> {
    let Some(line_end) = bytes.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
        // Detects invalid input before the line ends, which may never happen.
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

/// Parses the reply of a completed call, whose body begins at `start`. Returns `None` while it is incomplete.
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

/// Reports whether bytes without a line end may be the beginning of a reply's first line.
fn may_become_line(bytes: &[u8]) -> bool {
    let begins_with_name = bytes.iter().take(NAME_BYTES).all(u8::is_ascii_hexdigit);
    let space_after_name = bytes.get(NAME_BYTES).is_none_or(|byte| *byte == b' ');
    begins_with_name && space_after_name && bytes.len() < MAX_LINE_BYTES
}
