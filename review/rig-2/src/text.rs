//! Small helpers for lines of JSON and for base64. Lines of the server are flat enough for a search by name.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the raw value of the first member with this name: a string without its quotes, or a number or word.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut from = 0;
    let quoted = format!("\"{name}\"");
    loop {
        let at = line[from..].find(&quoted)? + from + quoted.len();
        let rest = line[at..].trim_start();
        if let Some(value) = rest.strip_prefix(':') {
            let value = value.trim_start();
            return Some(match value.strip_prefix('"') {
                Some(text) => text.split('"').next().unwrap_or(""),
                None => value
                    .split(|c: char| c == ',' || c == '}' || c == ']')
                    .next()
                    .unwrap_or("")
                    .trim(),
            });
        }
        from = at;
    }
}

/// Decodes the escapes of a JSON string that holds ASCII only.
pub fn plain(raw: &str) -> String {
    let mut out = String::new();
    let mut rest = raw;
    while let Some(at) = rest.find('\\') {
        out.push_str(&rest[..at]);
        if let Some(code) = rest[at..].strip_prefix("\\u") {
            let unit = u32::from_str_radix(code.get(..4).unwrap_or("3f"), 16).unwrap_or(63);
            out.extend(char::from_u32(unit));
            rest = code.get(4..).unwrap_or("");
        } else {
            out.push_str(rest.get(at + 1..at + 2).unwrap_or(""));
            rest = rest.get(at + 2..).unwrap_or("");
        }
    }
    out + rest
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// A small generator of pseudo-random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x2545_f491_4f6c_dd1d)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound.max(1)
    }

    /// Returns true with this probability in 1000.
    pub fn chance(&mut self, permille: u64) -> bool {
        self.below(1000) < permille
    }
}
