//! Commands to the engine, and how they are sent again after the link was lost.
//!
//! [`EngineCommands`] owns the sending side of the link. It sends commands about the runs of
//! requests, or holds them back while a run waits for its write-ahead record. Notices of the engine
//! are read elsewhere, and commands are decided elsewhere.

use super::in_flight::{InFlightRequest, InFlightRequests};
use super::run_commands::ResendOutcome;
use crate::support::attempt_name;
use crate::upstream::engine::{EngineCommand, EngineLink};
use madderbay::interface::Cancellation;
use std::collections::BTreeSet;

/// Sends the commands of all runs to the engine.
pub(super) struct EngineCommands {
    link: EngineLink,
    /// Whether runs can be cancelled. The engine reports the end of each run that it cancels.
    can_cancel: bool,
    /// Requests of whose runs it is unknown whether they have begun, and some whose doubt is over.
    in_doubt: BTreeSet<u64>,
}

/// The requests whose commands were not all sent again on a new link.
#[derive(Debug, Default)]
pub(super) struct RequestsInDoubt {
    /// Their runs may have read the reply to their call or may still wait for it.
    pub(super) replies: Vec<u64>,
    /// Their runs may have begun, and must not begin twice.
    pub(super) runs: Vec<u64>,
}

impl EngineCommands {
    /// Creates the sending side for an engine whose cancellations do this.
    pub(super) fn new(cancellation: Cancellation) -> EngineCommands {
        EngineCommands {
            link: EngineLink::default(),
            can_cancel: cancellation != Cancellation::Unsupported,
            in_doubt: BTreeSet::new(),
        }
    }

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
            EngineCommand::Run { .. } => request.commands.run(line, &self.link),
            EngineCommand::SkipCall { .. } => request.commands.submit(line, &self.link),
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
    /// Returns the requests of which some command was not sent.
    pub(super) fn resend(&mut self, requests: &mut InFlightRequests) -> RequestsInDoubt {
        let answers = self.link.proven_before();
        let mut runs = 0;
        let mut in_doubt = RequestsInDoubt::default();
        for (id, request) in requests.sorted_mut(|request| request.commands.has_unproven()) {
            // Commands that the lost link proved to be read are dropped now, because the next link
            // knows nothing of the answers on the lost one.
            if !request.commands.is_unproven(answers) {
                request.commands.mark_all_read();
                continue;
            }
            runs += 1;
            let outcome = request.commands.resend(&self.link);
            log::debug!(
                "engine: commands sent again, attempt={}, bytes={}, outcome={outcome:?}",
                attempt_name::as_text(&request.name),
                request.commands.unproven_bytes()
            );
            match outcome {
                ResendOutcome::Resent => {}
                ResendOutcome::ReplyInDoubt => in_doubt.replies.push(id),
                ResendOutcome::RunInDoubt => in_doubt.runs.push(id),
            }
        }
        self.in_doubt.extend(&in_doubt.runs);
        log::info!(
            "engine: link restored, runs_unproven={runs}, runs_in_doubt={}, replies_in_doubt={}",
            in_doubt.runs.len(),
            in_doubt.replies.len()
        );
        in_doubt
    }

    /// Handles a run in doubt of which no notice has arrived for long: cancels it, to learn whether it
    /// has begun. Where runs can't be cancelled, nothing can tell, and the run is sent again: by now it
    /// has most likely ended if it was read.
    pub(super) fn doubt_expired(&mut self, request: &mut InFlightRequest) {
        if !request.commands.is_in_doubt() {
            return;
        }
        let attempt = attempt_name::as_text(&request.name);
        if self.can_cancel {
            log::debug!("engine: run in doubt cancelled, attempt={attempt}");
            let line = EngineCommand::Cancel.line(&request.name);
            request.commands.resolve_by_cancelling(&line, &self.link);
        } else {
            log::debug!("engine: run in doubt sent again, attempt={attempt}");
            request.commands.resend_run_in_doubt(&self.link);
        }
    }

    /// Sends the runs again that were in doubt and have certainly not begun. The cancellation of one
    /// that nobody waits for any more follows it. To be called after each answer to a query.
    pub(super) fn resend_never_begun(&mut self, requests: &mut InFlightRequests) {
        let link = &self.link;
        self.in_doubt.retain(|id| {
            let Some(request) = requests.get_mut(*id) else {
                return false;
            };
            if request.commands.never_began(link) {
                request.commands.resend_run_in_doubt(link);
            }
            request.commands.is_in_doubt()
        });
    }
}
