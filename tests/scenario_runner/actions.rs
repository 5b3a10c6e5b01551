//! The actions of a scenario as lines of text, in the words of the scenario files.

use madderbay::interface::Actions;
use madderbay::time::Duration;

/// Most actions shown with a failure.
const MAX_SHOWN: usize = 40;

/// All actions so far, a line each.
#[derive(Default)]
pub(crate) struct ActionLog(Vec<String>);

impl ActionLog {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// How many actions from that index on start with the text, or contain it after a `*`.
    pub(crate) fn count(&self, from: usize, what: &str) -> usize {
        let matches = |line: &&String| match what.strip_prefix('*') {
            Some(part) => line.contains(part),
            None => line.starts_with(what),
        };
        self.0[from..].iter().filter(matches).count()
    }

    /// The actions from that index on, at least the last `MAX_SHOWN`.
    pub(crate) fn tail(&self, from: usize) -> &[String] {
        &self.0[from.min(self.0.len().saturating_sub(MAX_SHOWN))..]
    }

    fn add(&mut self, line: String) {
        self.0.push(line);
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_micros() / 1000
}

impl Actions for ActionLog {
    fn start(&mut self, id: u64) {
        self.add(format!("start {id} "));
    }
    fn cancel(&mut self, id: u64) {
        self.add(format!("stop {id} "));
    }
    fn reject(&mut self, id: u64, retry_after: Duration, is_final: bool) {
        let elsewhere = if is_final { "last" } else { "elsewhere" };
        let when = if retry_after > Duration::ZERO {
            "away"
        } else {
            "now"
        };
        self.add(format!("shed {id} {elsewhere} {when}"));
    }
    fn fail(&mut self, id: u64) {
        self.add(format!("errored {id} "));
    }
    fn call(&mut self, id: u64, timeout: Duration) {
        self.add(format!("call {id} {}ms", millis(timeout)));
    }
    fn skip_call(&mut self, id: u64) {
        self.add(format!("skip {id} "));
    }
    fn store_key(&mut self, id: u64, lifetime: Duration) {
        self.add(format!("keep {id} {}ms", millis(lifetime)));
    }
    fn remove_key(&mut self, id: u64) {
        self.add(format!("drop {id} "));
    }
    fn join_attempt(&mut self, id: u64) {
        self.add(format!("join {id} "));
    }
    fn set_health(&mut self, healthy: bool) {
        self.add(format!("health {healthy}"));
    }
    fn set_load_report(&mut self, value: f64) {
        self.add(format!("report {value:.2}"));
    }
    fn set_idle_limit(&mut self, limit: Duration) {
        self.add(format!("idle {}ms", millis(limit)));
    }
    fn set_timer(&mut self, _after: Duration) {}
}
