//! The adapter against the wire's own byte examples, and against what is malformed.

use madderbay::interface::Actions;
use madderbay::time::Duration;
use madderbay_settings as settings;
use madderbay_simulator_adapter::AdapterError;
use madderbay_simulator_adapter::codec::{Action, InstanceId, Reply};
use madderbay_simulator_adapter::host::Host;
use madderbay_simulator_adapter::stdio::read_batch;

const SETTINGS: &str = r#"{"classes": [{"aim_us": 2700000, "effect": "read_like", "hard_limit_us": 11000000,
 "importance": 1.0, "name": "trip-search", "unheard_of": 3}],
 "family_info": {"blowup": 4.0, "n_cores": 6, "memory_kb": 10890.0, "preemption": "freeze",
 "passes_deadline": true, "meters": ["core_use", "on_cores"]},
 "permissions": {}, "rules": {"tip_multiple": 5.0}, "servers": 12}"#;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
        .collect()
}

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

fn begin(settings: &str) -> Vec<u8> {
    [
        &bytes("01 0300 6400000000000000")[..],
        &(settings.len() as u32).to_le_bytes(),
        settings.as_bytes(),
    ]
    .concat()
}

fn query() -> Vec<u8> {
    bytes(
        "02 0300 c4913a5de3f90d00 0000 00000000 640ad2557c3bf091 80a90300 e02e0000 0000c441 0000203f 01 1100
         3a070000 0000000000000000",
    )
}

/// Plays frames one after the other; the replies, or the message of what was wrong.
fn play(frames: &[Vec<u8>]) -> Result<Vec<Vec<u8>>, AdapterError> {
    let (input, mut host, mut replies) = (frames.concat(), Host::default(), vec![]);
    let mut input = input.as_slice();
    while let Some(batch) = read_batch(&mut input)? {
        replies.push(host.play_batch(&batch)?);
    }
    Ok(replies)
}

#[test]
fn results_take_the_bytes_of_the_published_examples() {
    let id = u64::from_le_bytes(bytes("c4913a5de3f90d00").try_into().unwrap());
    let other = u64::from_le_bytes(bytes("192b6f0e8e790400").try_into().unwrap());
    let mut reply = Reply::default();
    let mut actions = reply.actions_of(InstanceId(3));
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
fn an_empty_batch_has_an_empty_reply() {
    let frame = bytes("5a5c800000000000 04000000 00000000");
    assert_eq!(play(&[frame]).unwrap(), [bytes("04000000 00000000")]);
}

#[test]
fn a_query_in_the_published_bytes_is_started_and_its_outcome_taken() {
    let ended = bytes("03 0300 c4913a5de3f90d00 01 44480000");
    let bell = bytes("08 0300 0000000000000000 02 52b81e3f 00004040");
    let frames = [
        batch(1, &begin(SETTINGS)),
        batch(1, &query()),
        batch(2, &[ended.clone(), bell].concat()),
        batch(1, &ended),
    ];
    let replies = play(&frames).unwrap();
    assert_eq!(
        replies[1],
        bytes("0f000000 01000000 01 0300 c4913a5de3f90d00")
    );
    assert_eq!(
        replies[3],
        bytes("04000000 00000000"),
        "a late outcome is passed over"
    );
}

#[test]
fn an_instance_may_die_and_begin_again_in_one_batch() {
    let again = [bytes("09 0300"), begin(SETTINGS), query()].concat();
    let replies = play(&[
        batch(1, &begin(SETTINGS)),
        batch(1, &query()),
        batch(3, &again),
    ])
    .unwrap();
    assert!(replies[2].ends_with(&bytes("01 0300 c4913a5de3f90d00")));
}

#[test]
fn malformed_input_is_told_in_one_line() {
    let good = batch(1, &begin(SETTINGS));
    let cases: Vec<(Vec<Vec<u8>>, &str)> = vec![
        (vec![bytes("5a5c8000")], "into a header"),
        (vec![good[..good.len() - 5].to_vec()], "into records"),
        (
            vec![bytes("5a5c800000000000 03000000 00000000")],
            "no room for the count",
        ),
        (
            vec![batch(2, &begin(SETTINGS))],
            "record 2 of 2: record cut short",
        ),
        (
            vec![batch(0, &begin(SETTINGS))],
            "bytes left after 0 records",
        ),
        (
            vec![batch(1, &bytes("63 0300"))],
            "event code 99 is unknown",
        ),
        (vec![batch(1, &begin("no json"))], "settings: "),
        (
            vec![batch(1, &begin(&SETTINGS.replace("\"n_cores\": 6,", "")))],
            "n_cores",
        ),
        (
            vec![batch(
                1,
                &begin(&SETTINGS.replace("\"n_cores\": 6", "\"n_cores\": 0")),
            )],
            "n_cores is 0",
        ),
        (
            vec![batch(1, &begin(&SETTINGS.replace("read_like", "odd")))],
            "'odd'",
        ),
        (vec![batch(1, &query())], "instance 3 was never begun"),
        (
            vec![good.clone(), batch(2, &[query(), query()].concat())],
            "read a second time",
        ),
        (
            vec![
                good.clone(),
                batch(1, &bytes("03 0300 c4913a5de3f90d00 09 00000000")),
            ],
            "outcome 9",
        ),
    ];
    for (frames, expected) in cases {
        let message = play(&frames).expect_err(expected).to_string();
        assert!(
            message.contains(expected) && !message.contains('\n'),
            "{message} for {expected}"
        );
    }
}

#[test]
fn settings_of_unlike_sites_are_taken() {
    let bare = r#"{"classes": [{"aim_us": 1, "hard_limit_us": 1, "importance": 0,
        "effect": "non_idempotent"}],
        "family_info": {"n_cores": 1, "memory_kb": 1, "blowup": 1}, "permissions": {},
        "rules": {"tip_multiple": 1}, "servers": 0}"#;
    assert!(settings::read(bare.as_bytes()).is_ok());
    let replies = play(&[batch(1, &begin(bare)), batch(1, &query())]).unwrap();
    assert!(replies[1].len() > 8, "a req of no time is answered");
}

/// Settings that are unknown or contradict themselves end the program with 2 and one line that names the key; what is
/// wrong on the wire ends it with 1.
#[test]
fn wrong_settings_end_the_program_with_2() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let melts = SETTINGS.replace("\"preemption\": \"freeze\"", "\"preemption\": \"melt\"");
    let cases = [
        (melts, 2, "family_info.preemption is 'melt'"),
        (SETTINGS.to_string(), 1, "frame: input ends 3 bytes"),
    ];
    for (settings, status, told) in cases {
        let mut child = Command::new(env!("CARGO_BIN_EXE_madderbay-drill"))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut input = child.stdin.take().expect("its input");
        // It may have ended before all is written.
        let _ = input.write_all(&[batch(1, &begin(&settings)), bytes("5a5c80")].concat());
        drop(input);
        let found = child.wait_with_output().expect("an end");
        let text = String::from_utf8(found.stderr).expect("text");
        assert_eq!(found.status.code(), Some(status), "{text}");
        assert!(text.contains(told) && text.lines().count() == 1, "{text}");
    }
}
