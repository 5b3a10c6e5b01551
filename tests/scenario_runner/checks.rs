//! The lines of a scenario that check actions and status of the decision module.

use super::actions::{ACTION_WORDS, ActionLog};
use super::error::{Problem, WordError};
use super::words::{Words, number};
use madderbay::interface::Status;
use std::ops::RangeInclusive;

/// A check of the actions or of the status.
pub(crate) enum Check {
    /// At least one matching action since the start of the last event line.
    Present(ActionPattern),
    /// No matching action since the start of the last event line.
    Absent(ActionPattern),
    /// The number of matching actions in the file so far is within the range.
    Count(ActionPattern, RangeInclusive<usize>),
    /// A figure of the status is below or above the bound.
    Status {
        figure: StatusFigure,
        comparison: Comparison,
        bound: f64,
    },
}

/// Selects the actions that a check applies to.
#[derive(Debug)]
pub(crate) enum ActionPattern {
    /// Actions whose line starts with the text.
    StartsWith(String),
    /// Actions whose line contains the text.
    Contains(String),
}

/// A figure of [`Status`].
#[derive(Clone, Copy)]
pub(crate) enum StatusFigure {
    BudgetSeconds,
    AdmittedFraction,
    ConcurrencyLimit,
    Clients,
}

/// On which side of the bound a figure must be.
#[derive(Clone, Copy)]
pub(crate) enum Comparison {
    Below,
    Above,
}

impl Check {
    /// Reports whether a line that begins with this word is a check.
    pub(crate) fn begins_with(word: &str) -> bool {
        matches!(word, ">" | "!" | "=" | "~")
    }

    /// Parses a check from its first word and the remaining words.
    pub(crate) fn parse(kind: &str, words: Words) -> Result<Check, WordError> {
        match kind {
            ">" => Ok(Check::Present(ActionPattern::parse(words)?)),
            "!" => Ok(Check::Absent(ActionPattern::parse(words)?)),
            "=" => count(words),
            "~" => status(words),
            _ => Err(WordError::new(kind, Problem::UnknownLine)),
        }
    }

    /// Reports whether the check holds; `line_start` is the index of the last event line's first
    /// action.
    pub(crate) fn holds(&self, log: &ActionLog, line_start: usize, status: &Status) -> bool {
        match self {
            Check::Present(pattern) => log.count(line_start, pattern) > 0,
            Check::Absent(pattern) => log.count(line_start, pattern) == 0,
            Check::Count(pattern, range) => range.contains(&log.count(0, pattern)),
            Check::Status {
                figure,
                comparison,
                bound,
            } => match comparison {
                Comparison::Below => figure.of(status) < *bound,
                Comparison::Above => figure.of(status) > *bound,
            },
        }
    }
}

impl ActionPattern {
    fn parse(words: Words) -> Result<ActionPattern, WordError> {
        let first = words.clone().next("action")?;
        if let Some(text) = words.clone().remaining().strip_prefix('*') {
            return Ok(ActionPattern::Contains(text.to_string()));
        }
        if !ACTION_WORDS.contains(&first) {
            return Err(WordError::new(first, Problem::UnknownAction));
        }
        Ok(ActionPattern::StartsWith(words.remaining()))
    }

    /// Reports whether the pattern matches the action of this line.
    pub(crate) fn matches(&self, line: &str) -> bool {
        match self {
            ActionPattern::StartsWith(text) => line.starts_with(text),
            ActionPattern::Contains(text) => line.contains(text),
        }
    }
}

impl StatusFigure {
    fn parse(word: &str) -> Result<StatusFigure, WordError> {
        match word {
            "budget" => Ok(StatusFigure::BudgetSeconds),
            "admitted_fraction" => Ok(StatusFigure::AdmittedFraction),
            "concurrency_limit" => Ok(StatusFigure::ConcurrencyLimit),
            "clients" => Ok(StatusFigure::Clients),
            _ => Err(WordError::new(word, Problem::UnknownStatus)),
        }
    }

    fn of(self, status: &Status) -> f64 {
        match self {
            StatusFigure::BudgetSeconds => status.budget_seconds,
            StatusFigure::AdmittedFraction => status.admitted_fraction,
            StatusFigure::ConcurrencyLimit => status.concurrency_limit,
            StatusFigure::Clients => status.clients as f64,
        }
    }
}

/// Parses a count check: an action pattern and, as the last word, a range.
fn count(words: Words) -> Result<Check, WordError> {
    let text = words.remaining();
    let Some((pattern, range)) = text.rsplit_once(' ') else {
        return Err(WordError::new(&text, Problem::Missing("range")));
    };
    let pattern = ActionPattern::parse(Words::new(pattern))?;
    Ok(Check::Count(pattern, parse_range(range)?))
}

fn parse_range(word: &str) -> Result<RangeInclusive<usize>, WordError> {
    let (low, high) = word.split_once("..").unwrap_or((word, word));
    let bound = |text: &str| {
        text.parse()
            .map_err(|_| WordError::new(word, Problem::NotARange))
    };
    Ok(bound(low)?..=bound(high)?)
}

fn status(mut words: Words) -> Result<Check, WordError> {
    let figure = StatusFigure::parse(words.next("part of the status")?)?;
    let comparison = match words.next("comparison")? {
        "<" => Comparison::Below,
        ">" => Comparison::Above,
        other => return Err(WordError::new(other, Problem::NotAComparison)),
    };
    let bound = words.next("bound")?;
    words.finish()?;
    Ok(Check::Status {
        figure,
        comparison,
        bound: number(bound, bound)?,
    })
}
