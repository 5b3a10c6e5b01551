//! Parses the lines of a scenario, and plays them or compares them with what happened. The name before a mark is that
//! of a peer: `a`, `b`, `d` and `f` are connections of load balancers, `e` is the engine link, and `c1`, `c2` .. are
//! the connections for upstream calls, in the order in which they were requested.
//!
//! ```text
//! @250ms                       advances the clock to 250 ms after the start, and handles the timers on the way
//! a request 7 book ref=1 replay=2    a request as a line of JSON-RPC (`since=`, `allow=` in ms; `room=`, `project=`,
//!                              `sender=`, `effort=`, `class_rank=`, `bytes=` as they are on the wire)
//! a> {...}   or   e> {...}     a line from a peer, as it is
//! c1= 0000000000000001 DATA 3 abc    a reply with its body
//! a endless                    40,000 bytes of a line without an end
//! a lost                       the connection breaks, also `c1 lost`; `a end`: the peer sends no more
//! e lost   e link              the engine link breaks; a new one is opened
//! c1 unwritable                the peer accepts no more bytes
//! c moved                      the catalogue has another address
//! e mute   e speak             the engine answers no query of its gauges; it answers again
//! crowd                        one more connection would exceed the limit: one is evicted, if any may be
//! leave 3200ms                 begins a drain, with this time until the end of the process
//! durable                      results are durable, on a disk that writes at once
//! disk holds   disk lasts   disk fails    writes wait; all pending writes succeed; all of them fail
//! disk gone                    the thread that writes to the disk has ended
//! late 3ms                     timers are handled this late from now on
//! a< {...}                     the next line to a peer is this one, byte for byte; queries of the gauges are left out
//! a~ shed | "id":7             the next line to a peer contains each of these parts
//! a!                           no further line was sent to it; `a.`: its connection is closed, or is read no more
//! = answered.shed 2            a counter has this value
//! ```

use crate::player::{START_MS, ScenarioPlayer, instant_at};
use madderbay::time::Duration;

/// Number of bytes of an endless line.
const ENDLESS_LINE_BYTES: usize = 40_000;

/// The difference between a line of a scenario and what happened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Mismatch {
    /// Another line was sent, or none; or a counter has another value.
    #[error("found {0:?}")]
    Found(Option<String>),
    /// The connection is not closed, and its input is still read.
    #[error("still open")]
    StillOpen,
    /// The line does not follow the grammar.
    #[error("not a step of a scenario")]
    UnknownStep,
}

/// One line of a scenario.
enum Step<'a> {
    RunTo(u64),
    Line {
        peer: &'a str,
        line: &'a str,
    },
    Reply {
        peer: &'a str,
        reply: &'a str,
    },
    ExpectLine {
        peer: &'a str,
        line: &'a str,
    },
    ExpectParts {
        peer: &'a str,
        parts: &'a str,
    },
    ExpectNothing {
        peer: &'a str,
    },
    ExpectClosed {
        peer: &'a str,
    },
    ExpectCounter {
        counter: &'a str,
    },
    Event {
        subject: &'a str,
        words: Vec<&'a str>,
    },
}

