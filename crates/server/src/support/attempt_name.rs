//! The name of one attempt of a request, the same on all wires.

/// 16 hexadecimal digits as they stand on the wires; digits in other case are another name.
pub type AttemptName = [u8; 16];

/// Reads a name. Nothing if the text is not 16 hexadecimal digits.
pub fn parse(text: &str) -> Option<AttemptName> {
    let bytes: AttemptName = text.as_bytes().try_into().ok()?;
    bytes.iter().all(u8::is_ascii_hexdigit).then_some(bytes)
}

/// A name as it stands on the wires; empty for bytes that are no text.
pub fn as_text(name: &AttemptName) -> &str {
    std::str::from_utf8(name).unwrap_or_default()
}
