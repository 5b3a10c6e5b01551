//! The name of one attempt of a request, the same in all protocols.

/// 16 hexadecimal digits as they are sent. Names that differ only in the case of digits are different.
pub type AttemptName = [u8; 16];

/// Parses a name. Returns `None` if the text is not 16 hexadecimal digits.
pub fn parse(text: &str) -> Option<AttemptName> {
    let bytes: AttemptName = text.as_bytes().try_into().ok()?;
    bytes.iter().all(u8::is_ascii_hexdigit).then_some(bytes)
}

/// Returns a name as it is sent, or an empty text if its bytes are not UTF-8.
pub fn as_text(name: &AttemptName) -> &str {
    std::str::from_utf8(name).unwrap_or_default()
}
