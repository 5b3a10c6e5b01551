//! Resolution of handler names in the operator file to indices into the platform's settings.
//!
//! `HandlerResolver` collects the unknown names while one section is planned, so that all of them
//! are reported together.

use madderbay::interface::HandlerId;
use madderbay_operator_config::{Names, OperatorFileError};

/// The unknown handlers of one section, in the order of the file; there is at least one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{}", self.lines().join("\n"))]
pub struct UnknownHandlers(Vec<OperatorFileError>);

impl UnknownHandlers {
    /// Returns one line for each unknown handler.
    pub fn lines(&self) -> Vec<String> {
        self.0.iter().map(ToString::to_string).collect()
    }
}

/// Resolves the handler names of one section.
pub struct HandlerResolver<'a> {
    known: &'a [String],
    unknown: Vec<OperatorFileError>,
}

impl<'a> HandlerResolver<'a> {
    /// Creates a resolver for the known names of handlers, in the order of their indices.
    pub fn new(known: &'a [String]) -> HandlerResolver<'a> {
        HandlerResolver {
            known,
            unknown: vec![],
        }
    }

    /// Returns the handlers with these names. If one is unknown, returns no handlers, and
    /// [`finish`](Self::finish) reports the unknown one.
    pub fn resolve(&mut self, names: &Names) -> Vec<HandlerId> {
        match names.indices(self.known, "handler") {
            Ok(indices) => indices.into_iter().map(HandlerId::new).collect(),
            Err(error) => {
                self.unknown.push(error);
                vec![]
            }
        }
    }

    /// Returns the section's plan if all names were known.
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
