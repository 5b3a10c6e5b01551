//! Parses the event lines of a scenario.

use super::error::{Problem, WordError};
use super::setup::Setup;
use super::words::{Words, duration};
use madderbay::interface::{Arrival, Ceiling, HandlerId, Outcome, TenantId};
use madderbay::time::{Duration, Timestamp};

/// The instant from which the times of a scenario file are counted.
pub(crate) const START: Timestamp = Timestamp::from_micros(1_000_000_000);

/// An event and its time.
pub(crate) struct Event {
    pub(crate) at: Timestamp,
    pub(crate) kind: EventKind,
}

/// The kinds of events, with their arguments.
pub(crate) enum EventKind {
    /// A request is read.
    Request(Arrival),
    /// A run ends.
    RunEnded {
        id: u64,
        outcome: Outcome,
        run_time: Duration,
    },
    /// A run waits for its upstream call.
    CallNeeded { id: u64 },
    /// An upstream call ends.
    CallFinished {
        id: u64,
        outcome: Outcome,
        call_time: Duration,
    },
    /// The client of a request is gone.
    ClientGone { id: u64 },
    /// A graceful shutdown begins.
    Drain { remaining: Duration },
    /// A group of handlers gets a ceiling, which replaces its former one.
    Ceiling(Ceiling),
    /// The gauge of the run queue changes.
    RunQueue { runs: f64 },
    /// The process pauses: the timer fires late.
    Pause { duration: Duration },
    /// Time passes without an event.
    Wait,
}

/// How many times, and at what interval, the event of a part of a line is repeated.
#[derive(Clone, Copy)]
struct Repetition {
    times: u64,
    interval: Duration,
}

/// Parses an event line and returns its events in order of time.
pub(crate) fn parse(line: &str, setup: &Setup) -> Result<Vec<Event>, WordError> {
    let mut line_start = START;
    let mut repetition = Repetition {
        times: 1,
        interval: Duration::ZERO,
    };
    let mut events = vec![];
    for part in line.split(';') {
        let mut words = Words::new(part);
        let part_start = time(&mut words, line_start)?;
        if events.is_empty() {
            line_start = part_start;
        }
        if let Some(next) = take_repetition(&mut words)? {
            repetition = next;
        }
        for index in 0..repetition.times {
            let at = part_start + repetition.interval.mul_f64(index as f64);
            let kind = event(words.clone(), index, setup)?;
            events.push(Event { at, kind });
        }
    }
    events.sort_by_key(|event| event.at);
    Ok(events)
}

/// Parses a time, which counts from `START`, or with a leading `+` from the line's first time.
fn time(words: &mut Words, line_start: Timestamp) -> Result<Timestamp, WordError> {
    let word = words.next("time")?;
    match word.strip_prefix('+') {
        Some(text) => Ok(line_start + duration(text, word)?),
        None => Ok(START + duration(word, word)?),
    }
}

fn take_repetition(words: &mut Words) -> Result<Option<Repetition>, WordError> {
    let Some(word) = words.peek().filter(|word| word.starts_with('x')) else {
        return Ok(None);
    };
    words.next("repetition")?;
    let parts = word.strip_prefix('x').and_then(|text| text.split_once('/'));
    let not_a_repetition = |_| WordError::new(word, Problem::NotARepetition);
    let (times, interval) = parts.ok_or(()).map_err(not_a_repetition)?;
    Ok(Some(Repetition {
        times: times.parse().map_err(|_| not_a_repetition(()))?,
        interval: duration(interval, word).map_err(|_| not_a_repetition(()))?,
    }))
}

/// Parses the event of a part of a line; `index` is added to the identifier of its request.
fn event(mut words: Words, index: u64, setup: &Setup) -> Result<EventKind, WordError> {
    let keyword = words.next("event")?;
    let line = &mut words;
    let kind = match keyword {
        "request" => EventKind::Request(arrival(line, index, setup)?),
        "completed" => run_ended(line, index, Outcome::Completed)?,
        "failed" => run_ended(line, index, Outcome::Failed)?,
        "cancelled" => EventKind::RunEnded {
            id: id(line, index)?,
            outcome: Outcome::Cancelled,
            run_time: Duration::ZERO,
        },
        "call_needed" => EventKind::CallNeeded {
            id: id(line, index)?,
        },
        "call_finished" => EventKind::CallFinished {
            id: id(line, index)?,
            outcome: call_outcome(line.next("outcome")?)?,
            call_time: line.next_duration()?,
        },
        "client_gone" => EventKind::ClientGone {
            id: id(line, index)?,
        },
        "drain" => EventKind::Drain {
            remaining: line.next_duration()?,
        },
        "ceiling" => EventKind::Ceiling(ceiling(line, setup)?),
        "run_queue" => EventKind::RunQueue {
            runs: line.next_number("number of runs")?,
        },
        "pause" => EventKind::Pause {
            duration: line.next_duration()?,
        },
        "wait" => EventKind::Wait,
        _ => return Err(WordError::new(keyword, Problem::UnknownEvent)),
    };
    words.finish()?;
    Ok(kind)
}

fn id(words: &mut Words, index: u64) -> Result<u64, WordError> {
    Ok(words.next_number::<u64>("identifier")? + index)
}

fn run_ended(words: &mut Words, index: u64, outcome: Outcome) -> Result<EventKind, WordError> {
    Ok(EventKind::RunEnded {
        id: id(words, index)?,
        outcome,
        run_time: words.next_duration()?,
    })
}

fn arrival(words: &mut Words, index: u64, setup: &Setup) -> Result<Arrival, WordError> {
    let id = id(words, index)?;
    let handler = words.next("handler")?;
    let own_client = u16::try_from(id).unwrap_or(u16::MAX);
    Ok(Arrival {
        id,
        client: words.number("client", own_client)?,
        handler: setup.handler(handler, handler)?,
        tenant: TenantId::new(words.number("tenant", 0)?),
        timeout: words.duration("timeout", Duration::from_millis(4_000))?,
        work_hint: words.optional_duration("work_hint")?,
        memory_kb: words.number("memory_kb", 1.0)?,
        is_retry: words.flag("retry"),
        read_delay: words.duration("read_delay", Duration::ZERO)?,
        retry_of: words.number("retry_of", 0)?,
        ..Arrival::default()
    })
}

fn ceiling(words: &mut Words, setup: &Setup) -> Result<Ceiling, WordError> {
    let names = words.next("handlers")?;
    let handlers: Result<Vec<HandlerId>, WordError> = names
        .split(',')
        .map(|name| setup.handler(name, names))
        .collect();
    Ok(Ceiling {
        handlers: handlers?,
        runs: words.number("runs", usize::MAX)?,
        calls: words.number("calls", usize::MAX)?,
        start_interval: words.duration("start_interval", Duration::ZERO)?,
    })
}

fn call_outcome(word: &str) -> Result<Outcome, WordError> {
    match word {
        "completed" => Ok(Outcome::Completed),
        "failed" => Ok(Outcome::Failed),
        "rejected" => Ok(Outcome::Rejected),
        "timed_out" => Ok(Outcome::TimedOut),
        "unreachable" => Ok(Outcome::Unreachable),
        _ => Err(WordError::new(word, Problem::UnknownValue)),
    }
}
