//! Kept results on the real program, killed at chosen points, between an engine and balancers played by hand.

mod common;

use madderbay_testkit::peer::{Peer, loopback_listener};
use madderbay_testkit::server::{Dependencies, Server, configuration, write_config};
use madderbay_testkit::{WAIT_TIMEOUT, registry, unix_ms};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::mpsc::Receiver;
use std::time::Instant;

struct Place {
    folder: PathBuf,
    operator: String,
    config: String,
    engine: TcpListener,
    _reports: Receiver<String>,
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}

impl Place {
    fn new(window_us: u64, more: &str) -> Place {
        let folder = write_config("");
        std::fs::remove_file(&folder).expect("removed");
        std::fs::create_dir(&folder).expect("made");
        let engine = loopback_listener();
        let (registry, reports) = registry::start();
        let catalogue = loopback_listener().local_addr().unwrap();
        let others = Dependencies {
            engine: engine.local_addr().unwrap(),
            registry,
            catalogue,
        };
        let settings = common::SETTINGS.replace(
            "\"repeat_window_us\": 10000000",
            &format!("\"repeat_window_us\": {window_us}"),
        );
        let operator = format!(
            "[kept-results]\nenabled = on\ndirectory = {}\n{more}",
            folder.display()
        );
        let config = configuration("127.0.0.1:0", others, 128, 800, &settings);
        Place {
            folder,
            operator,
            config,
            engine,
            _reports: reports,
        }
    }

