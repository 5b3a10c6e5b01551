//! The end of listening.

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

/// Connections that the machine has accepted are taken before the listener closes: a req may be on them.
#[test]
fn what_the_machine_accepted_is_taken_before_the_end() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let settings = madderbay_settings::read(common::SETTINGS.as_bytes()).expect("settings");
        let clock = Rc::new(Clock::default());
        let serve = Rc::new(RefCell::new(EventLoop::new(
            clock.now(),
            7,
            settings,
            1_000,
        )));
        // All are accepted by the machine, and asked on, before the listening task has its first turn; it is
        // told to stop then, and may see that first.
        let peers: Vec<_> = (0..20)
            .map(|_| {
                let mut peer = std::net::TcpStream::connect(address).expect("a connection");
                let ask = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n";
                peer.write_all(ask.as_bytes()).expect("written");
                peer
            })
            .collect();
        let stop = Rc::new(Notify::new());
        stop.notify_one();
        listener::run(listener, 100, clock, serve.clone(), stop).await;
        assert_eq!(serve.borrow().connection_count(), peers.len());
        assert!(
            std::net::TcpStream::connect(address).is_err(),
            "closed after"
        );
    });
}
