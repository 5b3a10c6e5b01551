//! Splits a stream of bytes into lines.
//!
//! `LineSplitter` owns the bytes of the incomplete line, and buffers no more than the longest legal line.

/// Splits a stream of bytes into lines of a bounded length.
pub struct LineSplitter {
    partial_line: Vec<u8>,
    max_line_bytes: usize,
}

impl LineSplitter {
    /// Creates a splitter for lines of at most `max_line_bytes`, not counting their ends.
    pub fn with_max_line_bytes(max_line_bytes: usize) -> LineSplitter {
        LineSplitter {
            partial_line: vec![],
            max_line_bytes,
        }
    }

    /// Reports whether an incomplete line is buffered.
    pub fn has_partial_line(&self) -> bool {
        !self.partial_line.is_empty()
    }

    /// Calls `on_line` for every complete line, without its LF or CR LF. Returns false once a line exceeds the
    /// maximum length.
    pub fn feed(&mut self, mut bytes: &[u8], mut on_line: impl FnMut(&[u8])) -> bool {
        while let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            let (line, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            if self.partial_line.len() + line.len() > self.max_line_bytes {
                return false;
            }
            if self.partial_line.is_empty() {
                on_line(without_carriage_return(line));
            } else {
                self.partial_line.extend_from_slice(line);
                let line = std::mem::take(&mut self.partial_line);
                on_line(without_carriage_return(&line));
            }
        }
        self.partial_line.extend_from_slice(bytes);
        self.partial_line.len() <= self.max_line_bytes
    }
}

fn without_carriage_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}
