//! Frames and records: bytes in, bytes out. Every code and layout of the wire stands here.

use madderbay::interface::Actions;
use madderbay::time::Duration;
use std::io::Read;

pub const BEGIN: u8 = 1;
pub const QUERY: u8 = 2;
pub const ENDED: u8 = 3;
pub const AWAITING: u8 = 4;
pub const DEP_REPLY: u8 = 5;
pub const WIND_DOWN: u8 = 6;
pub const ABANDONED: u8 = 7;
pub const BELL: u8 = 8;
pub const KILL: u8 = 9;

/// One batch as it came: its clock, the number of its records, their bytes.
pub struct Batch {
    pub clock: u64,
    pub count: u32,
    pub body: Vec<u8>,
}

/// The next batch, or nothing at the end of input.
pub fn next_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut head = Vec::with_capacity(16);
    let got = input
        .by_ref()
        .take(16)
        .read_to_end(&mut head)
        .map_err(|e| format!("input: {e}"))?;
    if got == 0 {
        return Ok(None);
    }
    if got < 16 {
        return Err(format!("frame: input ends {got} bytes into a header of 16"));
    }
    let mut fields = Fields::new(&head);
    let (clock, len, count) = (fields.u64()?, fields.u32()?, fields.u32()?);
    if len < 4 {
        return Err(format!(
            "frame: length {len} has no room for the count of records"
        ));
    }
    let want = u64::from(len) - 4;
    let mut body = vec![];
    let got = input
        .by_ref()
        .take(want)
        .read_to_end(&mut body)
        .map_err(|e| format!("input: {e}"))? as u64;
    if got < want {
        return Err(format!(
            "frame: input ends {got} bytes into records of {want}"
        ));
    }
    Ok(Some(Batch { clock, count, body }))
}

/// Reads fields one after the other.
pub struct Fields<'a> {
    bytes: &'a [u8],
    pub at: usize,
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields { bytes, at: 0 }
    }
    pub fn rest(&self) -> usize {
        self.bytes.len() - self.at
    }
    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        let all = self.bytes;
        let end = self.at.checked_add(n).filter(|e| *e <= all.len());
        let end = end.ok_or_else(|| {
            format!(
                "record cut short at byte {}: {n} wanted, {} left",
                self.at,
                self.rest()
            )
        })?;
        let found = &all[self.at..end];
        self.at = end;
        Ok(found)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        Ok(self.bytes(N)?.try_into().expect("as long as asked for"))
    }
    pub fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }
    pub fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    pub fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    pub fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    pub fn f32(&mut self) -> Result<f64, String> {
        let value = f32::from_le_bytes(self.array()?);
        if value.is_finite() {
            Ok(f64::from(value))
        } else {
            Err(format!("number before byte {} is not finite", self.at))
        }
    }
    pub fn span(&mut self) -> Result<Duration, String> {
        Ok(Duration::from_micros(u64::from(self.u32()?)))
    }
}

/// A reply in the making; `who` is the instance that speaks.
#[derive(Default)]
pub struct Reply {
    pub who: u16,
    count: u32,
    body: Vec<u8>,
}

fn short(span: Duration) -> [u8; 4] {
    u32::try_from(span.as_micros())
        .unwrap_or(u32::MAX)
        .to_le_bytes()
}

impl Reply {
    fn put(&mut self, code: u8, parts: &[&[u8]]) {
        self.count += 1;
        self.body.push(code);
        self.body.extend_from_slice(&self.who.to_le_bytes());
        parts.iter().for_each(|p| self.body.extend_from_slice(p));
    }

    /// Declares that the decision code failed.
    pub fn fault(&mut self, message: &str) {
        let text = &message.as_bytes()[..message.len().min(500)];
        self.put(15, &[&(text.len() as u16).to_le_bytes(), text]);
    }

    /// The whole frame; empties the reply for the next batch.
    pub fn frame(&mut self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.body.len());
        out.extend_from_slice(&(self.body.len() as u32 + 4).to_le_bytes());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.append(&mut self.body);
        self.count = 0;
        out
    }
}

impl Actions for Reply {
    fn start(&mut self, id: u64) {
        self.put(1, &[&id.to_le_bytes()]);
    }
    fn reject(&mut self, id: u64, come_back: Duration, last: bool) {
        self.put(
            2,
            &[&id.to_le_bytes(), &short(come_back), &[u8::from(last)]],
        );
    }
    fn fail(&mut self, id: u64) {
        self.put(3, &[&id.to_le_bytes()]);
    }
    fn cancel(&mut self, id: u64) {
        self.put(4, &[&id.to_le_bytes()]);
    }
    fn call(&mut self, id: u64, patience: Duration) {
        self.put(5, &[&id.to_le_bytes(), &short(patience)]);
    }
    fn skip_call(&mut self, id: u64) {
        self.put(6, &[&id.to_le_bytes()]);
    }
    fn store_key(&mut self, id: u64, term: Duration) {
        self.put(7, &[&id.to_le_bytes(), &short(term)]);
    }
    fn remove_key(&mut self, id: u64) {
        self.put(8, &[&id.to_le_bytes()]);
    }
    fn join_attempt(&mut self, id: u64) {
        self.put(9, &[&id.to_le_bytes()]);
    }
    fn set_health(&mut self, good: bool) {
        self.put(10, &[&[u8::from(good), 1]]);
    }
    fn set_load_report(&mut self, value: f64) {
        self.put(11, &[&(value as f32).to_le_bytes()]);
    }
    fn set_idle_limit(&mut self, limit: Duration) {
        self.put(12, &[&short(limit)]);
    }
    fn set_timer(&mut self, after: Duration) {
        self.put(13, &[&short(after), &0u64.to_le_bytes()]);
    }
}
