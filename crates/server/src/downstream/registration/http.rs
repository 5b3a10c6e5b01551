//! The subset of HTTP/1.1 that reports need: encoding one request and reading the status of each response.
//!
//! `ResponseReader` owns the bytes of an incomplete response. It is fed the bytes of one connection and buffers no
//! more than one response may have. It reads no socket and does not interpret the status.

use super::wire_names::{INSTANCES_PATH, METHOD, STATE, STATE_DRAINING, STATE_READY};

/// Upper bound on the size of the head and on that of the body of a response, in bytes; a registry sends less.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The bytes that end the head of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The status of a response that accepts a report. It has no body.
pub(super) const STATUS_NO_CONTENT: u16 = 204;
/// A further status, beside [`STATUS_NO_CONTENT`], whose response has no body.
const STATUS_NOT_MODIFIED: u16 = 304;
/// The lowest status of a final response; lower ones are those of interim responses.
const FIRST_FINAL_STATUS: u16 = 200;

/// Encodes one report as an HTTP request.
pub fn encode_report(host: &str, name: &str, ready: bool) -> Vec<u8> {
    let state = if ready { STATE_READY } else { STATE_DRAINING };
    let body = format!("{{\"{STATE}\":\"{state}\"}}");
    let length = body.len();
    let request_line = format!("{METHOD} {INSTANCES_PATH}{name} HTTP/1.1");
    let head = format!("{request_line}\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n");
    format!("{head}{body}").into_bytes()
}

/// Reads the HTTP responses of one connection.
#[derive(Default)]
pub struct ResponseReader {
    buffer: Vec<u8>,
}

/// The parsed head of a response.
struct ResponseHead {
    status: u16,
    body_len: usize,
}

impl ResponseReader {
    /// Reads `bytes` and calls `on_status` with the status of each final response that they complete. Returns false
    /// when the stream can't be read any further.
    pub fn feed(&mut self, bytes: &[u8], mut on_status: impl FnMut(u16)) -> bool {
        self.buffer.extend_from_slice(bytes);
        loop {
            let mut windows = self.buffer.windows(HEAD_END.len());
            let Some(head_len) = windows.position(|window| window == HEAD_END) else {
                return self.buffer.len() < MAX_HEAD_BYTES;
            };
            let text = std::str::from_utf8(&self.buffer[..head_len]).ok();
            let Some(head) = text.and_then(ResponseHead::parse) else {
                return false;
            };
            if head.body_len > MAX_HEAD_BYTES {
                return false;
            }
            let response_len = head_len + HEAD_END.len() + head.body_len;
            if self.buffer.len() < response_len {
                return true;
            }
            self.buffer.drain(..response_len);
            if head.status >= FIRST_FINAL_STATUS {
                on_status(head.status);
            }
        }
    }
}

impl ResponseHead {
    /// Parses the head of a response. Returns `None` if it is malformed or does not state the length of the body.
    fn parse(text: &str) -> Option<ResponseHead> {
        let mut lines = text.split("\r\n");
        let mut status_line = lines.next()?.split(' ');
        status_line
            .next()
            .filter(|version| version.starts_with("HTTP/1."))?;
        let status = status_line.next()?.parse().ok()?;
        let mut content_length = None;
        for line in lines {
            let (name, value) = line.split_once(':')?;
            if name.eq_ignore_ascii_case("content-length") {
                content_length = Some(value.trim().parse().ok()?);
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                return None;
            }
        }
        let has_no_body = status < FIRST_FINAL_STATUS
            || status == STATUS_NO_CONTENT
            || status == STATUS_NOT_MODIFIED;
        let body_len = if has_no_body { 0 } else { content_length? };
        Some(ResponseHead { status, body_len })
    }
}
