//! Closing the listener.

use madderbay_server::core::event_loop::EventLoop;
use madderbay_server::downstream::listener;
use madderbay_server::support::clock::Clock;
use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::LocalSet;

mod common;

/// Connections that the operating system has accepted are registered before the listener closes, because there may be
/// requests on them.
#[test]
fn registers_accepted_connections_before_listener_closes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let settings =
            madderbay_settings::read(common::SETTINGS.as_bytes()).expect("valid settings");
        let clock = Rc::new(Clock::default());
        let core = Rc::new(RefCell::new(EventLoop::new(
            clock.now(),
            7,
            settings,
            1_000,
        )));
        // The operating system accepts all connections, and a health check is sent on each, before the listener's task
        // runs for the first time. By then it has been told to stop, and may notice that first.
        let clients: Vec<_> = (0..20)
            .map(|_| {
                let mut client =
                    std::net::TcpStream::connect(address).expect("the connection succeeds");
                let health_check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n";
                client
                    .write_all(health_check.as_bytes())
                    .expect("the write succeeds");
                client
            })
            .collect();
        let stop = Rc::new(Notify::new());
        stop.notify_one();
        listener::run(listener, 100, clock, core.clone(), stop).await;
        assert_eq!(core.borrow().connection_count(), clients.len());
        assert!(
            std::net::TcpStream::connect(address).is_err(),
            "the listener is still open"
        );
    });
}
