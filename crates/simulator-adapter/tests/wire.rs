//! Tests the adapter with the byte examples of the protocol specification and with malformed input.

use madderbay::interface::{Actions, Outcome};
use madderbay::time::Duration;
use madderbay_settings as settings;
use madderbay_simulator_adapter::{
    Action, AdapterError, Event, EventCode, FieldReader, Host, InstanceId, Reply, read_batch,
};
use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"classes": [{"aim_us": 2700000, "effect": "read_like", "hard_limit_us": 11000000,
 "importance": 1.0, "name": "trip-search", "unheard_of": 3}],
 "family_info": {"blowup": 4.0, "n_cores": 6, "memory_kb": 10890.0, "preemption": "freeze",
 "passes_deadline": true, "meters": ["core_use", "on_cores"]},
 "permissions": {}, "rules": {"tip_multiple": 5.0}, "servers": 12}"#;

/// Parses bytes from hexadecimal digits. Other characters are skipped.
fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
        .collect()
}

/// Encodes a batch of events with a fixed time.
fn batch(count: u32, body: &[u8]) -> Vec<u8> {
    let len = body.len() as u32 + 4;
    [
        &bytes("5a5c800000000000")[..],
        &len.to_le_bytes(),
        &count.to_le_bytes(),
        body,
    ]
    .concat()
}

/// Encodes the event that starts instance 3.
fn start_event(settings: &str) -> Vec<u8> {
    [
        &bytes("01 0300 6400000000000000")[..],
        &(settings.len() as u32).to_le_bytes(),
        settings.as_bytes(),
    ]
    .concat()
}

/// Returns the arrival of a request at instance 3 from the protocol specification.
fn arrival_event() -> Vec<u8> {
    bytes(
        "02 0300 c4913a5de3f90d00 0000 00000000 640ad2557c3bf091 80a90300 e02e0000 0000c441 0000203f 01 1100
         3a070000 0000000000000000",
    )
}

/// Returns the arrival event with some of its bytes replaced, starting at `position` of its record.
fn arrival_with(replacement: &str, position: usize) -> Vec<u8> {
    let (mut event, replacement) = (arrival_event(), bytes(replacement));
    event[position..position + replacement.len()].copy_from_slice(&replacement);
    event
}

