//! Tests of which commands are sent, which are sent again on the next link, and which are in doubt.

mod histories;
mod link_model;
mod runs_once;

use super::*;
use crate::support::io::Outbox;

const RUN: &[u8] = b"run\n";
const CANCEL: &[u8] = b"cancel\n";
const REPLY: &[u8] = b"reply\n";

/// Returns a link that is up, and its outbox.
fn link_up() -> (EngineLink, Outbox) {
    let mut link = EngineLink::default();
    let outbox = reconnect(&mut link);
    (link, outbox)
}

/// Attaches a new link and restores it, as if all missed notices had been read. Returns the outbox
/// of the new link.
fn reconnect(link: &mut EngineLink) -> Outbox {
    let outbox = Outbox::default();
    link.attach(outbox.clone(), 0);
    outbox.take();
    assert!(link.restored());
    outbox
}

/// Loses the link, and notifies the commands of one run of it.
fn lose_link(link: &mut EngineLink, commands: &mut RunCommands) {
    commands.link_lost(link.written_bytes());
    link.lost();
}

#[test]
fn holds_commands_back_until_release() {
    let (link, outbox) = link_up();
    let mut commands = RunCommands::default();
    commands.hold_back();
    commands.submit(RUN.into(), &link);
    assert_eq!(outbox.take(), b"");
    commands.release(&link);
    assert_eq!(outbox.take(), RUN);
    commands.submit(REPLY.into(), &link);
    assert_eq!(outbox.take(), REPLY);
}

#[test]
fn resends_command_not_proven_by_a_gauge_answer() {
    let (mut link, _) = link_up();
    let mut commands = RunCommands::default();
    commands.submit(RUN.into(), &link);
    lose_link(&mut link, &mut commands);
    let outbox = reconnect(&mut link);
    assert!(commands.is_unproven(link.proven_before()));
    assert_eq!(commands.resend(&link), ResendOutcome::Resent);
    assert_eq!(outbox.take(), RUN);
}

#[test]
fn does_not_resend_commands_that_the_engine_has_read() {
    let (mut link, _) = link_up();
    let mut commands = RunCommands::default();
    commands.submit(RUN.into(), &link);
    commands.mark_all_read();
    lose_link(&mut link, &mut commands);
    reconnect(&mut link);
    assert!(!commands.is_unproven(link.proven_before()));
}

#[test]
fn resends_reply_that_was_not_written() {
    let (mut link, _) = link_up();
    let mut commands = RunCommands::default();
    commands.reply(REPLY.into(), &link);
    lose_link(&mut link, &mut commands);
    let outbox = reconnect(&mut link);
    assert_eq!(commands.resend(&link), ResendOutcome::Resent);
    assert_eq!(outbox.take(), REPLY);
}

#[test]
fn never_resends_reply_that_may_have_been_read() {
    let (mut link, outbox) = link_up();
    let mut commands = RunCommands::default();
    commands.reply(REPLY.into(), &link);
    outbox.take();
    lose_link(&mut link, &mut commands);
    let outbox = reconnect(&mut link);
    assert_eq!(commands.resend(&link), ResendOutcome::ReplyInDoubt);
    assert_eq!(outbox.take(), b"");
    assert!(!commands.is_unproven(link.proven_before()));
}

/// A query for the gauges was open on the lost link and was not answered, so it proves nothing
/// about the run.
#[test]
fn resends_run_with_cancel_sent_between_links() {
    let (mut link, _) = link_up();
    let mut commands = RunCommands::default();
    commands.submit(RUN.into(), &link);
    link.query_gauges(true);
    lose_link(&mut link, &mut commands);
    let outbox = Outbox::default();
    link.attach(outbox.clone(), 0);
    commands.submit(CANCEL.into(), &link);
    outbox.take();
    assert!(link.restored());
    assert_eq!(commands.resend(&link), ResendOutcome::Resent);
    assert_eq!(outbox.take(), [RUN, CANCEL].concat());
}

/// The engine's notice that the run waits for a call was under way when the run was cancelled. It
/// proves that the engine has read the run command, but not the cancellation.
#[test]
fn resends_cancel_submitted_before_call_notice_was_read() {
    let (mut link, _) = link_up();
    let mut commands = RunCommands::default();
    commands.submit(RUN.into(), &link);
    commands.cancel(CANCEL.into(), &link);
    lose_link(&mut link, &mut commands);
    let outbox = Outbox::default();
    link.attach(outbox.clone(), 0);
    commands.run_reached_call();
    outbox.take();
    assert!(link.restored());
    assert!(commands.is_unproven(link.proven_before()));
    assert_eq!(commands.resend(&link), ResendOutcome::Resent);
    assert_eq!(outbox.take(), CANCEL);
}

