//! Restarts: which results are recovered, which attempts are never run again, and which may be.

use super::support::{
    LONG_WINDOW_MICROS, TestSetup, assert_no_other_run, booking_request, complete_booking,
    completion_notice, connect, kill, with_open_directory,
};
use madderbay_idempotency_store::record::Record;
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::write_ahead_log::{LogEntry, LogLimits, WriteAheadLog};
use madderbay_testkit::WAIT_TIMEOUT;
use madderbay_testkit::peer::Peer;
use std::path::Path;
use std::time::{Duration, Instant};

/// After a kill, concurrent retries on two connections get the result. A retry with another body is rejected.
#[test]
fn result_survives_restart() {
    let setup = TestSetup::new(LONG_WINDOW_MICROS, "");
    let (server, mut engine, mut client) = setup.start_with_client();
    complete_booking(&mut client, &mut engine);
    kill(server, engine);
    let (server, mut engine) = setup.start();
    let known = "idempotency-store: recovered, requests=1, records=2, segments=1, torn_segments=0,";
    assert!(server.before[0].contains(known), "{:?}", server.before);
    let (mut client, mut other) = (connect(&server), connect(&server));
    client.say(&booking_request(1, 2, "5", "QUJD"));
    other.say(&booking_request(7, 3, "5", "QUJD"));
    assert_eq!(
        client.line(),
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"bytes\":\"WFla\"}}"
    );
    assert!(
        other
            .line()
            .contains("\"id\":7,\"result\":{\"bytes\":\"WFla\"")
    );
    other.say(&booking_request(8, 4, "5", "QUJE"));
    assert!(other.line().contains("replay came with another body"));
    assert_no_other_run(&mut engine, &mut other, 99);
}

/// After a kill during a run, retries of its request fail and are never run, in the next two incarnations, until the
/// engine reports that the run has completed. Then they get its result, in that incarnation and in the next one.
#[test]
fn never_reruns_attempt_that_may_have_run() {
    let setup = TestSetup::new(LONG_WINDOW_MICROS, "");
    let (server, mut engine, mut client) = setup.start_with_client();
    client.say(&booking_request(1, 1, "5", "QUJD"));
    client.say(&booking_request(2, 2, "6", "QUJD"));
    assert!(engine.command().contains("\"RUN\"") && engine.command().contains("\"RUN\""));
    // A retry while the first attempt still runs waits for it.
    client.say(&booking_request(3, 3, "5", "QUJD"));
    kill(server, engine);
    for _ in 0..2 {
        assert_retries_fail(&setup);
    }
    let (mut server, mut engine) = setup.start();
    let mut client = connect(&server);
    engine.say(&completion_notice(1, 1, "WFla"));
    retry_until_result(&mut client);
    kill(server, engine);
    (server, engine) = setup.start();
    let mut client = connect(&server);
    client.say(&booking_request(1, 30, "5", "QUJD"));
    assert!(client.line().contains("WFla"));
    client.say(&booking_request(2, 31, "6", "QUJD"));
    assert!(client.line().contains("-32001"));
    assert_no_other_run(&mut engine, &mut client, 99);
}

/// Runs one incarnation. Asserts that the retries of the keys 5 and 6 fail and that none of them is run.
fn assert_retries_fail(setup: &TestSetup) {
    let (server, mut engine, mut client) = setup.start_with_client();
    for (id, key) in [(1, "5"), (2, "6")] {
        client.say(&booking_request(id, 10 + id, key, "QUJD"));
        assert!(client.line().contains("\"error\":{\"code\":-32001"));
    }
    assert_no_other_run(&mut engine, &mut client, 99);
    server.signal("-KILL");
}

/// Retries the key 5 until it gets its result, which has to be durable before it is sent.
fn retry_until_result(client: &mut Peer) {
    let (mut id, began) = (0, Instant::now());
    loop {
        id += 1;
        client.say(&booking_request(id, 20 + id, "5", "QUJD"));
        let answer = client.line();
        if answer.contains("\"result\"") {
            assert!(answer.contains("WFla"));
            break;
        }
        assert!(
            answer.contains("-32001") && began.elapsed() < WAIT_TIMEOUT,
            "{id}: {answer}"
        );
    }
}

