//! The real binary on loopback, between small stand-ins of engine, catalogue, registry and balancer.

mod common;

use madderbay_testkit::peer::{Peer, local};
use madderbay_testkit::server::{self, Others, configuration, written};
use madderbay_testkit::{PATIENCE, registry, unix_ms};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::process::Output;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Time between the notice to leave and the kill.
const STOP_MS: u64 = 800;

/// The program between an engine and a catalogue that are played by hand.
struct Server {
    program: server::Server,
    engine: TcpListener,
    catalogue: TcpListener,
    reports: Receiver<String>,
}

impl Deref for Server {
    type Target = server::Server;
    fn deref(&self) -> &server::Server {
        &self.program
    }
}

impl DerefMut for Server {
    fn deref_mut(&mut self) -> &mut server::Server {
        &mut self.program
    }
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}

fn among(engine: &TcpListener, registry: SocketAddr, catalogue: &TcpListener) -> Others {
    let at = |l: &TcpListener| l.local_addr().expect("an address");
    Others {
        engine: at(engine),
        registry,
        catalogue: at(catalogue),
    }
}

impl Server {
    fn start(sockets: usize) -> Server {
        Server::set(sockets, None)
    }

    fn set(sockets: usize, operator: Option<&str>) -> Server {
        let (engine, catalogue) = (local(), local());
        let (registry, reports) = registry::start();
        let settings =
            common::SETTINGS.replace("\"drain_grace_us\": 2000000", "\"drain_grace_us\": 50000");
        let others = among(&engine, registry, &catalogue);
        let text = configuration("127.0.0.1:0", others, sockets, STOP_MS, &settings);
        let program = server::Server::start(program(), &text, operator);
        Server {
            program,
            engine,
            catalogue,
            reports,
        }
    }

    fn link(&self, attach: &str) -> Peer {
        let mut engine = Peer::accept(&self.engine);
        assert_eq!(engine.line(), attach);
        engine.say("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
        engine
    }

    fn balancer(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).expect("a connection"))
    }

    /// The rest of the log after the server has ended by itself.
    fn ended(self) -> String {
        self.program.ended()
    }
}

fn req(id: u32, method: &str, own: u32, replay: &str) -> String {
    let now = unix_ms();
    let key = if replay.is_empty() {
        String::new()
    } else {
        format!("\"replay\":\"{replay:0>32}\",")
    };
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{{\"ref\":\"{own:016x}\",\
         \"since\":{now},\"sender\":4,\"project\":\"acme\",\"allow\":8000,{key}\"room\":24.5,\
         \"bytes\":\"QUJD\"}}}}\n"
    )
}

fn done(serial: u32, own: u32, blob: &str) -> String {
    let about = format!("\"serial\":{serial},\"call\":\"{own:016x}\",\"how\":\"good\"");
    format!("{{\"msg\":\"DONE\",{about},\"duration\":9,\"blob\":\"{blob}\"}}\n")
}

#[test]
fn serves_through_a_lost_link_and_drains() {
    let server = Server::start(128);
    let mut engine = server.link("{\"msg\":\"ATTACH\",\"serial\":0}");
    assert_eq!(
        server.reports.recv().unwrap(),
        "PUT /v1/instances/n1 HTTP/1.1 {\"state\":\"ready\"}"
    );
    let mut a = server.balancer();
    // Done, with a call on the way.
    a.say(&req(1, "search", 1, ""));
    assert_eq!(
        engine.command(),
        "{\"msg\":\"RUN\",\"call\":\"0000000000000001\",\"service\":\"search\",\"blob\":\"QUJD\"}"
    );
    engine.say("{\"msg\":\"NEED\",\"serial\":1,\"call\":\"0000000000000001\",\"blob\":\"YWJj\"}\n");
    let mut catalogue = Peer::accept(&server.catalogue);
    let fetch = catalogue.line();
    assert!(
        fetch.starts_with("FETCH 0000000000000001 ") && fetch.ends_with(" 3"),
        "{fetch}"
    );
    assert_eq!(catalogue.line(), "abc");
    catalogue.say("0000000000000001 DATA 3\r\nxyz\r\n");
    assert_eq!(
        engine.command(),
        "{\"msg\":\"FEED\",\"call\":\"0000000000000001\",\"blob\":\"eHl6\"}"
    );
    engine.say(&done(2, 1, "WFla"));
    assert_eq!(
        a.line(),
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"bytes\":\"WFla\"}}"
    );
    // The link is lost in a run, and a second try joins it meanwhile.
    a.say(&req(2, "book", 2, "5"));
    assert!(
        engine
            .command()
            .contains("\"RUN\",\"call\":\"0000000000000002\"")
    );
    drop(engine);
    let mut engine = server.link("{\"msg\":\"ATTACH\",\"serial\":2}");
    a.say(&req(3, "book", 3, "5"));
    engine.say(&done(3, 2, "AA=="));
    for id in [2, 3] {
        assert_eq!(
            a.line(),
            format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"bytes\":\"AA==\"}}}}")
        );
    }
    // Notice to leave: told to all, what is open is answered, then the process ends.
    a.say(&req(4, "quote", 4, ""));
    assert!(
        engine
            .command()
            .contains("\"RUN\",\"call\":\"0000000000000004\"")
    );
    server.signal("-USR1");
    server.signal("-TERM");
    assert_eq!(a.line(), "{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}");
    while !server.reports.recv().unwrap().contains("draining") {}
    engine.say(&done(4, 4, "AA=="));
    assert!(
        a.line()
            .starts_with("{\"jsonrpc\":\"2.0\",\"id\":4,\"result\"")
    );
    drop(a);
    let log = server.ended();
    assert!(
        log.contains("counter open 1\n"),
        "counters on request: {log}"
    );
    for line in [
        "answered.done 4",
        "joined 1",
        "open 0",
        "runs.started 3",
        "calls.done 1",
        "engine.links_lost 1",
    ] {
        assert!(
            log.contains(&format!("counter {line}\n")),
            "{line} in {log}"
        );
    }
}

