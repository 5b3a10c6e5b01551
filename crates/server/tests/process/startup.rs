//! Start of the program: peers that are down or break their links, late and invalid configurations, and restarts.

use crate::common::SETTINGS;
use crate::program::program;
use crate::support::{
    GAUGE_REPLY, HEALTH_CHECK, HELLO_OF_NEW_ENGINE, HELLO_OF_RUNNING_ENGINE, INITIAL_ATTACH,
    LEAVING_NOTICE, PeerListeners, STOP_MS, completion_notice, connect_to, dependencies,
    dependencies_at, request, start_program, unreachable_address, unreachable_dependencies,
    write_configuration,
};
use madderbay_testkit::peer::{Peer, loopback_listener};
use madderbay_testkit::registry;
use madderbay_testkit::server::{Server as Program, command, configuration, write_config};
use std::io::{BufRead, BufReader};
use std::process::Output;
use std::time::{Duration, Instant};

/// All peers are down at the start, and the engine and the catalogue move to other addresses while the registry stays
/// down. The program answers health checks, rejects requests, and serves as soon as there is an engine.
#[test]
fn starts_with_all_peers_down_and_reloads_with_registry_down() {
    let mut program = start_program(unreachable_dependencies(), 128);
    program.log_at("engine: unreachable");
    let mut a = connect_to(&program);
    a.say(HEALTH_CHECK);
    assert!(a.line().contains("\"fit\":true"));
    a.say(&request(2, "quote", 1, ""));
    assert!(
        a.line().contains("-32002"),
        "not rejected although there is no engine"
    );
    let (engine, catalogue) = (loopback_listener(), loopback_listener());
    let moved = dependencies(&engine, unreachable_address(), &catalogue);
    write_configuration(&program, moved, 128);
    program.signal("-HUP");
    let mut link = Peer::accept(&engine);
    assert_eq!(link.line(), INITIAL_ATTACH);
    link.say(HELLO_OF_RUNNING_ENGINE);
    program.log_at("engine: up");
    a.say(&request(3, "quote", 2, ""));
    assert!(
        link.command()
            .contains("\"RUN\",\"call\":\"0000000000000002\"")
    );
    link.say(&completion_notice(1, 2, "AA=="));
    assert!(a.line().contains("\"id\":3,\"result\""));
    program.signal("-TERM");
    assert_eq!(a.line(), LEAVING_NOTICE);
}

/// Starts the program, which has to fail, and returns the one line that it prints. Asserts that the exit status is 2
/// if the configuration is invalid, and 1 if an address or a limit cannot be used.
fn failed_start_line(config: Option<&str>, listen: Option<&str>) -> String {
    let path = config.map(write_config);
    let mut command = command(program(), path.as_deref());
    if let Some(listen) = listen {
        command.env("RELAY_LISTEN", listen);
    }
    let Output { status, stderr, .. } = command.output().expect("the program runs");
    path.iter()
        .for_each(|p| std::fs::remove_file(p).expect("the removal succeeds"));
    let text = String::from_utf8(stderr).expect("valid UTF-8");
    assert_eq!(text.lines().count(), 1, "{text}");
    let is_address_or_limit_error = ["listen ", "limits."]
        .iter()
        .any(|what| text.contains(&format!("madderbay: {what}")));
    assert_eq!(
        status.code(),
        Some(if is_address_or_limit_error { 1 } else { 2 }),
        "{text}"
    );
    text
}

/// A start that fails prints one line, which names the invalid setting.
#[test]
fn failed_start_prints_one_line() {
    let taken = loopback_listener();
    let address = taken.local_addr().unwrap();
    let dependencies = dependencies_at(address);
    let good = configuration(&address.to_string(), dependencies, 128, STOP_MS, SETTINGS);
    assert!(failed_start_line(None, None).contains("RELAY_CONFIG"));
    assert!(failed_start_line(Some("{"), None).contains("configuration"));
    assert!(
        failed_start_line(Some(&good.replace("\"seed\":\"8c", "\"seed\":\"xx")), None)
            .contains("seed")
    );
    assert!(failed_start_line(Some(&good.replace("\"n1\"", "\"n/1\"")), None).contains("name"));
    assert!(
        failed_start_line(Some(&good.replace("\"engine\":\"", "\"engine\":\"x")), None)
            .contains("engine")
    );
    assert!(
        failed_start_line(
            Some(&good.replace("\"n_cores\": 4", "\"n_cores\": 0")),
            None
        )
        .contains("n_cores is 0")
    );
    assert!(
        failed_start_line(
            Some(&good.replace("\"sockets\":128", "\"sockets\":8")),
            None
        )
        .contains("limits.sockets 8")
    );
    // The configuration of a server without an upstream has no catalogue. Its start gets as far as binding the server's
    // own address.
    let bare = good.replace(&format!("\"catalog\":\"{address}\","), "");
    assert_ne!(bare, good);
    for config in [&good, &bare] {
        assert!(failed_start_line(Some(config), None).contains(&format!("listen {address}")));
    }
    assert!(failed_start_line(Some(&good), Some("192.0.2.1:1")).contains("192.0.2.1"));
}

