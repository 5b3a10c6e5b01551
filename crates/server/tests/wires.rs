//! Parsers of the wire formats: valid and malformed input, and valid input split at every byte. The scenarios under
//! `tests/scenarios` do not feed them every kind of input.

use madderbay::interface::Outcome;
use madderbay_server::downstream::registration::{ResponseReader, encode_report};
use madderbay_server::support::json::{JsonObject, is_value, number, text, unsigned};
use madderbay_server::upstream::calls::ReplyReader;

/// Feeds a registry's bytes in pieces of `piece` bytes. Returns the statuses found, and whether the stream is still
/// readable.
fn registry_statuses(bytes: &[u8], piece: usize) -> (Vec<u16>, bool) {
    let (mut parser, mut found) = (ResponseReader::default(), vec![]);
    let readable = bytes
        .chunks(piece)
        .all(|p| parser.feed(p, |status| found.push(status)));
    (found, readable)
}

/// Feeds an upstream's bytes in pieces of `piece` bytes. Returns the replies found, and whether the stream is still
/// readable.
fn upstream_replies(bytes: &[u8], piece: usize) -> (Vec<(String, Outcome, Vec<u8>)>, bool) {
    let (mut parser, mut found) = (ReplyReader::default(), vec![]);
    let readable = bytes.chunks(piece).all(|p| {
        parser.feed(p, |reply| {
            found.push((
                String::from_utf8_lossy(&reply.name).into_owned(),
                reply.outcome,
                reply.body.to_vec(),
            ));
        })
    });
    (found, readable)
}

#[test]
fn encodes_registry_reports() {
    let sent = String::from_utf8(encode_report("127.0.0.1:2379", "n3", true)).unwrap();
    let expected = "PUT /v1/instances/n3 HTTP/1.1\r\nHost: 127.0.0.1:2379\r\nContent-Length: 17\r\n\r\n\
        {\"state\":\"ready\"}";
    assert_eq!(sent, expected);
    assert!(
        encode_report("h", "n3", false)
            .ends_with(b"Content-Length: 20\r\n\r\n{\"state\":\"draining\"}")
    );
}

#[test]
fn reads_registry_responses_split_at_any_byte() {
    let stream = b"HTTP/1.1 204 No Content\r\nServer: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
        HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\nbusyHTTP/1.1 204 No Content\r\n\r\n";
    for piece in [1, 7, stream.len()] {
        assert_eq!(
            registry_statuses(stream, piece),
            (vec![204, 503, 204], true)
        );
    }
    // A missing length, an unsupported transfer coding, and a line that is not HTTP; below, a head without an end.
    for bad in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "x\r\n\r\n",
    ] {
        assert_eq!(
            registry_statuses(bad.as_bytes(), 1),
            (vec![], false),
            "{bad}"
        );
    }
    assert!(!registry_statuses(&[b'x'; 20_000], 512).1);
}

#[test]
fn reads_upstream_replies_split_at_any_byte() {
    let stream = b"9b1f03aa5c7e2d41 DATA 6\r\na\r\n\0b\xff\r\n9b1f03aa5c7e2d42 LATER\r\n\
        9b1f03aa5c7e2d43 DATA 0\r\n\r\n9b1f03aa5c7e2d44 NOUSE\r\n9b1f03aa5c7e2d45 TOOSLOW\r\n";
    let body = b"a\r\n\0b\xff".to_vec();
    let expected = [
        ("9b1f03aa5c7e2d41", Outcome::Completed, body),
        ("9b1f03aa5c7e2d42", Outcome::Rejected, vec![]),
        ("9b1f03aa5c7e2d43", Outcome::Completed, vec![]),
        ("9b1f03aa5c7e2d44", Outcome::Unreachable, vec![]),
        ("9b1f03aa5c7e2d45", Outcome::TimedOut, vec![]),
    ];
    let expected: Vec<_> = expected
        .into_iter()
        .map(|(name, outcome, body)| (name.to_string(), outcome, body))
        .collect();
    for piece in [1, 7, stream.len()] {
        assert_eq!(upstream_replies(stream, piece), (expected.clone(), true));
    }
    // An unknown word, a name that is too short, an invalid length, a length that is too large, a body longer than its
    // length; below, a line without an end.
    for bad in [
        "9b1f03aa5c7e2d41 WHAT\r\n",
        "9b1f DATA 0\r\n",
        "9b1f03aa5c7e2d41 DATA x\r\n",
        "9b1f03aa5c7e2d41 DATA 9999999\r\n",
        "9b1f03aa5c7e2d41 DATA 1\r\nabc",
    ] {
        assert_eq!(
            upstream_replies(bad.as_bytes(), 1),
            (vec![], false),
            "{bad}"
        );
    }
    assert!(!upstream_replies(&[b'x'; 200], 3).1);
}

#[test]
fn accepts_only_valid_json() {
    let line =
        r#" {"a":1.250e1, "b" :"x\"\u00e9\ud83d\ude00\/", "c":[{},[null,true],-0.5], "a":7} "#;
    let members = JsonObject::read(line).expect("a JSON object");
    assert_eq!(
        members.unsigned("a"),
        Some(7),
        "the last of two members of the same name counts"
    );
    assert_eq!(members.text("b").as_deref(), Some("x\"\u{e9}\u{1f600}/"));
    assert_eq!(members.raw("c"), Some("[{},[null,true],-0.5]"));
    assert_eq!(
        (number("-1.5E-1"), unsigned("3e2"), unsigned("3.0")),
        (Some(-0.15), Some(300), Some(3))
    );
    assert_eq!(
        (
            unsigned("-1"),
            unsigned("1.5"),
            number("1e999"),
            number("null")
        ),
        (None, None, None, None)
    );
    assert!(text(r#""\ud800""#).is_none() && text(r#""\ud800\u0041""#).is_none());
    for cut in 1..line.trim_end().len() {
        assert!(JsonObject::read(&line[..cut]).is_none(), "{}", &line[..cut]);
    }
    for bad in [
        "{\"a\":01}",
        "{\"a\":.5}",
        "{\"a\":1,}",
        "{a:1}",
        "{\"a\":tru}",
        "{\"a\":\"\\x\"}",
        "{} {}",
        "{\"a\":\"\t\"}",
    ] {
        assert!(JsonObject::read(bad).is_none() && !is_value(bad), "{bad}");
    }
    assert!(!is_value(&"[".repeat(100_000)), "nesting is unbounded");
    assert!(is_value("[1,2]") && JsonObject::read("[1,2]").is_none());
}
