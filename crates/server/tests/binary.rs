//! The real binary on loopback, between small stand-ins of engine, catalogue, registry and balancer.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Far longer than anything here takes: a hang fails instead of lasting.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time between the notice to leave and the kill.
const STOP_MS: u64 = 800;

/// One end of a connection, line by line.
struct Peer(BufReader<TcpStream>);

impl Peer {
    fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Peer(BufReader::new(stream))
    }
    fn accept(listener: &TcpListener) -> Peer {
        Peer::new(listener.accept().expect("a connection").0)
    }
    fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }
    fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line in time");
        line.trim_end().to_string()
    }
    /// The next command to the engine; questions for the gauges are answered on the way.
    fn command(&mut self) -> String {
        loop {
            let line = self.line();
            let Some(rest) = line.strip_prefix("{\"msg\":\"STAT\",\"cookie\":") else { return line };
            let cookie = rest.trim_end_matches('}');
            self.say(&format!("{{\"msg\":\"STATS\",\"cookie\":{cookie},\"stats\":[0.1,1,0.1,1]}}\n"));
        }
    }
}

struct Server {
    child: Child,
    log: BufReader<ChildStderr>,
    address: SocketAddr,
    engine: TcpListener,
    catalogue: TcpListener,
    reports: Receiver<String>,
    path: PathBuf,
}

fn local() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn written(text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let n = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("madderbay-test-{}-{n}.json", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

fn configuration(listen: &str, others: [SocketAddr; 3], sockets: usize, settings: &str) -> String {
    let [engine, registry, catalogue] = others;
    format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"engine\":\"{engine}\",\"registry\":\"{registry}\",\
         \"catalog\":\"{catalogue}\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{STOP_MS},\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":{sockets}}},\"settings\":{settings}}}"
    )
}

fn binary(config: Option<&PathBuf>) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderbay"));
    command.env_remove("RELAY_CONFIG").env_remove("RELAY_NAME").env_remove("RELAY_LISTEN");
    command.env_remove("MADDERBAY_LOG").stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    if let Some(path) = config {
        command.env("RELAY_CONFIG", path);
    }
    command
}

/// A registry that answers every report and passes its body on.
fn registry() -> (SocketAddr, Receiver<String>) {
    let listener = local();
    let address = listener.local_addr().expect("an address");
    let (to, from) = channel();
    std::thread::spawn(move || {
        let mut peer = Peer::accept(&listener);
        loop {
            let mut head = vec![];
            while head.last().is_none_or(|l: &String| !l.is_empty()) {
                let line = peer.line();
                if line.is_empty() && head.is_empty() {
                    return;
                }
                head.push(line);
            }
            let length = head.iter().find_map(|l| l.strip_prefix("Content-Length: ")).expect("a length");
            let mut body = vec![0; length.parse().expect("a number")];
            peer.0.read_exact(&mut body).expect("a body");
            if to.send(format!("{} {}", head[0], String::from_utf8_lossy(&body))).is_err() {
                return;
            }
            peer.say("HTTP/1.1 204 No Content\r\n\r\n");
        }
    });
    (address, from)
}

