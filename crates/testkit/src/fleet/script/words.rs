//! Parsers of the words of a line: times, numbers, states and servers.

use super::error::Expected;
use super::setup::FleetSetup;
use madderbay::time::Duration;
use madderbay_membership::{Connectivity, MemberState};
use std::str::FromStr;

const SECONDS_PER_MILLISECOND: f64 = 0.001;
const STATES: [MemberState; 6] = [
    MemberState::Joining,
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Draining,
    MemberState::Down,
    MemberState::Left,
];

/// An invalid word, without its file and line number.
pub(super) struct Unexpected {
    pub(super) word: String,
    pub(super) expected: Expected,
}

pub(super) type Parsed<T> = Result<T, Unexpected>;

pub(super) fn unexpected(word: &str, expected: Expected) -> Unexpected {
    Unexpected {
        word: word.into(),
        expected,
    }
}

pub(super) fn time(word: &str) -> Parsed<Duration> {
    let (number, unit_secs) = match (word.strip_suffix("ms"), word.strip_suffix('s')) {
        (Some(number), _) => (number, SECONDS_PER_MILLISECOND),
        (None, Some(number)) => (number, 1.0),
        (None, None) => return Err(unexpected(word, Expected::Time)),
    };
    let number: f64 = number
        .parse()
        .map_err(|_| unexpected(word, Expected::Time))?;
    Ok(Duration::from_secs_f64(number * unit_secs))
}

pub(super) fn number<T: FromStr>(word: &str) -> Parsed<T> {
    word.parse().map_err(|_| unexpected(word, Expected::Number))
}

pub(super) fn fraction(word: &str) -> Parsed<f64> {
    word.parse()
        .ok()
        .filter(|fraction| (0.0..=1.0).contains(fraction))
        .ok_or_else(|| unexpected(word, Expected::Fraction))
}

pub(super) fn switch(word: &str) -> Parsed<bool> {
    match word {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err(unexpected(word, Expected::Switch)),
    }
}

/// Parses the state of a member, or `unknown`, which is `None`.
pub(super) fn member_state(word: &str) -> Parsed<Option<MemberState>> {
    if word == "unknown" {
        return Ok(None);
    }
    match state_by_name(word) {
        Some(state) => Ok(Some(state)),
        None => Err(unexpected(word, Expected::State)),
    }
}

/// Returns the member state with the name that servers report.
pub(in crate::fleet) fn state_by_name(word: &str) -> Option<MemberState> {
    STATES.into_iter().find(|state| state.to_string() == word)
}

pub(super) fn connectivity(word: &str) -> Parsed<Connectivity> {
    match word {
        "complete" => Ok(Connectivity::Complete),
        "partial" => Ok(Connectivity::Partial),
        "isolated" => Ok(Connectivity::Isolated),
        _ => Err(unexpected(word, Expected::Connectivity)),
    }
}

/// Parses the name of a server and returns its index.
pub(super) fn server(setup: &FleetSetup, word: &str) -> Parsed<usize> {
    word.strip_prefix('n')
        .and_then(|number| number.parse::<usize>().ok())
        .filter(|number| (1..=setup.servers).contains(number))
        .map(|number| number - 1)
        .ok_or_else(|| unexpected(word, Expected::Server))
}

/// Parses a list of server names, zones and `all`, and returns the indices of the servers.
pub(super) fn servers(setup: &FleetSetup, words: &[&str]) -> Parsed<Vec<usize>> {
    let mut found = vec![];
    for word in words {
        if *word == "all" {
            found.extend(0..setup.servers);
        } else if setup.zones.iter().any(|zone| zone == word) {
            found.extend((0..setup.servers).filter(|server| setup.zones[*server] == *word));
        } else {
            found.push(server(setup, word)?);
        }
    }
    Ok(found)
}