/// The loss of a link that was never up proves nothing about a reply that was written to an earlier
/// link.
#[test]
fn never_resends_reply_in_doubt_after_a_second_loss() {
    let (mut link, outbox) = link_up();
    let mut commands = RunCommands::default();
    commands.reply(REPLY.into(), &link);
    outbox.take();
    lose_link(&mut link, &mut commands);
    link.attach(Outbox::default(), 0);
    lose_link(&mut link, &mut commands);
    let outbox = reconnect(&mut link);
    assert_eq!(commands.resend(&link), ResendOutcome::ReplyInDoubt);
    assert_eq!(outbox.take(), b"");
}

/// A reply that was submitted while there was no link is in doubt like any other once it was
/// written to the next link and that link is lost.
#[test]
fn never_resends_reply_a_second_time_after_a_later_loss() {
    let (mut link, _) = link_up();
    let mut commands = RunCommands::default();
    lose_link(&mut link, &mut commands);
    commands.reply(REPLY.into(), &link);
    let outbox = reconnect(&mut link);
    assert_eq!(commands.resend(&link), ResendOutcome::Resent);
    assert_eq!(outbox.take(), REPLY);
    lose_link(&mut link, &mut commands);
    let outbox = reconnect(&mut link);
    assert_eq!(commands.resend(&link), ResendOutcome::ReplyInDoubt);
    assert_eq!(outbox.take(), b"");
}

/// A run that was cancelled after a reply in doubt is cancelled on the next link too.
#[test]
fn resends_cancel_submitted_after_reply_in_doubt() {
    let (mut link, outbox) = link_up();
    let mut commands = RunCommands::default();
    commands.reply(REPLY.into(), &link);
    commands.cancel(CANCEL.into(), &link);
    outbox.take();
    lose_link(&mut link, &mut commands);
    let outbox = reconnect(&mut link);
    assert_eq!(commands.resend(&link), ResendOutcome::ReplyInDoubt);
    assert_eq!(outbox.take(), CANCEL);
}

/// While there is no link, a cancellation is repeated every 300 ms. It is stored only once;
/// otherwise it would take 0.5 MB per run and hour.
#[test]
fn stores_repeated_cancel_once() {
    let (mut link, _) = link_up();
    let mut commands = RunCommands::default();
    commands.submit(RUN.into(), &link);
    lose_link(&mut link, &mut commands);
    for _ in 0..1_000 {
        commands.cancel(CANCEL.into(), &link);
    }
    assert_eq!(commands.unproven_bytes(), RUN.len() + CANCEL.len());
    let outbox = reconnect(&mut link);
    assert_eq!(commands.resend(&link), ResendOutcome::Resent);
    assert_eq!(outbox.take(), [RUN, CANCEL].concat());
    commands.cancel(CANCEL.into(), &link);
    assert_eq!(outbox.take(), CANCEL);
}

/// The end of a run is known, but its request is still in flight: no command about it may reach the
/// next link, or the engine would begin the run again.
#[test]
fn sends_nothing_after_the_run_has_ended() {
    let (mut link, outbox) = link_up();
    let mut commands = RunCommands::default();
    commands.submit(RUN.into(), &link);
    outbox.take();
    lose_link(&mut link, &mut commands);
    let outbox = Outbox::default();
    link.attach(outbox.clone(), 0);
    commands.run_ended();
    commands.cancel(CANCEL.into(), &link);
    outbox.take();
    assert!(link.restored());
    assert!(!commands.has_unproven());
    assert_eq!(commands.resend(&link), ResendOutcome::Resent);
    assert_eq!(outbox.take(), b"");
}

/// A run that was given up before it was sent is not sent once its write-ahead record is durable.
#[test]
fn sends_nothing_held_back_after_the_run_has_ended() {
    let (link, outbox) = link_up();
    let mut commands = RunCommands::default();
    commands.hold_back();
    commands.submit(RUN.into(), &link);
    commands.run_ended();
    commands.release(&link);
    assert_eq!(outbox.take(), b"");
}
