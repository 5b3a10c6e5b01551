//! Typed keys of the operator file: a constant for each key holds its name, its valid values and its
//! default, and [`OperatorFile`] reads it from a section.
//!
//! An invalid value is reported and replaced by the default, so that the rest of the file is checked
//! too.

use crate::error::Problem;
use crate::file::OperatorFile;
use crate::names::{Names, is_name};
use crate::section::Section;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// A key whose value is a number.
pub(crate) struct NumberKey<T> {
    pub(crate) name: &'static str,
    /// The valid numbers.
    pub(crate) range: RangeInclusive<T>,
    pub(crate) default: T,
}

impl<T> NumberKey<T> {
    /// Returns the same key with another default, which may depend on the rest of the file.
    pub(crate) fn with_default(self, default: T) -> NumberKey<T> {
        NumberKey { default, ..self }
    }
}

/// A key whose value is one of a fixed set of words.
pub(crate) struct WordKey<T: 'static> {
    pub(crate) name: &'static str,
    /// The valid words, each with its meaning.
    pub(crate) words: &'static [(&'static str, T)],
    pub(crate) default: T,
}

/// Creates a key whose value is `on` or `off`.
pub(crate) const fn on_off(name: &'static str, default: bool) -> WordKey<bool> {
    WordKey {
        name,
        words: &[("on", true), ("off", false)],
        default,
    }
}

/// Whether a feature is enabled. Features that have this key are off unless it is set.
pub(crate) const ENABLED: WordKey<bool> = on_off("enabled", false);

/// A key whose value is an IP address and a port.
pub(crate) struct AddressKey {
    pub(crate) name: &'static str,
    pub(crate) default: SocketAddr,
}

impl AddressKey {
    /// Returns the same key with another default, which may depend on the rest of the file.
    pub(crate) fn with_default(self, default: SocketAddr) -> AddressKey {
        AddressKey { default, ..self }
    }
}

/// A key whose value is a name.
pub(crate) struct NameKey<'a> {
    pub(crate) name: &'static str,
    pub(crate) default: &'a str,
}

impl NameKey<'_> {
    /// Returns the same key with another default, which may depend on the rest of the file.
    pub(crate) fn with_default<'a>(&self, default: &'a str) -> NameKey<'a> {
        let name = self.name;
        NameKey { name, default }
    }
}

impl OperatorFile {
    /// Reads a number.
    pub(crate) fn number<T>(&mut self, section: &Section, key: NumberKey<T>) -> T
    where
        T: FromStr + PartialOrd + Display,
    {
        let Some(text) = section.get(key.name) else {
            return key.default;
        };
        if let Ok(number) = text.parse::<T>()
            && key.range.contains(&number)
        {
            return number;
        }
        let problem = Problem::NumberOutOfRange {
            text: text.into(),
            min: key.range.start().to_string(),
            max: key.range.end().to_string(),
        };
        self.key_error(section, key.name, problem);
        key.default
    }

    /// Reads an optional number.
    pub(crate) fn optional_number<T>(&mut self, section: &Section, key: NumberKey<T>) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
    {
        section.get(key.name)?;
        Some(self.number(section, key))
    }

    /// Reads one of the key's words.
    pub(crate) fn word<T: Copy>(&mut self, section: &Section, key: &WordKey<T>) -> T {
        let Some(text) = section.get(key.name) else {
            return key.default;
        };
        if let Some((_, meaning)) = key.words.iter().find(|(word, _)| *word == text) {
            return *meaning;
        }
        let problem = Problem::UnknownWord {
            text: text.into(),
            words: key.words.iter().map(|(word, _)| *word).collect(),
        };
        self.key_error(section, key.name, problem);
        key.default
    }

    /// Reads an IP address and a port.
    pub(crate) fn address(&mut self, section: &Section, key: &AddressKey) -> SocketAddr {
        let Some(text) = section.get(key.name) else {
            return key.default;
        };
        text.parse().unwrap_or_else(|_| {
            self.key_error(section, key.name, Problem::InvalidAddress(text.into()));
            key.default
        })
    }

    /// Reads a name. An invalid name is reported, but still returned.
    pub(crate) fn name(&mut self, section: &Section, key: &NameKey<'_>) -> String {
        let text = section.get(key.name).unwrap_or(key.default).to_string();
        if !is_name(&text) {
            self.key_error(section, key.name, Problem::InvalidName(text.clone()));
        }
        text
    }

    /// Reads a comma-separated list of names and reports the first repeated name.
    pub(crate) fn names(&mut self, section: &Section, key: &str) -> Names {
        let names: Vec<String> = split_list(section.get(key).unwrap_or(""))
            .map(Into::into)
            .collect();
        let repeated = (0..names.len()).find(|index| names[..*index].contains(&names[*index]));
        if let Some(index) = repeated {
            let problem = Problem::RepeatedName(names[index].clone());
            self.key_error(section, key, problem);
        }
        Names::new(names, self.place(section, key))
    }

    /// Reports an error if a required key is absent.
    pub(crate) fn require_key(&mut self, section: &Section, key: &str) {
        if section.get(key).is_none() {
            self.key_error(section, key, Problem::NotSet);
        }
    }

    /// Reports an error if the name of a section is empty or invalid. Log lines and JSON contain the name without
    /// quoting.
    pub(crate) fn require_section_name(&mut self, section: &Section) {
        if section.name.is_empty() || !is_name(&section.name) {
            self.section_error(section, Problem::InvalidSectionName);
        }
    }
}

/// Splits a comma-separated value, trims its entries and skips empty ones.
pub(crate) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}
