//! A scanner of JSON text: it finds the members of an object and leaves their values as the bytes that came.

use std::borrow::Cow;

/// Deeper nesting than any message has; a bound on the scanner's own stack.
const DEEPEST: usize = 32;

/// The members of one object, each value as it was written.
pub struct Members<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Members<'a> {
    /// Nothing if the text is no JSON object, or more than one value.
    pub fn read(text: &'a str) -> Option<Members<'a>> {
        let mut scan = Scan { text, at: 0 };
        let mut found = vec![];
        scan.space();
        scan.object(0, &mut |name, value| found.push((name, value)))?;
        scan.space();
        (scan.at == text.len()).then_some(Members(found))
    }

    /// The value of a member as it was written; of several by one name the last.
    pub fn raw(&self, name: &str) -> Option<&'a str> {
        self.0
            .iter()
            .rev()
            .find(|m| text(m.0).is_some_and(|n| n == name))
            .map(|m| m.1)
    }

    pub fn text(&self, name: &str) -> Option<Cow<'a, str>> {
        text(self.raw(name)?)
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        number(self.raw(name)?)
    }

    pub fn whole(&self, name: &str) -> Option<u64> {
        whole(self.raw(name)?)
    }
}

/// Whether the text is one JSON value of any kind.
pub fn is_value(text: &str) -> bool {
    let mut scan = Scan { text, at: 0 };
    scan.space();
    let found = scan.value(0).is_some();
    scan.space();
    found && scan.at == text.len()
}

/// A number, if the value is one and finite.
pub fn number(raw: &str) -> Option<f64> {
    if raw.starts_with(|c: char| c == '-' || c.is_ascii_digit()) {
        raw.parse().ok().filter(|n: &f64| n.is_finite())
    } else {
        None
    }
}

/// A whole number from 0 up, also where it is written as `3.0` or `3e2`.
pub fn whole(raw: &str) -> Option<u64> {
    let exact = |n: f64| ((0.0..9e15).contains(&n) && n.fract() == 0.0).then_some(n as u64);
    raw.parse().ok().or_else(|| number(raw).and_then(exact))
}

/// The text of a string value, its escapes resolved; a lone half of a surrogate pair is no text.
pub fn text(raw: &str) -> Option<Cow<'_, str>> {
    let inner = raw.strip_prefix('"')?.strip_suffix('"')?;
    let Some(first) = inner.find('\\') else {
        return Some(Cow::Borrowed(inner));
    };
    let mut found = String::with_capacity(inner.len());
    found.push_str(&inner[..first]);
    let mut rest = &inner[first..];
    while let Some(at) = rest.find('\\') {
        found.push_str(&rest[..at]);
        let code = *rest.as_bytes().get(at + 1)?;
        rest = &rest[at + 2..];
        found.push(match code {
            b'n' => '\n',
            b't' => '\t',
            b'r' => '\r',
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'u' => {
                let mut unit = u32::from_str_radix(rest.get(..4)?, 16).ok()?;
                rest = &rest[4..];
                if (0xd800..0xdc00).contains(&unit) {
                    let low = u32::from_str_radix(rest.strip_prefix("\\u")?.get(..4)?, 16).ok()?;
                    rest = &rest[6..];
                    unit = 0x10000 + ((unit - 0xd800) << 10) + low.checked_sub(0xdc00)?;
                }
                char::from_u32(unit)?
            }
            other => char::from(other),
        });
    }
    found.push_str(rest);
    Some(Cow::Owned(found))
}

struct Scan<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Scan<'a> {
    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }

    fn space(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek() == Some(byte)).then(|| self.at += 1)
    }

    fn object(&mut self, depth: usize, each: &mut dyn FnMut(&'a str, &'a str)) -> Option<()> {
        self.take(b'{')?;
        self.space();
        if self.take(b'}').is_some() {
            return Some(());
        }
        loop {
            self.space();
            let name = self.string()?;
            self.space();
            self.take(b':')?;
            self.space();
            let value = self.value(depth + 1)?;
            each(name, value);
            self.space();
            if self.take(b',').is_none() {
                return self.take(b'}');
            }
        }
    }

    fn array(&mut self, depth: usize) -> Option<()> {
        self.take(b'[')?;
        self.space();
        if self.take(b']').is_some() {
            return Some(());
        }
        loop {
            self.space();
            self.value(depth + 1)?;
            self.space();
            if self.take(b',').is_none() {
                return self.take(b']');
            }
        }
    }

    /// Any value, as it is written.
    fn value(&mut self, depth: usize) -> Option<&'a str> {
        if depth > DEEPEST {
            return None;
        }
        let from = self.at;
        match self.peek()? {
            b'{' => self.object(depth, &mut |_, _| ())?,
            b'[' => self.array(depth)?,
            b'"' => return self.string(),
            b'-' | b'0'..=b'9' => self.digits()?,
            _ => {
                let word = ["true", "false", "null"]
                    .into_iter()
                    .find(|w| self.text[self.at..].starts_with(w));
                self.at += word?.len();
            }
        }
        Some(&self.text[from..self.at])
    }

    fn string(&mut self) -> Option<&'a str> {
        let from = self.at;
        self.take(b'"')?;
        loop {
            match self.peek()? {
                b'"' => {
                    self.at += 1;
                    return Some(&self.text[from..self.at]);
                }
                b'\\' => {
                    let code = *self.text.as_bytes().get(self.at + 1)?;
                    let hex = |b: &[u8]| b.iter().all(u8::is_ascii_hexdigit);
                    match code {
                        b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => self.at += 2,
                        b'u' if self
                            .text
                            .as_bytes()
                            .get(self.at + 2..self.at + 6)
                            .is_some_and(hex) =>
                        {
                            self.at += 6
                        }
                        _ => return None,
                    }
                }
                0..=0x1f => return None,
                _ => self.at += 1,
            }
        }
    }

    fn run_of_digits(&mut self) -> Option<()> {
        let from = self.at;
        while self.peek().is_some_and(|b| b.is_ascii_digit()) {
            self.at += 1;
        }
        (self.at > from).then_some(())
    }

    fn digits(&mut self) -> Option<()> {
        let _ = self.take(b'-');
        if self.take(b'0').is_none() {
            self.run_of_digits()?;
        }
        if self.take(b'.').is_some() {
            self.run_of_digits()?;
        }
        if self.take(b'e').or_else(|| self.take(b'E')).is_some() {
            let _ = self.take(b'+').or_else(|| self.take(b'-'));
            self.run_of_digits()?;
        }
        Some(())
    }
}