    /// One more life, its engine linked and its gauges told once.
    fn live(&self) -> (Server, Peer) {
        let server = Server::start(program(), &self.config, Some(&self.operator));
        let mut engine = Peer::accept(&self.engine);
        assert_eq!(engine.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
        engine.say("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
        let stat = engine.line();
        assert!(stat.contains("STAT"), "{stat}");
        engine.say("{\"msg\":\"STATS\",\"cookie\":\"1\",\"stats\":[0.1,1,0.1,1]}\n");
        (server, engine)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn balancer(server: &Server) -> Peer {
    Peer::new(TcpStream::connect(server.address).expect("a connection"))
}

fn book(id: u32, own: u32, key: &str, body: &str) -> String {
    let now = unix_ms();
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"book\",\"params\":{{\"ref\":\"{own:016x}\",\
         \"since\":{now},\"sender\":4,\"project\":\"acme\",\"allow\":8000,\"replay\":\"{key:0>32}\",\
         \"room\":24.5,\"bytes\":\"{body}\"}}}}\n"
    )
}

fn done(serial: u32, own: u32, blob: &str) -> String {
    format!(
        "{{\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"{own:016x}\",\"how\":\"good\",\"duration\":9,\
         \"blob\":\"{blob}\"}}\n"
    )
}

/// The first try of key 5 is run and done.
fn booked(asker: &mut Peer, engine: &mut Peer) {
    asker.say(&book(1, 1, "5", "QUJD"));
    assert!(
        engine
            .command()
            .contains("\"RUN\",\"call\":\"0000000000000001\"")
    );
    engine.say(&done(1, 1, "WFla"));
    assert!(asker.line().contains("WFla"));
}

fn killed(server: Server, engine: Peer) {
    server.signal("-KILL");
    drop((server, engine));
}

/// Nothing more is run: after a round trip through the server no command but questions has come.
fn nothing_runs(engine: &mut Peer, asker: &mut Peer, id: u32) {
    asker.say(&format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"quote\",\"params\":{{\"ref\":\
                        \"{id:016x}\",\"since\":{},\"sender\":4,\"project\":\"acme\",\"allow\":8000,\
                        \"room\":24.5,\"bytes\":\"QUJD\"}}}}\n",
        unix_ms()
    ));
    let next = engine.command();
    assert!(
        next.contains("\"RUN\"") && next.contains(&format!("{id:016x}")),
        "{next}"
    );
}

/// Killed after the answer: repeats over two connections at once have the result; another body is refused.
#[test]
fn a_result_outlasts_its_process() {
    let place = Place::new(30_000_000, "");
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    booked(&mut a, &mut engine);
    killed(server, engine);
    let (server, mut engine) = place.live();
    let known = "idempotency-store: recovered, requests=1, records=2, segments=1, torn_segments=0,";
    assert!(server.before[0].contains(known), "{:?}", server.before);
    let (mut a, mut b) = (balancer(&server), balancer(&server));
    a.say(&book(1, 2, "5", "QUJD"));
    b.say(&book(7, 3, "5", "QUJD"));
    assert_eq!(
        a.line(),
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"bytes\":\"WFla\"}}"
    );
    assert!(b.line().contains("\"id\":7,\"result\":{\"bytes\":\"WFla\""));
    b.say(&book(8, 4, "5", "QUJE"));
    assert!(b.line().contains("replay came with another body"));
    nothing_runs(&mut engine, &mut b, 99);
}

/// Killed while it runs: its repeats are errored and never run, in the next life and the one after, until the
/// engine proves that the run went on; then they have its result, in that life and the next.
#[test]
fn what_may_have_run_is_never_run_again() {
    let place = Place::new(30_000_000, "");
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    a.say(&book(1, 1, "5", "QUJD"));
    a.say(&book(2, 2, "6", "QUJD"));
    assert!(engine.command().contains("\"RUN\"") && engine.command().contains("\"RUN\""));
    // A repeat while the first try still runs waits for it.
    a.say(&book(3, 3, "5", "QUJD"));
    killed(server, engine);
    for _ in 0..2 {
        let (server, mut engine) = place.live();
        let mut a = balancer(&server);
        for (id, key) in [(1, "5"), (2, "6")] {
            a.say(&book(id, 10 + id, key, "QUJD"));
            assert!(a.line().contains("\"error\":{\"code\":-32001"));
        }
        nothing_runs(&mut engine, &mut a, 99);
        server.signal("-KILL");
    }
    let (mut server, mut engine) = place.live();
    let mut a = balancer(&server);
    engine.say(&done(1, 1, "WFla"));
    // It is written before it is told: asked until then, however fast the asking and slow the disk.
    let (mut id, began) = (0, Instant::now());
    loop {
        id += 1;
        a.say(&book(id, 20 + id, "5", "QUJD"));
        let answer = a.line();
        if answer.contains("\"result\"") {
            assert!(answer.contains("WFla"));
            break;
        }
        assert!(
            answer.contains("-32001") && began.elapsed() < WAIT_TIMEOUT,
            "{id}: {answer}"
        );
    }
    killed(server, engine);
    (server, engine) = place.live();
    let mut a = balancer(&server);
    a.say(&book(1, 30, "5", "QUJD"));
    assert!(a.line().contains("WFla"));
    a.say(&book(2, 31, "6", "QUJD"));
    assert!(a.line().contains("-32001"));
    nothing_runs(&mut engine, &mut a, 99);
}

/// A command that the engine knows nothing of never ran: after a restart, too, a further try is a new one.
#[test]
fn what_never_ran_may_run() {
    let place = Place::new(30_000_000, "");
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    a.say(&book(1, 1, "5", "QUJD"));
    assert!(engine.command().contains("\"RUN\""));
    engine.say("{\"msg\":\"NO\",\"how\":\"RUN\",\"call\":\"0000000000000001\"}\n");
    assert!(a.line().contains("-32002"));
    // The next promise lasts only after what was told before it.
    a.say(&book(2, 2, "6", "QUJD"));
    assert!(engine.command().contains("\"RUN\""));
    killed(server, engine);
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    a.say(&book(1, 3, "5", "QUJD"));
    assert!(
        engine
            .command()
            .contains("\"RUN\",\"call\":\"0000000000000003\"")
    );
}

/// A hundred thousand keys held at a restart: each is known, and the server listens soon.
#[test]
fn a_hundred_thousand_keys_at_a_restart() {
    use madderbay_idempotency_store::record::Record;
    use madderbay_idempotency_store::storage::DirectoryStorage;
    use madderbay_idempotency_store::write_ahead_log::{LogEntry, LogLimits, WriteAheadLog};
    let place = Place::new(30_000_000, "disk_mb = 64\n");
    {
        let storage = DirectoryStorage::open(&place.folder).expect("opened");
        let limits = LogLimits {
            disk_bytes: 64 << 20,
            retention_micros: 30_000_000,
        };
        let (mut log, _) = WriteAheadLog::open(storage, 1, limits).expect("read");
        let expires_at_micros = 30_000_001;
        for part in 0..100u128 {
            let entries: Vec<_> = (0..1_000u128)
                .flat_map(|k| {
                    let key = part * 1_000 + k;
                    let intent = Record::Intent {
                        key,
                        request_hash: 0,
                        expires_at_micros,
                        attempt_id: [b'0'; 16],
                    };
                    let result = b"\"WFla\""[..].into();
                    [intent, Record::Completed { key, result }]
                })
                .map(|record| LogEntry {
                    record,
                    expires_at_micros,
                })
                .collect();
            log.commit(1, &entries).expect("written");
        }
    }
    let (server, _engine) = place.live();
    let known = "idempotency-store: recovered, requests=100000, records=200000,";
    assert!(server.before[0].contains(known), "{:?}", server.before);
    let mut a = balancer(&server);
    // Known, though under another print than this body's: refused, not run.
    a.say(&book(1, 1, "1869f", "QUJD"));
    assert!(a.line().contains("replay came with another body"));
}

fn refused(place: &Place) -> String {
    let config = write_config(&place.config);
    let operator = write_config(&place.operator);
    let found = Command::new(program())
        .env("RELAY_CONFIG", &config)
        .env_remove("MADDERBAY_OPERATOR")
        .arg("--operator")
        .arg(&operator)
        .output()
        .expect("it runs");
    [config, operator]
        .iter()
        .for_each(|f| std::fs::remove_file(f).expect("removed"));
    assert_eq!(found.status.code(), Some(2));
    let text = String::from_utf8(found.stderr).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

/// A folder that is missing, another's, or of a newer version is told in a line, and nothing starts.
#[test]
fn a_folder_that_can_not_be_had() {
    let place = Place::new(30_000_000, "");
    let (server, engine) = place.live();
    assert!(refused(&place).contains("another process has it"));
    drop((server, engine));
    let mut newer = vec![];
    madderbay_idempotency_store::segment::write_segment_header_of_version(9, &mut newer);
    std::fs::write(place.folder.join("kept-00000000000000ff"), &newer).expect("written");
    assert!(
        refused(&place).contains("kept-00000000000000ff: is of version 9; this program knows 1")
    );
    std::fs::remove_dir_all(&place.folder).expect("removed");
    assert!(refused(&place).contains("No such file"));
}

/// `kept list`, `verify` and `export` tell what a folder holds, also while a server has it.
#[test]
fn a_folder_is_told_about() {
    let place = Place::new(30_000_000, "");
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    booked(&mut a, &mut engine);
    a.say(&book(2, 2, "6", "QUJD"));
    assert!(engine.command().contains("\"RUN\""));
    let told = |order: &str| {
        let found = Command::new(program())
            .args(["kept", order])
            .arg(&place.folder)
            .output()
            .expect("it runs");
        let text = String::from_utf8([found.stdout, found.stderr].concat()).expect("text");
        (
            found.status.code(),
            text.lines().map(str::to_string).collect::<Vec<_>>(),
        )
    };
    let (status, lines) = told("list");
    assert_eq!((status, lines.len()), (Some(0), 3), "{lines:?}");
    assert!(
        lines[0].starts_with(&format!("{:032x} done ", 5)),
        "{lines:?}"
    );
    assert!(
        lines[1].starts_with(&format!("{:032x} may-have-run ", 6)),
        "{lines:?}"
    );
    assert_eq!(
        lines[2],
        "2 keyed reqs in 3 records, 1 segments, 0 torn bytes"
    );
    let (status, lines) = told("export");
    assert_eq!(status, Some(0));
    let first: serde_json::Value = serde_json::from_str(&lines[0]).expect("JSON");
    assert_eq!(
        (first["state"].as_str(), first["result"].as_str()),
        (Some("done"), Some("\"WFla\""))
    );
    assert_eq!(told("verify"), (Some(0), vec![]));
    let mut torn = vec![];
    madderbay_idempotency_store::segment::write_segment_header(&mut torn);
    torn.extend_from_slice(b"garbage");
    std::fs::write(place.folder.join("kept-00000000000000ff"), &torn).expect("written");
    let (status, lines) = told("verify");
    assert_eq!((status, lines.len()), (Some(1), 1), "{lines:?}");
    assert!(
        lines[0].contains("after 0 whole records 7 bytes from 12 on are none"),
        "{lines:?}"
    );
}

/// A window that ends while the server is down: no time of a former life is trusted, so its result is still
/// known.
#[test]
fn a_window_that_ends_during_the_restart() {
    let place = Place::new(100_000, "");
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    booked(&mut a, &mut engine);
    killed(server, engine);
    std::thread::sleep(std::time::Duration::from_millis(150));
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    a.say(&book(1, 2, "5", "QUJD"));
    assert!(a.line().contains("WFla"));
    nothing_runs(&mut engine, &mut a, 99);
}

/// Killed while it recovers, again and again, at whatever point that is: nothing is lost by it.
#[test]
fn killed_during_recovery() {
    let place = Place::new(30_000_000, "");
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    for (id, key) in [(1, "5"), (2, "6")] {
        a.say(&book(id, id, key, "QUJD"));
        assert!(engine.command().contains("\"RUN\""));
    }
    engine.say(&done(1, 1, "WFla"));
    assert!(a.line().contains("WFla"));
    killed(server, engine);
    let (config, operator) = (write_config(&place.config), write_config(&place.operator));
    for n in 0..12u64 {
        let mut life = madderbay_testkit::server::command(program(), Some(&config))
            .arg("--operator")
            .arg(&operator)
            .spawn()
            .expect("it starts");
        std::thread::sleep(std::time::Duration::from_micros(n * 500));
        life.kill().and_then(|()| life.wait()).expect("killed");
    }
    [config, operator]
        .iter()
        .for_each(|f| std::fs::remove_file(f).expect("removed"));
    // Some came as far as the engine: those links are dead.
    place.engine.set_nonblocking(true).expect("set");
    while place.engine.accept().is_ok() {}
    place.engine.set_nonblocking(false).expect("set");
    let (server, mut engine) = place.live();
    let mut a = balancer(&server);
    a.say(&book(1, 11, "5", "QUJD"));
    assert!(a.line().contains("WFla"));
    a.say(&book(2, 12, "6", "QUJD"));
    assert!(a.line().contains("-32001"));
    nothing_runs(&mut engine, &mut a, 99);
}

/// Killed at seeded moments while it books, started again, and every try repeated: between promise, run,
/// result, sync and answer. The engine is one that goes on by itself, and counts.
#[test]
fn killed_at_any_moment() {
    use madderbay_testkit::engine::{Engine, HandlerWork};
    let mut chance = oorandom::Rand64::new(11);
    for history in 0..20u32 {
        let mut place = Place::new(30_000_000, "");
        let works = vec![HandlerWork {
            handler: "book".into(),
            ms: (1.0, 8.0),
            calls: false,
        }];
        let engine = Engine::start(4.0, works, u64::from(history));
        let by_hand = place.engine.local_addr().unwrap().to_string();
        place.config = place.config.replace(&by_hand, &engine.address.to_string());
        let mut done = [false; 4];
        for life in 0..3u32 {
            let mut server = Server::start(program(), &place.config, Some(&place.operator));
            server.log_at("engine: up");
            let mut a = balancer(&server);
            for n in 0..4u32 {
                // Each key has a body of its own, which the engine counts by.
                let key = format!("{}", n + 1);
                a.say(&book(
                    n + 1,
                    history * 100 + life * 10 + n,
                    &key,
                    ["QUJD", "QUJE", "QUJF", "QUJG"][n as usize],
                ));
            }
            if life < 2 {
                std::thread::sleep(std::time::Duration::from_micros(
                    chance.rand_range(0..20_000),
                ));
                server.signal("-KILL");
            }
            for _ in 0..4 {
                let mut line = String::new();
                if std::io::BufRead::read_line(&mut a.0, &mut line).unwrap_or(0) == 0 {
                    break;
                }
                let said: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
                let Some(n) = said["id"].as_u64() else {
                    continue;
                };
                let now = said["result"].is_object();
                assert!(
                    now || !done[n as usize - 1],
                    "history {history}: a key that was done is not: {line}"
                );
                done[n as usize - 1] |= now;
            }
        }
        let ran = engine.stats().bodies;
        assert!(ran.values().all(|n| *n == 1), "history {history}: {ran:?}");
    }
}
