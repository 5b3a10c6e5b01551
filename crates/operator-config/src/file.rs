//! One operator file while it is read: its sections, which keys were asked for, and what was found wrong.

use ini::{Ini, ParseOption};
use std::net::SocketAddr;
use std::str::FromStr;

pub struct File {
    name: String,
    text: String,
    sections: Vec<Section>,
    wrong: Vec<(usize, String)>,
}

/// One section: its kind (`pool`), its own name where the kind has many (`seats`), its keys as they stand.
#[derive(Clone)]
pub struct Section {
    pub kind: String,
    pub name: String,
    title: String,
    line: usize,
    keys: Vec<(String, String, usize)>,
}

/// The lines of the file's own that a parser does not tell: where each section and each key begins.
fn lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines().enumerate().map(|(i, l)| (i + 1, l.trim()))
}

impl File {
    pub fn read(name: &str, text: &str) -> Result<File, Vec<String>> {
        let how = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, how)
            .map_err(|e| vec![format!("{name}:{}: {}", e.line + 1, e.msg)])?;
        let mut file = File {
            name: name.into(),
            text: text.into(),
            sections: vec![],
            wrong: vec![],
        };
        for (title, keys) in ini.iter() {
            let title = title.unwrap_or("").trim();
            if title.is_empty() {
                for (key, _) in keys.iter() {
                    let line = file.find(|l| sets(l, key), 0);
                    file.wrong
                        .push((line, format!("{key}: stands in no section")));
                }
                continue;
            }
            let (kind, own) = title.split_once(' ').unwrap_or((title, ""));
            let line = file.find(|l| heads(l, title), 0);
            let mut section = Section {
                kind: kind.into(),
                name: own.trim().into(),
                title: title.into(),
                line,
                keys: vec![],
            };
            if file.sections.iter().any(|s| s.title == title) {
                let again = file.find(|l| heads(l, title), line);
                file.wrong.push((again, format!("[{title}]: stands twice")));
            }
            for (key, value) in keys.iter() {
                let at = file.find(|l| sets(l, key), line);
                if section.keys.iter().any(|k| k.0 == key) {
                    let again = file.find(|l| sets(l, key), at);
                    file.wrong
                        .push((again, format!("[{title}] {key}: stands twice")));
                }
                section.keys.push((key.into(), value.trim().into(), at));
            }
            file.sections.push(section);
        }
        Ok(file)
    }

    /// The first line past another that is like that.
    fn find(&self, like: impl Fn(&str) -> bool, past: usize) -> usize {
        lines(&self.text)
            .find(|(n, l)| *n > past && like(l))
            .map_or(past.max(1), |l| l.0)
    }

    /// Takes all sections of a kind out, in order; only those keys may stand in them.
    pub fn take(&mut self, kind: &str, known: &[&str]) -> Vec<Section> {
        let (found, rest) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|s| s.kind == kind);
        self.sections = rest;
        let found: Vec<Section> = found;
        for section in &found {
            for (key, _, line) in section
                .keys
                .iter()
                .filter(|k| !known.contains(&k.0.as_str()))
            {
                let what = format!("no such key; known are {}", known.join(", "));
                self.wrong
                    .push((*line, format!("[{}] {key}: {what}", section.title)));
            }
        }
        found
    }

    /// The one section of a kind that has no name.
    pub fn take_one(&mut self, kind: &str, known: &[&str]) -> Option<Section> {
        let mut found = self.take(kind, known);
        for named in found.iter().filter(|s| !s.name.is_empty()) {
            self.wrong.push((
                named.line,
                format!("[{}]: has no name of its own", named.title),
            ));
        }
        if found.is_empty() {
            None
        } else {
            Some(found.remove(0))
        }
    }

    pub fn wrong(&mut self, section: &Section, key: &str, what: impl Into<String>) {
        let line = section.line_of(key);
        let key = if key.is_empty() {
            String::new()
        } else {
            format!(" {key}")
        };
        self.wrong
            .push((line, format!("[{}]{key}: {}", section.title, what.into())));
    }

    /// A number within its range; where the key does not stand, or is wrong, what there is otherwise.
    pub fn number<T>(
        &mut self,
        s: &Section,
        key: &str,
        range: std::ops::RangeInclusive<T>,
        otherwise: T,
    ) -> T
    where
        T: FromStr + PartialOrd + std::fmt::Display + Copy,
    {
        let Some(text) = s.get(key) else {
            return otherwise;
        };
        match text.parse::<T>() {
            Ok(n) if range.contains(&n) => n,
            _ => {
                let what = format!(
                    "'{text}' is no number from {} to {}",
                    range.start(),
                    range.end()
                );
                self.wrong(s, key, what);
                otherwise
            }
        }
    }

    /// One of a few words.
    pub fn word<T: Copy>(
        &mut self,
        s: &Section,
        key: &str,
        known: &[(&str, T)],
        otherwise: T,
    ) -> T {
        let Some(text) = s.get(key) else {
            return otherwise;
        };
        if let Some(hit) = known.iter().find(|k| k.0 == text) {
            return hit.1;
        }
        let words: Vec<&str> = known.iter().map(|k| k.0).collect();
        self.wrong(s, key, format!("'{text}' is none of {}", words.join(", ")));
        otherwise
    }

    /// An address and port.
    pub fn address(&mut self, s: &Section, key: &str, otherwise: SocketAddr) -> SocketAddr {
        let Some(text) = s.get(key) else {
            return otherwise;
        };
        text.parse().unwrap_or_else(|_| {
            self.wrong(s, key, format!("'{text}' is no address and port"));
            otherwise
        })
    }

    pub fn switch(&mut self, s: &Section, key: &str, otherwise: bool) -> bool {
        self.word(s, key, &[("on", true), ("off", false)], otherwise)
    }

    /// A section's own name goes into lines of the log and of JSON as it is.
    pub fn named(&mut self, s: &Section) {
        if s.name.is_empty() || !is_name(&s.name) {
            self.wrong(
                s,
                "",
                "has a name of letters, digits, '-', '_' and '.', 63 at most",
            );
        }
    }

    /// Names with commas between them, none twice; each with the line it stands on.
    pub fn names(&mut self, s: &Section, key: &str) -> Names {
        let line = s.line_of(key);
        let text = s.get(key).unwrap_or("");
        let names: Vec<String> = text
            .split(',')
            .map(|n| n.trim().to_string())
            .filter(|n| !n.is_empty())
            .collect();
        if let Some(twice) = names
            .iter()
            .enumerate()
            .find(|(i, n)| names[..*i].contains(n))
        {
            self.wrong(s, key, format!("'{}' stands twice", twice.1));
        }
        Names {
            names,
            place: format!("{}:{line}: [{}] {key}", self.name, s.title),
        }
    }

    /// What nobody asked for is wrong too.
    pub fn done<T>(mut self, read: T) -> Result<T, Vec<String>> {
        for s in &self.sections {
            self.wrong
                .push((s.line, format!("[{}]: no such section", s.title)));
        }
        if self.wrong.is_empty() {
            return Ok(read);
        }
        self.wrong.sort();
        Err(self
            .wrong
            .into_iter()
            .map(|(line, what)| format!("{}:{line}: {what}", self.name))
            .collect())
    }
}

