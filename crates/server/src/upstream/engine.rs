//! The link to the engine, which runs requests: commands as lines out, notices as lines in, both in order.
//!
//! `EngineLink` owns the sending side and knows which commands the engine has surely read; `NoticeReader` owns the
//! reading side and how far it came, over all links; `run` makes the link and makes it again where it was lost.
//! What a notice means for a request is decided by the `EngineObserver`. The words of the wire stand in `wire_names`
//! alone.

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

/// The owner of the link, which is notified of what the engine says.
pub trait EngineObserver {
    /// The link that it owns.
    fn link(&mut self) -> &mut EngineLink;
    /// The engine is up.
    fn engine_up(&mut self, now: Timestamp, start: EngineStart);
    /// The gauges arrived; `notices_lost` where notices before them were lost for good.
    fn gauges_read(&mut self, now: Timestamp, values: &[f64], notices_lost: bool);
    /// A run waits for a call: the notice's serial, which is the call's number, and the body in base64.
    fn call_needed(&mut self, now: Timestamp, name: &AttemptName, serial: u64, body: &str);
    /// A run ended after `elapsed`; `result` is the JSON value as it was written.
    fn run_ended(
        &mut self,
        now: Timestamp,
        name: &AttemptName,
        outcome: Outcome,
        elapsed: Duration,
        result: &str,
    );
    /// A command was not carried out.
    fn command_declined(&mut self, now: Timestamp, command: DeclinedCommand, name: &AttemptName);
    /// A notice could not be read.
    fn notice_unreadable(&mut self);
    /// The link is lost.
    fn link_lost(&mut self);
}
