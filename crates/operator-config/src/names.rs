//! Names: their valid characters, and lists of names.

use crate::error::{OperatorFileError, Place, Problem};

/// Maximum length of a name in bytes. Longer names would not fit into every datagram about a
/// server.
const MAX_NAME_BYTES: usize = 63;

/// Reports whether a text is a valid name, which may be empty.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}

/// The names that a key lists, together with the key's place. Unknown names can only be detected
/// later, and the error then refers to this place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The names in the order of the file.
    pub names: Vec<String>,
    place: Box<Place>,
}

impl Names {
    pub(crate) fn new(names: Vec<String>, place: Box<Place>) -> Names {
        Names { names, place }
    }

    /// Returns the index of each name among the known ones. `kind` is the kind of thing that they
    /// name, as in `handler`.
    ///
    /// # Errors
    /// Returns the first unknown name with its place.
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
