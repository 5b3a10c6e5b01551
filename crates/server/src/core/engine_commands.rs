//! Commands to the engine, and what becomes of them when the link is lost.
//!
//! Is given: the command of one action, or the news that the link is lost or up again. Sends commands over the
//! link, or holds them back while a run waits for its write-ahead record. Never reads what the engine reports.

use super::executor::ActionExecutor;
use super::run_commands::ResendOutcome;
use crate::upstream::engine::EngineCommand;

impl ActionExecutor {
    /// Sends a command about the run of a request.
    pub(super) fn send_command(&mut self, id: u64, command: EngineCommand) {
        if let Some(request) = self.requests.get_mut(id) {
            let line = command.line(&request.name);
            request.commands.submit(line, &self.engine_link);
        }
    }

    /// The write-ahead record of a run is durable: the engine gets the commands that were held back.
    pub(super) fn release(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(id) {
            request.commands.release(&self.engine_link);
        }
    }

    /// Sends the reply to the call that a run waits at.
    pub(super) fn send_reply(&mut self, id: u64, body: &[u8]) {
        let position = self.engine_link.out.queued();
        self.send_command(id, EngineCommand::Reply { body });
        if self.engine_link.up
            && let Some(request) = self.requests.get_mut(id)
        {
            request.commands.reply_sent_at(position);
        }
    }

    /// The link is lost. A reply of which nothing was sent is known not to have been read.
    pub(super) fn engine_link_lost(&mut self) {
        let written_bytes = self.engine_link.out.written();
        for request in self.requests.values_mut() {
            request.commands.link_lost(written_bytes);
        }
        self.engine_link.lost();
    }

    /// The link is up again: sends what may not have reached the engine. Gives the requests whose runs may have
    /// read the reply to their call, or may still wait for it.
    pub(super) fn resend_commands(&mut self) -> Vec<u64> {
        let proven = self.engine_link.proven_before();
        let unproven = self.requests.sorted_mut(|r| r.commands.is_unproven(proven));
        let mut in_doubt = vec![];
        for (id, request) in unproven {
            if request.commands.resend(&self.engine_link) == ResendOutcome::ReplyInDoubt {
                in_doubt.push(id);
            }
        }
        in_doubt
    }
}
