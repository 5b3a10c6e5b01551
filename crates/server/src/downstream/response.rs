//! What goes back to a balancer: JSON-RPC answers, notices and errors, one a line.

use madderbay::time::Duration;
use std::io::Write;

/// Codes of answers that tell of a req; the standard's own tell of messages that can't be understood.
const SHED: i32 = -32002;
const ERRORED: i32 = -32001;
pub const NO_JSON: i32 = -32700;
pub const NO_CALL: i32 = -32600;
pub const NO_METHOD: i32 = -32601;
pub const BAD_PARAMS: i32 = -32602;

/// Writing to a vector can't fail.
macro_rules! put {
    ($out:expr, $($arg:tt)*) => { let _ = write!($out, $($arg)*); };
}

fn load_report(out: &mut Vec<u8>, value: Option<f64>, comma: &str) {
    if let Some(value) = value {
        put!(out, "{comma}\"pressure\":{value}");
    }
}

/// The engine's result as it came, a JSON string with its quotes.
pub fn done(out: &mut Vec<u8>, id: u64, blob: &str, value: Option<f64>) {
    put!(
        out,
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"bytes\":{blob}"
    );
    load_report(out, value, ",");
    out.extend_from_slice(b"}}\n");
}

/// An error up to the members of its data.
fn error(out: &mut Vec<u8>, id: u64, code: i32, message: &str) {
    put!(
        out,
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},"
    );
    put!(out, "\"message\":\"{message}\",\"data\":{{");
}

pub fn shed(out: &mut Vec<u8>, id: u64, come_back: Duration, last: bool, value: Option<f64>) {
    error(out, id, SHED, "shed");
    let mut comma = "";
    let millis = come_back.as_micros() / 1000;
    if millis > 0 {
        put!(out, "\"cooldown\":{millis}");
        comma = ",";
    }
    if last {
        put!(out, "{comma}\"nowhere\":1");
        comma = ",";
    }
    load_report(out, value, comma);
    out.extend_from_slice(b"}}}\n");
}

pub fn errored(out: &mut Vec<u8>, id: u64, value: Option<f64>) {
    error(out, id, ERRORED, "errored");
    load_report(out, value, "");
    out.extend_from_slice(b"}}}\n");
}

pub fn health(out: &mut Vec<u8>, id: u64, good: bool, value: Option<f64>) {
    put!(
        out,
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"fit\":{good}"
    );
    load_report(out, value, ",");
    out.extend_from_slice(b"}}\n");
}

/// A message that can't be understood; `id` as far as it could be read.
pub fn wrong(out: &mut Vec<u8>, id: Option<u64>, code: i32, message: &str) {
    let id = id.map_or("null".to_string(), |id| id.to_string());
    put!(
        out,
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":\"{message}\"}}}}\n"
    );
}

pub fn leaving(out: &mut Vec<u8>) {
    out.extend_from_slice(b"{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}\n");
}
