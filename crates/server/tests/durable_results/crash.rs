//! Kills of the program at many points: during recovery, and between the intent, the run, the result, the sync and the
//! answer of a request.

use super::support::{
    LONG_WINDOW_MICROS, TestSetup, assert_no_other_run, booking_request, completion_notice,
    connect, kill, start_process,
};
use crate::program::program;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::peer::Peer;
use std::io::BufRead;
use std::time::Duration;

/// Request bodies, one for each idempotency key. They differ because the engine counts runs by body.
const REQUEST_BODIES: [&str; 4] = ["QUJD", "QUJE", "QUJF", "QUJG"];

/// A program that is killed repeatedly during recovery, at any point, loses no result.
#[test]
fn loses_nothing_when_killed_during_recovery() {
    let setup = TestSetup::new(LONG_WINDOW_MICROS, "");
    let (server, mut engine, mut client) = setup.start_with_client();
    for (id, key) in [(1, "5"), (2, "6")] {
        client.say(&booking_request(id, id, key, "QUJD"));
        assert!(engine.command().contains("\"RUN\""));
    }
    engine.say(&completion_notice(1, 1, "WFla"));
    assert!(client.line().contains("WFla"));
    kill(server, engine);
    kill_during_recoveries(&setup);
    let (_server, mut engine, mut client) = setup.start_with_client();
    client.say(&booking_request(1, 11, "5", "QUJD"));
    assert!(client.line().contains("WFla"));
    client.say(&booking_request(2, 12, "6", "QUJD"));
    assert!(client.line().contains("-32001"));
    assert_no_other_run(&mut engine, &mut client, 99);
}

/// Starts the program twelve times and kills it, each time half a millisecond later after its start.
fn kill_during_recoveries(setup: &TestSetup) {
    let files = setup.write_files();
    for n in 0..12u64 {
        let mut command = madderbay_testkit::server::command(program(), Some(&files.config));
        command.arg("--operator").arg(&files.operator);
        let mut process = start_process(|| command.spawn()).expect("the process starts");
        std::thread::sleep(Duration::from_micros(n * 500));
        process
            .kill()
            .and_then(|()| process.wait())
            .expect("the process is killed");
    }
    files.remove();
    // Some of the processes had connected to the engine; their links are dead.
    setup
        .engine
        .set_nonblocking(true)
        .expect("the option is set");
    while setup.engine.accept().is_ok() {}
    setup
        .engine
        .set_nonblocking(false)
        .expect("the option is set");
}

/// A program that is killed at random times while it books, and is then started again, runs each key at most once
/// although every key is retried. The engine of this test completes runs by itself and counts them.
#[test]
fn runs_each_key_once_when_killed_at_any_moment() {
    let mut random = oorandom::Rand64::new(11);
    for history in 0..20u32 {
        run_killed_incarnations(history, &mut random);
    }
}

/// Runs three incarnations with one engine and kills the first two.
fn run_killed_incarnations(history: u32, random: &mut oorandom::Rand64) {
    let mut setup = TestSetup::new(LONG_WINDOW_MICROS, "");
    let works = vec![HandlerWork::new("book", (1.0, 8.0), false)];
    let engine = Engine::start(4.0, works, u64::from(history));
    let listener = setup
        .engine
        .local_addr()
        .expect("a local address")
        .to_string();
    setup.config = setup.config.replace(&listener, &engine.address.to_string());
    let mut completed = [false; 4];
    for incarnation in 0..3u32 {
        let mut server = setup.start_program();
        server.log_at("engine: up");
        let mut client = connect(&server);
        let first_attempt = history * 100 + incarnation * 10;
        send_bookings(&mut client, first_attempt);
        if incarnation < 2 {
            std::thread::sleep(Duration::from_micros(random.rand_range(0..20_000)));
            server.signal("-KILL");
        }
        read_answers(&mut client, &mut completed, history);
    }
    let runs = engine.stats().bodies;
    assert!(
        runs.values().all(|n| *n == 1),
        "history {history}: {runs:?}"
    );
}

/// Sends one attempt of each of the four keys.
fn send_bookings(client: &mut Peer, first_attempt: u32) {
    for (n, body) in (0..).zip(REQUEST_BODIES) {
        let key = format!("{}", n + 1);
        client.say(&booking_request(n + 1, first_attempt + n, &key, body));
    }
}

/// Reads up to four answers. Asserts that a key that has completed before gets its result again.
fn read_answers(client: &mut Peer, completed: &mut [bool; 4], history: u32) {
    for _ in 0..4 {
        let mut line = String::new();
        if client.0.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let answer: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
        let Some(id) = answer["id"].as_u64() else {
            continue;
        };
        let has_result = answer["result"].is_object();
        let known = &mut completed[id as usize - 1];
        assert!(
            has_result || !*known,
            "history {history}: no result for a key that has completed: {line}"
        );
        *known |= has_result;
    }
}
