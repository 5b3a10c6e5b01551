//! Encodes the commands about one run as lines of the engine's protocol.
//!
//! The functions are given the attempt and the content of the command. They return bytes; sending them is up to the
//! caller.

use super::wire_names::{command, member};
use crate::support::attempt_name::{self, AttemptName};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use std::fmt::Arguments;
use std::io::Write;

/// Initial capacity for a command without a body, in bytes.
const SHORT_LINE_BYTES: usize = 64;

/// A command to the engine about the run of an attempt.
#[derive(Clone, Copy, Debug)]
pub enum EngineCommand<'a> {
    /// Run the request.
    Run {
        /// The name of the handler as a JSON string with its quotes.
        handler: &'a str,
        /// The body as received: base64 in a JSON string with its quotes.
        body: &'a str,
    },
    /// Cancel the run.
    Cancel,
    /// Pass the run the reply to the call that it waits for.
    Reply {
        /// The body of the reply.
        body: &'a [u8],
    },
    /// Let the run continue without the call that it waits for.
    SkipCall {
        /// The number of that call.
        serial: u64,
    },
}

impl EngineCommand<'_> {
    /// Encodes the command as a line, including the line end.
    pub fn line(&self, attempt: &AttemptName) -> Vec<u8> {
        match self {
            EngineCommand::Run { handler, body } => line(
                command::RUN,
                attempt,
                format_args!(
                    ",\"{}\":{handler},\"{}\":{body}",
                    member::HANDLER,
                    member::BODY
                ),
            ),
            EngineCommand::Cancel => line(command::CANCEL, attempt, format_args!("")),
            EngineCommand::Reply { body } => {
                let body = BASE64.encode(body);
                let members = format_args!(",\"{}\":\"{body}\"", member::BODY);
                line(command::REPLY, attempt, members)
            }
            EngineCommand::SkipCall { serial } => {
                let members = format_args!(",\"{}\":{serial}", member::SERIAL);
                line(command::SKIP_CALL, attempt, members)
            }
        }
    }
}

/// Encodes one line. `members` are the further members, each preceded by a comma.
fn line(kind: &str, attempt: &AttemptName, members: Arguments) -> Vec<u8> {
    let mut line = Vec::with_capacity(SHORT_LINE_BYTES);
    // Writing to a vector can't fail.
    let _ = writeln!(
        line,
        "{{\"{}\":\"{kind}\",\"{}\":\"{}\"{members}}}",
        member::KIND,
        member::ATTEMPT_NAME,
        attempt_name::as_text(attempt)
    );
    line
}

#[cfg(test)]
mod tests;
