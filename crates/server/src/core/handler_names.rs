//! Names of handlers in the operator file, resolved to indices into the platform's settings.
//!
//! `HandlerResolver` owns what was not found while one section is planned, so that all of it is reported together.

use madderbay::interface::HandlerId;
use madderbay_operator_config::{Names, OperatorFileError};

/// The unknown handlers of one section, in the order of the file; there is at least one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}", self.lines().join("\n"))]
pub struct UnknownHandlers(Vec<OperatorFileError>);

impl UnknownHandlers {
    /// One line for each of them.
    pub fn lines(&self) -> Vec<String> {
        self.0.iter().map(ToString::to_string).collect()
    }
}

/// Resolves the names of one section.
pub struct HandlerResolver<'a> {
    known: &'a [String],
    unknown: Vec<OperatorFileError>,
}

impl<'a> HandlerResolver<'a> {
    /// Resolves against the handlers' names in the order of their indices.
    pub fn new(known: &'a [String]) -> HandlerResolver<'a> {
        HandlerResolver {
            known,
            unknown: vec![],
        }
    }

    /// The handlers; none of them where one is unknown, which [`finish`](Self::finish) then reports.
    pub fn resolve(&mut self, names: &Names) -> Vec<HandlerId> {
        match names.indices(self.known, "handler") {
            Ok(indices) => indices.into_iter().map(HandlerId::new).collect(),
            Err(error) => {
                self.unknown.push(error);
                vec![]
            }
        }
    }

    /// Returns the section's plan where all names were known.
    ///
    /// # Errors
    /// All unknown names.
    pub fn finish<T>(self, plan: T) -> Result<T, UnknownHandlers> {
        if self.unknown.is_empty() {
            Ok(plan)
        } else {
            Err(UnknownHandlers(self.unknown))
        }
    }
}