impl Server {
    fn start(sockets: usize) -> Server {
        let (engine, catalogue) = (local(), local());
        let (registry, reports) = registry();
        let settings = common::SETTINGS.replace("\"drain_grace_us\": 2000000", "\"drain_grace_us\": 50000");
        let others = [engine.local_addr().unwrap(), registry, catalogue.local_addr().unwrap()];
        let path = written(&configuration("127.0.0.1:0", others, sockets, &settings));
        let mut child = binary(Some(&path)).spawn().expect("the binary starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
        let address = address.unwrap_or_else(|| panic!("no address in '{line}'"));
        Server { child, log, address, engine, catalogue, reports, path }
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

    fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }

    /// Waits for a line of the log that holds this.
    fn log_at(&mut self, part: &str) {
        let mut line = String::new();
        while !line.contains(part) {
            line.clear();
            assert!(self.log.read_line(&mut line).expect("a line") > 0, "the log ends before '{part}'");
        }
    }

    /// The rest of the log after the server has ended by itself.
    fn ended(mut self) -> String {
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log");
        assert!(self.child.wait().expect("an end").success());
        log
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

fn req(id: u32, method: &str, own: u32, replay: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
    let key = if replay.is_empty() { String::new() } else { format!("\"replay\":\"{replay:0>32}\",") };
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
    assert_eq!(server.reports.recv().unwrap(), "PUT /v1/instances/n1 HTTP/1.1 {\"state\":\"ready\"}");
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
    assert!(fetch.starts_with("FETCH 0000000000000001 ") && fetch.ends_with(" 3"), "{fetch}");
    assert_eq!(catalogue.line(), "abc");
    catalogue.say("0000000000000001 DATA 3\r\nxyz\r\n");
    assert_eq!(engine.command(), "{\"msg\":\"FEED\",\"call\":\"0000000000000001\",\"blob\":\"eHl6\"}");
    engine.say(&done(2, 1, "WFla"));
    assert_eq!(a.line(), "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"bytes\":\"WFla\"}}");
    // The link is lost in a run, and a second try joins it meanwhile.
    a.say(&req(2, "book", 2, "5"));
    assert!(engine.command().contains("\"RUN\",\"call\":\"0000000000000002\""));
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
    assert!(engine.command().contains("\"RUN\",\"call\":\"0000000000000004\""));
    server.signal("-USR1");
    server.signal("-TERM");
    assert_eq!(a.line(), "{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}");
    while !server.reports.recv().unwrap().contains("draining") {}
    engine.say(&done(4, 4, "AA=="));
    assert!(a.line().starts_with("{\"jsonrpc\":\"2.0\",\"id\":4,\"result\""));
    drop(a);
    let log = server.ended();
    assert!(log.contains("counter open 1\n"), "counters on request: {log}");
    for line in
        ["answered.done 4", "joined 1", "open 0", "runs.started 3", "calls.done 1", "engine.links_lost 1"]
    {
        assert!(log.contains(&format!("counter {line}\n")), "{line} in {log}");
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
    let (new_engine, new_catalogue, (registry, reports)) = (local(), local(), registry());
    let others = [new_engine.local_addr().unwrap(), registry, new_catalogue.local_addr().unwrap()];
    std::fs::write(&server.path, configuration("127.0.0.1:0", others, 64, common::SETTINGS)).unwrap();
    server.signal("-HUP");
    server.log_at("reload: limits has changed, which only a restart can take");
    server.log_at("reload: settings has changed, which only a restart can take");
    // The old link and the old call are still good; the new link takes up where the old one was read.
    catalogue.say("0000000000000001 DATA 3\r\nxyz\r\n");
    let mut engine = Peer::accept(&new_engine);
    assert_eq!(engine.line(), "{\"msg\":\"ATTACH\",\"serial\":1}");
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
    assert!(engine.command().contains("\"RUN\",\"call\":\"0000000000000002\""));
    engine.say(
        "{\"msg\":\"DONE\",\"serial\":1,\"call\":\"0000000000000002\",\"how\":\"bad\",\"duration\":9}\n",
    );
    assert!(a.line().contains("\"id\":2,\"error\":{\"code\":-32001"));
    a.say(&req(3, "search", 3, ""));
    assert!(engine.command().contains("\"RUN\",\"call\":\"0000000000000003\""));
    engine.say("{\"msg\":\"NEED\",\"serial\":2,\"call\":\"0000000000000003\",\"blob\":\"YWJj\"}\n");
    for _ in 0..2 {
        let mut catalogue = Peer::accept(&server.catalogue);
        assert!(catalogue.line().starts_with("FETCH 0000000000000003 "));
        assert_eq!(catalogue.line(), "abc");
        catalogue.say("0000000000000003 LATER\r\n");
    }
    assert_eq!(engine.command(), "{\"msg\":\"SKIP\",\"call\":\"0000000000000003\",\"serial\":2}");
    engine.say(&done(3, 3, "AA=="));
    assert!(a.line().contains("\"id\":3,\"result\""));
    server.signal("-TERM");
    assert!(a.line().contains("leaving"));
    drop(a);
    let log = server.ended();
    for line in ["answered.partial 1", "answered.shed 1", "answered.errored 1", "answered.done 0"] {
        assert!(log.contains(&format!("counter {line}\n")), "{line} in {log}");
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
    assert!(matches!(refused.0.read(&mut [0]), Ok(0) | Err(_)), "closed unread");
    server.signal("-USR1");
    server.signal("-TERM");
    drop((busy, engine));
    let log = server.ended();
    for line in ["connections.open 11", "connections.refused 1"] {
        assert!(log.contains(&format!("counter {line}\n")), "{line} in {log}");
    }
}

/// A peer that doesn't read is not read from, and the others are served.
#[test]
fn a_peer_that_does_not_read_is_bounded() {
    let server = Server::start(128);
    let mut deaf = server.balancer();
    let stream = deaf.0.get_mut();
    stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let line = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n".repeat(1000);
    let mut taken = 0;
    while stream.write_all(line.as_bytes()).is_ok() {
        taken += line.len();
        assert!(taken < 64 << 20, "all is read from a peer that reads nothing");
    }
    let mut other = server.balancer();
    other.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
    assert!(other.line().contains("\"fit\":true"));
}

fn fails(config: Option<&str>, listen: Option<&str>) -> String {
    let path = config.map(written);
    let mut command = binary(path.as_ref());
    if let Some(listen) = listen {
        command.env("RELAY_LISTEN", listen);
    }
    let Output { status, stderr, .. } = command.output().expect("it runs");
    path.iter().for_each(|p| std::fs::remove_file(p).expect("removed"));
    assert!(!status.success());
    let text = String::from_utf8(stderr).expect("text");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

/// What can't be started is told in one line that names it.
#[test]
fn bad_starts_are_told_in_a_line() {
    let taken = local();
    let address = taken.local_addr().unwrap();
    let good = configuration(&address.to_string(), [address; 3], 128, common::SETTINGS);
    assert!(fails(None, None).contains("RELAY_CONFIG"));
    assert!(fails(Some("{"), None).contains("configuration"));
    assert!(fails(Some(&good.replace("\"seed\":\"8c", "\"seed\":\"xx")), None).contains("seed"));
    assert!(fails(Some(&good.replace("\"n1\"", "\"n/1\"")), None).contains("name"));
    assert!(fails(Some(&good.replace("\"engine\":\"", "\"engine\":\"x")), None).contains("engine"));
    assert!(fails(Some(&good.replace("\"n_cores\": 4", "\"n_cores\": 0")), None).contains("n_cores is 0"));
    assert!(
        fails(Some(&good.replace("\"sockets\":128", "\"sockets\":8")), None).contains("limits.sockets 8")
    );
    // A server with nothing below it is told no catalogue: it gets as far as its address.
    let bare = good.replace(&format!("\"catalog\":\"{address}\","), "");
    assert_ne!(bare, good);
    for config in [&good, &bare] {
        assert!(fails(Some(config), None).contains(&format!("listen {address}")));
    }
    assert!(fails(Some(&good), Some("192.0.2.1:1")).contains("192.0.2.1"));
}
