//! Tests of the encoding of commands.

use super::*;

const ATTEMPT: &AttemptName = b"00000000000000af";

/// Encodes a command about [`ATTEMPT`].
fn text(command: EngineCommand) -> String {
    String::from_utf8(command.line(ATTEMPT)).expect("a line is text")
}

#[test]
fn encodes_each_command_as_one_line() {
    let run = EngineCommand::Run {
        handler: "\"quote\"",
        body: "\"YWJj\"",
    };
    assert_eq!(
        text(run),
        "{\"msg\":\"RUN\",\"call\":\"00000000000000af\",\"service\":\"quote\",\"blob\":\"YWJj\"}\n"
    );
    assert_eq!(
        text(EngineCommand::Cancel),
        "{\"msg\":\"HALT\",\"call\":\"00000000000000af\"}\n"
    );
    assert_eq!(
        text(EngineCommand::Reply { body: b"abcd" }),
        "{\"msg\":\"FEED\",\"call\":\"00000000000000af\",\"blob\":\"YWJjZA==\"}\n"
    );
    assert_eq!(
        text(EngineCommand::SkipCall { serial: 7 }),
        "{\"msg\":\"SKIP\",\"call\":\"00000000000000af\",\"serial\":7}\n"
    );
}
