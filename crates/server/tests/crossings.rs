//! What may cross on a connection, forced over loopback sockets: the order is that of what is sent and waited
//! for, since nothing of the server runs between two awaits of a test. `docs/notes/crossings.md` lists them all.

mod common;

use madderbay::time::{Duration, Timestamp};
use madderbay_server::core::event_loop::{EventLoop, SharedEventLoop};
use madderbay_server::downstream::listener;
use madderbay_server::support::clock::Clock;
use madderbay_server::support::io::{Outbox, drive, drive_peer};
use madderbay_server::upstream::calls;
use madderbay_server::upstream::engine::EngineObserver as _;
use madderbay_testkit::{WAIT_TIMEOUT, unix_ms};
use std::cell::RefCell;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::timeout;

const WELL: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n";

fn played(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(WAIT_TIMEOUT, test).await.expect("over in time")
    });
}

/// A server's core behind a listener, with an engine that is up and runs nothing to its end.
struct Place {
    serve: SharedEventLoop,
    clock: Rc<Clock>,
    address: SocketAddr,
    engine: Outbox,
    stop: Rc<Notify>,
}

impl Place {
    async fn new(room: usize) -> Place {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let settings = madderbay_settings::read(common::SETTINGS.as_bytes()).expect("settings");
        let clock = Rc::new(Clock::default());
        let mut serve = EventLoop::new(clock.now(), 7, settings, 1_000);
        let engine = Outbox::default();
        serve.link().attach(engine.clone(), 0);
        serve.hello(clock.now(), "old", Duration::from_millis(3_600_000));
        serve.gauges(clock.now(), &[0.1, 1.0, 0.1, 1.0], false);
        let serve = Rc::new(RefCell::new(serve));
        let stop = Rc::new(Notify::new());
        spawn_local(listener::run(
            listener,
            room,
            clock.clone(),
            serve.clone(),
            stop.clone(),
        ));
        Place {
            serve,
            clock,
            address,
            engine,
            stop,
        }
    }

    fn turn(&self) {
        self.serve.borrow_mut().run_turn(self.clock.now());
    }

    /// All that was started is done.
    fn done(&self, own: u64) {
        let name = format!("{own:016x}")
            .into_bytes()
            .try_into()
            .expect("16 digits");
        let done = madderbay::interface::Outcome::Completed;
        self.serve.borrow_mut().run_over(
            self.clock.now(),
            &name,
            done,
            Duration::from_millis(9),
            "\"WFla\"",
        );
    }

    /// The req that is to come is read, started and done.
    async fn serves_one(&self) {
        until(|| self.serve.borrow().in_flight_count() == 1).await;
        self.turn();
        self.done(1);
    }

    /// Runs the request 2, whose answer is the last line on its connection.
    async fn serves_the_last_request(&self, peer: &mut Peer) {
        self.serves_one().await;
        assert!(peer.line().await.contains("\"id\":2,\"result\""));
        assert_eq!(peer.line().await, "");
    }

    async fn peer(&self) -> Peer {
        Peer(BufReader::new(
            TcpStream::connect(self.address)
                .await
                .expect("a connection"),
        ))
    }

    /// A connection on which a check was answered.
    async fn heard(&self) -> Peer {
        let mut peer = self.peer().await;
        peer.say(WELL).await;
        assert!(peer.line().await.contains("\"fit\":true"));
        peer
    }
}

struct Peer(BufReader<TcpStream>);

impl Peer {
    async fn say(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .await
            .expect("written");
    }

    /// Written without one turn of the runtime: whatever is ready has not run when it is there.
    fn say_at_once(&mut self, text: &str) {
        assert_eq!(
            self.0
                .get_mut()
                .try_write(text.as_bytes())
                .expect("written"),
            text.len()
        );
    }

    /// The next line; nothing at the end. A reset is no end.
    async fn line(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).await.expect("no reset");
        line.trim_end().to_string()
    }

    async fn rest(&mut self) -> std::io::Result<String> {
        let mut text = String::new();
        self.0.read_to_string(&mut text).await.map(|_| text)
    }
}

fn req(id: u64, method: &str, own: u64) -> String {
    body(id, method, own, "\"QUJD\"")
}

