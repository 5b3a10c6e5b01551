//! Random histories of one run's commands over links that break, against a model of the engine that
//! records every command it reads.
//!
//! The engine reads the bytes written to a link, in order, as far as the history lets it. Its
//! notices survive the loss of the link. Its answers to queries do not, but an answer to an earlier
//! link may arrive on a later one.

use super::super::*;
use super::link_model::LinkModel;
use crate::support::attempt_name::AttemptName;
use crate::upstream::engine::{DeclinedCommand, EngineObserver, EngineStart};
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RUN: &str = "run";
const CANCEL: &str = "cancel";

/// One step of a history. A step that is not possible is skipped.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The server starts the run.
    Start,
    /// The server cancels the run.
    Cancel,
    /// The server replies to the call that the run waits for.
    Reply,
    /// The run reaches a call.
    ReachCall,
    /// The server writes the bytes that it has queued for the link.
    Write,
    /// The engine reads the next line of the link.
    Read,
    /// The server reads the next line of the link.
    Receive,
    /// The server's timer ticks.
    Tick,
    /// The link breaks.
    LoseLink,
    /// A new link is made.
    Attach,
    /// The last answer to a query on an earlier link arrives on the current one.
    LateAnswer,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Start),
        2 => Just(Step::Cancel),
        4 => Just(Step::Reply),
        4 => Just(Step::ReachCall),
        8 => Just(Step::Write),
        12 => Just(Step::Read),
        12 => Just(Step::Receive),
        4 => Just(Step::Tick),
        3 => Just(Step::LoseLink),
        6 => Just(Step::Attach),
        1 => Just(Step::LateAnswer),
    ]
}

/// The server's side: the link, the commands of the run, and what the server knows of the run.
#[derive(Default)]
struct Server {
    link: EngineLink,
    commands: RunCommands,
    /// The call that the run waits for, as far as the server knows.
    call: Option<u64>,
    /// The calls whose replies may have been read when the link was lost.
    replies_in_doubt: Vec<u64>,
    last_reply: u64,
    submitted: Vec<String>,
}

impl Server {
    fn submit(&mut self, command: &str) {
        self.submitted.push(command.into());
        let line = format!("{command}\n").into_bytes();
        self.commands.submit(line, &self.link);
    }

    fn cancel(&mut self) {
        self.submitted.push(CANCEL.into());
        let line = format!("{CANCEL}\n").into_bytes();
        self.commands.cancel(line, &self.link);
    }

    fn reply(&mut self, call: u64) {
        self.last_reply = call;
        self.call = None;
        let command = format!("reply {call}");
        let line = format!("{command}\n").into_bytes();
        self.submitted.push(command);
        self.commands.reply(line, &self.link);
    }
}

impl EngineObserver for Server {
    fn link(&mut self) -> &mut EngineLink {
        &mut self.link
    }

    fn engine_up(&mut self, _: Timestamp, _: EngineStart) {
        self.link.query_gauges(true);
    }

    fn gauges_read(&mut self, _: Timestamp, _: &[f64], _: bool) {
        if !self.link.restored() {
            return;
        }
        if !self.commands.is_unproven(self.link.proven_before()) {
            self.commands.mark_all_read();
        } else if self.commands.resend(&self.link) == ResendOutcome::ReplyInDoubt {
            let call = self.last_reply;
            self.replies_in_doubt.push(call);
            self.submit(&format!("skip {call}"));
        }
    }

    fn call_needed(&mut self, _: Timestamp, _: &AttemptName, serial: u64, _: &str) {
        self.commands.run_reached_call();
        self.call = Some(serial);
    }

    fn run_ended(&mut self, _: Timestamp, _: &AttemptName, _: Outcome, _: Duration, _: &str) {}

    fn command_declined(&mut self, _: Timestamp, _: DeclinedCommand, _: &AttemptName) {}

    fn notice_unreadable(&mut self) {}

    fn link_lost(&mut self) {
        self.commands.link_lost(self.link.written_bytes());
        self.link.lost();
    }
}

/// The engine's side: what it has read of the run, over all links.
#[derive(Default)]
struct Engine {
    /// All commands that were read.
    read: Vec<String>,
    /// The call that the run waits for.
    call: Option<u64>,
}

impl Engine {
    fn has_read(&self, command: &str) -> bool {
        self.read.iter().any(|line| line == command)
    }

    fn read_command(&mut self, line: &str) {
        let is_for_call = |call: u64| line == format!("skip {call}") || line.starts_with("reply");
        if self.call.is_some_and(is_for_call) {
            self.call = None;
        }
        self.read.push(line.into());
    }

