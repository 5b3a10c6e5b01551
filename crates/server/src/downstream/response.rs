//! Encodes messages to clients: JSON-RPC answers, errors and notices, one per line.
//!
//! The functions append to the buffer of a connection. They don't decide what is answered, and they can't fail
//! because writing to a vector can't.

use crate::downstream::wire_names::{VERSION, answer, envelope, error_code, error_message, method};
use madderbay::time::Duration;
use std::fmt::Display;
use std::io::Write;

/// Formats into a vector, which can't fail.
macro_rules! put {
    ($out:expr, $($arg:tt)*) => { let _ = write!($out, $($arg)*); };
}

/// Appends the load report, if there is one, with `comma` before it.
fn load_report(out: &mut Vec<u8>, value: Option<f64>, comma: &str) {
    if let Some(value) = value {
        put!(out, "{comma}\"{}\":{value}", answer::LOAD_REPORT);
    }
}

/// Appends the envelope up to the first member of the result or the error, whichever `outcome` names.
fn begin(out: &mut Vec<u8>, id: impl Display, outcome: &str) {
    put!(
        out,
        "{{\"{}\":\"{VERSION}\",\"{}\":{id},\"{outcome}\":{{",
        envelope::VERSION,
        envelope::ID
    );
}

/// Appends the code and the message of an error.
fn error_head(out: &mut Vec<u8>, code: i32, message: impl Display) {
    put!(
        out,
        "\"{}\":{code},\"{}\":\"{message}\"",
        envelope::CODE,
        envelope::MESSAGE
    );
}

/// Appends an error up to the first member of its data.
fn begin_error_data(out: &mut Vec<u8>, id: u64, code: i32, message: &str) {
    begin(out, id, envelope::ERROR);
    error_head(out, code, message);
    put!(out, ",\"{}\":{{", envelope::DATA);
}

/// Encodes the answer to a completed request. `result` is the engine's result as received: a JSON string with its
/// quotes.
pub fn completed(out: &mut Vec<u8>, id: u64, result: &str, report: Option<f64>) {
    begin(out, id, envelope::RESULT);
    put!(out, "\"{}\":{result}", answer::BODY);
    load_report(out, report, ",");
    out.extend_from_slice(b"}}\n");
}

/// Encodes the answer to a request that was rejected and never ran. A `retry_after` of less than a millisecond is
/// omitted. `last` states that no other server would admit the request either.
pub fn rejected(
    out: &mut Vec<u8>,
    id: u64,
    retry_after: Duration,
    last: bool,
    report: Option<f64>,
) {
    begin_error_data(out, id, error_code::REJECTED, error_message::REJECTED);
    let mut comma = "";
    let millis = retry_after.as_micros() / 1000;
    if millis > 0 {
        put!(out, "\"{}\":{millis}", answer::RETRY_AFTER_MS);
        comma = ",";
    }
    if last {
        put!(out, "{comma}\"{}\":1", answer::NO_SERVER_ADMITS);
        comma = ",";
    }
    load_report(out, report, comma);
    out.extend_from_slice(b"}}}\n");
}

/// Encodes the answer to a request that failed after a possible effect.
pub fn failed(out: &mut Vec<u8>, id: u64, report: Option<f64>) {
    begin_error_data(out, id, error_code::FAILED, error_message::FAILED);
    load_report(out, report, "");
    out.extend_from_slice(b"}}}\n");
}

/// Encodes the answer to a health check.
pub fn health(out: &mut Vec<u8>, id: u64, healthy: bool, report: Option<f64>) {
    begin(out, id, envelope::RESULT);
    put!(out, "\"{}\":{healthy}", answer::HEALTHY);
    load_report(out, report, ",");
    out.extend_from_slice(b"}}\n");
}

/// Encodes the error for a line that can't be served, with the line's id if it could be read.
pub fn invalid(out: &mut Vec<u8>, id: Option<u64>, code: i32, message: impl Display) {
    match id {
        Some(id) => begin(out, id, envelope::ERROR),
        None => begin(out, "null", envelope::ERROR),
    }
    error_head(out, code, message);
    out.extend_from_slice(b"}}\n");
}

/// Encodes the notice that a connection is about to end.
pub fn connection_ending(out: &mut Vec<u8>) {
    put!(
        out,
        "{{\"{}\":\"{VERSION}\",\"{}\":\"{}\"}}\n",
        envelope::VERSION,
        envelope::METHOD,
        method::CONNECTION_ENDING
    );
}
