//! A scanner of JSON text: it finds the members of an object and leaves their values as the bytes that came.
//!
//! Nothing is copied or converted before it is asked for, so that values can be handed on as they were written. The
//! scanner accepts what RFC 8259 allows, nested to a bound. The functions that convert a value are given one that the
//! scanner found.

mod scanner;
mod string;

use scanner::Scanner;
use std::borrow::Cow;

pub use string::text;

/// Unsigned integers up to this bound are exact as floating-point numbers.
const MAX_EXACT_UNSIGNED: f64 = 9e15;

/// A member of an object, its name and its value as they were written.
struct Member<'a> {
    name: &'a str,
    value: &'a str,
}

/// The members of one object, each value as it was written.
pub struct JsonObject<'a> {
    members: Vec<Member<'a>>,
}

impl<'a> JsonObject<'a> {
    /// Finds the members. Nothing if the text is no JSON object, or more than one value.
    pub fn read(text: &'a str) -> Option<JsonObject<'a>> {
        let mut scanner = Scanner::new(text);
        let mut members = vec![];
        scanner.skip_space();
        scanner.object(0, &mut |name, value| members.push(Member { name, value }))?;
        scanner.skip_space();
        scanner.is_at_end().then_some(JsonObject { members })
    }

    /// The value of a member as it was written; of several by one name the last.
    pub fn raw(&self, name: &str) -> Option<&'a str> {
        let has_name = |member: &&Member| text(member.name).is_some_and(|n| n == name);
        self.members
            .iter()
            .rev()
            .find(has_name)
            .map(|member| member.value)
    }

    /// The text of a member that is a string.
    pub fn text(&self, name: &str) -> Option<Cow<'a, str>> {
        text(self.raw(name)?)
    }

    /// The value of a member that is a finite number.
    pub fn number(&self, name: &str) -> Option<f64> {
        number(self.raw(name)?)
    }

    /// The value of a member that is an unsigned integer.
    pub fn unsigned(&self, name: &str) -> Option<u64> {
        unsigned(self.raw(name)?)
    }
}

/// Whether the text is one JSON value of any kind.
pub fn is_value(text: &str) -> bool {
    let mut scanner = Scanner::new(text);
    scanner.skip_space();
    let is_value = scanner.value(0).is_some();
    scanner.skip_space();
    is_value && scanner.is_at_end()
}

/// A number, if the value is one and finite.
pub fn number(raw: &str) -> Option<f64> {
    if raw.starts_with(|c: char| c == '-' || c.is_ascii_digit()) {
        raw.parse().ok().filter(|n: &f64| n.is_finite())
    } else {
        None
    }
}

/// An unsigned integer, also where it is written as `3.0` or `3e2`.
pub fn unsigned(raw: &str) -> Option<u64> {
    let exact = |n: f64| {
        let is_exact = (0.0..MAX_EXACT_UNSIGNED).contains(&n) && n.fract() == 0.0;
        is_exact.then_some(n as u64)
    };
    raw.parse().ok().or_else(|| number(raw).and_then(exact))
}
