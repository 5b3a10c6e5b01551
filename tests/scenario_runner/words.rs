//! Splits a line into words, which parsers take one by one. A word that is left over is an error.

use super::error::{Problem, WordError};
use madderbay::time::Duration;
use std::str::FromStr;

/// The words of a line that have not been taken yet.
#[derive(Clone)]
pub(crate) struct Words<'a> {
    /// The last word that `next` took.
    last: &'a str,
    rest: Vec<&'a str>,
}

impl<'a> Words<'a> {
    pub(crate) fn new(text: &'a str) -> Words<'a> {
        Words {
            last: "",
            rest: text.split_whitespace().collect(),
        }
    }

    /// Returns the next word without taking it.
    pub(crate) fn peek(&self) -> Option<&'a str> {
        self.rest.first().copied()
    }

    /// Takes the next word. If there is none, the error says that `expected` is missing.
    pub(crate) fn next(&mut self, expected: &'static str) -> Result<&'a str, WordError> {
        if self.rest.is_empty() {
            return Err(WordError::new(self.last, Problem::Missing(expected)));
        }
        self.last = self.rest.remove(0);
        Ok(self.last)
    }

    /// Takes the next word and parses it as a number.
    pub(crate) fn next_number<T: FromStr>(
        &mut self,
        expected: &'static str,
    ) -> Result<T, WordError> {
        let word = self.next(expected)?;
        number(word, word)
    }

    /// Takes the next word and parses it as a duration.
    pub(crate) fn next_duration(&mut self) -> Result<Duration, WordError> {
        let word = self.next("duration")?;
        duration(word, word)
    }

    /// Takes a flag and reports whether it was present.
    pub(crate) fn flag(&mut self, flag: &str) -> bool {
        self.take(|word| (word == flag).then_some(())).is_some()
    }

    /// Takes `key=NUMBER`; returns the default if there is none.
    pub(crate) fn number<T: FromStr>(&mut self, key: &str, default: T) -> Result<T, WordError> {
        match self.value(key) {
            Some((word, value)) => number(value, word),
            None => Ok(default),
        }
    }

    /// Takes `key=DURATION`; returns the default if there is none.
    pub(crate) fn duration(&mut self, key: &str, default: Duration) -> Result<Duration, WordError> {
        Ok(self.optional_duration(key)?.unwrap_or(default))
    }

    /// Takes `key=DURATION`, if present.
    pub(crate) fn optional_duration(&mut self, key: &str) -> Result<Option<Duration>, WordError> {
        match self.value(key) {
            Some((word, value)) => duration(value, word).map(Some),
            None => Ok(None),
        }
    }

    /// Takes `key=VALUE` with one of the named values; returns the default if there is none.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &str,
        choices: &[(&str, T)],
        default: T,
    ) -> Result<T, WordError> {
        let Some((word, value)) = self.value(key) else {
            return Ok(default);
        };
        let choice = choices.iter().find(|(name, _)| *name == value);
        choice
            .map(|(_, choice)| *choice)
            .ok_or_else(|| WordError::new(word, Problem::UnknownValue))
    }

    /// Returns all remaining words, joined by single spaces.
    pub(crate) fn remaining(self) -> String {
        self.rest.join(" ")
    }

    /// Checks that all words of the line have been taken.
    pub(crate) fn finish(self) -> Result<(), WordError> {
        match self.peek() {
            Some(word) => Err(WordError::new(word, Problem::UnknownWord)),
            None => Ok(()),
        }
    }

    /// Takes `key=VALUE`; returns the whole word and its value.
    fn value(&mut self, key: &str) -> Option<(&'a str, &'a str)> {
        self.take(|word| Some((word, word.strip_prefix(key)?.strip_prefix('=')?)))
    }

    fn take<T>(&mut self, matching: impl Fn(&'a str) -> Option<T>) -> Option<T> {
        let mut words = self.rest.iter().enumerate();
        let (index, taken) = words.find_map(|(i, word)| Some((i, matching(word)?)))?;
        self.rest.remove(index);
        Some(taken)
    }
}

/// Parses a number; `word` is the word that an error names.
pub(crate) fn number<T: FromStr>(text: &str, word: &str) -> Result<T, WordError> {
    text.parse()
        .map_err(|_| WordError::new(word, Problem::NotANumber))
}

/// Parses a duration such as `250ms` or `1.5s`; `word` is the word that an error names.
pub(crate) fn duration(text: &str, word: &str) -> Result<Duration, WordError> {
    let units = [("ms", 1e-3), ("s", 1.0)];
    let parts = units
        .iter()
        .find_map(|(unit, seconds)| Some((text.strip_suffix(unit)?, seconds)));
    let seconds = parts.and_then(|(digits, unit_seconds)| {
        let number: f64 = digits.parse().ok()?;
        (number >= 0.0).then_some(number * unit_seconds)
    });
    seconds
        .map(Duration::from_secs_f64)
        .ok_or_else(|| WordError::new(word, Problem::NotADuration))
}