/// Processes frames one after the other and returns the replies, or the first error.
fn process_frames(frames: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, AdapterError> {
    let (input, mut host, mut replies) = (frames.concat(), Host::default(), vec![]);
    let mut input = input.as_slice();
    while let Some(batch) = read_batch(&mut input)? {
        replies.push(host.process_batch(&batch)?);
    }
    Ok(replies)
}

#[test]
fn encodes_actions_as_in_published_examples() {
    let id = u64::from_le_bytes(bytes("c4913a5de3f90d00").try_into().unwrap());
    let other = u64::from_le_bytes(bytes("192b6f0e8e790400").try_into().unwrap());
    let mut reply = Reply::default();
    let mut actions = reply.actions_for(InstanceId(3));
    actions.start(id);
    actions.reject(other, Duration::from_millis(250), true);
    actions.fail(other);
    actions.cancel(id);
    actions.call(id, Duration::from_millis(80));
    actions.skip_call(id);
    actions.store_key(id, Duration::from_millis(8000));
    actions.remove_key(other);
    actions.join_attempt(other);
    actions.set_health(false);
    actions.set_load_report(0.25);
    actions.set_idle_limit(Duration::from_millis(2000));
    let message = "index out of range";
    reply.push(InstanceId(3), &Action::Fault { message });
    let body = bytes(
        "01 0300 c4913a5de3f90d00  02 0300 192b6f0e8e790400 90d00300 01  03 0300 192b6f0e8e790400
         04 0300 c4913a5de3f90d00  05 0300 c4913a5de3f90d00 80380100  06 0300 c4913a5de3f90d00
         07 0300 c4913a5de3f90d00 00127a00  08 0300 192b6f0e8e790400  09 0300 192b6f0e8e790400
         0a 0300 00 01  0b 0300 0000803e  0c 0300 80841e00
         0f 0300 1200 696e646578206f7574206f662072616e6765",
    );
    let head = [(body.len() as u32 + 4).to_le_bytes(), 13u32.to_le_bytes()].concat();
    assert_eq!(reply.take_frame(), [head, body].concat());
}

#[test]
fn answers_empty_batch_with_empty_reply() {
    let frame = bytes("5a5c800000000000 04000000 00000000");
    assert_eq!(
        process_frames(&[frame]).unwrap(),
        [bytes("04000000 00000000")]
    );
}

#[test]
fn starts_request_of_published_example_and_ignores_late_outcome() {
    let ended = bytes("03 0300 c4913a5de3f90d00 01 44480000");
    let tick = bytes("08 0300 0000000000000000 02 52b81e3f 00004040");
    let frames = [
        batch(1, &start_event(SETTINGS)),
        batch(1, &arrival_event()),
        batch(2, &[ended.clone(), tick].concat()),
        batch(1, &ended),
    ];
    let replies = process_frames(&frames).unwrap();
    assert_eq!(
        replies[1],
        bytes("0f000000 01000000 01 0300 c4913a5de3f90d00")
    );
    assert_eq!(
        replies[3],
        bytes("04000000 00000000"),
        "a late outcome is ignored"
    );
}

#[test]
fn restarts_instance_within_one_batch() {
    let restart = [bytes("09 0300"), start_event(SETTINGS), arrival_event()].concat();
    let replies = process_frames(&[
        batch(1, &start_event(SETTINGS)),
        batch(1, &arrival_event()),
        batch(3, &restart),
    ])
    .unwrap();
    assert!(replies[2].ends_with(&bytes("01 0300 c4913a5de3f90d00")));
}

/// Asserts that an input is rejected with exactly this message, and that the error is not one of
/// the settings.
fn assert_reported(frames: &[Vec<u8>], expected: &str) {
    let error = process_frames(frames).expect_err(expected);
    assert_eq!(error.to_string(), expected);
    assert!(!error.is_settings_error(), "{error}");
}

#[test]
fn reports_malformed_frames_in_one_line() {
    let start = start_event(SETTINGS);
    let complete_frame = batch(1, &start);
    let truncated_frame = complete_frame[..complete_frame.len() - 5].to_vec();
    let short_length = bytes("5a5c800000000000 03000000 00000000");
    let cases = [
        (
            bytes("5a5c8000"),
            "frame: input ends 4 bytes into a header of 16",
        ),
        (
            truncated_frame,
            "frame: input ends 376 bytes into records of 381",
        ),
        (
            short_length,
            "frame: length 3 is too short for the record count",
        ),
        (
            batch(2, &start),
            "record 2 of 2: record truncated at byte 381: expected 1 bytes, 0 left",
        ),
        (batch(0, &start), "frame: 381 bytes left after 0 records"),
    ];
    for (frame, expected) in cases {
        assert_reported(&[frame], expected);
    }
}

#[test]
fn reports_malformed_records_in_one_line() {
    let outcome_9 = bytes("03 0300 c4913a5de3f90d00 09 00000000");
    let cases = [
        (bytes("63 0300"), "record 1 of 1: event code 99 is unknown"),
        (
            arrival_event()[..20].to_vec(),
            "record 1 of 1: record truncated at byte 17: expected 8 bytes, 3 left",
        ),
        (
            arrival_with("0100", 11),
            "record 1 of 1: request 3933929614250436: class index 1 is out of range: 1 classes are defined",
        ),
        (
            arrival_with("01000000", 13),
            "record 1 of 1: request 3933929614250436: tenant index 1 is out of range: 0 tenants are defined",
        ),
        (
            arrival_with("000080bf", 33),
            "record 1 of 1: request 3933929614250436: held_kb is negative",
        ),
        (
            arrival_with("0000807f", 33),
            "record 1 of 1: number before byte 37 is not finite",
        ),
        (outcome_9, "record 1 of 1: outcome 9 is unknown"),
    ];
    for (record, expected) in cases {
        assert_reported(
            &[batch(1, &start_event(SETTINGS)), batch(1, &record)],
            expected,
        );
    }
}

#[test]
fn reports_request_that_arrives_twice() {
    let two_arrivals = batch(2, &arrival_event().repeat(2));
    let expected = "record 2 of 2: request 3933929614250436: arrived again before it had ended";
    assert_reported(&[batch(1, &start_event(SETTINGS)), two_arrivals], expected);
}

/// An unknown instance is reported even if the rest of the record is truncated.
#[test]
fn reports_events_of_unknown_instance() {
    let truncated_arrival = arrival_event()[..20].to_vec();
    for event in [arrival_event(), truncated_arrival, bytes("09 0300")] {
        assert_reported(
            &[batch(1, &event)],
            "record 1 of 1: instance 3 is not running",
        );
    }
}

#[test]
fn reports_invalid_settings_in_one_line_that_names_the_key() {
    let cases = [
        ("no json".to_string(), "settings: "),
        (SETTINGS.replace("\"n_cores\": 6,", ""), "n_cores"),
        (
            SETTINGS.replace("\"n_cores\": 6", "\"n_cores\": 0"),
            "n_cores is 0",
        ),
        (SETTINGS.replace("read_like", "odd"), "'odd'"),
    ];
    for (settings, expected) in cases {
        let error = process_frames(&[batch(1, &start_event(&settings))]).expect_err(expected);
        let message = error.to_string();
        assert!(
            message.starts_with("record 1 of 1: settings: "),
            "{message}"
        );
        assert!(
            message.contains(expected) && !message.contains('\n'),
            "{message}"
        );
        assert!(error.is_settings_error(), "{message}");
    }
}

/// A message that is truncated within a character is not valid UTF-8, so the simulator cannot read
/// it.
#[test]
fn truncates_fault_message_at_character_boundary() {
    let message = format!("{}é", "x".repeat(499));
    let mut reply = Reply::default();
    reply.push(InstanceId(3), &Action::Fault { message: &message });
    let fault = [&bytes("0f 0300 f301")[..], &message.as_bytes()[..499]].concat();
    let frame = [bytes("fc010000 01000000"), fault].concat();
    assert_eq!(reply.take_frame(), frame);
}

#[test]
fn clamps_values_to_field_widths() {
    let message = "x".repeat(501);
    let mut reply = Reply::default();
    reply
        .actions_for(InstanceId(3))
        .set_idle_limit(Duration::from_millis(u64::from(u32::MAX)));
    reply.push(InstanceId(3), &Action::Fault { message: &message });
    let idle_limit = bytes("0c 0300 ffffffff");
    let fault = [&bytes("0f 0300 f401")[..], &message.as_bytes()[..500]].concat();
    let frame = [bytes("04020000 02000000"), idle_limit, fault].concat();
    assert_eq!(reply.take_frame(), frame);
    assert_eq!(
        reply.take_frame(),
        bytes("04000000 00000000"),
        "taking a frame clears the reply"
    );
}

#[test]
fn accepts_settings_with_required_keys_only() {
    let minimal_settings = r#"{"classes": [{"aim_us": 1, "hard_limit_us": 1, "importance": 0,
        "effect": "non_idempotent"}],
        "family_info": {"n_cores": 1, "memory_kb": 1, "blowup": 1}, "permissions": {},
        "rules": {"tip_multiple": 1}, "servers": 0}"#;
    assert!(settings::read(minimal_settings.as_bytes()).is_ok());
    let replies = process_frames(&[
        batch(1, &start_event(minimal_settings)),
        batch(1, &arrival_event()),
    ])
    .unwrap();
    assert!(
        replies[1].len() > 8,
        "a request without time left must be answered"
    );
}

