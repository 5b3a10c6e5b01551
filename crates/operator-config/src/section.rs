//! One section of an operator file as it stands.

/// A section: its title, its keys with their values, and the lines of all of them.
#[derive(Clone)]
pub(crate) struct Section {
    /// First word of the title, as in `pool`.
    pub(crate) kind: String,
    /// Rest of the title, as in `seats`; empty where there is none.
    pub(crate) name: String,
    /// What stands between the brackets.
    pub(crate) title: String,
    /// Line of the title.
    pub(crate) line: usize,
    /// The keys in the order of the file.
    pub(crate) entries: Vec<Entry>,
}

/// One key of a section.
#[derive(Clone)]
pub(crate) struct Entry {
    /// Name of the key.
    pub(crate) key: String,
    /// Its value, without spaces around it.
    pub(crate) value: String,
    /// Its line.
    pub(crate) line: usize,
}

impl Section {
    /// A section without keys.
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

    /// The value of a key as it stands; `None` where the key is absent.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.entry(key).map(|entry| entry.value.as_str())
    }

    /// The line of a key, or of the title where the key is absent.
    pub(crate) fn line_of(&self, key: &str) -> usize {
        self.entry(key).map_or(self.line, |entry| entry.line)
    }

    /// The first entry of a key.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}
