//! The engine commands of one run: those that are held back, and those that the engine may not have
//! read.
//!
//! [`RunCommands`] keeps each command until it is proven that the engine has read it, and sends
//! unproven commands again when the link is restored. It neither decides on commands nor opens or
//! closes the link.
//!
//! Invariant: a command leaves `unproven` once it is proven that the engine has read it: by an
//! answer to a query that was sent after it on the same link, or by a notice of the run that proves
//! the same. Nothing else is proof, neither a new link nor silence.
//!
//! Invariant: no command is sent about a run whose end is known. The engine keeps no record of a run
//! that has ended, so a second command to run it would begin it again.
//!
//! For the same reason the command to run a request that must not run twice is not sent again at
//! once if it may have been read: the run may end while the command is on its way. Such a run is in
//! doubt until a notice about it arrives. If none arrives, the run is cancelled, and the answer to a
//! query after the cancellation proves that it has ended or never began.

use crate::upstream::engine::{EngineLink, LinkAnswers, ReadProof};

/// The result of sending a run's unproven commands again on a new link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResendOutcome {
    /// There were none, or all were sent again.
    Resent,
    /// All were sent again except the reply to a call, which the run may have read or may still
    /// wait for. A reply does not say which call it is for, so the run could take a second copy as
    /// the reply to its next call.
    ReplyInDoubt,
    /// Nothing was sent: the run may have begun, and must not begin twice.
    RunInDoubt,
}

/// Whether a command that must not be read twice has been sent and may have been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// As far as is known, it was not written to any link.
    Unsent,
    /// It was sent on the current link, where it begins at this byte position.
    SentAt(u64),
    /// It was written to a link that was then lost, so it may have been read.
    InDoubt,
}

/// The kind of an unproven command, which decides how it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CommandKind {
    /// A command that has no further effect when it is read twice.
    Repeatable,
    /// A cancellation. It has no further effect when it is read twice; the run may still reach a
    /// call before the engine reads it.
    Cancel,
    /// The command to run a request that must not run twice.
    Run(Delivery),
    /// The reply to a call.
    Reply(Delivery),
}

impl CommandKind {
    /// Returns the delivery of a command that must not be read twice.
    fn delivery_mut(&mut self) -> Option<&mut Delivery> {
        match self {
            CommandKind::Run(delivery) | CommandKind::Reply(delivery) => Some(delivery),
            CommandKind::Repeatable | CommandKind::Cancel => None,
        }
    }
}

/// What has been done to find out whether a run has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunDoubt {
    /// Nothing: its notices are awaited.
    Open,
    /// Its cancellation was sent. Once this is proven to be read, the run has ended or never began.
    Cancelled(ReadProof),
}

/// A command that the engine may not have read.
struct UnprovenCommand {
    line: Vec<u8>,
    kind: CommandKind,
}

impl UnprovenCommand {
    /// Sends the command if the link is up, and records where it begins if it must not be read twice.
    /// Returns the proof that the engine has read it, or `None` if it was not sent.
    fn send(&mut self, link: &EngineLink) -> Option<ReadProof> {
        let position = link.queued_bytes();
        let proof = link.send(&self.line);
        if proof.is_some()
            && let Some(delivery) = self.kind.delivery_mut()
        {
            *delivery = Delivery::SentAt(position);
        }
        proof
    }
}

/// The commands of one run.
#[derive(Default)]
pub(super) struct RunCommands {
    /// Commands that are held back; set while the run waits for its write-ahead record.
    held_back: Option<Vec<UnprovenCommand>>,
    /// Commands that the engine may not have read, in the order in which they were submitted.
    unproven: Vec<UnprovenCommand>,
    /// The answer that will prove that the engine has read all of them; `None` if the last one has
    /// not been sent on a link yet.
    proof: Option<ReadProof>,
    /// Whether the end of the run is known.
    has_ended: bool,
    /// Whether the run must not begin a second time.
    runs_once: bool,
    /// Set while it is unknown whether the run has begun. Nothing but its cancellation is sent.
    doubt: Option<RunDoubt>,
}

impl RunCommands {
    /// Holds back the commands of this run until they are released.
    pub(super) fn hold_back(&mut self) {
        self.held_back = Some(vec![]);
    }

    /// Declares that the run must not begin a second time.
    pub(super) fn set_runs_once(&mut self) {
        self.runs_once = true;
    }

    /// Sends the command that begins the run, or holds it back.
    pub(super) fn run(&mut self, line: Vec<u8>, link: &EngineLink) {
        let kind = if self.runs_once {
            CommandKind::Run(Delivery::Unsent)
        } else {
            CommandKind::Repeatable
        };
        self.submit_kind(kind, line, link);
    }

    /// Sends a command, or holds it back.
    pub(super) fn submit(&mut self, line: Vec<u8>, link: &EngineLink) {
        self.submit_kind(CommandKind::Repeatable, line, link);
    }

    /// Sends the command that cancels the run, or holds it back.
    pub(super) fn cancel(&mut self, line: Vec<u8>, link: &EngineLink) {
        self.resolve_by_cancelling(&line, link);
        self.submit_kind(CommandKind::Cancel, line, link);
    }

    /// Sends the reply to the call that the run waits for, or holds it back.
    pub(super) fn reply(&mut self, line: Vec<u8>, link: &EngineLink) {
        self.submit_kind(CommandKind::Reply(Delivery::Unsent), line, link);
    }

    fn submit_kind(&mut self, kind: CommandKind, line: Vec<u8>, link: &EngineLink) {
        if self.has_ended {
            return;
        }
        let command = UnprovenCommand { line, kind };
        match &mut self.held_back {
            Some(held_back) => push_unless_repeated_cancel(held_back, command),
            None => self.send(command, link),
        }
    }

