//! Reads JSON text: finds the members of an object and returns their values as the text that was received.
//!
//! Nothing is copied or converted before it is requested, so that values can be passed on as they were written. The
//! scanner accepts what RFC 8259 allows, up to a nesting depth. The functions that convert a value expect one that
//! the scanner found.

mod scanner;
mod string;

use scanner::Scanner;
use std::borrow::Cow;

pub use string::text;

/// Bound below which every unsigned integer is exact as a floating-point number.
const MAX_EXACT_UNSIGNED: f64 = 9e15;

/// A member of an object: its name and its value as written.
struct Member<'a> {
    name: &'a str,
    value: &'a str,
}

/// The members of one object, each value as written.
pub struct JsonObject<'a> {
    members: Vec<Member<'a>>,
}

impl<'a> JsonObject<'a> {
    /// Finds the members of an object. Returns `None` if the text is not exactly one JSON object.
    pub fn read(text: &'a str) -> Option<JsonObject<'a>> {
        let mut scanner = Scanner::new(text);
        let mut members = vec![];
        scanner.skip_space();
        scanner.object(0, &mut |name, value| members.push(Member { name, value }))?;
        scanner.skip_space();
        scanner.is_at_end().then_some(JsonObject { members })
    }

    /// Returns the value of a member as written. If several members have the name, the last one counts.
    pub fn raw(&self, name: &str) -> Option<&'a str> {
        let has_name = |member: &&Member| text(member.name).is_some_and(|n| n == name);
        self.members
            .iter()
            .rev()
            .find(has_name)
            .map(|member| member.value)
    }

    /// Returns the text of a member that is a string.
    pub fn text(&self, name: &str) -> Option<Cow<'a, str>> {
        text(self.raw(name)?)
    }

    /// Returns the value of a member that is a finite number.
    pub fn number(&self, name: &str) -> Option<f64> {
        number(self.raw(name)?)
    }

    /// Returns the value of a member that is an unsigned integer.
    pub fn unsigned(&self, name: &str) -> Option<u64> {
        unsigned(self.raw(name)?)
    }
}

/// Reports whether the text is one JSON value of any kind.
pub fn is_value(text: &str) -> bool {
    let mut scanner = Scanner::new(text);
    scanner.skip_space();
    let is_value = scanner.value(0).is_some();
    scanner.skip_space();
    is_value && scanner.is_at_end()
}

/// Parses a number. Returns `None` if the value is not a finite number.
pub fn number(raw: &str) -> Option<f64> {
    if raw.starts_with(|c: char| c == '-' || c.is_ascii_digit()) {
        raw.parse().ok().filter(|n: &f64| n.is_finite())
    } else {
        None
    }
}

/// Parses an unsigned integer, which may also be written as `3.0` or `3e2`.
pub fn unsigned(raw: &str) -> Option<u64> {
    let exact = |n: f64| {
        let is_exact = (0.0..MAX_EXACT_UNSIGNED).contains(&n) && n.fract() == 0.0;
        is_exact.then_some(n as u64)
    };
    raw.parse().ok().or_else(|| number(raw).and_then(exact))
}