fn body(id: u64, method: &str, own: u64, bytes: &str) -> String {
    let now = unix_ms();
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{{\"ref\":\"{own:016x}\",\
         \"since\":{now},\"sender\":4,\"project\":\"acme\",\"allow\":8000,\"room\":2.5,\"bytes\":{bytes}}}}}\n"
    )
}

async fn until(mut so: impl FnMut() -> bool) {
    while !so() {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
}

/// A connection that breaks the protocol is shut, and what its peer goes on sending is read to the end: a reset
/// would take answers with it that the peer has not read yet.
#[test]
fn the_last_answers_outlast_what_nobody_reads() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        let flood = "x".repeat(60_000);
        peer.say_at_once(&(req(2, "quote", 1) + &flood));
        let said = peer.rest().await.expect("an end, no reset");
        assert!(
            said.contains("\"id\":2,\"error\":{\"code\":-32001"),
            "{said}"
        );
        assert!(said.contains("line too long"), "{said}");
    });
}

/// The linger of one that goes on sending and never ends has a bound.
#[test]
fn a_peer_that_never_ends_is_not_read_for_ever() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        peer.say(&"x".repeat(30_000)).await;
        let open = || place.serve.borrow().connection_count() > 0;
        let mut sent = 0;
        while open() {
            // Refused at last.
            match peer.0.get_mut().try_write(&[b'x'; 1_000]) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
            yield_now().await;
        }
        until(|| !open()).await;
        assert!(sent < 4 << 20, "{sent} bytes were taken");
    });
}

/// A req that had come when its connection was chosen to make room is answered there.
#[test]
fn a_req_that_came_before_its_connection_gave_way_is_answered() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        peer.say_at_once(&req(2, "quote", 1));
        assert!(place.serve.borrow_mut().evict_connection(place.clock.now()));
        place.serves_one().await;
        assert!(peer.line().await.contains("\"id\":2,\"result\""));
        assert_eq!(peer.line().await, "", "and then it ends");
    });
}

/// The same for one that idled too long: told, and ended a second later, just as a req had come.
#[test]
fn a_req_that_came_before_its_idle_connection_ended_is_answered() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        let now = place.clock.now();
        let again = {
            let mut serve = place.serve.borrow_mut();
            let _ = serve
                .connections_mut()
                .set_idle_limit(Duration::from_millis(200))
                .count();
            serve
                .connections_mut()
                .idle_deadline_reached(now + Duration::from_millis(300), 1)
                .expect("told first")
        };
        assert!(peer.line().await.contains("leaving"));
        peer.say_at_once(&req(2, "quote", 1));
        assert_eq!(
            place
                .serve
                .borrow_mut()
                .connections_mut()
                .idle_deadline_reached(again, 1),
            None,
            "it ends now"
        );
        place.serves_the_last_request(&mut peer).await;
    });
}

/// The same for all connections at the end of a drain.
#[test]
fn a_req_that_came_before_the_end_of_a_drain_is_answered() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        place
            .serve
            .borrow_mut()
            .drain(place.clock.now(), Duration::from_millis(3_000));
        assert!(peer.line().await.contains("leaving"));
        assert!(place.serve.borrow().is_quiescent());
        peer.say_at_once(&req(2, "quote", 1));
        place.serve.borrow_mut().close_connections();
        place.serves_the_last_request(&mut peer).await;
    });
}

/// Half a line at the notice to drain, the rest within the grace: a req like any other of that time.
#[test]
fn half_a_line_at_the_notice_to_drain_is_read_on() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        let line = req(2, "quote", 1);
        let (half, rest) = line.split_at(40);
        // Read with a check before it, which is answered.
        peer.say_at_once(&format!("{WELL}{half}"));
        assert!(peer.line().await.contains("\"fit\":true"));
        place
            .serve
            .borrow_mut()
            .drain(place.clock.now(), Duration::from_millis(3_000));
        peer.say_at_once(rest);
        place.serves_one().await;
        assert!(peer.line().await.contains("leaving"));
        assert!(peer.line().await.contains("\"id\":2,\"result\""));
    });
}

/// One that comes after the end is nobody's, and the connection is not reset for it.
#[test]
fn a_req_that_crosses_the_end_is_not_run() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        place.serve.borrow_mut().close_connections();
        assert_eq!(peer.line().await, "");
        peer.say(&req(2, "quote", 1)).await;
        let mut half = peer.0.into_inner();
        half.shutdown().await.expect("shut");
        until(|| place.serve.borrow().connection_count() == 0).await;
        assert_eq!(place.serve.borrow().in_flight_count(), 0);
        assert_eq!(half.read(&mut [0]).await.expect("no reset"), 0);
    });
}

