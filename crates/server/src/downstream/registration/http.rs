//! The little of HTTP/1.1 that reports need: a request each, and the status of each response.
//!
//! Owns: the bytes of a response that is not complete yet. Is given the bytes of one connection as they come, and keeps
//! no more than one response may have. Never reads a socket and never judges a status.

use super::wire_names::{INSTANCES_PATH, METHOD, STATE, STATE_DRAINING, STATE_READY};

/// Longer than the head or the body of any response of a registry.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// What ends the head of a response.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The status of a response that accepts a report; it has no body.
pub(super) const STATUS_NO_CONTENT: u16 = 204;
/// The status of a response without a body, beside [`STATUS_NO_CONTENT`].
const STATUS_NOT_MODIFIED: u16 = 304;
/// Statuses from here on are final; those before are of interim responses.
const FIRST_FINAL_STATUS: u16 = 200;

/// Encodes one report, an HTTP request.
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

/// What the head of a response says.
struct ResponseHead {
    status: u16,
    body_len: usize,
}

impl ResponseReader {
    /// Passes the status of each final response that was completed to `on_status`; false when the stream can't be read
    /// on.
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
    /// Nothing if the head can't be read or does not say the length of the body.
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
