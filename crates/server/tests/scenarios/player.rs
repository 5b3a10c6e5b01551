//! The server's core with all of its peers, its disk and its clock played by a scenario.
//!
//! Holds the time, the peers' ends of the connections, and the lines that were sent to each peer and not checked yet.
//! It does not compare these lines with expectations; [`step`](crate::step) does.

use crate::common::SETTINGS;
use madderbay::time::{Duration, Timestamp};
use madderbay_idempotency_store::{Batch, DurableResults};
use madderbay_server::core::durability::{DurabilityQueue, StorageEvent};
use madderbay_server::core::event_loop::EventLoop;
use madderbay_server::downstream::json_rpc::JsonRpcSession;
use madderbay_server::support::io::{NextInput, Outbox};
use madderbay_server::upstream::calls::{CallObserver as _, ReplyReader};
use madderbay_server::upstream::engine::{EngineObserver as _, NoticeReader};
use std::collections::{HashMap, VecDeque};
use std::sync::mpsc::{Receiver, channel};

/// Memory limit for cached results, in bytes: two and a half times the longest result of a scenario.
const MAX_CACHED_RESULTS_BYTES: usize = 2_500;
/// Unix time at the start of a scenario, in milliseconds.
pub(crate) const START_MS: u64 = 1_764_576_000_000;
/// Name of the engine link as a peer.
pub(crate) const ENGINE: &str = "e";

/// Returns the instant `millis` milliseconds after the start of the scenario.
pub(crate) fn instant_at(millis: u64) -> Timestamp {
    Timestamp::from_micros((START_MS + millis) * 1000)
}

/// Returns the index of the upstream call whose peer has this name, such as `c1`; `None` for any other peer.
fn call_index(peer: &str) -> Option<usize> {
    peer.strip_prefix('c')?
        .parse::<usize>()
        .ok()?
        .checked_sub(1)
}

fn gauge_reply(cookie: &str) -> String {
    format!("{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[0.5,1,0.1,3.0]}}\n")
}

/// A connection of a load balancer.
struct ClientConnection {
    id: u64,
    outbox: Outbox,
    session: JsonRpcSession,
    is_read: bool,
}

/// A connection for an upstream call.
struct CallConnection {
    id: u64,
    outbox: Outbox,
    replies: ReplyReader,
}

/// A disk that is played by the scenario.
struct SimulatedDisk {
    batches: Receiver<Batch>,
}

/// Numbers of requests according to the counters.
pub(crate) struct RequestCounts {
    pub read: u64,
    /// Requests that were answered, were cancelled by their clients, or are still open.
    pub ended_or_open: u64,
}

/// Plays one scenario.
pub(crate) struct ScenarioPlayer {
    pub core: EventLoop,
    now: Timestamp,
    /// Upper bound on the bytes that are fed to the core at once.
    max_feed: usize,
    clients: HashMap<String, ClientConnection>,
    notices: NoticeReader,
    engine: Option<Outbox>,
    engine_is_mute: bool,
    disk: Option<SimulatedDisk>,
    /// Whether all that is written is durable at once.
    disk_is_instant: bool,
    /// The peer that accepts no more bytes.
    unwritable_peer: Option<String>,
    /// Delay with which expired timers are handled.
    pub timer_delay: Duration,
    calls: Vec<CallConnection>,
    sent: HashMap<String, VecDeque<String>>,
}

impl ScenarioPlayer {
    /// Returns a core at the start of a scenario. It is linked to its engine, and is fed at most `max_feed` bytes at
    /// once.
    pub(crate) fn new(max_feed: usize) -> ScenarioPlayer {
        let settings = madderbay_settings::read(SETTINGS.as_bytes()).expect("valid settings");
        let mut player = ScenarioPlayer {
            core: EventLoop::new(instant_at(0), 7, settings, MAX_CACHED_RESULTS_BYTES),
            now: instant_at(0),
            max_feed,
            clients: HashMap::new(),
            notices: NoticeReader::default(),
            engine: None,
            engine_is_mute: false,
            disk: None,
            disk_is_instant: true,
            unwritable_peer: None,
            timer_delay: Duration::ZERO,
            calls: vec![],
            sent: HashMap::new(),
        };
        player.link_engine();
        player.settle();
        player
    }

