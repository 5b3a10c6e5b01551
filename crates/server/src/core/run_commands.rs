//! The engine commands of one run: those that are held back, and those that the engine may not have read.
//!
//! Owns: these commands, until the engine has surely read them. Is given: the link to the engine. Never decides
//! a command, and never opens or ends the link.
//!
//! Invariant: a command leaves `unproven` once an answer to a query that was sent behind it on the same link has
//! arrived, or a notice of the run that proves as much. Nothing else proves it: no new link, and no silence.

use crate::upstream::engine::{EngineLink, LinkAnswers, ReadProof};

/// What a new link makes of a run's unproven commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResendOutcome {
    /// There are none, or they were sent again.
    Resent,
    /// They end with the reply to a call, which can't be sent again: the run may have read it or still wait for
    /// it. A reply does not say which call it is for, so a second copy could meet the run's next call.
    ReplyInDoubt,
}

/// The commands of one run.
#[derive(Default)]
pub(super) struct RunCommands {
    /// Commands that are held back; set while the run waits for its write-ahead record.
    held_back: Option<Vec<Vec<u8>>>,
    /// Commands that the engine may not have read.
    unproven: Vec<u8>,
    /// What proves that the engine has read all of them; nothing where the last was not sent on a link yet.
    proof: Option<ReadProof>,
    /// Where the reply to a call among them begins, in the bytes that the link sends.
    reply_position: Option<u64>,
}

impl RunCommands {
    /// Holds the commands of this run back until they are released.
    pub(super) fn hold_back(&mut self) {
        self.held_back = Some(vec![]);
    }

    /// Sends a command, or holds it back.
    pub(super) fn submit(&mut self, line: Vec<u8>, link: &EngineLink) {
        match &mut self.held_back {
            Some(held_back) => held_back.push(line),
            None => self.send(&line, link),
        }
    }

    /// Sends what was held back; commands are held back no more.
    pub(super) fn release(&mut self, link: &EngineLink) {
        for line in self.held_back.take().into_iter().flatten() {
            self.send(&line, link);
        }
    }

    /// Sends a command, and keeps it until the engine has surely read it.
    fn send(&mut self, line: &[u8], link: &EngineLink) {
        if self.proof.is_some_and(|proof| link.is_proven(proof)) {
            self.all_read();
        }
        self.unproven.extend_from_slice(line);
        self.proof = link.send(line);
    }

    /// The last command was the reply to a call, which begins at this position in the bytes of the link.
    pub(super) fn reply_sent_at(&mut self, position: u64) {
        self.reply_position = Some(position);
    }

    /// The engine has read all commands.
    pub(super) fn all_read(&mut self) {
        self.unproven.clear();
        self.proof = None;
        self.reply_position = None;
    }

    /// The link was lost after so many bytes: a reply that begins behind them was surely not read.
    pub(super) fn link_lost(&mut self, written_bytes: u64) {
        self.reply_position
            .take_if(|position| *position >= written_bytes);
    }

    /// Whether some commands are not proven to be read yet.
    pub(super) fn has_unproven(&self) -> bool {
        !self.unproven.is_empty()
    }

    /// Whether some commands may not have been read, where `answers` arrived on the lost link.
    pub(super) fn is_unproven(&self, answers: LinkAnswers) -> bool {
        let is_proven = self.proof.is_some_and(|proof| answers.prove(proof));
        self.has_unproven() && !is_proven
    }

    /// Bytes of the commands that the engine may not have read.
    pub(super) fn unproven_bytes(&self) -> usize {
        self.unproven.len()
    }

    /// Sends the unproven commands again, except those that end with a reply.
    pub(super) fn resend(&mut self, link: &EngineLink) -> ResendOutcome {
        if self.reply_position.take().is_some() {
            self.all_read();
            return ResendOutcome::ReplyInDoubt;
        }
        self.proof = link.send(&self.unproven);
        ResendOutcome::Resent
    }
}

#[cfg(test)]
mod tests;
