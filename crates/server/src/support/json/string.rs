//! Decodes JSON strings.

use std::borrow::Cow;

/// UTF-16 code units that begin a surrogate pair.
const HIGH_SURROGATES: std::ops::Range<u32> = 0xd800..0xdc00;
/// The first UTF-16 code unit that ends a surrogate pair.
const FIRST_LOW_SURROGATE: u32 = 0xdc00;
/// The first character that is encoded as a surrogate pair.
const FIRST_PAIRED_CHARACTER: u32 = 0x10000;

/// Returns the text of a JSON string with its escapes decoded. Returns `None` if the value is not a string or has
/// an unpaired surrogate.
///
/// # Panics
/// May panic on a string that the scanner does not accept.
pub fn text(raw: &str) -> Option<Cow<'_, str>> {
    let inner = raw.strip_prefix('"')?.strip_suffix('"')?;
    let Some(first_escape) = inner.find('\\') else {
        return Some(Cow::Borrowed(inner));
    };
    let mut resolved = String::with_capacity(inner.len());
    resolved.push_str(&inner[..first_escape]);
    let mut rest = &inner[first_escape..];
    while let Some(at) = rest.find('\\') {
        resolved.push_str(&rest[..at]);
        let code = *rest.as_bytes().get(at + 1)?;
        rest = &rest[at + 2..];
        resolved.push(match code {
            b'n' => '\n',
            b't' => '\t',
            b'r' => '\r',
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'u' => take_unicode_escape(&mut rest)?,
            other => char::from(other),
        });
    }
    resolved.push_str(rest);
    Some(Cow::Owned(resolved))
}

/// Consumes the digits of a `\u` escape, and a second escape if the first is the first half of a surrogate pair.
fn take_unicode_escape(rest: &mut &str) -> Option<char> {
    let unit = take_hex_unit(rest)?;
    if !HIGH_SURROGATES.contains(&unit) {
        return char::from_u32(unit);
    }
    *rest = rest.strip_prefix("\\u")?;
    let low = take_hex_unit(rest)?.checked_sub(FIRST_LOW_SURROGATE)?;
    char::from_u32(FIRST_PAIRED_CHARACTER + ((unit - HIGH_SURROGATES.start) << 10) + low)
}

/// Consumes four hexadecimal digits.
fn take_hex_unit(rest: &mut &str) -> Option<u32> {
    let unit = u32::from_str_radix(rest.get(..4)?, 16).ok()?;
    *rest = &rest[4..];
    Some(unit)
}
