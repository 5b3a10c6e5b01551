//! The link to the engine, which runs requests: commands as lines out, notices as lines in, both in order.
//!
//! [`EngineLink`] owns the sending side and knows which commands the engine has surely read; [`NoticeReader`] owns the
//! reading side and how far it came, over all links; [`run`] makes the link and makes it again where it was lost.
//! What a notice means for a request is decided by the [`EngineObserver`].

mod driver;
mod link;
mod notice_reader;

use crate::support::attempt_name::AttemptName;
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};

pub use driver::run;
pub use link::{EngineLink, command};
pub use notice_reader::NoticeReader;

/// The owner of the link, which is notified of what the engine says.
pub trait EngineObserver {
    /// The link that it owns.
    fn link(&mut self) -> &mut EngineLink;
    /// The engine is up since `age`; `origin` is `new` where it came up with this server, else `old`.
    fn hello(&mut self, now: Timestamp, origin: &str, age: Duration);
    /// The gauges; `gap` where notices before them were lost for good.
    fn gauges(&mut self, now: Timestamp, values: &[f64], gap: bool);
    /// A run waits for a call: the notice's serial, which is the call's number, and the body in base64.
    fn at_call(&mut self, now: Timestamp, name: &AttemptName, serial: u64, body: &str);
    /// A run is over after `elapsed`; `result` is the JSON value as it was written.
    fn run_over(
        &mut self,
        now: Timestamp,
        name: &AttemptName,
        outcome: Outcome,
        elapsed: Duration,
        result: &str,
    );
    /// A command, given by its name on the wire, was not carried out.
    fn declined(&mut self, now: Timestamp, command: &str, name: &AttemptName);
    /// A notice could not be read.
    fn unread(&mut self);
    /// The link is lost.
    fn unlinked(&mut self);
}
