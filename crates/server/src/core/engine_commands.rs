//! Commands to the engine, and what becomes of them when the link is lost.
//!
//! Owns: the sending side of the link. Is given: the request whose run a command is about, or the news that the link is
//! lost or up again. Sends commands over the link, or holds them back while a run waits for its write-ahead record.
//! Never reads what the engine reports and never decides a command.

use super::in_flight::{InFlightRequest, InFlightRequests};
use super::run_commands::ResendOutcome;
use crate::support::attempt_name;
use crate::upstream::engine::{EngineCommand, EngineLink};

/// The commands of all runs, on their way to the engine.
#[derive(Default)]
pub(super) struct EngineCommands {
    link: EngineLink,
}

impl EngineCommands {
    /// The link, for the driver that keeps it.
    pub(super) fn link_mut(&mut self) -> &mut EngineLink {
        &mut self.link
    }

    /// Sends a command about the run of a request, or holds it back.
    pub(super) fn send(&self, request: &mut InFlightRequest, command: EngineCommand) {
        let line = command.line(&request.name);
        match command {
            EngineCommand::Cancel => request.commands.cancel(line, &self.link),
            EngineCommand::Reply { .. } => request.commands.reply(line, &self.link),
            EngineCommand::Run { .. } | EngineCommand::SkipCall { .. } => {
                request.commands.submit(line, &self.link);
            }
        }
    }

    /// The write-ahead record of a run is durable: the engine gets the commands that were held back.
    pub(super) fn release(&self, request: &mut InFlightRequest) {
        request.commands.release(&self.link);
    }

    /// Sends the reply to the call that a run waits at.
    pub(super) fn send_reply(&self, request: &mut InFlightRequest, body: &[u8]) {
        self.send(request, EngineCommand::Reply { body });
    }

    /// The link is lost. A reply of which nothing was sent is known not to have been read.
    pub(super) fn link_lost(&mut self, requests: &mut InFlightRequests) {
        let written_bytes = self.link.written_bytes();
        for request in requests.values_mut() {
            request.commands.link_lost(written_bytes);
        }
        self.link.lost();
    }

    /// The link is up again: sends what may not have reached the engine. Gives the requests whose runs may have
    /// read the reply to their call, or may still wait for it.
    pub(super) fn resend(&self, requests: &mut InFlightRequests) -> Vec<u64> {
        let answers = self.link.proven_before();
        let (mut runs, mut in_doubt) = (0, vec![]);
        for (id, request) in requests.sorted_mut(|request| request.commands.has_unproven()) {
            // What the lost link proved is settled now: the link after this one knows nothing of its answers.
            if !request.commands.is_unproven(answers) {
                request.commands.mark_all_read();
                continue;
            }
            runs += 1;
            log::debug!(
                "engine: commands sent again, attempt={}, bytes={}",
                attempt_name::as_text(&request.name),
                request.commands.unproven_bytes()
            );
            if request.commands.resend(&self.link) == ResendOutcome::ReplyInDoubt {
                in_doubt.push(id);
            }
        }
        log::info!(
            "engine: link restored, runs_unproven={runs}, replies_in_doubt={}",
            in_doubt.len()
        );
        in_doubt
    }
}
