//! The lines between a server and its engine, as far as the simulated engine speaks them.

use crate::workload::Handler;
use madderbay::time::Duration;
use serde_json::Value;

/// A command of a server to its engine.
pub(crate) enum EngineCommand {
    /// The server is there.
    Attach,
    /// It asks for the engine's figures; the answer carries the cookie.
    Status { cookie: String },
    /// A request is to be run.
    Run { request: String, handler: Handler },
    /// The upstream call of a run was answered or skipped.
    Resume { request: String },
    /// A run is to end at once.
    Halt { request: String },
}

impl EngineCommand {
    /// Reads a line; none if it says nothing that the simulated engine reacts to.
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

/// A notice of an engine to its server.
pub(crate) enum EngineNotice<'a> {
    /// The engine is there.
    Hello,
    /// Its figures.
    Status {
        cookie: &'a str,
        core_use: f64,
        runs_on_cores: usize,
    },
    /// A run waits for its upstream call.
    NeedsCall { serial: u64, request: &'a str },
    /// A run is complete.
    Finished {
        serial: u64,
        request: &'a str,
        run_time: Duration,
    },
    /// A run was ended early.
    Halted {
        serial: u64,
        request: &'a str,
        run_time: Duration,
    },
}

impl EngineNotice<'_> {
    /// The line that the engine sends.
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
    let duration_ms = run_time.as_micros() / 1_000;
    format!(
        "{{\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"{request}\",\"how\":\"{how}\",\"duration\":{duration_ms},\"blob\":\"{blob}\"}}\n"
    )
}