impl Section {
    /// The line of a key, or the section's own where that does not stand.
    fn line_of(&self, key: &str) -> usize {
        self.keys
            .iter()
            .find(|k| k.0 == key)
            .map_or(self.line, |k| k.2)
    }

    pub fn get(&self, key: &str) -> Option<&str> {
        self.keys.iter().find(|k| k.0 == key).map(|k| k.1.as_str())
    }
}

fn sets(line: &str, key: &str) -> bool {
    line.split('=').next().is_some_and(|k| k.trim() == key)
}

fn heads(line: &str, title: &str) -> bool {
    line.strip_prefix('[')
        .and_then(|l| l.split(']').next())
        .is_some_and(|t| t.trim() == title)
}

/// Names from one key, and its place for what is found wrong with them later, once it is known what they
/// name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub names: Vec<String>,
    place: String,
}

impl Names {
    /// The index of each among the names known; else which one is not, and where it stands.
    pub fn among(&self, known: &[String], what: &str) -> Result<Vec<usize>, String> {
        let index = |n: &String| {
            let at = known.iter().position(|k| k == n);
            at.ok_or_else(|| {
                format!(
                    "{}: '{n}' is no {what}; known are {}",
                    self.place,
                    known.join(", ")
                )
            })
        };
        self.names.iter().map(index).collect()
    }
}

/// Longer names would not fit into each word about a server.
const NAME_MOST: usize = 63;

pub fn is_name(text: &str) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    text.len() <= NAME_MOST && text.bytes().all(fits)
}
