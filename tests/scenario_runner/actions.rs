//! Records the actions of a scenario, each as a line of text: the method of [`Actions`] that was
//! called, and its arguments.

use super::checks::ActionPattern;
use madderbay::interface::Actions;
use madderbay::time::Duration;

/// The first words that lines of the log can have.
pub(crate) const ACTION_WORDS: [&str; 13] = [
    "start",
    "cancel",
    "abandon",
    "reject",
    "fail",
    "call",
    "skip_call",
    "store_key",
    "remove_key",
    "join_attempt",
    "health",
    "load_report",
    "idle_limit",
];

/// Number of actions that are shown with a failed check, unless the last event line has more.
const MAX_SHOWN: usize = 40;

/// All actions so far, in the order of the calls.
#[derive(Default)]
pub(crate) struct ActionLog {
    lines: Vec<String>,
}

impl ActionLog {
    pub(crate) fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns the number of actions from index `from` on that match the pattern.
    pub(crate) fn count(&self, from: usize, pattern: &ActionPattern) -> usize {
        let lines = self.lines[from..].iter();
        lines.filter(|line| pattern.matches(line)).count()
    }

    /// Returns the actions from index `from` on, and at least the last `MAX_SHOWN`.
    pub(crate) fn tail(&self, from: usize) -> &[String] {
        &self.lines[from.min(self.lines.len().saturating_sub(MAX_SHOWN))..]
    }

    fn add(&mut self, line: String) {
        self.lines.push(line);
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_micros() / 1000
}

impl Actions for ActionLog {
    fn start(&mut self, id: u64) {
        self.add(format!("start {id}"));
    }
    fn cancel(&mut self, id: u64) {
        self.add(format!("cancel {id}"));
    }
    fn abandon(&mut self, id: u64) {
        self.add(format!("abandon {id}"));
    }
    fn reject(&mut self, id: u64, retry_after: Duration, is_final: bool) {
        let retry = if is_final { "final" } else { "retry_elsewhere" };
        let advice = if retry_after > Duration::ZERO {
            "retry_after"
        } else {
            "no_retry_after"
        };
        self.add(format!("reject {id} {retry} {advice}"));
    }
    fn fail(&mut self, id: u64) {
        self.add(format!("fail {id}"));
    }
    fn call(&mut self, id: u64, timeout: Duration) {
        self.add(format!("call {id} {}ms", millis(timeout)));
    }
    fn skip_call(&mut self, id: u64) {
        self.add(format!("skip_call {id}"));
    }
    fn store_key(&mut self, id: u64, lifetime: Duration) {
        self.add(format!("store_key {id} {}ms", millis(lifetime)));
    }
    fn remove_key(&mut self, id: u64) {
        self.add(format!("remove_key {id}"));
    }
    fn join_attempt(&mut self, id: u64) {
        self.add(format!("join_attempt {id}"));
    }
    fn set_health(&mut self, healthy: bool) {
        self.add(format!("health {healthy}"));
    }
    fn set_load_report(&mut self, value: f64) {
        self.add(format!("load_report {value:.2}"));
    }
    fn set_idle_limit(&mut self, limit: Duration) {
        self.add(format!("idle_limit {}ms", millis(limit)));
    }
    fn set_timer(&mut self, _after: Duration) {}
}
