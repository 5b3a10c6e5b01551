//! Just enough of JSON and base64 for lines whose strings have no escapes.

/// The raw value of the first member with this name: a string without its quotes, or a number.
pub fn member<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let quoted = format!("\"{name}\":");
    let value = line[line.find(&quoted)? + quoted.len()..].trim_start();
    match value.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => value.split([',', '}', ']']).next().map(str::trim),
    }
}

pub fn number(line: &str, name: &str) -> Option<u64> {
    member(line, name)?.parse().ok()
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, i| word << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// A small generator of numbers, so that a play can be repeated.
pub struct Draw(pub u64);

impl Draw {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
