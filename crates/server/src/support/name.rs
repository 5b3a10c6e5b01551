//! The name of one try, the same on all wires.

/// 16 hex digits.
pub type Name = [u8; 16];

pub fn name(text: &str) -> Option<Name> {
    let bytes: Name = text.as_bytes().try_into().ok()?;
    bytes.iter().all(u8::is_ascii_hexdigit).then_some(bytes)
}

/// A name as it stands on the wires.
pub fn spelt(name: &Name) -> &str {
    std::str::from_utf8(name).unwrap_or_default()
}
