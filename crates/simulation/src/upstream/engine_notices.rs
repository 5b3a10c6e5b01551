//! The part of the line protocol between a server and its engine that the simulated engine implements.

use crate::workload::Handler;
use madderbay::time::Duration;
use serde_json::Value;

/// A command from a server to its engine.
pub(crate) enum EngineCommand {
    /// Announces the server to the engine.
    Attach,
    /// Asks for the engine's load figures. The answer repeats the cookie.
    Status { cookie: String },
    /// Starts a run of a request.
    Run { request: String, handler: Handler },
    /// Resumes a run whose upstream call was answered or skipped.
    Resume { request: String },
    /// Ends a run at once.
    Halt { request: String },
}

impl EngineCommand {
    /// Parses a line. Returns `None` for a line that the simulated engine ignores.
    pub(crate) fn parse(line: &str) -> Option<EngineCommand> {
        let members: Value = serde_json::from_str(line).unwrap_or_default();
        let text = |member: &str| members[member].as_str().unwrap_or_default().to_string();
        let request = text("call");
        match text("msg").as_str() {
            "ATTACH" => Some(EngineCommand::Attach),
            "STAT" => {
                let cookie = text("cookie");
                Some(EngineCommand::Status { cookie })
            }
            "RUN" => {
                let handler = Handler::from_name(&text("service")).unwrap_or(Handler::Search);
                Some(EngineCommand::Run { request, handler })
            }
            "FEED" | "SKIP" => Some(EngineCommand::Resume { request }),
            "HALT" => Some(EngineCommand::Halt { request }),
            _ => None,
        }
    }
}

/// A notice from an engine to its server.
pub(crate) enum EngineNotice<'a> {
    /// Announces the engine to the server.
    Hello,
    /// The engine's load figures.
    Status {
        cookie: &'a str,
        core_use: f64,
        runs_on_cores: usize,
    },
    /// A run needs its upstream call and waits for the answer.
    NeedsCall { serial: u64, request: &'a str },
    /// A run is complete.
    Finished {
        serial: u64,
        request: &'a str,
        run_time: Duration,
    },
    /// A run was halted before it was complete.
    Halted {
        serial: u64,
        request: &'a str,
        run_time: Duration,
    },
}

impl EngineNotice<'_> {
    /// Formats the notice as the line that the engine sends.
    pub(crate) fn to_line(&self) -> String {
        match self {
            EngineNotice::Hello => {
                "{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n".into()
            }
            EngineNotice::Status {
                cookie,
                core_use,
                runs_on_cores,
            } => format!(
                "{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[{core_use},{runs_on_cores},0.1,1]}}\n"
            ),
            EngineNotice::NeedsCall { serial, request } => format!(
                "{{\"msg\":\"NEED\",\"serial\":{serial},\"call\":\"{request}\",\"blob\":\"QUJD\"}}\n"
            ),
            EngineNotice::Finished {
                serial,
                request,
                run_time,
            } => done_line(*serial, request, "good", *run_time, "QUJD"),
            EngineNotice::Halted {
                serial,
                request,
                run_time,
            } => done_line(*serial, request, "cut", *run_time, ""),
        }
    }
}

fn done_line(serial: u64, request: &str, how: &str, run_time: Duration, blob: &str) -> String {
    let duration_ms = run_time.as_millis();
    format!(
        "{{\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"{request}\",\"how\":\"{how}\",\"duration\":{duration_ms},\"blob\":\"{blob}\"}}\n"
    )
}
