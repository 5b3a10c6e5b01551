//! Commands to the engine, and how they are sent again after the link was lost.
//!
//! [`EngineCommands`] owns the sending side of the link. It sends commands about the runs of
//! requests, or holds them back while a run waits for its write-ahead record. Notices of the engine
//! are read elsewhere, and commands are decided elsewhere.

use super::in_flight::{InFlightRequest, InFlightRequests};
use super::run_commands::ResendOutcome;
use crate::support::attempt_name;
use crate::upstream::engine::{EngineCommand, EngineLink};

/// Sends the commands of all runs to the engine.
#[derive(Default)]
pub(super) struct EngineCommands {
    link: EngineLink,
}

impl EngineCommands {
    /// Returns the link, for the driver that maintains it.
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

    /// Sends the commands that were held back, when the write-ahead record of a run is durable.
    pub(super) fn release(&self, request: &mut InFlightRequest) {
        request.commands.release(&self.link);
    }

    /// Sends the reply to the call that a run waits for.
    pub(super) fn send_reply(&self, request: &mut InFlightRequest, body: &[u8]) {
        self.send(request, EngineCommand::Reply { body });
    }

    /// Handles the loss of the link. A reply of which no byte was written is known not to have been
    /// read.
    pub(super) fn link_lost(&mut self, requests: &mut InFlightRequests) {
        let written_bytes = self.link.written_bytes();
        for request in requests.values_mut() {
            request.commands.link_lost(written_bytes);
        }
        self.link.lost();
    }

    /// Sends the commands again that may not have reached the engine, when the link is up again.
    /// Returns the requests whose runs may have read the reply to their call or may still wait for
    /// it.
    pub(super) fn resend(&self, requests: &mut InFlightRequests) -> Vec<u64> {
        let answers = self.link.proven_before();
        let (mut runs, mut in_doubt) = (0, vec![]);
        for (id, request) in requests.sorted_mut(|request| request.commands.has_unproven()) {
            // Commands that the lost link proved to be read are dropped now, because the next link
            // knows nothing of the answers on the lost one.
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
