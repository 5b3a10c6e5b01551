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
    /// All were sent again but for the reply to a call: the run may have read it or still wait for it. A reply does not
    /// say which call it is for, so a second copy could meet the run's next call.
    ReplyInDoubt,
}

/// How far the reply to a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplyProgress {
    /// No link has carried it, as far as is known.
    Unsent,
    /// It begins at this position in the bytes of the link of the moment.
    SentAt(u64),
    /// A link that was lost had carried it: the run may have read it.
    InDoubt,
}

/// What a command may be done with that the engine may not have read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandKind {
    /// It has no further effect where it is read twice.
    Repeatable,
    /// The same; the run may go on to a call before it reads this.
    Cancel,
    /// It is the reply to a call.
    Reply(ReplyProgress),
}

/// A command that the engine may not have read.
struct UnprovenCommand {
    line: Vec<u8>,
    kind: CommandKind,
}

/// The commands of one run.
#[derive(Default)]
pub(super) struct RunCommands {
    /// Commands that are held back; set while the run waits for its write-ahead record.
    held_back: Option<Vec<UnprovenCommand>>,
    /// Commands that the engine may not have read, in the order in which they were submitted.
    unproven: Vec<UnprovenCommand>,
    /// What proves that the engine has read all of them; nothing where the last was not sent on a link yet.
    proof: Option<ReadProof>,
}

impl RunCommands {
    /// Holds the commands of this run back until they are released.
    pub(super) fn hold_back(&mut self) {
        self.held_back = Some(vec![]);
    }

    /// Sends a command, or holds it back.
    pub(super) fn submit(&mut self, line: Vec<u8>, link: &EngineLink) {
        self.submit_kind(CommandKind::Repeatable, line, link);
    }

    /// Sends the command that cancels the run, or holds it back.
    pub(super) fn cancel(&mut self, line: Vec<u8>, link: &EngineLink) {
        self.submit_kind(CommandKind::Cancel, line, link);
    }

    /// Sends the reply to the call that the run waits at, or holds it back.
    pub(super) fn reply(&mut self, line: Vec<u8>, link: &EngineLink) {
        let position = link.queued_bytes();
        self.submit_kind(CommandKind::Reply(ReplyProgress::Unsent), line, link);
        if link.is_up() {
            self.reply_sent_at(position);
        }
    }

    fn submit_kind(&mut self, kind: CommandKind, line: Vec<u8>, link: &EngineLink) {
        let command = UnprovenCommand { line, kind };
        match &mut self.held_back {
            Some(held_back) => push_unless_repeated_cancel(held_back, command),
            None => self.send(command, link),
        }
    }

    /// Sends what was held back; commands are held back no more.
    pub(super) fn release(&mut self, link: &EngineLink) {
        for command in self.held_back.take().into_iter().flatten() {
            self.send(command, link);
        }
    }

    /// Sends a command, and keeps it until the engine has surely read it.
    fn send(&mut self, command: UnprovenCommand, link: &EngineLink) {
        if self.proof.is_some_and(|proof| link.is_proven(proof)) {
            self.mark_all_read();
        }
        self.proof = link.send(&command.line);
        push_unless_repeated_cancel(&mut self.unproven, command);
    }

    /// The last command was the reply to a call, which begins at this position in the bytes of the link.
    pub(super) fn reply_sent_at(&mut self, position: u64) {
        if let Some(reply) = self.unproven.last_mut() {
            reply.kind = CommandKind::Reply(ReplyProgress::SentAt(position));
        }
    }

    /// The run has come to a call: the engine has read what led to it, but perhaps not a cancellation.
    pub(super) fn run_reached_call(&mut self) {
        self.unproven
            .retain(|command| command.kind == CommandKind::Cancel);
    }

    /// The engine has read all commands.
    pub(super) fn mark_all_read(&mut self) {
        self.unproven.clear();
        self.proof = None;
    }

    /// The link was lost after so many bytes: a reply that begins behind them was surely not read.
    pub(super) fn link_lost(&mut self, written_bytes: u64) {
        for command in &mut self.unproven {
            let CommandKind::Reply(ReplyProgress::SentAt(position)) = command.kind else {
                continue;
            };
            let progress = if position >= written_bytes {
                ReplyProgress::Unsent
            } else {
                ReplyProgress::InDoubt
            };
            command.kind = CommandKind::Reply(progress);
        }
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
        self.unproven.iter().map(|command| command.line.len()).sum()
    }

    /// Sends the unproven commands again, except a reply in doubt. What was submitted before and behind it is sent: it
    /// may be read twice.
    pub(super) fn resend(&mut self, link: &EngineLink) -> ResendOutcome {
        let unproven = self.unproven.len();
        self.unproven
            .retain(|command| command.kind != CommandKind::Reply(ReplyProgress::InDoubt));
        let has_reply_in_doubt = self.unproven.len() < unproven;
        for command in &mut self.unproven {
            if let CommandKind::Reply(progress) = &mut command.kind {
                *progress = ReplyProgress::SentAt(link.queued_bytes());
            }
            self.proof = link.send(&command.line);
        }
        if has_reply_in_doubt {
            ResendOutcome::ReplyInDoubt
        } else {
            ResendOutcome::Resent
        }
    }
}

/// Appends a command, unless it is the cancellation that stands last already. It is repeated for as long as the run does
/// not end, which may be until the engine is back.
fn push_unless_repeated_cancel(commands: &mut Vec<UnprovenCommand>, command: UnprovenCommand) {
    let last = commands.last().map(|last| last.kind);
    if command.kind != CommandKind::Cancel || last != Some(CommandKind::Cancel) {
        commands.push(command);
    }
}

#[cfg(test)]
mod tests;
