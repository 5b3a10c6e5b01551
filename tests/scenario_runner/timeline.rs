//! The events of one line of a scenario file.

use super::setup::duration;
use madderbay::time::{Duration, Timestamp};

/// The instant that a file's times count from.
pub(crate) const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// One event.
pub(crate) struct Event<'a> {
    pub(crate) at: Timestamp,
    pub(crate) what: &'a str,
    /// The request's identifier; 0 where the event names none.
    pub(crate) id: u64,
    pub(crate) words: Vec<&'a str>,
}

/// The events of one line in order of time.
pub(crate) fn events(line: &str) -> Vec<Event<'_>> {
    let (mut line_start, mut times, mut step) = (START, 1, Duration::ZERO);
    let mut all = vec![];
    for part in line.split(';') {
        let mut words: Vec<&str> = part.split_whitespace().collect();
        let time = words.remove(0);
        let first = match time.strip_prefix('+') {
            Some(after) => line_start + duration(after),
            None => START + duration(time),
        };
        if all.is_empty() {
            line_start = first;
        }
        if let Some((count, gap)) = words[0].strip_prefix('x').and_then(|r| r.split_once('/')) {
            (times, step) = (count.parse::<u64>().expect("a count"), duration(gap));
            words.remove(0);
        }
        let first_id = words.get(1).and_then(|w| w.parse::<u64>().ok());
        all.extend((0..times).map(|i| Event {
            at: first + step.mul_f64(i as f64),
            what: words[0],
            id: first_id.map_or(0, |id| id + i),
            words: words[1..].to_vec(),
        }));
    }
    all.sort_by_key(|event| event.at);
    all
}
