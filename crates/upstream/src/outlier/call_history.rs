//! What one server has seen of one backend, by how far each attempt came; it fades.

use madderbay::time::{Duration, Timestamp};

/// Bad calls are worth a third of themselves after this: long enough that one a second adds up, short enough that
/// what was mended is forgiven. Good ones fade sooner: what was well a while ago says little of now.
const BAD_FADES: Duration = Duration::from_millis(5_000);
const GOOD_FADES: Duration = Duration::from_millis(2_000);
/// What each bad call in a row leaves of the good ones before it; no more of them count.
const RUN_KEEPS: f64 = 0.6;
const RUN_MOST: i32 = 6;
/// A good call that took far longer than the others' do is no good one, and so much of a bad one; as is one that
/// a second attempt outran.
const LATE: f64 = 0.5;
/// Weight of the newest call in the pace of a backend: the last five or so.
const PACE_ALPHA: f64 = 0.3;
/// A pace rests on that many calls at the least, and on none older than this.
const PACE_SEEN: f64 = 2.5;
const PACE_FOR: Duration = Duration::from_millis(10_000);
/// What an attempt of that kind counts against a backend. One that was never heard may be the way's fault as
/// well as the backend's, and one that its own caller gave up on is no proof.
const REFUSED: f64 = 1.0;
const FAILED: f64 = 1.0;
const BROKEN: f64 = 1.0;
const SILENT: f64 = 1.0;

/// How an attempt ended, by how far it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Success,
    /// Turned away for want of room: it never ran, and tells of load, not of harm.
    Rejected,
    /// No connection, or nothing was sent: it never ran.
    NotConnected,
    /// It ran, or may have, and failed.
    Failed,
    /// The connection ended before the reply.
    Disconnected,
    /// Nothing came in the time that there was.
    TimedOut,
    /// A second attempt that began later came back first.
    LostToHedge,
    /// Given up by this side for reasons of its own: tells nothing.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether it is proven that nothing ran.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::NotConnected
        )
    }

    fn harm(self) -> f64 {
        match self {
            AttemptOutcome::NotConnected => REFUSED,
            AttemptOutcome::Failed => FAILED,
            AttemptOutcome::Disconnected => BROKEN,
            AttemptOutcome::TimedOut => SILENT,
            AttemptOutcome::LostToHedge => LATE,
            AttemptOutcome::Success | AttemptOutcome::Rejected | AttemptOutcome::Cancelled => 0.0,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Evidence {
    good: f64,
    pub bad: f64,
    /// Bad calls since the last good one.
    run: i32,
    at: Timestamp,
    /// Mean time of the last good calls, in seconds, on how many it rests, and when the last came.
    pace: f64,
    paced: f64,
    pace_at: Timestamp,
}

impl Evidence {
    pub fn fade(&mut self, now: Timestamp) {
        let passed = (now - self.at).as_secs_f64();
        self.good *= (-passed / GOOD_FADES.as_secs_f64()).exp();
        self.bad *= (-passed / BAD_FADES.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }

    /// Good calls that still speak for it.
    pub fn good(&self) -> f64 {
        self.good * RUN_KEEPS.powi(self.run.clamp(0, RUN_MOST))
    }

    /// Whether the last call that tells anything went wrong.
    pub fn failing(&self) -> bool {
        self.run > 0
    }

    /// `late`: it went well, and took far longer than others do.
    pub fn add(&mut self, now: Timestamp, end: AttemptOutcome, took: Duration, late: bool) {
        self.fade(now);
        self.bad += end.harm();
        self.run += i32::from(end.harm() > 0.0);
        if end != AttemptOutcome::Success {
            return;
        }
        if late {
            self.bad += LATE;
        } else {
            self.good += 1.0;
            self.run = 0;
        }
        if now - self.pace_at > PACE_FOR {
            self.paced = 0.0;
        }
        let alpha = if self.paced == 0.0 { 1.0 } else { PACE_ALPHA };
        self.pace += alpha * (took.as_secs_f64() - self.pace);
        (self.paced, self.pace_at) = (self.paced + 1.0, now);
    }

    /// The time that a good call takes of late, in seconds, where enough came.
    pub fn pace(&self, now: Timestamp) -> Option<f64> {
        (self.paced > PACE_SEEN && now - self.pace_at <= PACE_FOR).then_some(self.pace)
    }

    /// The same, however little it rests on.
    pub fn rough_pace(&self) -> Option<f64> {
        (self.paced > 0.0).then_some(self.pace)
    }

    /// It begins anew: what was seen is another matter's.
    pub fn forget(&mut self) {
        (self.good, self.bad, self.paced, self.run) = (0.0, 0.0, 0.0, 0);
    }
}

#[cfg(test)]
mod tests;