    /// Sends the commands that were held back. Further commands are not held back.
    pub(super) fn release(&mut self, link: &EngineLink) {
        for command in self.held_back.take().into_iter().flatten() {
            self.send(command, link);
        }
    }

    /// Sends a command, and keeps it until it is proven that the engine has read it. While the run is
    /// in doubt, it is only kept, to be sent in its place behind the command that begins the run.
    fn send(&mut self, mut command: UnprovenCommand, link: &EngineLink) {
        if self.is_in_doubt() {
            return push_unless_repeated_cancel(&mut self.unproven, command);
        }
        if self.proof.is_some_and(|proof| link.is_proven(proof)) {
            self.mark_all_read();
        }
        self.proof = command.send(link);
        push_unless_repeated_cancel(&mut self.unproven, command);
    }

    /// Handles the notice that the run has reached a call: the engine has read all commands that
    /// led to it, but perhaps not a cancellation.
    pub(super) fn run_reached_call(&mut self) {
        self.doubt = None;
        self.unproven
            .retain(|command| command.kind == CommandKind::Cancel);
    }

    /// Marks all commands as read by the engine.
    pub(super) fn mark_all_read(&mut self) {
        self.unproven.clear();
        self.proof = None;
        self.doubt = None;
    }

    /// Handles the end of the run: drops its commands, also those that were held back, and sends no
    /// further ones.
    pub(super) fn run_ended(&mut self) {
        self.has_ended = true;
        self.held_back = None;
        self.mark_all_read();
    }

    /// Reports whether the run has ended. Its request may still wait for the result to become durable.
    pub(super) fn has_run_ended(&self) -> bool {
        self.has_ended
    }

    /// Handles the loss of the link after `written_bytes` were written. A command that begins at or
    /// after that position was certainly not read.
    pub(super) fn link_lost(&mut self, written_bytes: u64) {
        self.doubt = None;
        for command in &mut self.unproven {
            let Some(delivery) = command.kind.delivery_mut() else {
                continue;
            };
            if let Delivery::SentAt(position) = *delivery {
                *delivery = if position >= written_bytes {
                    Delivery::Unsent
                } else {
                    Delivery::InDoubt
                };
            }
        }
    }

    /// Reports whether there are commands that the engine is not proven to have read.
    pub(super) fn has_unproven(&self) -> bool {
        !self.unproven.is_empty()
    }

    /// Reports whether there are commands that the engine may not have read, given the answers that
    /// arrived on the lost link.
    pub(super) fn is_unproven(&self, answers: LinkAnswers) -> bool {
        let is_proven = self.proof.is_some_and(|proof| answers.prove(proof));
        self.has_unproven() && !is_proven
    }

    /// Returns the total size of the commands that the engine may not have read, in bytes.
    pub(super) fn unproven_bytes(&self) -> usize {
        self.unproven.iter().map(|command| command.line.len()).sum()
    }

    /// Sends the unproven commands again, except a reply in doubt. The commands before and after
    /// such a reply are sent, because they may be read twice. Nothing is sent if the run must not
    /// begin twice and may have begun.
    pub(super) fn resend(&mut self, link: &EngineLink) -> ResendOutcome {
        let run_in_doubt = CommandKind::Run(Delivery::InDoubt);
        if self
            .unproven
            .iter()
            .any(|command| command.kind == run_in_doubt)
        {
            self.doubt = Some(RunDoubt::Open);
            return ResendOutcome::RunInDoubt;
        }
        let unproven = self.unproven.len();
        self.unproven
            .retain(|command| command.kind != CommandKind::Reply(Delivery::InDoubt));
        let has_reply_in_doubt = self.unproven.len() < unproven;
        for command in &mut self.unproven {
            self.proof = command.send(link);
        }
        if has_reply_in_doubt {
            ResendOutcome::ReplyInDoubt
        } else {
            ResendOutcome::Resent
        }
    }
}

/// Runs of which it is unknown whether they have begun.
impl RunCommands {
    /// Reports whether it is unknown whether the run has begun.
    pub(super) fn is_in_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Sends the cancellation of a run in doubt, if it was not sent on this link and the link is up.
    pub(super) fn resolve_by_cancelling(&mut self, cancel_line: &[u8], link: &EngineLink) {
        if self.doubt == Some(RunDoubt::Open)
            && let Some(proof) = link.send(cancel_line)
        {
            self.doubt = Some(RunDoubt::Cancelled(proof));
        }
    }

    /// Reports whether a run in doubt has certainly not begun: the engine has read its cancellation,
    /// and no end was read before the proof of that.
    pub(super) fn never_began(&self, link: &EngineLink) -> bool {
        match self.doubt {
            Some(RunDoubt::Cancelled(proof)) => link.is_proven(proof),
            Some(RunDoubt::Open) | None => false,
        }
    }

    /// Ends the doubt and sends the commands of the run again.
    pub(super) fn resend_run_in_doubt(&mut self, link: &EngineLink) {
        self.doubt = None;
        for command in &mut self.unproven {
            if let CommandKind::Run(delivery) = &mut command.kind {
                *delivery = Delivery::Unsent;
            }
        }
        self.resend(link);
    }
}

/// Appends a command, unless it is a cancellation and the last command is one too. A cancellation
/// is repeated until the run ends, which may not be before the engine is back.
fn push_unless_repeated_cancel(commands: &mut Vec<UnprovenCommand>, command: UnprovenCommand) {
    let last = commands.last().map(|last| last.kind);
    if command.kind != CommandKind::Cancel || last != Some(CommandKind::Cancel) {
        commands.push(command);
    }
}

#[cfg(test)]
mod tests;