/// On SIGHUP the addresses in the file are taken: runs go on over the new engine's link, calls and reports go
/// to the new places. A file that can't be read changes nothing, and neither ends the process.
#[test]
fn a_reload_moves_to_new_addresses() {
    let mut server = Server::start(128);
    let mut engine = server.link("{\"msg\":\"ATTACH\",\"serial\":0}");
    let mut a = server.balancer();
    a.say(&req(1, "search", 1, ""));
    assert!(engine.command().contains("\"RUN\""));
    engine.say("{\"msg\":\"NEED\",\"serial\":1,\"call\":\"0000000000000001\",\"blob\":\"YWJj\"}\n");
    let mut catalogue = Peer::accept(&server.catalogue);
    assert!(catalogue.line().starts_with("FETCH"));
    server.log_at("engine: up");
    std::fs::write(&server.path, "{\"name\":\"n1\",").unwrap();
    server.signal("-HUP");
    server.log_at("nothing is changed");
    let (new_engine, new_catalogue, (registry, reports)) = (local(), local(), registry::start());
    let others = among(&new_engine, registry, &new_catalogue);
    std::fs::write(
        &server.path,
        configuration("127.0.0.1:0", others, 64, STOP_MS, common::SETTINGS),
    )
    .unwrap();
    server.signal("-HUP");
    server.log_at("reload: limits has changed, which only a restart can take");
    server.log_at("reload: settings has changed, which only a restart can take");
    // The old call is still good; the new link takes up where the old one was read, and what came while it was
    // not up yet is sent on it. (What left on the old one may have been read: tests/scenarios/link-fed.txt.)
    let mut engine = Peer::accept(&new_engine);
    assert_eq!(engine.line(), "{\"msg\":\"ATTACH\",\"serial\":1}");
    catalogue.say("0000000000000001 DATA 3\r\nxyz\r\n");
    engine.say("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
    assert!(engine.command().contains("\"FEED\""));
    engine.say("{\"msg\":\"NEED\",\"serial\":2,\"call\":\"0000000000000001\",\"blob\":\"YWJj\"}\n");
    let mut catalogue = Peer::accept(&new_catalogue);
    assert!(catalogue.line().starts_with("FETCH"));
    engine.say(&done(3, 1, "WFla"));
    assert!(a.line().contains("\"result\""));
    assert!(reports.recv_timeout(PATIENCE).unwrap().contains("ready"));
}

/// Shed while the engine is not up, errored as the run did, partial once the catalogue shed its call twice.
/// An address that nobody listens at: the tests' own ports are never so low.
fn dead() -> std::net::SocketAddr {
    ([127, 77, 0, 1], 1).into()
}

/// All that it is to talk with is down at the start, and moves while the registry stays down: it answers checks,
/// sheds what comes, and serves as soon as there is an engine.
#[test]
fn a_start_with_all_others_dead_and_a_reload_with_the_registry_down() {
    let others = Others {
        engine: dead(),
        registry: dead(),
        catalogue: dead(),
    };
    let text = configuration("127.0.0.1:0", others, 128, STOP_MS, common::SETTINGS);
    let mut program = server::Server::start(program(), &text, None);
    program.log_at("engine: can't be reached");
    let mut a = Peer::new(TcpStream::connect(program.address).expect("a connection"));
    a.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
    assert!(a.line().contains("\"fit\":true"));
    a.say(&req(2, "quote", 1, ""));
    assert!(a.line().contains("-32002"), "shed while there is no engine");
    let (engine, catalogue) = (local(), local());
    let moved = Others {
        engine: engine.local_addr().expect("an address"),
        registry: dead(),
        catalogue: catalogue.local_addr().expect("an address"),
    };
    std::fs::write(
        &program.path,
        configuration("127.0.0.1:0", moved, 128, STOP_MS, common::SETTINGS),
    )
    .expect("written");
    program.signal("-HUP");
    let mut link = Peer::accept(&engine);
    assert_eq!(link.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
    link.say("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
    program.log_at("engine: up");
    a.say(&req(3, "quote", 2, ""));
    assert!(
        link.command()
            .contains("\"RUN\",\"call\":\"0000000000000002\"")
    );
    link.say(&done(1, 2, "AA=="));
    assert!(a.line().contains("\"id\":3,\"result\""));
    program.signal("-TERM");
    assert_eq!(a.line(), "{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}");
}

#[test]
fn answers_shed_errored_and_partial() {
    let server = Server::start(128);
    let mut a = server.balancer();
    a.say(&req(1, "quote", 1, ""));
    assert!(a.line().contains("\"id\":1,\"error\":{\"code\":-32002"));
    let mut engine = server.link("{\"msg\":\"ATTACH\",\"serial\":0}");
    assert!(server.reports.recv().unwrap().contains("ready"));
    // Gauges asked for tell that the greeting was read.
    let asked = engine.line();
    assert!(asked.contains("STAT"), "{asked}");
    engine.say("{\"msg\":\"STATS\",\"cookie\":\"1\",\"stats\":[0.1,1,0.1,1]}\n");
    a.say(&req(2, "quote", 2, ""));
    assert!(
        engine
            .command()
            .contains("\"RUN\",\"call\":\"0000000000000002\"")
    );
    engine.say(
        "{\"msg\":\"DONE\",\"serial\":1,\"call\":\"0000000000000002\",\"how\":\"bad\",\"duration\":9}\n",
    );
    assert!(a.line().contains("\"id\":2,\"error\":{\"code\":-32001"));
    a.say(&req(3, "search", 3, ""));
    assert!(
        engine
            .command()
            .contains("\"RUN\",\"call\":\"0000000000000003\"")
    );
    engine.say("{\"msg\":\"NEED\",\"serial\":2,\"call\":\"0000000000000003\",\"blob\":\"YWJj\"}\n");
    for _ in 0..2 {
        let mut catalogue = Peer::accept(&server.catalogue);
        assert!(catalogue.line().starts_with("FETCH 0000000000000003 "));
        assert_eq!(catalogue.line(), "abc");
        catalogue.say("0000000000000003 LATER\r\n");
    }
    assert_eq!(
        engine.command(),
        "{\"msg\":\"SKIP\",\"call\":\"0000000000000003\",\"serial\":2}"
    );
    engine.say(&done(3, 3, "AA=="));
    assert!(a.line().contains("\"id\":3,\"result\""));
    server.signal("-TERM");
    assert!(a.line().contains("leaving"));
    drop(a);
    let log = server.ended();
    for line in [
        "answered.partial 1",
        "answered.shed 1",
        "answered.errored 1",
        "answered.done 0",
    ] {
        assert!(
            log.contains(&format!("counter {line}\n")),
            "{line} in {log}"
        );
    }
}

/// A run that does not end is answered before the process ends, which is before it would be killed.
#[test]
fn a_drain_answers_what_does_not_end() {
    let server = Server::start(128);
    let mut engine = server.link("{\"msg\":\"ATTACH\",\"serial\":0}");
    let mut a = server.balancer();
    a.say(&req(1, "book", 1, "5"));
    assert!(engine.command().contains("\"RUN\""));
    server.signal("-TERM");
    assert!(a.line().contains("leaving"));
    assert!(a.line().contains("\"id\":1,\"error\":{\"code\":-32001"));
    assert_eq!(a.line(), "");
    assert!(server.ended().contains("counter open 0\n"));
}

/// A limit on descriptors is kept: connections that carry nothing give way to new ones; where all carry
/// something a new one is closed unread.
#[test]
fn connections_stay_within_the_limit() {
    let server = Server::start(30);
    let mut engine = server.link("{\"msg\":\"ATTACH\",\"serial\":0}");
    // Gauges asked for tell that the greeting was read.
    assert!(engine.line().contains("STAT"));
    let well = |peer: &mut Peer| {
        peer.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
        assert!(peer.line().contains("\"fit\":true"));
    };
    // Eleven are open, as many as there is room for.
    let asked = |n| {
        let mut peer = server.balancer();
        well(&mut peer);
        if n > 0 {
            peer.say(&req(n, "quote", n, ""));
            well(&mut peer);
        }
        peer
    };
    let idle: Vec<Peer> = (0..11).map(|_| asked(0)).collect();
    let busy: Vec<Peer> = (1..12).map(asked).collect();
    for mut peer in idle {
        while !peer.line().is_empty() {}
    }
    let mut refused = server.balancer();
    let _ = refused.0.get_mut().write_all(b"x");
    assert!(
        matches!(refused.0.read(&mut [0]), Ok(0) | Err(_)),
        "closed unread"
    );
    server.signal("-USR1");
    server.signal("-TERM");
    drop((busy, engine));
    let log = server.ended();
    for line in ["connections.open 11", "connections.refused 1"] {
        assert!(
            log.contains(&format!("counter {line}\n")),
            "{line} in {log}"
        );
    }
}

/// A peer that doesn't read is not read from, and the others are served.
#[test]
fn a_peer_that_does_not_read_is_bounded() {
    let server = Server::start(128);
    let mut deaf = server.balancer();
    let stream = deaf.0.get_mut();
    stream
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let line = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n".repeat(1000);
    let mut taken = 0;
    while stream.write_all(line.as_bytes()).is_ok() {
        taken += line.len();
        assert!(
            taken < 64 << 20,
            "all is read from a peer that reads nothing"
        );
    }
    let mut other = server.balancer();
    other.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
    assert!(other.line().contains("\"fit\":true"));
}

/// One line of a start that fails; with 2 where the configuration is wrong.
fn fails(config: Option<&str>, listen: Option<&str>) -> String {
    let path = config.map(written);
    let mut command = server::command(program(), path.as_deref());
    if let Some(listen) = listen {
        command.env("RELAY_LISTEN", listen);
    }
    let Output { status, stderr, .. } = command.output().expect("it runs");
    path.iter()
        .for_each(|p| std::fs::remove_file(p).expect("removed"));
    let text = String::from_utf8(stderr).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    let bound = ["listen ", "limits."]
        .iter()
        .any(|what| text.contains(&format!("madderbay: {what}")));
    assert_eq!(status.code(), Some(if bound { 1 } else { 2 }), "{text}");
    text
}

/// What can't be started is told in one line that names it.
#[test]
fn bad_starts_are_told_in_a_line() {
    let taken = local();
    let address = taken.local_addr().unwrap();
    let others = Others {
        engine: address,
        registry: address,
        catalogue: address,
    };
    let good = configuration(&address.to_string(), others, 128, STOP_MS, common::SETTINGS);
    assert!(fails(None, None).contains("RELAY_CONFIG"));
    assert!(fails(Some("{"), None).contains("configuration"));
    assert!(fails(Some(&good.replace("\"seed\":\"8c", "\"seed\":\"xx")), None).contains("seed"));
    assert!(fails(Some(&good.replace("\"n1\"", "\"n/1\"")), None).contains("name"));
    assert!(fails(Some(&good.replace("\"engine\":\"", "\"engine\":\"x")), None).contains("engine"));
    assert!(
        fails(
            Some(&good.replace("\"n_cores\": 4", "\"n_cores\": 0")),
            None
        )
        .contains("n_cores is 0")
    );
    assert!(
        fails(
            Some(&good.replace("\"sockets\":128", "\"sockets\":8")),
            None
        )
        .contains("limits.sockets 8")
    );
    // A server with nothing below it is told no catalogue: it gets as far as its address.
    let bare = good.replace(&format!("\"catalog\":\"{address}\","), "");
    assert_ne!(bare, good);
    for config in [&good, &bare] {
        assert!(fails(Some(config), None).contains(&format!("listen {address}")));
    }
    assert!(fails(Some(&good), Some("192.0.2.1:1")).contains("192.0.2.1"));
}

/// A configuration that comes late, and first in half, is waited for; the server is up soon after it is whole.
#[test]
fn a_configuration_that_comes_late_is_waited_for() {
    let (engine, catalogue) = (local(), local());
    let (registry, _reports) = registry::start();
    let others = Others {
        engine: engine.local_addr().unwrap(),
        registry,
        catalogue: catalogue.local_addr().unwrap(),
    };
    let whole = configuration("127.0.0.1:0", others, 128, STOP_MS, common::SETTINGS);
    let path = written("");
    std::fs::remove_file(&path).expect("removed");
    let mut command = server::command(program(), Some(&path));
    let mut child = command
        .env("MADDERBAY_LOG", "debug")
        .spawn()
        .expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("its log"))
        .lines()
        .map_while(Result::ok);
    let mut logged = |part: &str| {
        log.by_ref()
            .find(|l| l.contains(part))
            .expect("told in its log")
    };
    logged("No such file");
    std::fs::write(&path, &whole[..whole.len() / 2]).expect("written");
    logged("EOF while parsing");
    std::fs::write(&path, &whole).expect("written");
    logged(" listens on ");
    let mut link = Peer::accept(&engine);
    assert_eq!(link.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
    child.kill().expect("killed");
    child.wait().expect("over");
    std::fs::remove_file(&path).expect("removed");
}

/// Nine in ten starts are ready soon with an engine that breaks its link off, and says nothing, before it is up,
/// and a registry that breaks off, half answers and refuses before it takes a report.
#[test]
fn a_start_beside_others_that_break_off_is_ready_soon() {
    let (engine, catalogue, registry) = (local(), local(), local());
    let others = among(&engine, registry.local_addr().unwrap(), &catalogue);
    let text = configuration("127.0.0.1:0", others, 128, STOP_MS, common::SETTINGS);
    let program = server::Server::start(program(), &text, None);
    let began = std::time::Instant::now();
    for broken in ["", "{\"msg\":\"HEL", "}\n"] {
        let mut link = Peer::accept(&engine);
        assert_eq!(link.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
        link.say(broken);
    }
    for broken in [
        "",
        "HTTP/1.1 2",
        "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        "\u{1}\r\n\r\n",
    ] {
        let mut peer = Peer::accept(&registry);
        assert!(peer.line().starts_with("PUT /v1/instances/n1 "));
        peer.say(broken);
    }
    let mut link = Peer::accept(&engine);
    assert_eq!(link.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
    link.say("{\"msg\":\"HELLO\",\"how\":\"new\",\"duration\":10}\n");
    assert!(link.line().contains("STAT"));
    link.say("{\"msg\":\"STATS\",\"cookie\":\"1\",\"stats\":[0.1,1,0.1,1]}\n");
    let mut peer = Peer::accept(&registry);
    while peer.line() != "" {}
    assert!(peer.bytes(17).ends_with(b"\"ready\"}"), "a report of it");
    peer.say("HTTP/1.1 204 No Content\r\n\r\n");
    let mut a = Peer::new(TcpStream::connect(program.address).expect("a connection"));
    a.say(&req(1, "quote", 1, ""));
    assert!(link.command().contains("\"RUN\""));
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "ready within 10 s"
    );
}

/// A drain where the engine never came up, with a registry that only half answers; told twice.
#[test]
fn a_drain_before_the_engine_is_up_ends_by_itself() {
    let (engine, catalogue, registry) = (local(), local(), local());
    let others = among(&engine, registry.local_addr().unwrap(), &catalogue);
    let text = configuration("127.0.0.1:0", others, 128, STOP_MS, common::SETTINGS);
    let program = server::Server::start(program(), &text, None);
    let mut link = Peer::accept(&engine);
    assert_eq!(link.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
    let mut peer = Peer::accept(&registry);
    assert!(peer.line().starts_with("PUT "));
    peer.say("HTTP/1.1 2");
    let mut a = Peer::new(TcpStream::connect(program.address).expect("a connection"));
    a.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
    assert!(a.line().contains("\"fit\":true"));
    program.signal("-TERM");
    assert_eq!(a.line(), "{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}");
    program.signal("-TERM");
    // The engine comes up now: nothing is taken on.
    link.say("{\"msg\":\"HELLO\",\"how\":\"new\",\"duration\":10}\n");
    a.say("{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"isWell\"}\n");
    assert!(a.line().contains("\"fit\":false"));
    a.say(&req(3, "quote", 1, ""));
    assert!(a.line().contains("\"id\":3,\"error\":{\"code\":-32002"));
    assert_eq!(a.line(), "");
    assert!(program.ended().contains("counter runs.started 0\n"));
}

/// A reload and then a drain, and a drain and then a reload: the run that is open is answered over the link that
/// was moved to.
#[test]
fn a_drain_and_a_reload_in_either_order() {
    for drain_first in [false, true] {
        let mut server = Server::start(128);
        let mut engine = server.link("{\"msg\":\"ATTACH\",\"serial\":0}");
        let mut a = server.balancer();
        server.log_at("engine: up");
        a.say(&req(1, "quote", 1, ""));
        assert!(engine.command().contains("\"RUN\""));
        let (new_engine, new_catalogue, (registry, _reports)) =
            (local(), local(), registry::start());
        let others = among(&new_engine, registry, &new_catalogue);
        std::fs::write(
            &server.path,
            configuration("127.0.0.1:0", others, 128, STOP_MS, common::SETTINGS),
        )
        .unwrap();
        if drain_first {
            server.signal("-TERM");
            server.log_at("draining");
            server.signal("-HUP");
        } else {
            server.signal("-HUP");
            server.log_at("reload: engine");
            server.signal("-TERM");
        }
        let mut engine = Peer::accept(&new_engine);
        assert_eq!(engine.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
        engine.say("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
        assert_eq!(a.line(), "{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}");
        engine.say(&done(1, 1, "WFla"));
        assert_eq!(
            a.line(),
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"bytes\":\"WFla\"}}"
        );
        assert_eq!(a.line(), "");
        assert!(server.ended().contains("counter answered.done 1\n"));
    }
}

/// Where the stop comes before the grace is over listening ends in time for all that was accepted to be answered.
#[test]
fn listening_ends_before_the_stop() {
    let others = Others {
        engine: dead(),
        registry: dead(),
        catalogue: dead(),
    };
    let text = configuration("127.0.0.1:0", others, 128, STOP_MS, common::SETTINGS);
    let mut program = server::Server::start(program(), &text, None);
    // One connection stays open, so that the process outlasts its listening.
    let mut a = Peer::new(TcpStream::connect(program.address).expect("a connection"));
    a.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
    assert!(a.line().contains("\"fit\":true"));
    program.signal("-TERM");
    program.log_at("listening no more");
    assert_eq!(a.line(), "{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}");
    a.say(&req(2, "quote", 1, ""));
    assert!(a.line().contains("\"id\":2,\"error\":{\"code\":-32002"));
}

/// Killed right after an accept, with a req on the connection, again and again: each next life listens at the same
/// address at once, begins with nothing, and serves.
#[test]
fn kills_right_after_an_accept_leave_nothing_in_the_way() {
    let (engine, catalogue) = (local(), local());
    let (registry, _reports) = registry::start();
    let others = among(&engine, registry, &catalogue);
    // An address of its own: nobody else takes its port between two lives.
    let mut listen = "127.77.2.1:0".to_string();
    for life in 1..=6 {
        let text = configuration(&listen, others, 128, STOP_MS, common::SETTINGS);
        let mut program = server::Server::start(program(), &text, None);
        listen = program.address.to_string();
        let mut link = Peer::accept(&engine);
        assert_eq!(link.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
        link.say("{\"msg\":\"HELLO\",\"how\":\"new\",\"duration\":10}\n");
        program.log_at("engine: up");
        let mut a = Peer::new(TcpStream::connect(program.address).expect("a connection"));
        a.say(&req(1, "book", life, "5"));
        if life < 6 {
            program.signal("-KILL");
            continue;
        }
        let run = link.command();
        assert!(
            run.contains("\"RUN\",\"call\":\"0000000000000006\""),
            "{run}"
        );
        link.say(&done(1, life, "WFla"));
        assert!(a.line().contains("\"id\":1,\"result\""));
    }
}

/// Idle clients take all descriptors that are to be had while the registry is down: a balancer gets in and is
/// served, and reports go on once the registry is back.
#[test]
fn idle_clients_do_not_keep_balancers_out() {
    let (engine, catalogue) = (local(), local());
    let others = Others {
        engine: engine.local_addr().unwrap(),
        registry: dead(),
        catalogue: catalogue.local_addr().unwrap(),
    };
    let text = configuration("127.0.0.1:0", others, 30, STOP_MS, common::SETTINGS);
    let program = server::Server::start(program(), &text, None);
    let mut link = Peer::accept(&engine);
    assert_eq!(link.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
    link.say("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
    assert!(link.line().contains("STAT"));
    link.say("{\"msg\":\"STATS\",\"cookie\":\"1\",\"stats\":[0.1,1,0.1,1]}\n");
    let connect = || TcpStream::connect(program.address).expect("a connection");
    let mut live = Peer::new(connect());
    live.say(&req(1, "quote", 1, ""));
    assert!(link.command().contains("\"RUN\""));
    let idle: Vec<TcpStream> = (0..40).map(|_| connect()).collect();
    // Shed while the last of them are new, as it is told, and then served.
    let (mut own, began) = (1, std::time::Instant::now());
    let mut balancer = loop {
        own += 1;
        assert!(began.elapsed() < PATIENCE, "a balancer gets in");
        let mut peer = Peer::new(connect());
        peer.say(&req(1, "quote", own, ""));
        let shed = {
            let name = format!("{own:016x}");
            peer.0.get_ref().set_nonblocking(true).expect("set");
            let said = loop {
                let mut line = String::new();
                match peer.0.read_line(&mut line) {
                    Ok(_) => break Some(line),
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(e) => panic!("no end without an answer: {e}"),
                }
                if link.pending().contains(&name) {
                    break None;
                }
            };
            peer.0.get_ref().set_nonblocking(false).expect("set");
            said
        };
        match shed {
            None => break peer,
            Some(line) => assert!(line.contains("-32002"), "shed, not closed unread: {line}"),
        }
    };
    link.say(&done(1, 1, "AA=="));
    link.say(&done(2, own, "AA=="));
    assert!(live.line().contains("\"id\":1,\"result\""));
    assert!(balancer.line().contains("\"id\":1,\"result\""));
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", program.pid()))
        .expect("told")
        .count();
    assert!(descriptors <= 30, "{descriptors} descriptors");
    // The registry is back, at another place.
    let (registry, reports) = registry::start();
    let moved = Others { registry, ..others };
    std::fs::write(
        &program.path,
        configuration("127.0.0.1:0", moved, 30, STOP_MS, common::SETTINGS),
    )
    .expect("written");
    program.signal("-HUP");
    assert!(
        reports
            .recv_timeout(PATIENCE)
            .expect("a report")
            .contains("ready")
    );
    drop(idle);
}

fn orders(args: &[&str], config: Option<&str>) -> (i32, Vec<String>) {
    let path = config.map(written);
    let found = server::command(program(), path.as_deref())
        .args(args)
        .output()
        .expect("it runs");
    path.iter()
        .for_each(|p| std::fs::remove_file(p).expect("removed"));
    let text = String::from_utf8(found.stderr).expect("text");
    (
        found.status.code().expect("a status"),
        text.lines().map(str::to_string).collect(),
    )
}

/// A wrong operator file is told whole, a line each, and nothing starts; with a configuration at hand its
/// handlers are looked up, too.
#[test]
fn an_operator_file_is_checked_before_anything_starts() {
    let address = local().local_addr().unwrap();
    let others = Others {
        engine: address,
        registry: address,
        catalogue: address,
    };
    let config = configuration("127.0.0.1:0", others, 128, STOP_MS, common::SETTINGS);
    let file = written(
        "[pools]\nenabled = on\n[pool a]\nhandlers = quote, bock\n[reserve]\nhandlers = seek\n",
    );
    let name = file.to_str().expect("a name");
    assert_eq!(orders(&["check", name], None), (0, vec![]));
    let wrong = vec![
        format!(
            "madderbay: {name}:4: [pool a] handlers: 'bock' is no handler; known are search, quote, book"
        ),
        format!(
            "madderbay: {name}:6: [reserve] handlers: 'seek' is no handler; known are search, quote, book"
        ),
    ];
    assert_eq!(orders(&["check", name], Some(&config)), (2, wrong.clone()));
    assert_eq!(
        orders(&["--operator", name], Some(&config)),
        (2, wrong.clone())
    );
    assert_eq!(
        orders(&["run", "--operator", name], Some(&config)),
        (2, wrong)
    );
    std::fs::write(&file, "[pools]\nenabled = maybe\n[pols]\n").expect("written");
    let (status, lines) = orders(&["check", name], None);
    assert_eq!((status, lines.len()), (2, 2), "{lines:?}");
    std::fs::remove_file(&file).expect("removed");
    let (status, lines) = orders(&["check", name], None);
    assert!(
        status == 2 && lines.len() == 1 && lines[0].contains(name),
        "{lines:?}"
    );
    let (status, lines) = orders(&["chekc"], None);
    assert!(
        status == 2 && lines.len() == 1 && lines[0].starts_with("madderbay: error"),
        "{lines:?}"
    );
}

/// A pool's calls wait for each other within its bound, and the counters tell of each pool.
#[test]
fn pools_bind_calls_on_the_real_program() {
    let operator = "[pools]\nenabled = on\n[pool seats]\nhandlers = book\ncalls = 1\n";
    let server = Server::set(128, Some(operator));
    let mut engine = server.link("{\"msg\":\"ATTACH\",\"serial\":0}");
    assert!(server.reports.recv().unwrap().contains("ready"));
    assert!(engine.line().contains("STAT"));
    engine.say("{\"msg\":\"STATS\",\"cookie\":\"1\",\"stats\":[0.1,1,0.1,1]}\n");
    let mut a = server.balancer();
    for (id, key) in [(1, "5"), (2, "6")] {
        a.say(&req(id, "book", id, key));
        assert!(engine.command().contains("\"RUN\""));
    }
    for n in [1, 2] {
        engine.say(&format!(
            "{{\"msg\":\"NEED\",\"serial\":{n},\"call\":\"{n:016x}\",\"blob\":\"YWJj\"}}\n"
        ));
    }
    let mut catalogue = Peer::accept(&server.catalogue);
    assert!(catalogue.line().starts_with("FETCH 0000000000000001 "));
    assert_eq!(catalogue.line(), "abc");
    // The second call goes out only when the first is back.
    catalogue.say("0000000000000001 DATA 3\r\nxyz\r\n");
    assert!(
        engine
            .command()
            .contains("\"FEED\",\"call\":\"0000000000000001\"")
    );
    assert!(catalogue.line().starts_with("FETCH 0000000000000002 "));
    assert_eq!(catalogue.line(), "abc");
    server.signal("-USR1");
    catalogue.say("0000000000000002 DATA 3\r\nxyz\r\n");
    assert!(
        engine
            .command()
            .contains("\"FEED\",\"call\":\"0000000000000002\"")
    );
    engine.say(&done(3, 1, "AA=="));
    engine.say(&done(4, 2, "AA=="));
    assert!(a.line().contains("\"result\"") && a.line().contains("\"result\""));
    server.signal("-TERM");
    assert!(a.line().contains("leaving"));
    drop(a);
    let log = server.ended();
    for line in [
        "pools.seats.calls_most 1",
        "pools.seats.runs 2",
        "pools.rest.held 0",
        "pools.calls.limit 8",
    ] {
        assert!(
            log.contains(&format!("counter {line}\n")),
            "{line} in {log}"
        );
    }
}
