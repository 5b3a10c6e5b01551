//! The view of the fleet in the real program: its control socket and command line, a flood of strangers, and
//! the rules of reqs while views are wrong.

mod common;

use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup, Script, run_script};
use madderbay_testkit::load_balancer::{Load, RequestKind, rule_violations};
use madderbay_testkit::server::{self, command};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::Output;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration as StdDuration, Instant};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}

fn works() -> Vec<HandlerWork> {
    let of = |handler: &str, calls| HandlerWork {
        handler: handler.into(),
        ms: (2.0, 6.0),
        calls,
    };
    vec![of("search", true), of("quote", false), of("book", true)]
}

fn stand(script: &str) -> (Script, ProcessFleet) {
    let script = Script::read("test", script).expect("a script");
    let stand = ProcessFleet::new(
        script.setup.clone(),
        program(),
        common::SETTINGS,
        &works(),
        7,
    );
    (script, stand)
}

fn query_cli(socket: &Path, flags: &[&str]) -> Output {
    command(program(), None)
        .args(["members", "--socket"])
        .arg(socket)
        .args(flags)
        .stdout(std::process::Stdio::piped())
        .output()
        .expect("it runs")
}

#[test]
fn what_a_server_holds_is_told_by_the_command_line() {
    let (script, mut stand) = stand("servers 3\nstart all\nsettle 20s");
    run_script(&script, &mut stand).expect("settled");
    let told = query_cli(stand.socket(1), &["--json"]);
    assert!(told.status.success());
    let text = String::from_utf8(told.stdout).expect("text");
    assert_eq!(text.lines().count(), 1);
    let whole: serde_json::Value = serde_json::from_str(&text).expect("an object");
    assert_eq!(
        (&whole["name"], &whole["hears"]),
        (&"n2".into(), &"whole".into())
    );
    let members = whole["members"].as_array().expect("members");
    let named = |m: &serde_json::Value| m["name"].as_str().unwrap_or_default().to_string();
    assert_eq!(
        members.iter().map(named).collect::<Vec<_>>(),
        ["n1", "n2", "n3"]
    );
    assert!(
        members
            .iter()
            .all(|m| m["state"] == "alive" && m["zone"] == "north"),
        "{text}"
    );
    let text = String::from_utf8(query_cli(stand.socket(1), &[]).stdout).expect("text");
    assert!(
        text.starts_with("n2 hears whole since ") && text.lines().count() == 4,
        "{text}"
    );
    // Nobody there.
    let missing = query_cli(Path::new("/nonexistent.sock"), &[]);
    assert_eq!(missing.status.code(), Some(1));
    let why = String::from_utf8(missing.stderr).expect("text");
    assert!(
        why.starts_with("madderbay: /nonexistent.sock: ") && why.lines().count() == 1,
        "{why}"
    );
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("madderbay-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Starts a server that has only a control socket.
fn with_socket(path: &Path) -> server::Server {
    let (registry, reports) = madderbay_testkit::registry::start();
    std::mem::forget(reports);
    let others = server::Dependencies {
        engine: registry,
        registry,
        catalogue: registry,
    };
    let text = server::configuration("127.0.0.1:0", others, 128, 300, common::SETTINGS);
    server::Server::start(
        program(),
        &text,
        Some(&format!("[control]\nsocket = {}\n", path.display())),
    )
}

#[test]
fn the_control_socket_is_the_users_own_and_only_a_dead_ones_file_is_replaced() {
    let folder = folder("control");
    let path = folder.join("c.sock");
    // What a killed server leaves: a file that nobody listens at.
    drop(UnixListener::bind(&path).expect("bound"));
    assert!(path.exists());
    let first = with_socket(&path);
    let mode = std::fs::metadata(&path)
        .expect("a file")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let wrong = query_cli(&path, &[]);
    let why = String::from_utf8(wrong.stderr).expect("text");
    assert!(why.contains("no [members] in the operator file"), "{why}");
    // A second server leaves the first one's socket alone, and says so.
    let config = std::fs::read_to_string(&first.path).expect("its configuration");
    let config = server::write_config(&config);
    let operator = server::write_config(&format!("[control]\nsocket = {}\n", path.display()));
    let second = command(program(), Some(&config))
        .arg("--operator")
        .arg(&operator)
        .output()
        .expect("it runs");
    assert_eq!(second.status.code(), Some(1));
    let why = String::from_utf8_lossy(&second.stderr).to_string();
    assert!(why.contains("another process listens there"), "{why}");
    assert!(UnixStream::connect(&path).is_ok());
    first.signal("-TERM");
    first.ended();
    assert!(!path.exists(), "removed at the end");
    // A file that is no socket is nobody's to replace.
    std::fs::write(&path, "precious").expect("written");
    let third = command(program(), Some(&config))
        .arg("--operator")
        .arg(&operator)
        .output()
        .expect("it runs");
    assert!(String::from_utf8_lossy(&third.stderr).contains("is no socket"));
    assert_eq!(
        std::fs::read_to_string(&path).expect("still there"),
        "precious"
    );
    for file in [config, operator] {
        let _ = std::fs::remove_file(file);
    }
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn questions_of_every_kind_and_those_who_ask_and_hang() {
    let folder = folder("asked");
    let path = folder.join("c.sock");
    let server = with_socket(&path);
    let asked = |question: &[u8]| {
        let mut stream = UnixStream::connect(&path).expect("connected");
        stream.write_all(question).expect("asked");
        let mut lines = BufReader::new(stream).lines();
        (
            lines.next().expect("a line").expect("text"),
            lines.next().expect("a line").expect("text"),
        )
    };
    for (question, wrong) in [
        (
            &b"{\"ask\":\"secrets\"}\n"[..],
            "members, shared and routes can be asked for",
        ),
        (
            b"what?\n",
            "a question is a line as {\\\"ask\\\":\\\"members\\\"}",
        ),
        (&[b'x'; 400], "a question is a line of 255 bytes at most"),
    ] {
        let (line, end) = asked(question);
        assert!(line.contains(wrong), "{line}");
        assert_eq!(end, "{\"end\":true}");
    }
    // Three that say nothing leave a place for one that does.
    let mut hung: Vec<UnixStream> = (0..3)
        .map(|_| UnixStream::connect(&path).expect("connected"))
        .collect();
    assert!(asked(b"{\"ask\":\"members\"}\n").0.contains("no [members]"));
    // Each of them is let go in its term.
    let mut rest = vec![];
    hung[0]
        .set_read_timeout(Some(madderbay_testkit::WAIT_TIMEOUT))
        .expect("a time-out");
    hung[0].read_to_end(&mut rest).expect("closed");
    assert!(rest.is_empty());
    drop(server);
    let _ = std::fs::remove_dir_all(folder);
}

/// Sends what is no datagram of the fleet's to a server for as long as the flag is up.
fn flood(to: SocketAddr, on: &AtomicBool) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (began, mut sent) = (Instant::now(), 0u64);
    while on.load(Ordering::Relaxed) {
        while sent < (began.elapsed().as_secs_f64() * 10_000.0) as u64 {
            let _ = socket.send_to(&[sent as u8; 200], to);
            sent += 1;
        }
        std::thread::sleep(StdDuration::from_micros(500));
    }
    sent
}

fn kinds() -> Vec<RequestKind> {
    let kind = |handler: &str, part, keyed| RequestKind {
        handler: handler.into(),
        part,
        target: StdDuration::from_secs(2),
        keyed,
        project: "acme",
    };
    vec![
        kind("search", 0.4, false),
        kind("quote", 0.4, false),
        kind("book", 0.2, true),
    ]
}

/// Load on one server while something goes on: how many reqs, and what was broken of the rules.
fn loaded(server: SocketAddr, engine: &Engine, secs: u64, seed: u64) -> (usize, Vec<String>) {
    let load = Load {
        kinds: kinds(),
        rates: vec![(StdDuration::ZERO, 60.0)],
        length: StdDuration::from_secs(secs),
        seed,
        allow_ms: 5_000,
    };
    let records = load.run(server, |name| engine.answered(name), |_| ());
    (
        records.len(),
        rule_violations(&records, &load.kinds, &engine.stats().bodies),
    )
}

#[test]
fn a_flood_of_strangers_costs_no_req_its_answer_and_no_server_its_place() {
    let (script, mut stand) = stand("servers 3\nstart all\nsettle 20s");
    run_script(&script, &mut stand).expect("settled");
    let on = AtomicBool::new(true);
    let heard_at = stand.heard_at(0).expect("it hears");
    let (sent, (reqs, broken)) = std::thread::scope(|scope| {
        let flood = scope.spawn(|| flood(heard_at, &on));
        let address = stand.server(0).expect("it runs").address;
        let found = loaded(address, stand.engine(0), 4, 11);
        on.store(false, Ordering::Relaxed);
        (flood.join().expect("flooded"), found)
    });
    assert!(
        sent > 10_000 && reqs > 100,
        "{sent} datagrams beside {reqs} reqs"
    );
    assert!(broken.is_empty(), "{broken:?}");
    run_script(
        &Script {
            setup: FleetSetup::of(3),
            steps: vec![(0, settle(10))],
        },
        &mut stand,
    )
    .expect("settled");
}

fn settle(secs: u64) -> madderbay_testkit::fleet::script::Step {
    let term = madderbay::time::Duration::from_millis(secs * 1_000);
    madderbay_testkit::fleet::script::Step::Within(Condition::Settled, term)
}

/// Each server keeps the rules alone, whatever it believes of the others: while they are cut, paused, killed
/// and lied to by the network.
#[test]
fn rules_are_kept_while_views_are_wrong() {
    let (script, mut stand) =
        stand("servers 4\nset memory=2s\nloss 0.1\nspoil 0.05\ndouble 0.1\nstart all\nsettle 30s");
    run_script(&script, &mut stand).expect("settled");
    let faults = Script::read(
        "faults",
        "servers 4\ncut n1 n2 | n3 n4\nsees n1 n3 down 20s\nkill n4\nreplay n1\nheal\nstop n2\n\
         sees n1 n2 suspect 20s\ncontinue n2\nstart n4\noneway n1 > n2 n3 n4\nreplay n1\nheal\nsettle 40s",
    );
    let faults = faults.expect("a script");
    // The load goes to the first server, which every fault concerns and none ends.
    let load = stand.server(0).expect("it runs").address;
    let engine = stand.engine(0).clone();
    let over = AtomicBool::new(false);
    let (played, rounds) = std::thread::scope(|scope| {
        let loading = scope.spawn(|| {
            let mut rounds = vec![];
            while rounds.is_empty() || !over.load(Ordering::Relaxed) {
                let seed = rounds.len() as u64;
                rounds.push(loaded(load, &engine, 2, seed));
            }
            rounds
        });
        let played = run_script(&faults, &mut stand);
        over.store(true, Ordering::Relaxed);
        (played, loading.join().expect("loaded"))
    });
    played.expect("every condition came");
    let broken: Vec<&String> = rounds.iter().flat_map(|r| &r.1).collect();
    assert!(broken.is_empty(), "{broken:?}");
    assert!(rounds.iter().map(|r| r.0).sum::<usize>() > 100);
}

/// Without the section nothing is opened and nothing is sent.
#[test]
fn off_means_no_socket() {
    let (registry, _reports) = madderbay_testkit::registry::start();
    let others = server::Dependencies {
        engine: registry,
        registry,
        catalogue: registry,
    };
    let text = server::configuration("127.0.0.1:0", others, 128, 300, common::SETTINGS);
    let heard = "[members]\nenabled = off\nlisten = 127.0.0.1:0\nadvertise = 127.0.0.1:1\n";
    for operator in [None, Some(heard)] {
        let server = server::Server::start(program(), &text, operator);
        let own = |kind: &str| {
            let table = std::fs::read_to_string(format!("/proc/{}/net/{kind}", server.pid()))
                .expect("a table");
            let held =
                std::fs::read_dir(format!("/proc/{}/fd", server.pid())).expect("descriptors");
            let held: Vec<String> = held
                .flatten()
                .filter_map(|f| {
                    Some(
                        std::fs::read_link(f.path())
                            .ok()?
                            .to_string_lossy()
                            .to_string(),
                    )
                })
                .collect();
            let inode = |l: &str| l.split_whitespace().nth(9).map(|i| format!("socket:[{i}]"));
            table
                .lines()
                .skip(1)
                .filter_map(inode)
                .filter(|i| held.contains(i))
                .count()
        };
        assert_eq!(own("udp") + own("udp6"), 0);
        assert!(own("tcp") > 0, "its sockets are found");
    }
}

/// A drain is told before the end, and the end itself.
#[test]
fn leaving_is_told() {
    let (script, mut stand) =
        stand("servers 3\nstart all\nsettle 20s\ndrain n3\nsees all n3 left 10s\nsettle 10s");
    run_script(&script, &mut stand).expect("told");
    stand.act(&Action::Kill(1)).expect("killed");
    let script = Script::read("end", "servers 3\nsees n1 n2 down 20s").expect("a script");
    run_script(&script, &mut stand).expect("told");
}
