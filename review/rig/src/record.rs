//! The record of a play: one line for each thing that was sent, answered, run or done, with the
//! milliseconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(BufWriter::new(File::create(path)?)) })
    }

    /// Milliseconds since the start of the play.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} ms  {}", self.ms(), text.as_ref());
        let _ = file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
