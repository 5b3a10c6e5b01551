//! The records of the log, and a segment's head. All numbers are little-endian.
//!
//! ```text
//! segment   "MBKEPT" version:u16 checksum:u32 | record*
//! record    length:u32 checksum:u32 | type:u8 payload      both of type and payload
//! intent 1  key:16 print:u64 until:u64 name:16             times are Unix microseconds
//! done 2    key:16 result                                  the result as it came
//! errored 3 key:16                                         it ran, and there is no result to give
//! never 4   key:16                                         its run was never sent, or the engine knows none
//! ```

/// The name of a keyed req, the same for all its tries; the name of one try.
pub type Key = u128;
pub type Name = [u8; 16];

const MAGIC: &[u8; 6] = b"MBKEPT";
/// The version that is written; older ones are read, newer ones are not.
pub const VERSION: u16 = 1;
pub const HEAD: usize = 12;
/// Bytes of a head that agree with ours, from which one that is not whole is a torn one of ours.
const AGREE: usize = 3;
/// Bytes of a record before its type, and the most that one may have: more than any result.
const FRAME: usize = 8;
pub const RECORD_MOST: usize = 1 << 20;
/// Bytes of a record that has a key alone, and of an intent.
pub const BARE: usize = FRAME + 17;
pub const INTENT: usize = BARE + 32;

/// One thing that happened to a keyed req.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// It will be run: `print` tells handler and body, `until` the end of its window, `name` the try.
    Intent {
        key: Key,
        request_hash: u64,
        expires_at_micros: u64,
        attempt_id: Name,
    },
    Completed {
        key: Key,
        result: Box<[u8]>,
    },
    NoResult {
        key: Key,
    },
    /// Nothing ran, and nothing will by this promise.
    NotRun {
        key: Key,
    },
}

impl Record {
    pub fn key(&self) -> Key {
        match self {
            Record::Intent { key, .. }
            | Record::Completed { key, .. }
            | Record::NoResult { key }
            | Record::NotRun { key } => *key,
        }
    }

    pub fn write(&self, to: &mut Vec<u8>) {
        let at = to.len();
        to.extend_from_slice(&[0; FRAME]);
        to.push(match self {
            Record::Intent { .. } => 1,
            Record::Completed { .. } => 2,
            Record::NoResult { .. } => 3,
            Record::NotRun { .. } => 4,
        });
        to.extend_from_slice(&self.key().to_le_bytes());
        match self {
            Record::Intent {
                request_hash: print,
                expires_at_micros: until,
                attempt_id: name,
                ..
            } => {
                to.extend_from_slice(&print.to_le_bytes());
                to.extend_from_slice(&until.to_le_bytes());
                to.extend_from_slice(name);
            }
            Record::Completed { result, .. } => to.extend_from_slice(result),
            Record::NoResult { .. } | Record::NotRun { .. } => {}
        }
        let length = (to.len() - at - FRAME) as u32;
        let sum = crc32c::crc32c(&to[at + FRAME..]);
        to[at..at + 4].copy_from_slice(&length.to_le_bytes());
        to[at + 4..at + 8].copy_from_slice(&sum.to_le_bytes());
    }

    /// Its length as written.
    pub fn size(&self) -> usize {
        match self {
            Record::Intent { .. } => INTENT,
            Record::Completed { result, .. } => BARE + result.len(),
            Record::NoResult { .. } | Record::NotRun { .. } => BARE,
        }
    }
}

pub fn write_segment_header(to: &mut Vec<u8>) {
    write_segment_header_of_version(VERSION, to);
}

/// The head of a segment of some version: all have the same.
pub fn write_segment_header_of_version(version: u16, to: &mut Vec<u8>) {
    let at = to.len();
    to.extend_from_slice(MAGIC);
    to.extend_from_slice(&version.to_le_bytes());
    let sum = crc32c::crc32c(&to[at..]);
    to.extend_from_slice(&sum.to_le_bytes());
}

/// What the first bytes of a file tell.
#[derive(Debug, PartialEq, Eq)]
pub enum Head {
    Good,
    /// Cut or torn within its head, which is synced with its first records: nothing was promised in it.
    Torn,
    Newer(u16),
    /// No segment of ours.
    Foreign,
}

pub fn read_head(bytes: &[u8]) -> Head {
    let whole = bytes
        .get(..HEAD)
        .filter(|h| crc32c::crc32c(&h[..8]).to_le_bytes() == h[8..]);
    match whole {
        Some(h) if h[..6] == *MAGIC => match u16::from_le_bytes([h[6], h[7]]) {
            version if version > VERSION => Head::Newer(version),
            _ => Head::Good,
        },
        _ => {
            // Nulls stand for what a crash left unwritten.
            let agree = bytes
                .iter()
                .zip(MAGIC)
                .filter(|(b, m)| b == m || **b == 0)
                .count();
            if agree >= AGREE.min(bytes.len()) {
                Head::Torn
            } else {
                Head::Foreign
            }
        }
    }
}

/// Reads one record; nothing where the rest is no whole record, which ends what can be read of a segment.
pub fn read(bytes: &[u8]) -> Option<(Record, usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (length, sum) = (word(0)? as usize, word(4)?);
    if !(17..=RECORD_MOST).contains(&length) {
        return None;
    }
    let body = bytes.get(FRAME..FRAME + length)?;
    if crc32c::crc32c(body) != sum {
        return None;
    }
    let key = Key::from_le_bytes(body[1..17].try_into().ok()?);
    let rest = &body[17..];
    let record = match (body[0], rest.len()) {
        (1, 32) => Record::Intent {
            key,
            request_hash: u64::from_le_bytes(rest[..8].try_into().ok()?),
            expires_at_micros: u64::from_le_bytes(rest[8..16].try_into().ok()?),
            attempt_id: rest[16..].try_into().ok()?,
        },
        (2, _) => Record::Completed {
            key,
            result: rest.into(),
        },
        (3, 0) => Record::NoResult { key },
        (4, 0) => Record::NotRun { key },
        _ => return None,
    };
    Some((record, FRAME + length))
}

/// Reads all whole records of a segment past its head; tells how many bytes at its end are none.
pub fn read_all(bytes: &[u8], mut each: impl FnMut(Record)) -> usize {
    let mut at = HEAD.min(bytes.len());
    while let Some((record, used)) = read(&bytes[at..]) {
        each(record);
        at += used;
    }
    bytes.len() - at
}