/// Half a line holds a connection for a while against those that want its room, and against its idling.
#[test]
fn a_line_half_written_is_waited_for() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        let line = req(2, "quote", 1);
        let (half, rest) = line.split_at(40);
        peer.say(half).await;
        let amid = |now: Timestamp| !place.serve.borrow_mut().evict_connection(now);
        // Read once it may not go; until then it was not asked to.
        until(|| {
            let mut serve = place.serve.borrow_mut();
            let _ = serve
                .connections_mut()
                .set_idle_limit(Duration::from_millis(200))
                .count();
            let late = place.clock.now() + Duration::from_millis(300);
            serve.connections_mut().idle_deadline_reached(late, 1)
                != Some(late + Duration::from_millis(1_000))
        })
        .await;
        assert!(amid(place.clock.now()));
        peer.say(rest).await;
        place.serves_one().await;
        loop {
            let line = peer.line().await;
            assert!(!line.is_empty());
            if line.contains("\"id\":2,\"result\"") {
                break;
            }
        }
        // One that does not go on is not waited for.
        peer.say(half).await;
        until(|| !amid(place.clock.now() + Duration::from_millis(60_000))).await;
    });
}

/// Where all connections carry something a new one is told that its req is shed, not closed unread; so is each
/// of many.
#[test]
fn a_connection_beyond_the_room_is_told() {
    played(async {
        let place = Place::new(1).await;
        let mut busy = place.heard().await;
        busy.say(&req(2, "quote", 1)).await;
        until(|| place.serve.borrow().in_flight_count() == 1).await;
        place.turn();
        let mut peers = vec![];
        for own in 2..20 {
            let mut peer = place.peer().await;
            peer.say_at_once(&req(1, "quote", own));
            peers.push(peer);
        }
        for mut peer in peers {
            let told = peer.line().await;
            assert!(
                told.contains("\"id\":1,\"error\":{\"code\":-32002") && told.contains("cooldown"),
                "{told}"
            );
            assert_eq!(peer.line().await, "");
        }
        until(|| place.serve.borrow().connection_count() == 1).await;
        // One that asks nothing is let go soon, with nothing said.
        let mut silent = place.peer().await;
        until(|| {
            place.turn();
            place.serve.borrow().connection_count() == 1
                && place.serve.borrow().counters().connections_refused == 19
        })
        .await;
        assert_eq!(silent.rest().await.expect("no reset"), "");
        place.done(1);
        assert!(busy.line().await.contains("\"id\":2,\"result\""));
        assert_eq!(place.serve.borrow().counters().runs, 1);
    });
}

/// A further try of a keyed req that runs shares its result also where there is no room: it is not shed.
#[test]
fn a_repeat_beyond_the_room_is_not_shed() {
    played(async {
        let place = Place::new(1).await;
        let keyed = |id, own| {
            let plain = req(id, "book", own);
            plain.replace(
                "\"room\"",
                "\"replay\":\"00000000000000000000000000000005\",\"room\"",
            )
        };
        let mut busy = place.heard().await;
        busy.say(&keyed(2, 1)).await;
        until(|| place.serve.borrow().in_flight_count() == 1).await;
        place.turn();
        let mut peer = place.peer().await;
        peer.say(&keyed(1, 2)).await;
        until(|| place.serve.borrow().in_flight_count() == 2).await;
        place.turn();
        place.done(1);
        for (peer, id) in [(&mut busy, 2), (&mut peer, 1)] {
            assert!(
                peer.line()
                    .await
                    .contains(&format!("\"id\":{id},\"result\":{{\"bytes\":\"WFla\""))
            );
        }
        assert_eq!(place.serve.borrow().counters().runs, 1);
    });
}