    fn reach_call(&mut self, link: &mut LinkModel) {
        if !self.has_read(RUN) || self.has_read(CANCEL) || self.call.is_some() {
            return;
        }
        let serial = link.notify(|serial| {
            format!(
                "{{\"msg\":\"NEED\",\"serial\":{serial},\"call\":\"0000000000000001\",\"blob\":\"\"}}\n"
            )
        });
        self.call = Some(serial);
    }
}

/// The state of a history: a server, its engine and the link between them.
#[derive(Default)]
struct History {
    server: Server,
    engine: Engine,
    link: LinkModel,
}

impl History {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Start if self.server.submitted.is_empty() => self.server.submit(RUN),
            Step::Cancel if !self.server.submitted.is_empty() => self.server.cancel(),
            Step::Reply => {
                if let Some(call) = self.server.call {
                    self.server.reply(call);
                }
            }
            Step::ReachCall if self.link.is_open() => self.engine.reach_call(&mut self.link),
            Step::Write => self.link.write(),
            Step::Read => {
                if let Some(command) = self.link.read() {
                    self.engine.read_command(&command);
                }
            }
            Step::Receive => self.link.receive(&mut self.server),
            Step::Tick => self.server.link.on_tick(),
            Step::LoseLink if self.link.is_open() => self.link.lose(&mut self.server),
            Step::Attach if !self.link.is_open() => self.link.attach(&mut self.server),
            Step::LateAnswer if self.link.is_open() => {
                self.link.receive_late_answer(&mut self.server);
            }
            _ => {}
        }
    }

    /// Delivers all that is under way, over a link that is not lost.
    fn settle(&mut self) {
        self.apply(Step::Attach);
        for _ in 0..3 {
            self.apply(Step::Tick);
            self.apply(Step::Write);
            while self.link.has_unread() {
                self.apply(Step::Read);
            }
            while self.link.has_unreceived() {
                self.apply(Step::Receive);
            }
        }
        self.apply(Step::Write);
        while self.link.has_unread() {
            self.apply(Step::Read);
        }
    }

    /// Reports whether a command was given up deliberately: a reply in doubt.
    fn is_in_doubt(&self, command: &str) -> bool {
        let calls = &self.server.replies_in_doubt;
        calls.iter().any(|call| command == format!("reply {call}"))
    }

    /// Checks that the server keeps each command that the engine has not read, unless it is in
    /// doubt.
    fn check_no_command_lost(&self) -> Result<(), TestCaseError> {
        let unproven = &self.server.commands.unproven;
        for command in &self.server.submitted {
            let line = format!("{command}\n").into_bytes();
            let is_kept = unproven.iter().any(|kept| kept.line == line);
            let is_read = self.engine.has_read(command);
            prop_assert!(
                is_kept || is_read || self.is_in_doubt(command),
                "'{command}' is lost"
            );
        }
        Ok(())
    }

    /// Checks that no reply is read twice, and no cancellation before the run command.
    fn check_commands_read(&self) -> Result<(), TestCaseError> {
        let read = &self.engine.read;
        for line in read.iter().filter(|line| line.starts_with("reply")) {
            let reads = read.iter().filter(|other| *other == line).count();
            prop_assert!(reads == 1, "'{line}' is read {reads} times");
        }
        let first = |command: &str| read.iter().position(|line| line == command);
        if let Some(cancelled) = first(CANCEL) {
            let started = first(RUN);
            prop_assert!(
                started.is_some_and(|started| started < cancelled),
                "the cancellation was read before the run"
            );
        }
        Ok(())
    }

    /// Checks, once everything has been delivered, that no command is missing and that the run is
    /// not started again after its cancellation.
    fn check_final_state(&self) -> Result<(), TestCaseError> {
        for command in &self.server.submitted {
            let arrived = self.engine.has_read(command) || self.is_in_doubt(command);
            prop_assert!(arrived, "'{command}' was never read");
        }
        let last = |command: &str| self.engine.read.iter().rposition(|line| line == command);
        if let Some(cancelled) = last(CANCEL) {
            prop_assert!(
                last(RUN) < Some(cancelled),
                "the run was started again after its cancellation"
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn loses_no_command_and_duplicates_no_reply(
        steps in proptest::collection::vec(any_step(), 1..120)
    ) {
        let mut history = History::default();
        history.apply(Step::Attach);
        for step in &steps {
            history.apply(*step);
            history.check_no_command_lost()?;
            history.check_commands_read()?;
        }
        history.settle();
        history.check_commands_read()?;
        history.check_final_state()?;
    }
}
