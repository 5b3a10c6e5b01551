//! The link to the engine, which runs requests. Commands are sent and notices are received as lines, both in order.
//!
//! `EngineLink` owns the sending side and knows which commands the engine has certainly read. `NoticeReader` owns
//! the receiving side and the number of the last notice read, over all links. `run` opens the link and reopens it
//! when it is lost. The `EngineObserver` decides what a notice means for a request. The names of the protocol are
//! in `wire_names`.

mod command;
mod driver;
mod link;
mod notice;
mod notice_reader;
mod read_proof;
mod wire_names;

use crate::support::attempt_name::AttemptName;
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};

pub use command::EngineCommand;
pub use driver::run;
pub use link::EngineLink;
pub use notice::{DeclinedCommand, EngineStart};
pub use notice_reader::NoticeReader;
pub use read_proof::{LinkAnswers, ReadProof};
pub use wire_names::RUN_QUEUE_GAUGE;

/// The owner of the link, which is notified of what the engine reports.
pub trait EngineObserver {
    /// Returns the link that the observer owns.
    fn link(&mut self) -> &mut EngineLink;
    /// Called when the engine is up.
    fn engine_up(&mut self, now: Timestamp, start: EngineStart);
    /// Called when the gauges arrive. `notices_lost` tells that earlier notices were lost for good.
    fn gauges_read(&mut self, now: Timestamp, values: &[f64], notices_lost: bool);
    /// Called when a run waits for a call. `serial` is the serial of the notice, which is also the number of the
    /// call; `body` is in base64.
    fn call_needed(&mut self, now: Timestamp, name: &AttemptName, serial: u64, body: &str);
    /// Called when a run ended after `elapsed`. `result` is the JSON value as it was written.
    fn run_ended(
        &mut self,
        now: Timestamp,
        name: &AttemptName,
        outcome: Outcome,
        elapsed: Duration,
        result: &str,
    );
    /// Called when the engine did not carry out a command.
    fn command_declined(&mut self, now: Timestamp, command: DeclinedCommand, name: &AttemptName);
    /// Called when a notice could not be read.
    fn notice_unreadable(&mut self);
    /// Called when the link is lost.
    fn link_lost(&mut self);
}
