//! Guards the names of the engine's protocol, on which the engine depends.

use super::*;

#[test]
fn commands_keep_their_names() {
    use command::*;
    let words = [ATTACH, RUN, CANCEL, REPLY, SKIP_CALL, QUERY_GAUGES];
    assert_eq!(words, ["ATTACH", "RUN", "HALT", "FEED", "SKIP", "STAT"]);
}

#[test]
fn notices_keep_their_names() {
    use notice::*;
    let words = [
        ENGINE_UP,
        RUN_ENDED,
        CALL_NEEDED,
        GAUGES,
        COMMAND_DECLINED,
        REMARK,
    ];
    assert_eq!(words, ["HELLO", "DONE", "NEED", "STATS", "NO", "NOTE"]);
}

#[test]
fn members_keep_their_names() {
    use member::*;
    let words = [KIND, ATTEMPT_NAME, SERIAL, HANDLER, BODY];
    assert_eq!(words, ["msg", "call", "serial", "service", "blob"]);
    let words = [QUERY, GAUGES, DETAIL, DURATION_MS];
    assert_eq!(words, ["cookie", "stats", "how", "duration"]);
}

#[test]
fn outcomes_and_gauges_keep_their_names() {
    use run_outcome::*;
    let words = [COMPLETED, FAILED, CANCELLED, ALREADY_ENDED];
    assert_eq!(words, ["good", "bad", "cut", "gone"]);
    assert_eq!(NEW_ENGINE, "new");
    assert_eq!(RUN_QUEUE_GAUGE, "on_cores");
}
