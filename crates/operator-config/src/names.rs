//! Names: the characters that they may have, and lists of them.

use crate::error::{OperatorFileError, Place, Problem};

/// Bytes of the longest name. Longer names would not fit into every datagram about a server.
const MAX_NAME_BYTES: usize = 63;

/// Whether a text has only the characters of a name. The empty text is one.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

/// The names that a key lists, and its place, for errors that are found once it is known what they
/// may name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The names in their order.
    pub names: Vec<String>,
    place: Box<Place>,
}

impl Names {
    pub(crate) fn new(names: Vec<String>, place: Box<Place>) -> Names {
        Names { names, place }
    }

    /// The index of each name among the known ones. `kind` says what they name, as in `handler`.
    ///
    /// # Errors
    /// The first name that is not known, with its place.
    pub fn indices(
        &self,
        known: &[String],
        kind: &'static str,
    ) -> Result<Vec<usize>, OperatorFileError> {
        let index = |name: &String| {
            let index = known.iter().position(|k| k == name);
            index.ok_or_else(|| self.unknown(name, known, kind))
        };
        self.names.iter().map(index).collect()
    }

    fn unknown(&self, name: &str, known: &[String], kind: &'static str) -> OperatorFileError {
        let problem = Problem::UnknownName {
            name: name.into(),
            kind,
            known: known.into(),
        };
        let place = self.place.clone();
        OperatorFileError { place, problem }
    }
}