/// A connection that ends while the core is at work is told to it once it is free.
#[test]
#[allow(clippy::await_holding_refcell_ref)] // What is tested is the core at work while a task ends.
fn an_end_that_falls_into_other_work_is_not_lost() {
    played(async {
        let place = Place::new(8).await;
        let peer = place.heard().await;
        let at_work = place.serve.borrow_mut();
        // A reset: the connection's task ends without a word to the core.
        let stream = peer.0.into_inner().into_std().expect("a stream");
        socket2::SockRef::from(&stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .expect("set");
        drop(stream);
        // Its task has its turn within a few of the runtime's: each sleep is one at least.
        for _ in 0..20 {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        drop(at_work);
        until(|| place.serve.borrow().connection_count() == 0).await;
        assert!(place.serve.borrow().is_quiescent());
    });
}

/// All forms of a message: a body of the longest with every character escaped.
#[test]
fn a_body_with_every_character_escaped_is_read() {
    played(async {
        let place = Place::new(8).await;
        let mut peer = place.heard().await;
        let bytes = format!("\"{}\"", "\\u0041".repeat(2_732));
        peer.say(&body(2, "quote", 1, &bytes)).await;
        until(|| place.serve.borrow().in_flight_count() == 1).await;
        place.turn();
        let sent = String::from_utf8(place.engine.take()).expect("text");
        assert!(
            sent.contains(&format!("\"blob\":{bytes}")),
            "the body goes on as it came"
        );
        place.done(1);
        assert!(peer.line().await.contains("\"id\":2,\"result\""));
    });
}

/// Calls leave the descriptors that the program needs: one too many is not made, and is known not to have run.
#[test]
fn calls_leave_descriptors_to_others() {
    played(async {
        let place = Place::new(8).await;
        let catalogue = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let at = watch::channel(Some(catalogue.local_addr().expect("an address")));
        place.serve.borrow_mut().limit_descriptors(2);
        spawn_local(calls::run(at.1, place.clock.clone(), place.serve.clone()));
        let mut peer = place.heard().await;
        for own in [1, 2] {
            peer.say(&req(own, "search", own)).await;
        }
        until(|| place.serve.borrow().in_flight_count() == 2).await;
        place.turn();
        let now = place.clock.now();
        let names: [[u8; 16]; 2] = [1, 2].map(|own| {
            format!("{own:016x}")
                .into_bytes()
                .try_into()
                .expect("16 digits")
        });
        for (serial, name) in names.iter().enumerate() {
            place
                .serve
                .borrow_mut()
                .at_call(now, name, serial as u64 + 1, "YWJj");
        }
        place.turn();
        let (stream, _) = catalogue.accept().await.expect("one call");
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).await.expect("a call");
        assert!(line.starts_with("FETCH "), "{line}");
        until(|| {
            place
                .serve
                .borrow()
                .counter_lines()
                .contains("counter calls.unreached 1\n")
        })
        .await;
        assert_eq!(place.serve.borrow().calls().calls_in_flight(), 1);
    });
}

/// What a connection that waits takes of the memory is small: no buffer is kept over a wait.
#[test]
fn a_connection_that_waits_keeps_no_buffer() {
    played(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let stream = TcpStream::connect(listener.local_addr().expect("an address"))
            .await
            .expect("made");
        let out = Outbox::default();
        let waits = drive_peer(&stream, &out, |_| true);
        let bytes = std::mem::size_of_val(&waits);
        assert!(bytes < 2_000, "{bytes} bytes a connection");
    });
}

/// Small writes are not held back: nothing is written on a socket before it is told so.
#[test]
fn no_socket_holds_small_writes_back() {
    played(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let made = TcpStream::connect(listener.local_addr().expect("an address"))
            .await
            .expect("made");
        let (accepted, _) = listener.accept().await.expect("accepted");
        for stream in [made, accepted] {
            assert!(!stream.nodelay().expect("told"));
            let out = Outbox::default();
            out.put(|b| b.push(b'x'));
            out.close();
            drive(&stream, &out, |_| true).await.expect("written");
            assert!(stream.nodelay().expect("told"));
        }
    });
}

/// What the machine has accepted when listening ends is served, also beyond the room.
#[test]
fn what_was_accepted_beyond_the_room_is_told_at_the_end_of_listening() {
    played(async {
        let place = Place::new(1).await;
        let mut busy = place.heard().await;
        busy.say(&req(2, "quote", 1)).await;
        until(|| place.serve.borrow().in_flight_count() == 1).await;
        place.turn();
        let mut peers = vec![];
        for own in 2..12 {
            let mut stream = std::net::TcpStream::connect(place.address).expect("a connection");
            stream
                .write_all(req(1, "quote", own).as_bytes())
                .expect("written");
            stream.set_nonblocking(true).expect("set");
            peers.push(Peer(BufReader::new(
                TcpStream::from_std(stream).expect("a stream"),
            )));
        }
        place.stop.notify_one();
        for mut peer in peers {
            assert!(
                peer.line()
                    .await
                    .contains("\"id\":1,\"error\":{\"code\":-32002")
            );
            assert_eq!(peer.line().await, "");
        }
    });
}
