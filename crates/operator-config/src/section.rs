//! One section of an operator file, with its keys and values as text.

/// A section: its title, its keys with their values, and their line numbers.
#[derive(Clone)]
pub(crate) struct Section {
    /// First word of the title, as in `pool`.
    pub(crate) kind: String,
    /// Rest of the title, as in `seats`; empty if there is none.
    pub(crate) name: String,
    /// The text between the brackets.
    pub(crate) title: String,
    /// Line number of the title.
    pub(crate) line: usize,
    /// The keys in the order of the file.
    pub(crate) entries: Vec<Entry>,
}

/// One key of a section with its value.
#[derive(Clone)]
pub(crate) struct Entry {
    /// Name of the key.
    pub(crate) key: String,
    /// Its value, without surrounding spaces.
    pub(crate) value: String,
    /// Its line number.
    pub(crate) line: usize,
}

impl Section {
    /// Creates a section without keys.
    pub(crate) fn new(title: &str, line: usize) -> Section {
        let (kind, name) = title.split_once(' ').unwrap_or((title, ""));
        Section {
            kind: kind.into(),
            name: name.trim().into(),
            title: title.into(),
            line,
            entries: vec![],
        }
    }

    /// Returns the text of a key's value, or `None` if the key is absent.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.entry(key).map(|entry| entry.value.as_str())
    }

    /// Returns the line number of a key, or of the title if the key is absent.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.entry(key).map_or(self.line, |entry| entry.line)
    }

    /// Returns the first entry of a key.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}
