//! An operator file while it is being read: the sections that have not been read yet, and the errors found so far.

use crate::error::{OperatorFileError, OperatorFileErrors, Place, Problem};
use crate::section::{Entry, Section};
use ini::{Ini, ParseOption, Properties};

/// An operator file while it is being read. Each module takes its sections out; those that remain are unknown.
pub(crate) struct OperatorFile {
    name: String,
    text: String,
    sections: Vec<Section>,
    errors: Vec<OperatorFileError>,
}

impl OperatorFile {
    /// Parses the text into sections.
    pub(crate) fn parse(name: &str, text: &str) -> Result<OperatorFile, OperatorFileErrors> {
        let mut file = OperatorFile {
            name: name.into(),
            text: text.into(),
            sections: vec![],
            errors: vec![],
        };
        let options = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = match Ini::load_from_str_opt(text, options) {
            Ok(ini) => ini,
            Err(error) => {
                let problem = Problem::Syntax(error.msg.to_string());
                file.report(error.line + 1, None, None, problem);
                return Err(OperatorFileErrors::sorted(file.errors));
            }
        };
        for (title, properties) in &ini {
            match title.map_or("", str::trim) {
                "" => file.reject_keys_outside_of_sections(properties),
                title => file.add_section(title, properties),
            }
        }
        Ok(file)
    }

    fn reject_keys_outside_of_sections(&mut self, properties: &Properties) {
        for (key, _) in properties {
            let line = self.line_after(0, |line| is_assignment(line, key));
            self.report(line, None, Some(key), Problem::OutsideOfSections);
        }
    }

    fn add_section(&mut self, title: &str, properties: &Properties) {
        let line = self.line_after(0, |line| is_title(line, title));
        if self.sections.iter().any(|section| section.title == title) {
            let second = self.line_after(line, |line| is_title(line, title));
            self.report(second, Some(title), None, Problem::Repeated);
        }
        let mut section = Section::new(title, line);
        for (key, value) in properties {
            let line = self.line_after(section.line, |line| is_assignment(line, key));
            if section.entry(key).is_some() {
                let second = self.line_after(line, |line| is_assignment(line, key));
                self.report(second, Some(title), Some(key), Problem::Repeated);
            }
            section.entries.push(Entry {
                key: key.into(),
                value: value.trim().into(),
                line,
            });
        }
        self.sections.push(section);
    }

    /// Returns the number of the first line after `line` that fulfils a condition, or `line` itself (at least 1) if
    /// there is none. The search is needed because the INI parser does not report line numbers.
    fn line_after(&self, line: usize, condition: impl Fn(&str) -> bool) -> usize {
        let mut lines = (1..).zip(self.text.lines());
        lines
            .find(|(number, text)| *number > line && condition(text.trim()))
            .map_or(line.max(1), |(number, _)| number)
    }

    /// Takes out all sections of a kind, in their order, and reports keys that are not in `known`.
    pub(crate) fn take(&mut self, kind: &str, known: &'static [&'static str]) -> Vec<Section> {
        let sections = std::mem::take(&mut self.sections);
        let (taken, rest): (Vec<Section>, _) = sections.into_iter().partition(|s| s.kind == kind);
        self.sections = rest;
        for section in &taken {
            let keys = section.entries.iter().map(|entry| entry.key.as_str());
            for key in keys.filter(|key| !known.contains(key)) {
                self.key_error(section, key, Problem::UnknownKey { known });
            }
        }
        taken
    }

    /// Takes out the only section of a kind whose title has no name, and reports a name as an error.
    pub(crate) fn take_one(
        &mut self,
        kind: &str,
        known: &'static [&'static str],
    ) -> Option<Section> {
        let sections = self.take(kind, known);
        for section in sections.iter().filter(|s| !s.name.is_empty()) {
            self.section_error(section, Problem::UnexpectedSectionName);
        }
        sections.into_iter().next()
    }

    /// Reports an error that concerns a whole section.
    pub(crate) fn section_error(&mut self, section: &Section, problem: Problem) {
        self.report(section.line, Some(&section.title), None, problem);
    }

    /// Reports an error that concerns a key, which may be present or absent.
    pub(crate) fn key_error(&mut self, section: &Section, key: &str, problem: Problem) {
        let place = self.place(section, key);
        self.errors.push(OperatorFileError { place, problem });
    }

    /// Reports for each of the sections that the required section is absent.
    pub(crate) fn require_section<'a>(
        &mut self,
        sections: impl IntoIterator<Item = &'a Section>,
        required: &'static str,
    ) {
        for section in sections {
            self.section_error(section, Problem::MissingSection(required));
        }
    }

    /// Returns the place of a key, with the section's line if the key is absent.
    pub(crate) fn place(&self, section: &Section, key: &str) -> Box<Place> {
        Box::new(Place {
            file: self.name.clone(),
            line: section.line_of(key),
            section: Some(section.title.clone()),
            key: Some(key.into()),
        })
    }

    fn report(&mut self, line: usize, section: Option<&str>, key: Option<&str>, problem: Problem) {
        let place = Box::new(Place {
            file: self.name.clone(),
            line,
            section: section.map(Into::into),
            key: key.map(Into::into),
        });
        self.errors.push(OperatorFileError { place, problem });
    }

    /// Reports the remaining sections as unknown, and returns all errors if there are any.
    pub(crate) fn finish(mut self) -> Result<(), OperatorFileErrors> {
        for section in std::mem::take(&mut self.sections) {
            self.section_error(&section, Problem::UnknownSection);
        }
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(OperatorFileErrors::sorted(self.errors))
        }
    }
}

/// Whether a line sets a key.
fn is_assignment(line: &str, key: &str) -> bool {
    line.split('=')
        .next()
        .is_some_and(|name| name.trim() == key)
}

/// Whether a line is the title of a section.
fn is_title(line: &str, title: &str) -> bool {
    line.strip_prefix('[')
        .and_then(|rest| rest.split(']').next())
        .is_some_and(|found| found.trim() == title)
}
