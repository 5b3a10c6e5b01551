//! Checks values of the settings. Each check names the object and key of the value in its error.

use crate::error::{InvalidValue, NumberRange, SettingsError};
use std::collections::HashSet;

/// The valid words of a key, each with its meaning.
pub(crate) type Words<T> = [(&'static str, T)];

/// One object of the settings, identified by its path, which each error contains together with the
/// key.
pub(crate) struct Section {
    /// Path of the object, as in `classes[0]`.
    path: String,
}

impl Section {
    /// Returns the object under a top-level key.
    pub(crate) fn of(key: &str) -> Section {
        Section { path: key.into() }
    }

    /// Returns an object in a top-level list.
    pub(crate) fn entry(list: &str, index: usize) -> Section {
        Section {
            path: format!("{list}[{index}]"),
        }
    }

    /// Checks that a number is in its range.
    pub(crate) fn number(
        &self,
        key: &str,
        number: f64,
        range: NumberRange,
    ) -> Result<f64, SettingsError> {
        if range.contains(number) {
            Ok(number)
        } else {
            Err(self.invalid(key, InvalidValue::OutOfRange(range)))
        }
    }

    /// Checks that a whole number is not 0.
    pub(crate) fn positive<T>(&self, key: &str, number: T) -> Result<T, SettingsError>
    where
        T: PartialEq + Default,
    {
        if number == T::default() {
            return Err(self.invalid(key, InvalidValue::Zero));
        }
        Ok(number)
    }

    /// Returns the meaning of a word, or an error if the word is unknown.
    pub(crate) fn word<T: Copy>(
        &self,
        key: &str,
        text: &str,
        words: &Words<T>,
    ) -> Result<T, SettingsError> {
        match words.iter().find(|(word, _)| *word == text) {
            Some((_, meaning)) => Ok(*meaning),
            None => Err(self.invalid(key, InvalidValue::UnknownWord(text.into()))),
        }
    }

    /// Checks that a list with one entry per class is absent or has as many entries as there are
    /// classes.
    pub(crate) fn list_by_class<T>(
        &self,
        key: &str,
        list: &[T],
        classes: usize,
    ) -> Result<(), SettingsError> {
        let found = list.len();
        if found == 0 || found == classes {
            Ok(())
        } else {
            Err(self.invalid(key, InvalidValue::ListLength { found, classes }))
        }
    }

    /// Returns the error about a key of this object.
    pub(crate) fn invalid(&self, key: &str, reason: InvalidValue) -> SettingsError {
        let key = format!("{}.{key}", self.path);
        SettingsError::Invalid { key, reason }
    }
}

/// Checks that no two entries of a list have the same name, so that a name identifies one entry.
/// Empty names are not compared.
pub(crate) fn check_distinct_names<'a>(
    list: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), SettingsError> {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        if !name.is_empty() && !seen.insert(name) {
            let reason = InvalidValue::DuplicateName(name.into());
            return Err(Section::entry(list, index).invalid("name", reason));
        }
    }
    Ok(())
}
