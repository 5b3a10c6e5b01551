//! JSON-RPC 2.0 from one balancer connection: lines in, calls on the core. Its answers are in `answer`.

use crate::core::serve::Serve;
use crate::downstream::response::{self, BAD_PARAMS, NO_CALL, NO_JSON, NO_METHOD};
use crate::support::io::Lines;
use crate::support::json::{Members, is_value};
use crate::support::name::name;
use madderbay::time::Timestamp;

/// Longer than any legal line: a body of 2 KiB in base64, each of its characters escaped, and its fields.
const LINE_MOST: usize = 20 << 10;

pub struct Front {
    no: u64,
    lines: Lines,
    /// Nothing more is read: the peer broke the protocol.
    over: bool,
}

/// What is wrong with a line: its id as far as known, code and message; and whether it breaks the protocol so
/// that nothing else on the connection can be trusted.
struct Wrong {
    id: Option<u64>,
    code: i32,
    message: &'static str,
    breach: bool,
}

impl Front {
    pub fn new(no: u64) -> Front {
        Front {
            no,
            lines: Lines::up_to(LINE_MOST),
            over: false,
        }
    }

    /// Takes in what was read; an empty feed is the end. False when nothing more is read.
    pub fn fed(&mut self, now: Timestamp, bytes: &[u8], serve: &mut Serve) -> bool {
        let (no, over) = (self.no, &mut self.over);
        let mut ended = false;
        let whole = self.lines.feed(bytes, |line| {
            ended = true;
            if *over {
                return;
            }
            if let Err(wrong) = read(now, no, line, serve) {
                *over = wrong.breach;
                wrong.tell(now, no, serve);
            }
        });
        if !whole && !*over {
            *over = true;
            Wrong {
                id: None,
                code: NO_JSON,
                message: "line too long",
                breach: true,
            }
            .tell(now, no, serve);
        }
        serve
            .hands
            .conns
            .was_read(now, no, self.lines.amid(), ended);
        if bytes.is_empty() {
            serve.no_more(no);
        }
        !*over
    }
}

impl Wrong {
    fn tell(&self, now: Timestamp, no: u64, serve: &mut Serve) {
        serve.hands.counters.bad_lines += 1;
        log::debug!("connection {no}: a line can't be served: {}", self.message);
        if let Some(out) = serve.out(no) {
            out.put(|b| response::wrong(b, self.id, self.code, self.message));
        }
        if self.breach {
            serve.turn_off(now, no);
        }
    }
}

fn read(now: Timestamp, no: u64, line: &[u8], serve: &mut Serve) -> Result<(), Wrong> {
    let unread = |code, message| Wrong {
        id: None,
        code,
        message,
        breach: false,
    };
    let text = std::str::from_utf8(line).map_err(|_| unread(NO_JSON, "not UTF-8"))?;
    let Some(call) = Members::read(text) else {
        return Err(if is_value(text) {
            unread(NO_CALL, "not an object")
        } else {
            unread(NO_JSON, "not JSON")
        });
    };
    let id = call.whole("id");
    let wrong = |code, message| Wrong {
        id,
        code,
        message,
        breach: false,
    };
    if call.text("jsonrpc").as_deref() != Some("2.0") {
        return Err(wrong(NO_CALL, "jsonrpc is not 2.0"));
    }
    let method = call.text("method").ok_or(wrong(NO_CALL, "no method"))?;
    if call.raw("id").is_some() && id.is_none() {
        return Err(unread(NO_CALL, "id is not a whole number"));
    }
    let params = call.raw("params").map(Members::read);
    if method == "forget" {
        if let Some(Some(params)) = &params {
            let name = params.text("ref").as_deref().and_then(name);
            serve.forget(now, no, params.whole("id"), name);
        }
        return Ok(());
    }
    let id = id.ok_or(unread(NO_CALL, "no id"))?;
    if method == "isWell" {
        serve.health(now, no, id);
        return Ok(());
    }
    let handler = serve
        .hands
        .door
        .handler(&method)
        .ok_or(wrong(NO_METHOD, "no such method"))?;
    // Of two reqs under one number no answer could be told from the other's.
    serve.may_open(no, id).map_err(|why| Wrong {
        breach: true,
        ..wrong(NO_CALL, why)
    })?;
    let params = params
        .flatten()
        .ok_or(wrong(BAD_PARAMS, "params is not an object"))?;
    let req = serve
        .hands
        .door
        .read(now, handler, &params)
        .map_err(|why| wrong(BAD_PARAMS, why))?;
    serve
        .arrived(now, no, id, req)
        .map_err(|why| wrong(BAD_PARAMS, why))
}