/// The program waits for a configuration file that is missing, then truncated, and starts soon after the file is
/// complete.
#[test]
fn waits_for_late_configuration() {
    let (engine, catalogue) = (loopback_listener(), loopback_listener());
    let (registry, _reports) = registry::start();
    let dependencies = dependencies(&engine, registry, &catalogue);
    let complete = configuration("127.0.0.1:0", dependencies, 128, STOP_MS, SETTINGS);
    let path = write_config("");
    std::fs::remove_file(&path).expect("the removal succeeds");
    let mut command = command(program(), Some(&path));
    let mut child = command
        .env("MADDERBAY_LOG", "debug")
        .spawn()
        .expect("the process starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped standard error"))
        .lines()
        .map_while(Result::ok);
    let mut logged = |part: &str| {
        log.by_ref()
            .find(|l| l.contains(part))
            .expect("a line in its log")
    };
    logged("No such file");
    std::fs::write(&path, &complete[..complete.len() / 2]).expect("the write succeeds");
    logged("EOF while parsing");
    std::fs::write(&path, &complete).expect("the write succeeds");
    logged("server: listening");
    let mut link = Peer::accept(&engine);
    assert_eq!(link.line(), INITIAL_ATTACH);
    child.kill().expect("the process is killed");
    child.wait().expect("the process has ended");
    std::fs::remove_file(&path).expect("the removal succeeds");
}

/// The engine breaks its link, or sends nothing on it, before it is up. The registry breaks its connection, sends an
/// incomplete response and refuses a report before it accepts one. The program is still ready within 10 s.
#[test]
fn becomes_ready_although_peers_break_links() {
    let peers = PeerListeners::bind();
    let program = start_program(peers.addresses(), 128);
    let began = Instant::now();
    for broken in ["", "{\"msg\":\"HEL", "}\n"] {
        let mut link = Peer::accept(&peers.engine);
        assert_eq!(link.line(), INITIAL_ATTACH);
        link.say(broken);
    }
    for broken in [
        "",
        "HTTP/1.1 2",
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        "\u{1}\r\n\r\n",
    ] {
        let mut peer = Peer::accept(&peers.registry);
        assert!(peer.line().starts_with("PUT /v1/instances/n1 "));
        peer.say(broken);
    }
    let mut link = Peer::accept(&peers.engine);
    assert_eq!(link.line(), INITIAL_ATTACH);
    link.say(HELLO_OF_NEW_ENGINE);
    assert!(link.line().contains("STAT"));
    link.say(GAUGE_REPLY);
    let mut peer = Peer::accept(&peers.registry);
    while peer.line() != "" {}
    assert!(
        peer.bytes(17).ends_with(b"\"ready\"}"),
        "the report does not say that the server is ready"
    );
    peer.say("HTTP/1.1 204 No Content\r\n\r\n");
    let mut a = connect_to(&program);
    a.say(&request(1, "quote", 1, ""));
    assert!(link.command().contains("\"RUN\""));
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "not ready within 10 s"
    );
}

/// The program is killed several times right after it has accepted a connection with a request on it. Each next
/// incarnation listens at the same address at once, starts without state, and serves.
#[test]
fn restarts_when_killed_right_after_accept() {
    let (engine, catalogue) = (loopback_listener(), loopback_listener());
    let (registry, _reports) = registry::start();
    let dependencies = dependencies(&engine, registry, &catalogue);
    // No other test uses this address, so none can take its port between two incarnations.
    let mut listen = "127.77.2.1:0".to_string();
    for incarnation in 1..=6 {
        let text = configuration(&listen, dependencies, 128, STOP_MS, SETTINGS);
        let mut program = Program::start(program(), &text, None);
        listen = program.address.to_string();
        let mut link = Peer::accept(&engine);
        assert_eq!(link.line(), INITIAL_ATTACH);
        link.say(HELLO_OF_NEW_ENGINE);
        program.log_at("engine: up");
        let mut a = connect_to(&program);
        a.say(&request(1, "book", incarnation, "5"));
        if incarnation < 6 {
            program.signal("-KILL");
            continue;
        }
        let run = link.command();
        assert!(
            run.contains("\"RUN\",\"call\":\"0000000000000006\""),
            "{run}"
        );
        link.say(&completion_notice(1, incarnation, "WFla"));
        assert!(a.line().contains("\"id\":1,\"result\""));
    }
}