impl<'a> Step<'a> {
    fn read(line: &'a str) -> Step<'a> {
        let (first, rest) = line.split_once(' ').unwrap_or((line, ""));
        if let Some(time) = first.strip_prefix('@') {
            return Step::RunTo(millis(time));
        }
        let (peer, mark) = first.split_at(first.len() - 1);
        match mark {
            ">" => Step::Line { peer, line: rest },
            "=" if peer.is_empty() => Step::ExpectCounter { counter: rest },
            "=" => Step::Reply { peer, reply: rest },
            "<" => Step::ExpectLine { peer, line: rest },
            "~" => Step::ExpectParts { peer, parts: rest },
            "!" => Step::ExpectNothing { peer },
            "." => Step::ExpectClosed { peer },
            _ => Step::Event {
                subject: first,
                words: rest.split_whitespace().collect(),
            },
        }
    }
}

fn millis(text: &str) -> u64 {
    text.trim_end_matches("ms").parse().expect("milliseconds")
}

/// Plays one line, or compares it with what happened.
///
/// # Errors
/// What happened differs from what the line expects, or the line does not follow the grammar.
pub(crate) fn play(player: &mut ScenarioPlayer, line: &str) -> Result<(), Mismatch> {
    match Step::read(line) {
        Step::RunTo(time) => {
            player.advance_to(instant_at(time));
            return Ok(());
        }
        Step::ExpectLine { peer, line } => return expect_line(player.next_sent(peer), line),
        Step::ExpectParts { peer, parts } => return expect_parts(player.next_sent(peer), parts),
        Step::ExpectNothing { peer } => return expect_nothing(player.next_sent(peer)),
        Step::ExpectClosed { peer } => return expect_closed(player, peer),
        Step::ExpectCounter { counter } => return expect_counter(player, counter),
        Step::Line { peer, line } => player.feed(peer, format!("{line}\n").as_bytes()),
        Step::Reply { peer, reply } => feed_reply(player, peer, reply),
        Step::Event { subject, words } => play_event(player, subject, &words)?,
    }
    player.settle();
    Ok(())
}

fn expect_line(found: Option<String>, line: &str) -> Result<(), Mismatch> {
    if found.as_deref() == Some(line) {
        Ok(())
    } else {
        Err(Mismatch::Found(found))
    }
}

fn expect_parts(found: Option<String>, parts: &str) -> Result<(), Mismatch> {
    let text = found.as_deref().unwrap_or_default();
    if parts.split(" | ").all(|part| text.contains(part)) {
        Ok(())
    } else {
        Err(Mismatch::Found(found))
    }
}

fn expect_nothing(found: Option<String>) -> Result<(), Mismatch> {
    if found.is_none() {
        Ok(())
    } else {
        Err(Mismatch::Found(found))
    }
}

fn expect_closed(player: &mut ScenarioPlayer, peer: &str) -> Result<(), Mismatch> {
    if player.is_closed(peer) {
        Ok(())
    } else {
        Err(Mismatch::StillOpen)
    }
}

/// Compares a counter; `counter` is its name and its expected value.
fn expect_counter(player: &ScenarioPlayer, counter: &str) -> Result<(), Mismatch> {
    let (name, value) = counter.split_once(' ').ok_or(Mismatch::UnknownStep)?;
    let (name, value) = (name.trim(), value.trim());
    let counters = player.core.counter_lines();
    let prefix = format!("counter {name} ");
    let found = counters.lines().find(|l| l.starts_with(&prefix));
    expect_line(found.map(str::to_string), &format!("{prefix}{value}"))
}

/// Feeds a reply: a head of three words, and possibly a body.
fn feed_reply(player: &mut ScenarioPlayer, peer: &str, reply: &str) {
    let mut parts = reply.splitn(4, ' ');
    let head: Vec<&str> = parts.by_ref().take(3).collect();
    let body = parts.next().map_or(String::new(), |b| format!("{b}\r\n"));
    player.feed(peer, format!("{}\r\n{body}", head.join(" ")).as_bytes());
}

/// Plays an event that concerns the whole server, or the peer that is its subject.
fn play_event(player: &mut ScenarioPlayer, subject: &str, words: &[&str]) -> Result<(), Mismatch> {
    match (subject, words) {
        ("durable", _) => player.make_results_durable(),
        ("disk", ["gone", ..]) => player.end_writer(),
        ("disk", [how, ..]) => {
            player.hold_writes();
            if *how != "holds" {
                player.finish_writes(*how == "lasts");
            }
        }
        ("late", [delay, ..]) => player.timer_delay = Duration::from_millis(millis(delay)),
        ("crowd", _) => {
            let now = player.now();
            player.core.evict_connection(now);
        }
        ("leave", [left, ..]) => {
            let now = player.now();
            player.core.drain(now, Duration::from_millis(millis(left)));
        }
        (peer, ["request", request @ ..]) => feed_request(player, peer, request),
        (peer, ["lost", ..]) => player.disconnect(peer),
        (peer, ["end", ..]) => player.end_input(peer),
        (peer, ["endless", ..]) => player.feed(peer, &[b'x'; ENDLESS_LINE_BYTES]),
        (peer, ["unwritable", ..]) => player.make_unwritable(peer),
        (_, ["link", ..]) => player.link_engine(),
        (_, ["moved", ..]) => {
            let now = player.now();
            player.core.calls_mut().catalogue_moved(now);
        }
        (_, ["mute", ..]) => player.mute_engine(),
        (_, ["speak", ..]) => player.unmute_engine(),
        _ => return Err(Mismatch::UnknownStep),
    }
    Ok(())
}

/// Feeds a request; `words` are the JSON-RPC id, the method and the parameters.
fn feed_request(player: &mut ScenarioPlayer, peer: &str, words: &[&str]) {
    let param = |key: &str| {
        words
            .iter()
            .find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    };
    let now = (player.now() - instant_at(0)).as_micros() / 1000;
    let since = START_MS + param("since").map_or(now, millis);
    let (id, method) = (words[0], words[1]);
    let attempt: u64 = param("ref").expect("a ref").parse().expect("a number");
    let key = param("replay").map_or(String::new(), |k| format!("\"replay\":\"{k:0>32}\","));
    let line = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{{\"ref\":\"{attempt:016x}\",\
         \"since\":{since},\"sender\":{},\"project\":\"{}\",\"allow\":{},\"effort\":{},\"room\":{},\
         {key}\"class_rank\":{},\"bytes\":{}}}}}\n",
        param("sender").unwrap_or("4"),
        param("project").unwrap_or("acme"),
        param("allow").unwrap_or("5000"),
        param("effort").unwrap_or("12.50"),
        param("room").unwrap_or("24.5"),
        param("class_rank").unwrap_or("0.6250"),
        param("bytes").unwrap_or("\"QUJD\""),
    );
    player.feed(peer, line.as_bytes());
}
