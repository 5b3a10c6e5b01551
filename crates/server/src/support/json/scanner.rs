//! A scanner for the grammar of JSON.

/// Maximum nesting depth. No valid message is nested as deeply; it bounds the scanner's use of the stack.
const MAX_DEPTH: usize = 32;

/// A scanner at a position in a text. A method that does not find what it is named for returns `None` and leaves
/// the position unspecified.
pub(super) struct Scanner<'a> {
    text: &'a str,
    position: usize,
}

impl<'a> Scanner<'a> {
    /// Creates a scanner at the start of the text.
    pub(super) fn new(text: &'a str) -> Scanner<'a> {
        Scanner { text, position: 0 }
    }

    /// Reports whether all of the text was scanned.
    pub(super) fn is_at_end(&self) -> bool {
        self.position == self.text.len()
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.position).copied()
    }

    /// Skips white space.
    pub(super) fn skip_space(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.position += 1;
        }
    }

    /// Consumes this byte.
    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek() == Some(byte)).then(|| self.position += 1)
    }

    /// Consumes an object at this nesting depth, and calls `on_member` with the name and the value of each member
    /// as written.
    pub(super) fn object(
        &mut self,
        depth: usize,
        on_member: &mut dyn FnMut(&'a str, &'a str),
    ) -> Option<()> {
        self.take(b'{')?;
        self.skip_space();
        if self.take(b'}').is_some() {
            return Some(());
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.skip_space();
            self.take(b':')?;
            self.skip_space();
            let value = self.value(depth + 1)?;
            on_member(name, value);
            self.skip_space();
            if self.take(b',').is_none() {
                return self.take(b'}');
            }
        }
    }

    /// Consumes an array at this nesting depth.
    fn array(&mut self, depth: usize) -> Option<()> {
        self.take(b'[')?;
        self.skip_space();
        if self.take(b']').is_some() {
            return Some(());
        }
        loop {
            self.skip_space();
            self.value(depth + 1)?;
            self.skip_space();
            if self.take(b',').is_none() {
                return self.take(b']');
            }
        }
    }

    /// Consumes any value, and returns it as written.
    pub(super) fn value(&mut self, depth: usize) -> Option<&'a str> {
        if depth > MAX_DEPTH {
            return None;
        }
        let start = self.position;
        match self.peek()? {
            b'{' => self.object(depth, &mut |_, _| ())?,
            b'[' => self.array(depth)?,
            b'"' => return self.string(),
            b'-' | b'0'..=b'9' => self.number()?,
            _ => self.keyword()?,
        }
        Some(&self.text[start..self.position])
    }

    /// Consumes `true`, `false` or `null`.
    fn keyword(&mut self) -> Option<()> {
        let rest = &self.text[self.position..];
        let mut keywords = ["true", "false", "null"].into_iter();
        self.position += keywords.find(|word| rest.starts_with(word))?.len();
        Some(())
    }

    /// Consumes a string, and returns it as written.
    fn string(&mut self) -> Option<&'a str> {
        let start = self.position;
        self.take(b'"')?;
        loop {
            match self.peek()? {
                b'"' => {
                    self.position += 1;
                    return Some(&self.text[start..self.position]);
                }
                b'\\' => self.escape()?,
                0..=0x1f => return None,
                _ => self.position += 1,
            }
        }
    }

    /// Consumes an escape sequence in a string.
    fn escape(&mut self) -> Option<()> {
        let bytes = &self.text.as_bytes()[self.position + 1..];
        let is_hex = |digits: &[u8]| digits.iter().all(u8::is_ascii_hexdigit);
        self.position += match bytes.first()? {
            b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => 2,
            b'u' if bytes.get(1..5).is_some_and(is_hex) => 6,
            _ => return None,
        };
        Some(())
    }

    /// Consumes one or more digits.
    fn digits(&mut self) -> Option<()> {
        let start = self.position;
        while self.peek().is_some_and(|b| b.is_ascii_digit()) {
            self.position += 1;
        }
        (self.position > start).then_some(())
    }

    /// Consumes a number.
    fn number(&mut self) -> Option<()> {
        let _ = self.take(b'-');
        if self.take(b'0').is_none() {
            self.digits()?;
        }
        if self.take(b'.').is_some() {
            self.digits()?;
        }
        if self.take(b'e').or_else(|| self.take(b'E')).is_some() {
            let _ = self.take(b'+').or_else(|| self.take(b'-'));
            self.digits()?;
        }
        Some(())
    }
}