/// Runs the program with an input and returns its exit status and its standard error.
fn run_program(input: &[u8]) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_madderbay-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the program");
    let mut stdin = child.stdin.take().expect("standard input must be piped");
    // Writing fails if the program ends before it has read the whole input.
    let _ = stdin.write_all(input);
    drop(stdin);
    let output = child
        .wait_with_output()
        .expect("failed to wait for the program");
    let stderr = String::from_utf8(output.stderr).expect("standard error must be UTF-8");
    (output.status.code(), stderr)
}

#[test]
fn exits_with_status_2_on_invalid_settings_and_1_on_malformed_input() {
    let unknown_word = SETTINGS.replace("\"preemption\": \"freeze\"", "\"preemption\": \"melt\"");
    let cases = [
        (
            unknown_word.as_str(),
            2,
            "madderbay-drill: record 1 of 1: settings: ",
            "family_info.preemption is 'melt'",
        ),
        (
            SETTINGS,
            1,
            "madderbay-drill: frame: input ends 3 bytes",
            "into a header of 16",
        ),
    ];
    for (settings, expected_status, start, expected) in cases {
        let input = [batch(1, &start_event(settings)), bytes("5a5c80")].concat();
        let (status, stderr) = run_program(&input);
        assert_eq!(status, Some(expected_status), "{stderr}");
        assert!(
            stderr.starts_with(start) && stderr.contains(expected),
            "{stderr}"
        );
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}

#[test]
fn event_codes_match_wire_protocol() {
    let codes = [
        ("BEGIN", 1, EventCode::Start),
        ("QUERY", 2, EventCode::Arrival),
        ("ENDED", 3, EventCode::RunEnded),
        ("AWAITING", 4, EventCode::CallNeeded),
        ("DEP_REPLY", 5, EventCode::CallFinished),
        ("WIND_DOWN", 6, EventCode::Drain),
        ("ABANDONED", 7, EventCode::ClientGone),
        ("BELL", 8, EventCode::Tick),
        ("KILL", 9, EventCode::Kill),
    ];
    for (name, code, event) in codes {
        assert_eq!(EventCode::try_from(code).ok(), Some(event), "{name}");
    }
    let known: Vec<u8> = codes.map(|(_, code, _)| code).to_vec();
    for code in (0..=u8::MAX).filter(|code| !known.contains(code)) {
        let rejected = EventCode::try_from(code);
        assert!(matches!(rejected, Err(AdapterError::UnknownEventCode { code: c }) if c == code));
    }
}

#[test]
fn outcome_codes_match_wire_protocol() {
    let outcomes = [
        Outcome::Completed,
        Outcome::Failed,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::Unreachable,
        Outcome::Disconnected,
        Outcome::Cancelled,
        Outcome::AlreadyEnded,
    ];
    let decode = |code: u8| {
        let fields = [&[0; 8][..], &[code], &[0; 4]].concat();
        let mut reader = FieldReader::new(&fields);
        match Event::decode(EventCode::RunEnded, &mut reader) {
            Ok(Event::RunEnded(result)) => Some(result.outcome),
            _ => None,
        }
    };
    for (code, outcome) in (1..).zip(outcomes) {
        assert_eq!(decode(code), Some(outcome));
    }
    assert_eq!([0, 9, 255].map(decode), [None; 3]);
}
