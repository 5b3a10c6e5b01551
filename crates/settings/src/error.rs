//! Errors of reading the settings. Each displays as one line for the operator.

use std::fmt;

/// Why settings can't be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON, or a key is missing or has a value of another type.
    #[error("settings: {0}")]
    Json(#[source] serde_json::Error),
    /// The value of a key is invalid.
    #[error("settings: {key} {reason}")]
    Invalid {
        /// Path of the key in the JSON, as in `classes[0].aim_us`.
        key: String,
        /// What is wrong with its value.
        reason: InvalidValue,
    },
}

/// What is wrong with the value of a key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// A list that requires an entry is empty.
    #[error("is empty")]
    Empty,
    /// A whole number that must be positive is 0.
    #[error("is 0")]
    Zero,
    /// A number is outside of its range.
    #[error("is {0}")]
    OutOfRange(NumberRange),
    /// A list with one entry per class is neither absent nor as long as the list of classes.
    #[error("has {found} entries for {classes} classes")]
    ListLength {
        /// Entries in the list.
        found: usize,
        /// Entries in `classes`.
        classes: usize,
    },
    /// An earlier entry of the list has the same name.
    #[error("'{0}' is already the name of another entry")]
    DuplicateName(String),
    /// The value is not one of the key's words.
    #[error("is '{0}', which is not a known word")]
    UnknownWord(String),
    /// A class makes calls, but there is no upstream.
    #[error("is true, but family_info.below is none")]
    CallsWithoutUpstream,
    /// Requests of a class have idempotency keys, but the time for which these are stored is 0.
    #[error("is 0, but its effect is idempotency_key")]
    NoIdempotencyWindow,
    /// Retry-After may be advertised, but its maximum is 0.
    #[error("is 0, but retry_after is true")]
    NoMaxRetryAfter,
}

/// The valid numbers of a key. Displays as a description of a number outside of the range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NumberRange {
    /// Greater than the bound.
    Above(f64),
    /// The bound or greater.
    AtLeast(f64),
    /// From 0 to 1, both included.
    Fraction,
}

impl NumberRange {
    pub(crate) fn contains(self, number: f64) -> bool {
        match self {
            NumberRange::Above(bound) => number > bound,
            NumberRange::AtLeast(min) => number >= min,
            NumberRange::Fraction => (0.0..=1.0).contains(&number),
        }
    }
}

impl fmt::Display for NumberRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NumberRange::Above(bound) => write!(f, "not above {bound}"),
            NumberRange::AtLeast(min) => write!(f, "under {min}"),
            NumberRange::Fraction => f.write_str("not within 0 to 1"),
        }
    }
}