/// An attempt whose `RUN` command was declined by the engine has never run: a retry of it is run as a new attempt,
/// also after a restart.
#[test]
fn runs_retry_of_attempt_that_engine_declined() {
    let setup = TestSetup::new(LONG_WINDOW_MICROS, "");
    let (server, mut engine, mut client) = setup.start_with_client();
    client.say(&booking_request(1, 1, "5", "QUJD"));
    assert!(engine.command().contains("\"RUN\""));
    engine.say("{\"msg\":\"NO\",\"how\":\"RUN\",\"call\":\"0000000000000001\"}\n");
    assert!(client.line().contains("-32002"));
    // The next run starts only once its intent is durable, and so is all that was written before it.
    client.say(&booking_request(2, 2, "6", "QUJD"));
    assert!(engine.command().contains("\"RUN\""));
    kill(server, engine);
    let (_server, mut engine, mut client) = setup.start_with_client();
    client.say(&booking_request(1, 3, "5", "QUJD"));
    assert!(
        engine
            .command()
            .contains("\"RUN\",\"call\":\"0000000000000003\"")
    );
}

/// With a hundred thousand keys in the directory at the start, each key is recovered and the server listens in time.
#[test]
fn recovers_hundred_thousand_keys() {
    let setup = TestSetup::new(LONG_WINDOW_MICROS, "disk_mb = 64\n");
    with_open_directory(|| write_hundred_thousand_results(&setup.directory));
    let (server, _engine) = setup.start();
    let known = "idempotency-store: recovered, requests=100000, records=200000,";
    assert!(server.before[0].contains(known), "{:?}", server.before);
    let mut client = connect(&server);
    // The key was stored with a fingerprint that is not that of this body: the request is rejected, not run.
    client.say(&booking_request(1, 1, "1869f", "QUJD"));
    assert!(client.line().contains("replay came with another body"));
}

fn write_hundred_thousand_results(directory: &Path) {
    let storage = DirectoryStorage::open(directory).expect("the directory is opened");
    let limits = LogLimits {
        disk_bytes: 64 << 20,
        retention_micros: LONG_WINDOW_MICROS,
    };
    let (mut log, _) = WriteAheadLog::open(storage, 1, limits).expect("the log is read");
    for part in 0..100u128 {
        let keys = (0..1_000u128).map(|k| part * 1_000 + k);
        let entries: Vec<LogEntry> = keys.flat_map(log_entries).collect();
        log.commit(1, &entries).expect("the write succeeds");
    }
}

/// Returns the intent and the result of one key.
fn log_entries(key: u128) -> [LogEntry; 2] {
    let expires_at_micros = LONG_WINDOW_MICROS + 1;
    let intent = Record::Intent {
        key,
        request_hash: 0,
        expires_at_micros,
        attempt_id: [b'0'; 16],
    };
    let result = b"\"WFla\""[..].into();
    [intent, Record::Completed { key, result }].map(|record| LogEntry {
        record,
        expires_at_micros,
    })
}

/// A result is still known after its window has ended while the server was down, because a new incarnation does not
/// trust the clock of an earlier one.
#[test]
fn result_survives_window_that_ends_during_restart() {
    const WINDOW: Duration = Duration::from_millis(100);
    let setup = TestSetup::new(WINDOW.as_micros() as u64, "");
    let (server, mut engine, mut client) = setup.start_with_client();
    complete_booking(&mut client, &mut engine);
    kill(server, engine);
    std::thread::sleep(WINDOW + WINDOW / 2);
    let (_server, mut engine, mut client) = setup.start_with_client();
    client.say(&booking_request(1, 2, "5", "QUJD"));
    assert!(client.line().contains("WFla"));
    assert_no_other_run(&mut engine, &mut client, 99);
}