    /// Returns the current time of the scenario.
    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }

    /// Opens a new link to the engine.
    pub(crate) fn link_engine(&mut self) {
        let outbox = Outbox::default();
        self.notices.link_opened();
        self.core
            .engine_link_mut()
            .attach(outbox.clone(), self.notices.serial());
        self.engine = Some(outbox);
    }

    /// Returns the connection of a load balancer, which is opened if there is none.
    fn client(&mut self, peer: &str) -> &mut ClientConnection {
        let (core, now) = (&mut self.core, self.now);
        self.clients.entry(peer.to_string()).or_insert_with(|| {
            let outbox = Outbox::default();
            let id = core.connection_opened(now, outbox.clone());
            ClientConnection {
                id,
                outbox,
                session: JsonRpcSession::new(id),
                is_read: true,
            }
        })
    }

    /// Feeds the core the bytes that a peer sends.
    pub(crate) fn feed(&mut self, peer: &str, bytes: &[u8]) {
        for piece in bytes.chunks(self.max_feed) {
            match call_index(peer) {
                _ if peer == ENGINE => self.feed_engine(piece),
                Some(index) => self.feed_call(index, piece),
                None => self.feed_client(peer, piece),
            }
        }
    }

    fn feed_engine(&mut self, piece: &[u8]) {
        assert!(
            self.notices.feed(self.now, piece, &mut self.core),
            "the engine link is unreadable"
        );
    }

    fn feed_call(&mut self, index: usize, piece: &[u8]) {
        self.open_wanted_calls();
        let (now, core) = (self.now, &mut self.core);
        let call = &mut self.calls[index];
        let id = call.id;
        let is_read = call.replies.feed(piece, |reply| {
            core.reply_read(now, id, &reply);
        });
        if !is_read {
            call.outbox.close();
        }
    }

    fn feed_client(&mut self, peer: &str, piece: &[u8]) {
        self.client(peer);
        let client = self.clients.get_mut(peer).expect("a known client");
        if !client.is_read {
            return;
        }
        let mut next = client.session.feed(self.now, piece, &mut self.core);
        while next == NextInput::Resume {
            next = client.session.resume(self.now, &mut self.core);
        }
        client.is_read = next == NextInput::Read;
    }

    fn open_wanted_calls(&mut self) {
        let wanted = self.core.calls_mut().take_wanted();
        let connections = wanted.into_iter().map(|wanted| CallConnection {
            id: wanted.id,
            outbox: wanted.outbox,
            replies: ReplyReader::default(),
        });
        self.calls.extend(connections);
    }

    /// Makes results durable, on a disk that writes at once.
    pub(crate) fn make_results_durable(&mut self) {
        let (sender, batches) = channel();
        self.disk = Some(SimulatedDisk { batches });
        let results = DurableResults::new(1_000, 100_000);
        self.core
            .set_durability(DurabilityQueue::new(results, sender));
    }

    /// Ends the thread that writes to the disk: nothing that was passed to it is reported, and it accepts nothing more.
    pub(crate) fn end_writer(&mut self) {
        self.disk = None;
    }

    /// Lets the disk write only on [`finish_writes`](Self::finish_writes) from now on.
    pub(crate) fn hold_writes(&mut self) {
        self.disk_is_instant = false;
    }

    /// Completes all pending writes, or fails all of them. Returns false if no write is pending.
    pub(crate) fn finish_writes(&mut self, succeed: bool) -> bool {
        let batches = self.disk.iter().flat_map(|disk| disk.batches.try_iter());
        let Some(sequence) = batches.last().map(|batch| batch.last) else {
            return false;
        };
        let error = std::io::Error::other("injected write failure");
        let event = if succeed {
            StorageEvent::Written {
                sequence,
                disk_bytes: 100,
            }
        } else {
            StorageEvent::Failed { sequence, error }
        };
        self.core.storage_event(self.now, event);
        true
    }

    /// Lets the core process all that has arrived, collects what it sent, and answers its queries of the gauges.
    pub(crate) fn settle(&mut self) {
        self.core.run_turn(self.now);
        while self.disk_is_instant && self.finish_writes(true) {
            self.core.run_turn(self.now);
        }
        self.open_wanted_calls();
        let cookies = self.collect_sent();
        if cookies.is_empty() || self.engine_is_mute {
            return;
        }
        for cookie in cookies {
            self.feed(ENGINE, gauge_reply(&cookie).as_bytes());
        }
        self.settle();
    }

    /// Collects the lines that were sent to each peer, without queries of the gauges. Returns the cookies of these
    /// queries.
    fn collect_sent(&mut self) -> Vec<String> {
        let mut cookies = vec![];
        for (peer, outbox) in self.outboxes() {
            if self.unwritable_peer.as_ref() == Some(&peer) {
                continue;
            }
            let text = String::from_utf8(outbox.take()).expect("valid UTF-8");
            let lines = self.sent.entry(peer).or_default();
            for line in text.lines() {
                match line.strip_prefix("{\"msg\":\"STAT\",\"cookie\":\"") {
                    Some(cookie) => cookies.push(cookie.trim_end_matches("\"}").to_string()),
                    None => lines.push_back(line.to_string()),
                }
            }
        }
        cookies
    }

    /// Returns the outboxes of all peers with the peers' names.
    fn outboxes(&self) -> Vec<(String, Outbox)> {
        let clients = self.clients.iter();
        let clients = clients.map(|(name, client)| (name.clone(), client.outbox.clone()));
        let calls = (1..).zip(&self.calls);
        let calls = calls.map(|(n, call)| (format!("c{n}"), call.outbox.clone()));
        let engine = self.engine.iter();
        let engine = engine.map(|outbox| (ENGINE.to_string(), outbox.clone()));
        clients.chain(calls).chain(engine).collect()
    }

    /// Returns the next line that was sent to a peer and not checked yet.
    pub(crate) fn next_sent(&mut self, peer: &str) -> Option<String> {
        self.sent.get_mut(peer)?.pop_front()
    }

    /// Advances the clock to a later time and handles the timers that are due on the way.
    pub(crate) fn advance_to(&mut self, until: Timestamp) {
        let delay = self.timer_delay;
        let is_due = |deadline: &Timestamp| *deadline + delay < until;
        while let Some(deadline) = self.core.next_deadline().filter(is_due) {
            self.now = self.now.max(deadline + delay);
            self.settle();
        }
        self.now = until;
        self.settle();
    }

    /// Breaks the connection to a peer.
    pub(crate) fn disconnect(&mut self, peer: &str) {
        if peer == ENGINE {
            self.core.link_lost();
            self.engine = None;
        } else if let Some(index) = call_index(peer) {
            self.open_wanted_calls();
            let id = self.calls[index].id;
            self.core.call_connection_ended(self.now, id);
        } else {
            let id = self.client(peer).id;
            self.core.connection_closed(self.now, id);
        }
    }

    /// Ends the input from a load balancer, which still reads its answers.
    pub(crate) fn end_input(&mut self, peer: &str) {
        let id = self.client(peer).id;
        self.core.input_ended(id);
    }

    /// Reports whether the connection to a peer is closing, or whether no more input is read from it.
    pub(crate) fn is_closed(&mut self, peer: &str) -> bool {
        if peer == ENGINE {
            return self.engine.as_ref().is_some_and(|o| o.is_closing());
        }
        if peer.starts_with('c') {
            let call = call_index(peer).and_then(|index| self.calls.get(index));
            return call.is_some_and(|call| call.outbox.is_closing());
        }
        let client = self.client(peer);
        !client.is_read || client.outbox.is_closing()
    }

    /// Lets a peer accept no more bytes from now on.
    pub(crate) fn make_unwritable(&mut self, peer: &str) {
        self.unwritable_peer = Some(peer.to_string());
    }

    /// Lets the engine answer no queries of its gauges from now on.
    pub(crate) fn mute_engine(&mut self) {
        self.engine_is_mute = true;
    }

    /// Lets the engine answer the last query of its gauges, and later ones.
    pub(crate) fn unmute_engine(&mut self) {
        self.engine_is_mute = false;
        let cookie = self.core.engine_link_mut().last_query();
        self.feed(ENGINE, gauge_reply(&cookie.to_string()).as_bytes());
    }

    /// Returns the numbers of requests read and of requests accounted for. They are equal at any time: a request that
    /// was read is answered, cancelled by its client, or still open.
    pub(crate) fn request_counts(&self) -> RequestCounts {
        let counters = self.core.counter_lines();
        let sum = |names: &[&str]| -> u64 {
            let is_named = |l: &&str| names.iter().any(|n| l.starts_with(&format!("counter {n}")));
            let lines = counters.lines().filter(is_named);
            lines
                .filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok())
                .sum()
        };
        RequestCounts {
            read: sum(&["read."]),
            ended_or_open: sum(&["answered.", "gone ", "open "]),
        }
    }
}
