//! Random histories of one run that must not begin twice, over links that break, against a model of
//! the engine that keeps no record of a run that has ended.

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
/// Rounds after which everything has been delivered over a link that is not lost.
const SETTLING_ROUNDS: usize = 6;

/// One step of a history. A step that is not possible is skipped.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start,
    EndRun,
    Write,
    Read,
    Receive,
    Tick,
    LoseLink,
    Attach,
    DoubtExpires,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Start),
        2 => Just(Step::EndRun),
        8 => Just(Step::Write),
        12 => Just(Step::Read),
        12 => Just(Step::Receive),
        4 => Just(Step::Tick),
        4 => Just(Step::LoseLink),
        6 => Just(Step::Attach),
        4 => Just(Step::DoubtExpires),
    ]
}

/// The server's side: the link and the commands of the run.
#[derive(Default)]
struct Server {
    link: EngineLink,
    commands: RunCommands,
    has_started: bool,
    has_ended: bool,
}

impl EngineObserver for Server {
    fn link(&mut self) -> &mut EngineLink {
        &mut self.link
    }

    fn engine_up(&mut self, _: Timestamp, _: EngineStart) {
        self.link.query_gauges(true);
    }

    fn gauges_read(&mut self, _: Timestamp, _: &[f64], _: bool) {
        if self.link.restored() {
            if self.commands.is_unproven(self.link.proven_before()) {
                self.commands.resend(&self.link);
            } else {
                self.commands.mark_all_read();
            }
        }
        if self.commands.never_began(&self.link) {
            self.commands.resend_run_in_doubt(&self.link);
        }
    }

    fn call_needed(&mut self, _: Timestamp, _: &AttemptName, _: u64, _: &str) {}

    fn run_ended(&mut self, _: Timestamp, _: &AttemptName, _: Outcome, _: Duration, _: &str) {
        self.has_ended = true;
        self.commands.run_ended();
    }

    fn command_declined(&mut self, _: Timestamp, _: DeclinedCommand, _: &AttemptName) {}

    fn notice_unreadable(&mut self) {}

    fn link_lost(&mut self) {
        self.commands.link_lost(self.link.written_bytes());
        self.link.lost();
    }
}

/// The state of a history: a server, the run on its engine, and the link between them.
#[derive(Default)]
struct History {
    server: Server,
    link: LinkModel,
    is_running: bool,
    /// How often the run has begun.
    begun: u32,
}

impl History {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Start if !self.server.has_started => {
                self.server.has_started = true;
                self.server.commands.set_runs_once();
                let line = format!("{RUN}\n").into_bytes();
                self.server.commands.run(line, &self.server.link);
            }
            Step::EndRun if self.is_running => self.end_run("good"),
            Step::Write => self.link.write(),
            Step::Read => {
                if let Some(command) = self.link.read() {
                    self.read_command(&command);
                }
            }
            Step::Receive => self.link.receive(&mut self.server),
            Step::Tick => self.server.link.on_tick(),
            Step::LoseLink if self.link.is_open() => self.link.lose(&mut self.server),
            Step::Attach if !self.link.is_open() => self.link.attach(&mut self.server),
            Step::DoubtExpires => {
                let line = format!("{CANCEL}\n").into_bytes();
                self.server
                    .commands
                    .resolve_by_cancelling(&line, &self.server.link);
            }
            _ => {}
        }
    }

    fn read_command(&mut self, line: &str) {
        if line == RUN && !self.is_running {
            self.is_running = true;
            self.begun += 1;
        } else if line == CANCEL && self.is_running {
            self.end_run("cut");
        }
    }

    fn end_run(&mut self, how: &str) {
        self.is_running = false;
        self.link.notify(|serial| {
            format!(
                "{{\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"0000000000000001\",\"how\":\"{how}\",\
                 \"duration\":1,\"blob\":\"\"}}\n"
            )
        });
    }

    /// Delivers all that is under way, over a link that is not lost.
    fn settle(&mut self) {
        self.apply(Step::Attach);
        for _ in 0..SETTLING_ROUNDS {
            self.apply(Step::DoubtExpires);
            self.apply(Step::Tick);
            self.apply(Step::Write);
            while self.link.has_unread() {
                self.apply(Step::Read);
            }
            while self.link.has_unreceived() {
                self.apply(Step::Receive);
            }
        }
        self.apply(Step::EndRun);
        self.apply(Step::Receive);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A run whose command is sent again may have ended in the meantime: it must not begin twice.
    #[test]
    fn begins_a_run_at_most_once_and_forgets_none(
        steps in proptest::collection::vec(any_step(), 1..120)
    ) {
        let mut history = History::default();
        history.apply(Step::Attach);
        for step in &steps {
            history.apply(*step);
            prop_assert!(history.begun <= 1, "the run began twice");
        }
        history.settle();
        prop_assert!(history.begun <= 1, "the run began twice");
        prop_assert_eq!(history.server.has_ended, history.server.has_started);
    }
}
