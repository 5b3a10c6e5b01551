//! Guards the names and codes of the JSON-RPC protocol, on which clients and load balancers depend.

use super::*;

#[test]
fn methods_and_version_keep_their_names() {
    use method::*;
    assert_eq!(VERSION, "2.0");
    let words = [WITHDRAW, HEALTH_CHECK, CONNECTION_ENDING];
    assert_eq!(words, ["forget", "isWell", "leaving"]);
}

#[test]
fn envelope_members_keep_their_names() {
    use envelope::*;
    let words = [super::envelope::VERSION, ID, METHOD, PARAMS];
    assert_eq!(words, ["jsonrpc", "id", "method", "params"]);
    let words = [RESULT, ERROR, CODE, MESSAGE, DATA];
    assert_eq!(words, ["result", "error", "code", "message", "data"]);
}

#[test]
fn params_keep_their_names() {
    use param::*;
    let words = [ATTEMPT_NAME, WITHDRAWN_ID, SENT_AT, BODY, MEMORY_KB];
    assert_eq!(words, ["ref", "id", "since", "bytes", "room"]);
    let words = [TIMEOUT_MS, WORK_MS, TENANT, IDEMPOTENCY_KEY];
    assert_eq!(words, ["allow", "effort", "project", "replay"]);
    let words = [CLIENT, RANK, SUBJECT, IS_RETRY];
    assert_eq!(words, ["sender", "class_rank", "lookup", "dup"]);
}

#[test]
fn answer_members_keep_their_names() {
    use answer::*;
    let words = [BODY, HEALTHY, LOAD_REPORT, RETRY_AFTER_MS, NO_SERVER_ADMITS];
    assert_eq!(words, ["bytes", "fit", "pressure", "cooldown", "nowhere"]);
}

#[test]
fn error_codes_and_messages_are_unchanged() {
    use error_code::*;
    let codes = [
        PARSE_ERROR,
        INVALID_REQUEST,
        METHOD_NOT_FOUND,
        INVALID_PARAMS,
    ];
    assert_eq!(codes, [-32700, -32600, -32601, -32602]);
    assert_eq!([FAILED, REJECTED], [-32001, -32002]);
    let messages = [error_message::FAILED, error_message::REJECTED];
    assert_eq!(messages, ["errored", "shed"]);
}
