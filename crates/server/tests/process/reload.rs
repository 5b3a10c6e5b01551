//! SIGHUP: the program switches to the addresses of the new configuration.

use crate::support::{
    HELLO_OF_RUNNING_ENGINE, INITIAL_ATTACH, LEAVING_NOTICE, TestServer, call_needed_notice,
    completion_notice, dependencies, request, write_configuration,
};
use madderbay_testkit::peer::{Peer, loopback_listener};
use madderbay_testkit::{WAIT_TIMEOUT, registry};

/// On SIGHUP the program uses the addresses in the file: runs continue over the link to the new engine, and calls and
/// reports go to the new addresses. A file that cannot be read changes nothing. Neither ends the process.
#[test]
fn reload_moves_to_new_addresses() {
    let mut server = TestServer::start(128);
    let mut engine = server.accept_engine_link(INITIAL_ATTACH);
    let mut a = server.connect();
    a.say(&request(1, "search", 1, ""));
    assert!(engine.command().contains("\"RUN\""));
    engine.say(&call_needed_notice(1, 1));
    let mut catalogue = Peer::accept(&server.catalogue);
    assert!(catalogue.line().starts_with("FETCH"));
    server.log_at("engine: up");
    std::fs::write(&server.path, "{\"name\":\"n1\",").unwrap();
    server.signal("-HUP");
    server.log_at("reload: refused");
    let (new_engine, new_catalogue, (registry, reports)) =
        (loopback_listener(), loopback_listener(), registry::start());
    let dependencies = dependencies(&new_engine, registry, &new_catalogue);
    write_configuration(&server, dependencies, 64);
    server.signal("-HUP");
    server.log_at("reload: restart required, changed=limits");
    server.log_at("reload: restart required, changed=settings");
    // The open call stays valid. The new link resumes after the last notice that was read on the old one, and carries
    // what was queued while it was not up. (A command that was sent on the old link may have been read there; see
    // tests/scenarios/link-fed.txt.)
    let mut engine = Peer::accept(&new_engine);
    assert_eq!(engine.line(), "{\"msg\":\"ATTACH\",\"serial\":1}");
    catalogue.say("0000000000000001 DATA 3\r\nxyz\r\n");
    engine.say(HELLO_OF_RUNNING_ENGINE);
    assert!(engine.command().contains("\"FEED\""));
    engine.say(&call_needed_notice(2, 1));
    let mut catalogue = Peer::accept(&new_catalogue);
    assert!(catalogue.line().starts_with("FETCH"));
    engine.say(&completion_notice(3, 1, "WFla"));
    assert!(a.line().contains("\"result\""));
    assert!(
        reports
            .recv_timeout(WAIT_TIMEOUT)
            .unwrap()
            .contains("ready")
    );
}

/// A reload before a drain, and a drain before a reload: the open run is answered over the new link.
#[test]
fn drain_and_reload_in_either_order() {
    for drain_first in [false, true] {
        let mut server = TestServer::start(128);
        let mut engine = server.accept_engine_link(INITIAL_ATTACH);
        let mut a = server.connect();
        server.log_at("engine: up");
        a.say(&request(1, "quote", 1, ""));
        assert!(engine.command().contains("\"RUN\""));
        let (new_engine, new_catalogue, (registry, _reports)) =
            (loopback_listener(), loopback_listener(), registry::start());
        let dependencies = dependencies(&new_engine, registry, &new_catalogue);
        write_configuration(&server, dependencies, 128);
        if drain_first {
            server.signal("-TERM");
            server.log_at("server: draining");
            server.signal("-HUP");
        } else {
            server.signal("-HUP");
            server.log_at("reload: applied");
            server.signal("-TERM");
        }
        let mut engine = Peer::accept(&new_engine);
        assert_eq!(engine.line(), INITIAL_ATTACH);
        engine.say(HELLO_OF_RUNNING_ENGINE);
        assert_eq!(a.line(), LEAVING_NOTICE);
        engine.say(&completion_notice(1, 1, "WFla"));
        assert_eq!(
            a.line(),
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"bytes\":\"WFla\"}}"
        );
        assert_eq!(a.line(), "");
        assert!(server.ended().contains("counter answered.done 1\n"));
    }
}

/// A changed section of the operator file that needs a restart is logged, also if neither fleet nor backends are
/// enabled; so is an operator file that is invalid.
#[test]
fn reload_logs_changed_sections_that_need_restart() {
    let mut server = TestServer::start_with_operator_file(128, "[pools]\nenabled = on\n");
    let _engine = server.accept_engine_link(INITIAL_ATTACH);
    server.log_at("engine: up");
    let operator = server.operator.clone().expect("an operator file");
    let rewrite = |text: &str| std::fs::write(&operator, text).expect("the write succeeds");
    rewrite("[pools]\nenabled = on\n[pool a]\nhandlers = quote\n");
    server.signal("-HUP");
    server.log_at("reload: restart required, changed=[pools]");
    rewrite(
        "[pools]\nenabled = on\n[routes]\nenabled = on\n[backend b]\naddress = 127.0.0.1:7700\nhandlers = search\n",
    );
    server.signal("-HUP");
    server.log_at("reload: restart required, changed=[routes]");
    rewrite("[pools]\nenabled = maybe\n");
    server.signal("-HUP");
    server.log_at("reload: operator file refused");
}
