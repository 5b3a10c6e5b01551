//! The core with every peer played: what is fed to it, what it sends, and the clock.
//!
//! Owns: the time, the peers' ends and what was sent to each and not looked at yet. Never judges what was sent: that
//! is for [`step`](crate::step).

use crate::common::SETTINGS;
use madderbay::time::{Duration, Timestamp};
use madderbay_idempotency_store::{Batch, DurableResults};
use madderbay_server::core::durability::{DurabilityQueue, StorageEvent};
use madderbay_server::core::event_loop::EventLoop;
use madderbay_server::downstream::json_rpc::JsonRpcSession;
use madderbay_server::support::io::Outbox;
use madderbay_server::upstream::calls::{CallObserver as _, ReplyReader};
use madderbay_server::upstream::engine::{EngineObserver as _, NoticeReader};
use std::collections::{HashMap, VecDeque};
use std::sync::mpsc::{Receiver, channel};

/// Bytes that cached results may take: two and a half of the longest played here.
const RESULTS_BYTES: usize = 2_500;
/// The Unix time at which a scenario starts, in milliseconds.
pub(crate) const START_MS: u64 = 1_764_576_000_000;
/// The name of the engine's link as a peer.
pub(crate) const ENGINE: &str = "e";

/// The instant so many milliseconds after the start.
pub(crate) fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros((START_MS + millis) * 1000)
}

/// The index of an upstream call by the name of its peer, such as `c1`; nothing for any other peer.
fn call_index(peer: &str) -> Option<usize> {
    peer.strip_prefix('c')?
        .parse::<usize>()
        .ok()?
        .checked_sub(1)
}

fn gauges(cookie: &str) -> String {
    format!("{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[0.5,1,0.1,3.0]}}\n")
}

/// A load balancer's connection.
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

/// The disk, played.
struct SimulatedDisk {
    batches: Receiver<Batch>,
}

/// Requests as the counters have them.
pub(crate) struct RequestCounts {
    pub read: u64,
    /// Answered, withdrawn and still open.
    pub ended_or_open: u64,
}

/// Plays one scenario.
pub(crate) struct ScenarioPlayer {
    pub core: EventLoop,
    now: Timestamp,
    /// The most bytes that are fed at once.
    max_feed: usize,
    clients: HashMap<String, ClientConnection>,
    notices: NoticeReader,
    engine: Option<Outbox>,
    engine_is_mute: bool,
    disk: Option<SimulatedDisk>,
    /// What is written is durable at once.
    disk_is_instant: bool,
    /// The peer to which nothing can be written.
    blocked_peer: Option<String>,
    /// How late timers are seen to.
    pub timer_delay: Duration,
    calls: Vec<CallConnection>,
    sent: HashMap<String, VecDeque<String>>,
}

impl ScenarioPlayer {
    /// A core at the start of a scenario, linked to its engine, that is fed at most `max_feed` bytes at once.
    pub(crate) fn new(max_feed: usize) -> ScenarioPlayer {
        let settings = madderbay_settings::read(SETTINGS.as_bytes()).expect("settings");
        let mut player = ScenarioPlayer {
            core: EventLoop::new(at(0), 7, settings, RESULTS_BYTES),
            now: at(0),
            max_feed,
            clients: HashMap::new(),
            notices: NoticeReader::default(),
            engine: None,
            engine_is_mute: false,
            disk: None,
            disk_is_instant: true,
            blocked_peer: None,
            timer_delay: Duration::ZERO,
            calls: vec![],
            sent: HashMap::new(),
        };
        player.link_engine();
        player.settle();
        player
    }

    /// The time of the scenario.
    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }

    /// Makes a new link to the engine.
    pub(crate) fn link_engine(&mut self) {
        let outbox = Outbox::default();
        self.notices.link_opened();
        self.core
            .engine_link_mut()
            .attach(outbox.clone(), self.notices.serial());
        self.engine = Some(outbox);
    }

    /// The connection of a load balancer, which is opened if it is new.
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

    /// Feeds what a peer sends.
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
            "the engine's link is read on"
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
        let client = self.clients.get_mut(peer).expect("known");
        client.is_read = client.is_read && client.session.feed(self.now, piece, &mut self.core);
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

    /// Makes results durable, on a disk that is quick.
    pub(crate) fn make_results_durable(&mut self) {
        let (sender, batches) = channel();
        self.disk = Some(SimulatedDisk { batches });
        let results = DurableResults::new(1_000, 100_000);
        self.core
            .set_durability(DurabilityQueue::new(results, sender));
    }

    /// The thread that writes ends: nothing that was handed to it is reported, and it takes nothing more.
    pub(crate) fn end_writer(&mut self) {
        self.disk = None;
    }

    /// From now on the disk writes only on [`finish_writes`](Self::finish_writes).
    pub(crate) fn hold_writes(&mut self) {
        self.disk_is_instant = false;
    }

    /// All that waits for the disk is written, or all of it fails. False where nothing waited.
    pub(crate) fn finish_writes(&mut self, succeed: bool) -> bool {
        let batches = self.disk.iter().flat_map(|disk| disk.batches.try_iter());
        let Some(sequence) = batches.last().map(|batch| batch.last) else {
            return false;
        };
        let error = std::io::Error::other("told to fail");
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

    /// Ends a moment: what came is settled, what was sent is put by, the engine answers questions for its gauges.
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
            self.feed(ENGINE, gauges(&cookie).as_bytes());
        }
        self.settle();
    }

    /// Puts by what was sent to each peer; gives the cookies of questions for the gauges, which are left out.
    fn collect_sent(&mut self) -> Vec<String> {
        let mut cookies = vec![];
        for (peer, outbox) in self.outboxes() {
            if self.blocked_peer.as_ref() == Some(&peer) {
                continue;
            }
            let text = String::from_utf8(outbox.take()).expect("text");
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

    /// The outboxes of all peers with their names.
    fn outboxes(&self) -> Vec<(String, Outbox)> {
        let clients = self.clients.iter();
        let clients = clients.map(|(name, client)| (name.clone(), client.outbox.clone()));
        let calls = (1..).zip(&self.calls);
        let calls = calls.map(|(n, call)| (format!("c{n}"), call.outbox.clone()));
        let engine = self.engine.iter();
        let engine = engine.map(|outbox| (ENGINE.to_string(), outbox.clone()));
        clients.chain(calls).chain(engine).collect()
    }

    /// The next line that was sent to a peer.
    pub(crate) fn next_sent(&mut self, peer: &str) -> Option<String> {
        self.sent.get_mut(peer)?.pop_front()
    }

    /// Sets the clock to a later time; timers run on the way.
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

    /// The connection to a peer breaks.
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

    /// A load balancer sends no more.
    pub(crate) fn end_input(&mut self, peer: &str) {
        let id = self.client(peer).id;
        self.core.input_ended(id);
    }

    /// Whether the connection to a peer is closing, or nothing more may be read of it.
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

    /// From now on nothing can be written to a peer.
    pub(crate) fn make_unwritable(&mut self, peer: &str) {
        self.blocked_peer = Some(peer.to_string());
    }

    /// From now on the engine answers no question for its gauges.
    pub(crate) fn mute_engine(&mut self) {
        self.engine_is_mute = true;
    }

    /// The engine answers the last question for its gauges, and later ones.
    pub(crate) fn unmute_engine(&mut self) {
        self.engine_is_mute = false;
        let cookie = self.core.engine_link_mut().last_query();
        self.feed(ENGINE, gauges(&cookie.to_string()).as_bytes());
    }

    /// Whatever happens, requests read are those answered, withdrawn and still open.
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
