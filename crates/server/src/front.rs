//! JSON-RPC 2.0 from one balancer connection: lines in, calls on the core. Its answers are in `answer`.

use crate::answer::{self, BAD_PARAMS, NO_CALL, NO_JSON, NO_METHOD};
use crate::door;
use crate::drive::Lines;
use crate::json::{Members, is_value};
use crate::serve::Serve;
use madderbay::time::At;

/// Longer than any legal line: a body of 2 KiB in base64, each byte escaped, and its fields.
const LINE_MOST: usize = 32 << 10;

pub struct Front {
    no: u64,
    lines: Lines,
}

impl Front {
    pub fn new(no: u64) -> Front {
        Front { no, lines: Lines::up_to(LINE_MOST) }
    }

    /// Takes in what was read; an empty feed is the end. False when nothing more can be read.
    pub fn fed(&mut self, now: At, bytes: &[u8], serve: &mut Serve) -> bool {
        let no = self.no;
        let whole = self.lines.feed(bytes, |line| {
            if let Err((id, code, message)) = read(now, no, line, serve) {
                serve.hands.counters.bad_lines += 1;
                log::warn!("a balancer's line can't be served: {message}");
                if let Some(out) = serve.out(no) {
                    out.put(|b| answer::wrong(b, id, code, message));
                }
            }
        });
        if bytes.is_empty() || !whole {
            serve.no_more(no);
        }
        whole
    }
}

/// What is wrong with a line: its id as far as known, code and message.
type Wrong = (Option<u64>, i32, &'static str);

fn read(now: At, no: u64, line: &[u8], serve: &mut Serve) -> Result<(), Wrong> {
    let text = std::str::from_utf8(line).map_err(|_| (None, NO_JSON, "not UTF-8"))?;
    let Some(call) = Members::read(text) else {
        return Err(if is_value(text) {
            (None, NO_CALL, "not an object")
        } else {
            (None, NO_JSON, "not JSON")
        });
    };
    let id = call.whole("id");
    let wrong = |code, message| (id, code, message);
    if call.text("jsonrpc").as_deref() != Some("2.0") {
        return Err(wrong(NO_CALL, "jsonrpc is not 2.0"));
    }
    let method = call.text("method").ok_or(wrong(NO_CALL, "no method"))?;
    if call.raw("id").is_some() && id.is_none() {
        return Err((None, NO_CALL, "id is not a whole number"));
    }
    let params = call.raw("params").map(Members::read);
    if method == "forget" {
        if let Some(Some(params)) = &params {
            let name = params.text("ref").as_deref().and_then(door::name);
            serve.forget(now, no, params.whole("id"), name);
        }
        return Ok(());
    }
    // What bears no id asks for no answer: nothing is owed and nothing is run.
    let Some(id) = id else { return Ok(()) };
    if method == "isWell" {
        if let Some(out) = serve.out(no) {
            out.put(|b| serve.health(id, b));
        }
        return Ok(());
    }
    let handler = serve.hands.door.handler(&method).ok_or(wrong(NO_METHOD, "no such method"))?;
    serve.may_open(no, id).map_err(|why| wrong(NO_CALL, why))?;
    let params = params.flatten().ok_or(wrong(BAD_PARAMS, "params is not an object"))?;
    let req = serve.hands.door.read(now, handler, &params).map_err(|why| wrong(BAD_PARAMS, why))?;
    serve.arrived(now, no, id, req).map_err(|why| wrong(BAD_PARAMS, why))
}
