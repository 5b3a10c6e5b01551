//! Splits a stream of bytes into lines.
//!
//! `LineSplitter` owns the bytes of the incomplete line, and buffers no more than the longest legal line. After a
//! pause it also owns the lines that were not passed on yet, which are no more than the bytes of one feed.

use std::ops::ControlFlow;

/// How far a splitter has come with its input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SplitOutcome {
    /// All complete lines were passed on.
    Drained,
    /// Complete lines remain, because the receiver asked for a pause.
    Paused,
    /// A line exceeds the maximum length.
    TooLong,
}

/// Splits a stream of bytes into lines of a bounded length.
pub struct LineSplitter {
    /// The incomplete line; while paused, also the complete lines before it.
    buffer: Vec<u8>,
    is_paused: bool,
    max_line_bytes: usize,
}

impl LineSplitter {
    /// Creates a splitter for lines of at most `max_line_bytes`, not counting their ends.
    pub fn with_max_line_bytes(max_line_bytes: usize) -> LineSplitter {
        LineSplitter {
            buffer: vec![],
            is_paused: false,
            max_line_bytes,
        }
    }

    /// Reports whether an incomplete line is buffered, with no complete line before it.
    pub fn has_partial_line(&self) -> bool {
        !self.is_paused && !self.buffer.is_empty()
    }

    /// Calls `on_line` for every complete line, without its LF or CR LF. Returns false once a line exceeds the
    /// maximum length.
    pub fn feed(&mut self, bytes: &[u8], mut on_line: impl FnMut(&[u8])) -> bool {
        let outcome = self.feed_until(bytes, |line| {
            on_line(line);
            ControlFlow::Continue(())
        });
        outcome != SplitOutcome::TooLong
    }

    /// Like [`feed`](Self::feed), but pauses after a line for which `on_line` breaks. The next feed, of no bytes if
    /// there are none, goes on with the line after it.
    pub fn feed_until(
        &mut self,
        bytes: &[u8],
        on_line: impl FnMut(&[u8]) -> ControlFlow<()>,
    ) -> SplitOutcome {
        if !std::mem::take(&mut self.is_paused) {
            return self.split(bytes, on_line);
        }
        let mut buffered = std::mem::take(&mut self.buffer);
        buffered.extend_from_slice(bytes);
        self.split(&buffered, on_line)
    }

    fn split(
        &mut self,
        mut bytes: &[u8],
        mut on_line: impl FnMut(&[u8]) -> ControlFlow<()>,
    ) -> SplitOutcome {
        while let Some(end) = bytes.iter().position(|b| *b == b'\n') {
            let (line, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            if self.buffer.len() + line.len() > self.max_line_bytes {
                return SplitOutcome::TooLong;
            }
            let flow = if self.buffer.is_empty() {
                on_line(without_carriage_return(line))
            } else {
                self.buffer.extend_from_slice(line);
                let line = std::mem::take(&mut self.buffer);
                on_line(without_carriage_return(&line))
            };
            if flow.is_break() && bytes.contains(&b'\n') {
                self.buffer = bytes.to_vec();
                self.is_paused = true;
                return SplitOutcome::Paused;
            }
        }
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() <= self.max_line_bytes {
            SplitOutcome::Drained
        } else {
            SplitOutcome::TooLong
        }
    }
}

fn without_carriage_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

#[cfg(test)]
mod tests;
