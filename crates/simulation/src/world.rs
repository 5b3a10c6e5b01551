//! The fleet: each server the program's own core, view, shared state and judgements, on simulated sockets in
//! simulated time. One seed gives all chance; the same seed gives the same rows to the byte.

use crate::below::{Backend, Call, Came, Engine, Fares};
use crate::history::{Deed, History, Ill, Plant};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::{ConcurrencyConfig, PoolConfig, Reserve, UpstreamGroup};
use madderbay_membership::{AllowedNetworks, MemberState, Membership};
use madderbay_quota::{BudgetSettings, FleetQuotas, LeaseTerms};
use madderbay_server::core::event_loop::EventLoop;
use madderbay_server::core::quota_gate::QuotaGroup;
use madderbay_server::downstream::json_rpc::JsonRpcSession;
use madderbay_server::fleet::backends::Backends;
use madderbay_server::fleet::quota_leases::{CounterNames, FleetQuotaSource};
use madderbay_server::support::clock::MonotonicClock;
use madderbay_server::support::io::Outbox;
use madderbay_server::upstream::calls::{CallObserver as _, ReplyReader};
use madderbay_server::upstream::engine::NoticeReader;
use madderbay_settings::Settings;
use madderbay_testkit::fleet::network::SimulatedNetwork;
use madderbay_testkit::fleet::script::Action;
use madderbay_upstream::{
    BackendEvent, BackendSettings, FleetStack, Settings as RoutesSet, State as Backed,
    UpstreamManager,
};
use oorandom::Rand64;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

const START_MS: u64 = 1_764_576_000_000;
/// Ways on the own machine, and to what lies below.
const NEAR: Duration = Duration::from_micros(100);
const WAY: Duration = Duration::from_millis(1);
/// Datagrams take this long where no fault says otherwise.
const CALM: (Duration, Duration) = (Duration::from_micros(200), Duration::from_millis(2));
/// Clocks of servers run apart by so much at the most, each from the true one.
const DRIFT: f64 = 0.005;
/// What waits in the socket of a server that is stopped.
const WAITING: usize = 500;
/// Callers wait so long; an answer may be that much later before it counts as none.
const ALLOW: Duration = Duration::from_millis(3_000);
const SLACK: Duration = Duration::from_millis(50);
/// How many of one kind within this span count as unison.
const UNISON: Duration = Duration::from_millis(100);
/// Repeats for each first try, with what is saved at the start.
const REPEATS: f64 = 0.12;
/// After the last deed all that run hold one view within this.
const SETTLES: Duration = Duration::from_millis(14_000);
const CORES: f64 = 2.0;
const SLOTS: usize = 40;
const CALL: Duration = Duration::from_millis(25);
const LONGEST: Duration = Duration::from_millis(1_500);

/// `search` may run again and skip its call, `quote` calls nothing, `book` runs once.
const SETTINGS: &str = r#"{"classes": [
 {"name": "search", "aim_us": 2000000, "hard_limit_us": 4000000, "importance": 1.0, "effect": "read_like"},
 {"name": "quote", "aim_us": 1500000, "hard_limit_us": 4000000, "importance": 1.0, "effect": "read_like"},
 {"name": "book", "aim_us": 3000000, "hard_limit_us": 4000000, "importance": 3.0, "effect": "idempotency_key",
  "repeat_window_us": 10000000}],
 "tenants": [{"name": "acme", "allowance_per_s": 5000.0}],
 "family_info": {"n_cores": 2, "memory_kb": 40000.0, "blowup": 4.0, "key_kb": 2.0, "preemption": "freeze",
  "below": "one_for_all", "dep_share": 24.0, "share_span_us": 5000000, "linger_us": 0,
  "class_calls": [true, false, true], "class_skip_worth": [0.6, 0.0, 0.0], "passes_deadline": true,
  "readiness": true, "say": "allowance", "upstreams": 2, "keepalive_max_us": 30000000,
  "meters": ["core_use", "on_cores", "heap_share", "links"]},
 "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
 "rules": {"tip_multiple": 20.0, "drain_grace_us": 2000000}, "servers": SERVERS}"#;

pub const HANDLERS: [&str; 3] = ["search", "quote", "book"];
const PARTS: [f64; 3] = [0.35, 0.4, 0.25];
const WORK_MS: [f64; 3] = [12.0, 6.0, 12.0];

struct Wire {
    out: Outbox,
    to: Option<SocketAddr>,
    replies: ReplyReader,
}

struct Node {
    up: bool,
    stopped: bool,
    lives: u32,
    serve: EventLoop,
    front: JsonRpcSession,
    conn: u64,
    out: Outbox,
    notices: NoticeReader,
    link: Outbox,
    engine: Engine,
    wires: BTreeMap<u64, Wire>,
    together: Option<Rc<RefCell<FleetStack>>>,
    lender: Option<Rc<FleetQuotaSource>>,
    backends: Option<Rc<Backends>>,
    /// What its monotonic clock shows now, how far that is ahead, and how fast it runs.
    mono: Rc<Cell<Timestamp>>,
    ahead: Duration,
    rate: f64,
    wakes: Timestamp,
    waiting: Vec<Event>,
    load: f64,
    rpc: u64,
    /// Open reqs by number.
    open: BTreeMap<u64, Asked>,
    /// Those answered whose time is not over.
    answered: BTreeSet<u64>,
}

struct Asked {
    handler: usize,
    name: String,
    began: Timestamp,
    started: bool,
}

#[derive(Clone)]
enum Event {
    Arrival(usize, u32),
    Wake(usize, u32),
    Notice(usize, u32, String),
    Datagram(usize, SocketAddr, Vec<u8>),
    /// A call reaches what lies below.
    Reaches(usize, Call),
    Worked(usize, u64),
    Reply(usize, u32, u64, String),
    Broken(usize, u32, u64),
    Due(usize, u32, u64),
    Deed(usize),
    Row,
}

/// A second of a play.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Row {
    pub second: u64,
    /// By handler: reqs that began in it, and done in time.
    pub asked: [u32; 3],
    pub kept: [u32; 3],
    pub shed: u32,
    pub errored: u32,
    /// The most calls in hand below at a moment.
    pub peak: u32,
    pub calls: u32,
    /// Servers that run, views that differ from the commonest one among them, and backends that servers leave out.
    pub running: u32,
    pub apart: u32,
    pub left_out: u32,
    pub bytes: u64,
}

/// Something that must not be.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    pub at_ms: u64,
    pub rule: &'static str,
    pub what: String,
}

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Found {
    pub breaches: Vec<Breach>,
    pub rows: Vec<Row>,
    /// Seconds from the last deed until all that run hold one view and nobody is suspected; none where they never do.
    pub settles: Option<f64>,
    /// The most servers that did the same within a tenth of a second, by what they did.
    pub unison: BTreeMap<String, u32>,
    pub load_below: f64,
}

pub struct World {
    of: History,
    now: Timestamp,
    chance: Rand64,
    nodes: Vec<Node>,
    below: Vec<Backend>,
    numbered: u64,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    net: SimulatedNetwork,
    settings: Settings,
    in_hand: u32,
    rows: Vec<Row>,
    row: Row,
    breaches: Vec<Breach>,
    settled: Option<Timestamp>,
    last_deed: Timestamp,
    did: BTreeMap<String, Vec<Timestamp>>,
    firsts: u64,
    again: u64,
    /// Runs of each req, by name, at any engine.
    ran: BTreeMap<String, u32>,
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros((START_MS + ms) * 1_000)
}

fn name(s: usize) -> String {
    format!("n{}", s + 1)
}

fn zone(of: usize, zones: usize) -> String {
    format!("z{}", of % zones)
}

fn address(s: usize) -> SocketAddr {
    ([127, 1, (s / 250) as u8, (s % 250) as u8 + 1], 7_946).into()
}

fn below(b: usize) -> SocketAddr {
    ([127, 2, (b / 250) as u8, (b % 250) as u8 + 1], 7_700).into()
}

/// The server at an address.
fn which(a: SocketAddr) -> Option<usize> {
    match a.ip() {
        std::net::IpAddr::V4(ip) => {
            (usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3])).checked_sub(1)
        }
        std::net::IpAddr::V6(_) => None,
    }
}

fn which_below(a: SocketAddr) -> usize {
    match a.ip() {
        std::net::IpAddr::V4(ip) => {
            usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]) - 1
        }
        std::net::IpAddr::V6(_) => 0,
    }
}

impl World {
    pub fn new(of: History, seed: u64) -> World {
        let mut chance = Rand64::new(u128::from(seed) + 1);
        let text = SETTINGS.replace("SERVERS", &of.servers.to_string());
        let settings = madderbay_settings::read(text.as_bytes()).expect("settings of its own");
        let now = at(0);
        let mut nodes = vec![];
        for _ in 0..of.servers {
            let ahead = Duration::from_secs_f64(chance.rand_float() * 1e4);
            let rate = 1.0 + DRIFT * (2.0 * chance.rand_float() - 1.0);
            nodes.push(Node {
                up: false,
                stopped: false,
                lives: 0,
                serve: EventLoop::new(now, 0, settings.clone(), 1 << 20),
                front: JsonRpcSession::new(0),
                conn: 0,
                out: Outbox::default(),
                notices: NoticeReader::default(),
                link: Outbox::default(),
                engine: Engine::new(now, CORES),
                wires: BTreeMap::new(),
                together: None,
                lender: None,
                backends: None,
                mono: Rc::new(Cell::new(Timestamp::default())),
                ahead,
                rate,
                wakes: Timestamp::from_micros(u64::MAX),
                waiting: vec![],
                load: 1.0,
                rpc: 0,
                open: BTreeMap::new(),
                answered: BTreeSet::new(),
            });
        }
        let mut world = World {
            net: SimulatedNetwork::new(of.servers, seed + 2, CALM),
            below: (0..of.backends)
                .map(|_| Backend::new(SLOTS, CALL))
                .collect(),
            now,
            chance,
            nodes,
            numbered: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            settings,
            in_hand: 0,
            rows: vec![],
            row: Row::default(),
            breaches: vec![],
            settled: None,
            last_deed: now,
            did: BTreeMap::new(),
            firsts: 0,
            again: 0,
            ran: BTreeMap::new(),
            of,
        };
        for s in 0..world.of.servers {
            world.start(s);
        }
        for i in 0..world.of.deeds.len() {
            let when = at(world.of.deeds[i].0);
            world.push(when, Event::Deed(i));
        }
        world.push(at(1_000), Event::Row);
        world
    }

    fn push(&mut self, when: Timestamp, event: Event) {
        self.numbered += 1;
        self.queue.push(Reverse((when, self.numbered)));
        self.events.insert(self.numbered, event);
    }

    fn breach(&mut self, rule: &'static str, what: String) {
        if self.breaches.len() < 100 {
            let at_ms = (self.now - at(0)).as_micros() / 1_000;
            self.breaches.push(Breach { at_ms, rule, what });
        }
    }

    /// What a server's monotonic clock shows.
    fn tick(&mut self, s: usize) -> Timestamp {
        let node = &mut self.nodes[s];
        let mono = Timestamp::default() + node.ahead + (self.now - at(0)).mul_f64(node.rate);
        node.mono.set(mono);
        mono
    }

    fn start(&mut self, s: usize) {
        let seed = self.chance.rand_u64();
        let mono = self.tick(s);
        let parts = self.of.parts;
        let (servers, zones, whole) = (self.of.servers, self.of.zones, self.of.whole);
        let mut serve = EventLoop::new(self.now, seed, self.settings.clone(), 1 << 20);
        let clock = self.nodes[s].mono.clone();
        let ticks: MonotonicClock = Rc::new(move || clock.get());
        if parts.pools {
            let pool = |name: &str, handler, calls_weight| PoolConfig {
                name: name.into(),
                handlers: vec![handler],
                call_weight: calls_weight,
                ..PoolConfig::default()
            };
            let groups = if parts.routes {
                vec![UpstreamGroup {
                    handlers: vec![0, 2],
                    quota_fraction: 1.0,
                }]
            } else {
                vec![]
            };
            let plan = ConcurrencyConfig {
                pools: vec![pool("books", 2, 1.0), pool("searches", 0, 0.0)],
                reserve: Some(Reserve {
                    handlers: vec![],
                    fraction: 0.1,
                }),
                call_quota: Some(self.settings.below.quota),
                abandoned_call_lifetime: self.settings.below.abandoned_call_lifetime,
                cores: CORES as usize,
                upstream_groups: groups,
                ..ConcurrencyConfig::default()
            };
            serve.set_concurrency_limits(self.now, plan);
        }
        let routes = parts.routes.then(|| {
            let backend = |b: usize| BackendSettings {
                name: format!("b{b}").as_str().into(),
                address: below(b),
                zone: zone(b, zones).as_str().into(),
                weight: 1.0,
                handlers: vec![0, 2],
            };
            let mut set = RoutesSet {
                zone: zone(s, zones).as_str().into(),
                ..RoutesSet::default()
            };
            if self.of.plant == Some(Plant::Repeats) {
                set.retry_ratio = 1.0;
            }
            let routes = UpstreamManager::new(
                mono,
                seed,
                set,
                (0..self.of.backends).map(backend).collect(),
            );
            Rc::new(Backends::on(Rc::new(RefCell::new(routes)), ticks.clone()))
        });
        if let Some(backends) = &routes {
            serve.set_backend_selector(backends.clone());
        }
        let node = &mut self.nodes[s];
        node.lives += 1;
        let lives = node.lives;
        let shared = parts.shared.then(|| {
            let longest = if self.of.plant == Some(Plant::Terms) {
                Duration::from_millis(20)
            } else {
                LONGEST
            };
            let terms = LeaseTerms {
                lease: Duration::from_millis(1_000),
                max_call: longest,
                guard: Duration::from_millis(50),
            };
            let budget = BudgetSettings {
                name: "below".into(),
                capacity: whole,
                max_servers: servers as u32,
                slot: Some(s as u32 + 1),
                weight: 1.0,
                terms,
            };
            let life = (s as u64 + 1) << 32 | u64::from(lives);
            let set = madderbay_quota::Settings {
                name: name(s).as_str().into(),
                incarnation: life,
                budgets: vec![budget],
                counters: vec![],
            };
            FleetQuotas::new(mono, seed, set)
        });
        let unix = (self.now - Timestamp::default()).as_micros() / 1_000;
        let together = parts.members.then(|| {
            let set = madderbay_membership::Settings {
                name: name(s).as_str().into(),
                advertise: address(s),
                zone: zone(s, zones).as_str().into(),
                fleet: "lab".into(),
                join: vec![address(0), address(1)],
                allowed_networks: AllowedNetworks::new(["127.0.0.0/8".parse().expect("a network")]),
                max_members: 2_000,
                probe_interval: Duration::from_millis(500),
                probe_timeout: Duration::from_millis(200),
                suspicion_timeout: Duration::from_millis(
                    if self.of.plant == Some(Plant::Suspicion) {
                        3_000_000
                    } else {
                        3_000
                    },
                ),
                down_retention: Duration::from_millis(60_000),
                local_health_aware: true,
            };
            let mut together = FleetStack::new(Membership::new(mono, unix, seed, set), shared);
            together.routes = routes.as_ref().map(|b| b.routes.clone());
            Rc::new(RefCell::new(together))
        });
        let lender = together.as_ref().filter(|_| parts.shared).map(|together| {
            let counted = CounterNames::default();
            let lender = FleetQuotaSource {
                together: together.clone(),
                counted,
                ticks,
                hurry: Box::new(|| {}),
            };
            Rc::new(lender)
        });
        if let Some(lender) = &lender {
            let groups = vec![QuotaGroup {
                handlers: vec![0, 2],
                longest: LONGEST,
            }];
            serve.set_quota_source(lender.clone(), groups);
        }
        node.serve = serve;
        node.notices = NoticeReader::default();
        node.notices.relinked();
        node.engine = Engine::new(self.now, CORES);
        node.link = Outbox::default();
        node.serve
            .engine_link_mut()
            .attach(node.link.clone(), node.notices.serial());
        node.out = Outbox::default();
        node.conn = node.serve.connection_opened(self.now, node.out.clone());
        node.front = JsonRpcSession::new(node.conn);
        node.wires.clear();
        node.open.clear();
        node.answered.clear();
        node.waiting.clear();
        (node.together, node.lender, node.backends) = (together, lender, routes);
        (node.up, node.stopped, node.rpc, node.wakes) =
            (true, false, 0, Timestamp::from_micros(u64::MAX));
        let first = self.gap(s);
        self.push(self.now + first, Event::Arrival(s, lives));
        self.moment(s);
    }

    fn gap(&mut self, s: usize) -> Duration {
        let rate = (self.of.rate * self.nodes[s].load).max(0.05);
        Duration::from_secs_f64(-(1.0 - self.chance.rand_float()).ln() / rate)
    }

    /// First tries and repeats of a life are added up.
    fn count(&mut self, s: usize) {
        if let Some(b) = &self.nodes[s].backends {
            let totals = *b.routes.borrow().totals();
            (self.firsts, self.again) = (
                self.firsts + totals.first_attempts,
                self.again + totals.retries,
            );
        }
    }

    fn kill(&mut self, s: usize) {
        self.count(s);
        let lives = self.nodes[s].lives;
        self.nodes[s].up = false;
        self.nodes[s].wires.clear();
        self.nodes[s].open.clear();
        self.nodes[s].waiting.clear();
        for b in &mut self.below {
            self.in_hand -= b.quit(|c| c.server == s && c.life == lives) as u32;
        }
    }

    // --- a play

    pub fn play(mut self) -> Found {
        let end = at(self.of.seconds * 1_000);
        while let Some(&Reverse((when, n))) = self.queue.peek() {
            if when > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(when);
            if let Some(event) = self.events.remove(&n) {
                self.event(event);
            }
        }
        let unison = self
            .did
            .iter()
            .map(|(what, times)| (what.clone(), together(times)))
            .collect();
        let settles = self
            .settled
            .map(|when| (when - self.last_deed).as_secs_f64());
        if settles.is_none() && self.of.parts.members {
            let least = at(self.of.seconds * 1_000) - self.last_deed;
            if least > SETTLES {
                self.breach(
                    "settles",
                    format!(
                        "views differ {:.1} s after the last deed",
                        least.as_secs_f64()
                    ),
                );
            }
        }
        let mut twice: BTreeMap<&String, u32> = BTreeMap::new();
        for b in &self.below {
            b.done
                .iter()
                .for_each(|(name, n)| *twice.entry(name).or_default() += n);
        }
        let twice: Vec<String> = twice
            .iter()
            .filter(|t| *t.1 > 1)
            .map(|(name, n)| format!("{name} called {n} times"))
            .collect();
        twice
            .into_iter()
            .for_each(|what| self.breach("no effect twice", what));
        (0..self.of.servers)
            .filter(|s| self.nodes[*s].up)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|s| self.count(s));
        let load_below = 1.0 + self.again as f64 / self.firsts.max(1) as f64;
        if load_below > 1.0 + REPEATS && self.firsts > 500 {
            self.breach(
                "repeats within a tenth",
                format!("{load_below:.3} calls for each first try"),
            );
        }
        Found {
            breaches: self.breaches,
            rows: self.rows,
            settles,
            unison,
            load_below,
        }
    }

    /// Whether a server can be reached in that life; what comes to one that is stopped waits.
    fn open(&mut self, s: usize, life: u32, event: &Event) -> bool {
        let node = &mut self.nodes[s];
        if !node.up || node.lives != life {
            return false;
        }
        if node.stopped {
            if node.waiting.len() < WAITING || !matches!(event, Event::Datagram(..)) {
                node.waiting.push(event.clone());
            }
            return false;
        }
        true
    }

    fn event(&mut self, event: Event) {
        match &event {
            Event::Arrival(s, life) => {
                let (s, life) = (*s, *life);
                if !self.nodes[s].up || self.nodes[s].lives != life {
                    return;
                }
                let next = self.gap(s);
                self.push(self.now + next, Event::Arrival(s, life));
                if !self.nodes[s].stopped {
                    self.arrival(s);
                }
            }
            Event::Wake(s, life) => {
                let (s, life) = (*s, *life);
                let node = &mut self.nodes[s];
                // One that was put off, or came sooner, is another's.
                if node.up && node.lives == life && !node.stopped && node.wakes <= self.now {
                    node.wakes = Timestamp::from_micros(u64::MAX);
                    self.moment(s);
                }
            }
            Event::Notice(s, life, line) => {
                if self.open(*s, *life, &event) {
                    let (s, now) = (*s, self.now);
                    let node = &mut self.nodes[s];
                    node.notices.fed(now, line.as_bytes(), &mut node.serve);
                    self.moment(s);
                }
            }
            Event::Datagram(s, from, bytes) => {
                let (s, life) = (*s, self.nodes[*s].lives);
                if self.open(s, life, &event) {
                    let mono = self.tick(s);
                    if let Some(t) = self.nodes[s].together.clone() {
                        t.borrow_mut().handle_datagram(mono, *from, bytes);
                    }
                    self.moment(s);
                }
            }
            Event::Reaches(b, call) => self.reaches(*b, call.clone()),
            Event::Worked(b, no) => self.worked(*b, *no),
            Event::Reply(s, life, wire, text) => {
                if self.open(*s, *life, &event) {
                    let (s, now, wire) = (*s, self.now, *wire);
                    let node = &mut self.nodes[s];
                    let Node { wires, serve, .. } = node;
                    if let Some(w) = wires.get_mut(&wire) {
                        let whole = w.replies.feed(text.as_bytes(), |reply| {
                            serve.call_over(now, wire, &reply.name, reply.outcome, reply.body);
                        });
                        if !whole {
                            w.out.close();
                        }
                    }
                    self.moment(s);
                }
            }
            Event::Broken(s, life, wire) => {
                if self.open(*s, *life, &event) {
                    let (s, now) = (*s, self.now);
                    let node = &mut self.nodes[s];
                    if node.wires.remove(wire).is_some() {
                        node.serve.call_lost(now, *wire);
                    }
                    self.moment(s);
                }
            }
            Event::Due(s, life, rpc) => self.due(*s, *life, *rpc),
            Event::Deed(i) => {
                let deed = self.of.deeds[*i].1;
                self.deed(deed);
            }
            Event::Row => self.end_of_row(),
        }
    }

    fn arrival(&mut self, s: usize) {
        let mut pick = self.chance.rand_float();
        let handler = PARTS.iter().position(|p| {
            pick -= p;
            pick < 0.0
        });
        let handler = handler.unwrap_or(2);
        let own = format!("{:016x}", self.chance.rand_u64());
        let now_ms = (self.now - Timestamp::default()).as_micros() / 1_000;
        let node = &mut self.nodes[s];
        node.rpc += 1;
        let rpc = node.rpc;
        let key = if handler == 2 {
            format!("\"replay\":\"{own}{own}\",")
        } else {
            String::new()
        };
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{rpc},\"method\":\"{}\",\"params\":{{\"ref\":\"{own}\",\"since\":{now_ms},\
             \"sender\":4,\"project\":\"acme\",\"allow\":{},{key}\"room\":2.5,\"bytes\":\"QUJD\"}}}}\n",
            HANDLERS[handler],
            ALLOW.as_micros() / 1_000
        );
        // One connection carries 32 reqs; a balancer opens another then.
        if node.open.len() >= 30 {
            return;
        }
        node.open.insert(
            rpc,
            Asked {
                handler,
                name: own,
                began: self.now,
                started: false,
            },
        );
        let life = node.lives;
        self.row.asked[handler] += 1;
        let now = self.now;
        let node = &mut self.nodes[s];
        node.front.feed(now, line.as_bytes(), &mut node.serve);
        self.push(now + ALLOW + SLACK, Event::Due(s, life, rpc));
        self.moment(s);
    }

    /// The time for an answer is over.
    fn due(&mut self, s: usize, life: u32, rpc: u64) {
        let node = &mut self.nodes[s];
        if !node.up || node.lives != life {
            return;
        }
        node.answered.remove(&rpc);
        // A server that was stopped meanwhile answers late, and its callers know why.
        if let Some(asked) = node.open.remove(&rpc).filter(|_| !node.stopped)
            && self.now - asked.began <= ALLOW + SLACK + Duration::from_millis(5)
            && !self.excused(s, asked.began)
        {
            let what = format!(
                "{}: {} {} got no answer",
                name(s),
                HANDLERS[asked.handler],
                asked.name
            );
            self.breach("one answer each", what);
        }
    }

    /// Whether a server was stopped at some time since.
    fn excused(&self, s: usize, since: Timestamp) -> bool {
        let stops = |d: &(u64, Deed)| matches!(d.1, Deed::Stop(x) | Deed::Continue(x) if x == s);
        let before = self
            .of
            .deeds
            .iter()
            .filter(|d| stops(d) && at(d.0) <= self.now);
        let mut stopped = false;
        for (when, deed) in before {
            stopped = matches!(deed, Deed::Stop(_));
            if at(*when) >= since {
                return true;
            }
        }
        stopped
    }

    /// One moment of a server: what came settles, what goes out is carried.
    fn moment(&mut self, s: usize) {
        let mono = self.tick(s);
        let now = self.now;
        let node = &mut self.nodes[s];
        let came = node.engine.work(now);
        let (mut notices, life) = (vec![], node.lives);
        for c in came {
            node.engine.serial += 1;
            let n = node.engine.serial;
            notices.push(match c {
                Came::Call(name) => {
                    if let Some(run) = node.engine.runs.get_mut(&name) {
                        run.need = n;
                    }
                    format!("{{\"msg\":\"NEED\",\"serial\":{n},\"call\":\"{name}\",\"blob\":\"QUJD\"}}\n")
                }
                Came::Over(name, took) => format!(
                    "{{\"msg\":\"DONE\",\"serial\":{n},\"call\":\"{name}\",\"how\":\"good\",\"duration\":{},\"blob\":\"QUJD\"}}\n",
                    took.as_micros() / 1_000
                ),
            });
        }
        if let Some(t) = node
            .together
            .clone()
            .filter(|t| t.borrow().next_timeout() <= mono)
        {
            t.borrow_mut().handle_timeout(mono);
        }
        node.serve.run_turn(now);
        for line in notices {
            self.push(now + NEAR, Event::Notice(s, life, line));
        }
        self.carry(s);
        self.wake(s);
    }

    fn wake(&mut self, s: usize) {
        let now = self.now;
        let node = &self.nodes[s];
        let outside = |own: Timestamp| {
            let passed = (own - Timestamp::default())
                .saturating_sub(node.ahead)
                .mul_f64(1.0 / node.rate);
            at(0) + passed + Duration::from_micros(2)
        };
        let together = node
            .together
            .as_ref()
            .map(|t| outside(t.borrow().next_timeout()));
        let next = [node.serve.next_deadline(), node.engine.next(), together];
        let next = next
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + Duration::from_secs_f64(1.0))
            .max(now + Duration::from_micros(20));
        if next < node.wakes || node.wakes <= now {
            let life = node.lives;
            self.nodes[s].wakes = next;
            self.push(next, Event::Wake(s, life));
        }
    }

    /// Carries what a server has to say.
    fn carry(&mut self, s: usize) {
        let now = self.now;
        let wanted = self.nodes[s].serve.calls_mut().take_wanted();
        for wire in wanted {
            self.nodes[s].wires.insert(
                wire.id,
                Wire {
                    out: wire.outbox,
                    to: wire.backend,
                    replies: ReplyReader::default(),
                },
            );
        }
        self.answers(s);
        let node = &mut self.nodes[s];
        let lines = String::from_utf8(node.link.take()).unwrap_or_default();
        let life = node.lives;
        for line in lines.lines() {
            self.command(s, life, line);
        }
        let wires: Vec<u64> = self.nodes[s].wires.keys().copied().collect();
        for no in wires {
            self.calls_out(s, life, no);
        }
        if let Some(t) = self.nodes[s].together.clone() {
            let mut t = t.borrow_mut();
            let out = t.take_datagrams();
            // Nobody reads the log here.
            t.members.take_events();
            t.shared.as_mut().map(FleetQuotas::take_events);
            drop(t);
            for (to, bytes) in out {
                self.row.bytes += bytes.len() as u64;
                let Some(to) = which(to).filter(|o| *o < self.of.servers) else {
                    continue;
                };
                for (after, bytes) in self.net.carry(s, to, &bytes) {
                    self.push(now + after, Event::Datagram(to, address(s), bytes));
                }
            }
        }
        if let Some(b) = self.nodes[s].backends.clone() {
            let changes = b.routes.borrow_mut().take_events();
            for change in changes {
                let what = match change {
                    BackendEvent::Ejected { .. } => "leave a backend out",
                    BackendEvent::StateChanged {
                        to: Backed::SlowStart,
                        ..
                    } => "let one in again",
                    _ => continue,
                };
                self.did.entry(what.into()).or_default().push(now);
            }
        }
    }

    fn answers(&mut self, s: usize) {
        let now = self.now;
        let text = String::from_utf8(self.nodes[s].out.take()).unwrap_or_default();
        for line in text.lines() {
            let said: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
            let Some(rpc) = said["id"].as_u64() else {
                continue;
            };
            if self.of.plant == Some(Plant::Answers) && rpc % 200 == 0 {
                continue;
            }
            let Some(asked) = self.nodes[s].open.remove(&rpc) else {
                if rpc > self.nodes[s].rpc || self.nodes[s].answered.contains(&rpc) {
                    let what =
                        format!("{}: an answer to nothing, or a second one: {line}", name(s));
                    self.breach("one answer each", what);
                }
                continue;
            };
            self.nodes[s].answered.insert(rpc);
            let took = now - asked.began;
            match said["error"]["code"].as_i64() {
                None if took <= self.settings.handlers[asked.handler].latency_objective => {
                    self.row.kept[asked.handler] += 1;
                }
                None => {}
                Some(-32002) => {
                    self.row.shed += 1;
                    if asked.started && asked.handler == 2 {
                        let what = format!("{}: {} was shed although it ran", name(s), asked.name);
                        self.breach("no effect twice", what);
                    }
                }
                Some(_) => self.row.errored += 1,
            }
        }
    }

    /// One line to the engine.
    fn command(&mut self, s: usize, life: u32, line: &str) {
        let said: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
        let call = said["call"].as_str().unwrap_or_default().to_string();
        let now = self.now;
        match said["msg"].as_str().unwrap_or_default() {
            "ATTACH" => {
                let hello =
                    "{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n".to_string();
                self.push(now + NEAR, Event::Notice(s, life, hello));
            }
            "STAT" => {
                let on = self.nodes[s].engine.on_cores();
                let cookie = said["cookie"].as_str().unwrap_or_default();
                let used = (on as f64 / CORES).min(1.0);
                let line = format!(
                    "{{\"msg\":\"STATS\",\"cookie\":\"{cookie}\",\"stats\":[{used},{on},0.1,1]}}\n"
                );
                self.push(now + NEAR, Event::Notice(s, life, line));
            }
            "RUN" => {
                let handler = HANDLERS
                    .iter()
                    .position(|h| Some(*h) == said["service"].as_str())
                    .unwrap_or(0);
                let secs = WORK_MS[handler] / 1e3 * (0.5 + self.chance.rand_float());
                let ran = self.ran.entry(call.clone()).or_default();
                *ran += 1 + u32::from(self.of.plant == Some(Plant::Runs) && call.ends_with('7'));
                if *ran > 1 && handler == 2 {
                    self.breach("no effect twice", format!("{}: {call} ran twice", name(s)));
                }
                let node = &mut self.nodes[s];
                node.engine.run(now, &call, secs, handler != 1);
                if let Some(asked) = node.open.values_mut().find(|a| a.name == call) {
                    asked.started = true;
                }
            }
            "FEED" | "SKIP" => self.nodes[s].engine.goes_on(&call),
            "HALT" => {
                let node = &mut self.nodes[s];
                let began = node.engine.began(&call).unwrap_or(now);
                if node.engine.runs.remove(&call).is_some() {
                    node.engine.serial += 1;
                    let line = format!(
                        "{{\"msg\":\"DONE\",\"serial\":{},\"call\":\"{call}\",\"how\":\"cut\",\"duration\":{},\"blob\":\"\"}}\n",
                        node.engine.serial,
                        (now - began).as_micros() / 1_000
                    );
                    self.push(now + NEAR, Event::Notice(s, life, line));
                }
            }
            _ => {}
        }
    }

    /// What goes out on one connection to what lies below.
    fn calls_out(&mut self, s: usize, life: u32, no: u64) {
        let Some(wire) = self.nodes[s].wires.get(&no) else {
            return;
        };
        let (closing, to) = (wire.out.is_closing(), wire.to);
        let text = String::from_utf8(wire.out.take()).unwrap_or_default();
        // Without routes all calls go to the first backend there is.
        let b = to.map_or(0, which_below);
        for line in text.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let ["FETCH", called, ..] = words[..] else {
                continue;
            };
            let node = &self.nodes[s];
            let keyed = node
                .open
                .values()
                .any(|a| a.name == called && a.handler == 2);
            let call = Call {
                server: s,
                life,
                wire: no,
                name: called.into(),
                keyed,
            };
            self.row.calls += 1;
            self.push(self.now + WAY, Event::Reaches(b, call));
        }
        if closing {
            self.nodes[s].wires.remove(&no);
            for below in &mut self.below {
                self.in_hand -=
                    below.quit(|c| c.server == s && c.life == life && c.wire == no) as u32;
            }
            self.nodes[s].serve.call_lost(self.now, no);
        }
    }

    fn reaches(&mut self, b: usize, call: Call) {
        let (s, life, wire) = (call.server, call.life, call.wire);
        let alive = self.nodes[s].up
            && self.nodes[s].lives == life
            && self.nodes[s].wires.contains_key(&wire);
        if !alive {
            return;
        }
        if self.below[b].ill == Some(Ill::Down) {
            return self.push(self.now + WAY, Event::Broken(s, life, wire));
        }
        self.numbered += 1;
        let no = self.numbered;
        let called = call.name.clone();
        match self.below[b].came(no, call, &mut self.chance) {
            Fares::Fails => {
                self.push(
                    self.now + WAY,
                    Event::Reply(s, life, wire, format!("{called} FAULT\r\n")),
                );
                return;
            }
            Fares::Works(span) => self.push(self.now + span, Event::Worked(b, no)),
            Fares::Waits => {}
        }
        self.in_hand += 1;
        self.row.peak = self.row.peak.max(self.in_hand);
        if self.of.parts.shared && self.in_hand > self.of.whole {
            let what = format!("{} calls in hand below, of {}", self.in_hand, self.of.whole);
            self.breach("a budget is never passed", what);
        }
    }

    fn worked(&mut self, b: usize, no: u64) {
        let (call, next) = self.below[b].worked(no, &mut self.chance);
        if let Some((no, span)) = next {
            self.push(self.now + span, Event::Worked(b, no));
        }
        if let Some(call) = call {
            self.in_hand -= 1;
            let text = format!("{} DATA 2\r\nok\r\n", call.name);
            self.push(
                self.now + WAY,
                Event::Reply(call.server, call.life, call.wire, text),
            );
        }
    }

    fn deed(&mut self, deed: Deed) {
        self.last_deed = self.now;
        self.settled = None;
        match deed {
            Deed::Kill(s) if self.nodes[s].up => self.kill(s),
            Deed::Start(s) if !self.nodes[s].up => self.start(s),
            Deed::Stop(s) => self.nodes[s].stopped = self.nodes[s].up,
            Deed::Continue(s) if self.nodes[s].stopped => {
                self.nodes[s].stopped = false;
                for event in std::mem::take(&mut self.nodes[s].waiting) {
                    self.event(event);
                }
                self.moment(s);
            }
            Deed::Slow(s, times) => {
                let now = self.now;
                self.nodes[s].engine.slower = times.max(0.1);
                if self.nodes[s].up && !self.nodes[s].stopped && now > at(0) {
                    self.moment(s);
                }
            }
            Deed::Halves => {
                let (a, b) = (0..self.of.servers).partition(|s| s % 2 == 0);
                self.net.act(&Action::Cut(vec![a, b]));
            }
            Deed::Alone(s) => {
                let others = (0..self.of.servers).filter(|o| *o != s).collect();
                self.net.act(&Action::Cut(vec![vec![s], others]));
            }
            Deed::OneWay(s) => {
                let others = (0..self.of.servers).filter(|o| *o != s).collect();
                self.net.act(&Action::OneWay(s, others));
            }
            Deed::Heal => self.net.act(&Action::Heal),
            Deed::Net {
                loss,
                double,
                spoil,
                delay_ms,
            } => {
                let delay = Some((
                    Duration::from_millis(1),
                    Duration::from_millis(delay_ms + 2),
                ));
                let act = Action::Network {
                    loss: Some(loss),
                    double: Some(double),
                    spoil: Some(spoil),
                    delay,
                };
                self.net.act(&act);
            }
            Deed::Calm => self.net.act(&Action::Network {
                loss: None,
                double: None,
                spoil: None,
                delay: None,
            }),
            Deed::Backend(b, ill) => {
                self.below[b].ill = ill;
                if ill.is_none() || ill == Some(Ill::Down) {
                    // What hung there comes to its end, without an answer.
                    let lost: Vec<Call> = self.below[b].calls.values().cloned().collect();
                    self.in_hand -= self.below[b].quit(|_| true) as u32;
                    for c in lost {
                        self.push(self.now + WAY, Event::Broken(c.server, c.life, c.wire));
                    }
                }
            }
            Deed::Load(s, times) => self.nodes[s].load = times,
            _ => {}
        }
    }

    fn end_of_row(&mut self) {
        let running: Vec<usize> = (0..self.of.servers).filter(|s| self.nodes[*s].up).collect();
        let mut digests: BTreeMap<u64, u32> = BTreeMap::new();
        let (mut doubts, mut over) = (0, vec![]);
        for s in &running {
            if let Some(t) = &self.nodes[*s].together {
                let t = t.borrow();
                *digests.entry(t.members.digest()).or_default() += 1;
                let view = t.members.view();
                doubts += view
                    .members
                    .iter()
                    .filter(|m| matches!(m.state, MemberState::Suspect))
                    .count();
                let tables = view.members.len();
                if tables > self.of.servers + 1 {
                    over.push(format!("{} holds {tables} members", name(*s)));
                }
            }
            if let Some(b) = &self.nodes[*s].backends {
                let routes = b.routes.borrow();
                let is_out = |s: &Backed| matches!(s, Backed::Ejected | Backed::Probing);
                self.row.left_out += routes.backend_states().filter(is_out).count() as u32;
            }
        }
        over.into_iter()
            .for_each(|what| self.breach("tables are bounded", what));
        self.row.running = running.len() as u32;
        self.row.apart =
            digests.values().sum::<u32>() - digests.values().max().copied().unwrap_or(0);
        let quiet = self.row.apart == 0 && doubts == 0 && digests.len() <= 1;
        if quiet && self.settled.is_none() {
            self.settled = Some(self.now);
        } else if !quiet && self.now > self.last_deed {
            self.settled = None;
        }
        let second = self.rows.len() as u64 + 1;
        let row = std::mem::take(&mut self.row);
        self.rows.push(Row { second, ..row });
        self.push(self.now + Duration::from_secs_f64(1.0), Event::Row);
    }
}

/// The most of those moments that lie within a tenth of a second.
fn together(times: &[Timestamp]) -> u32 {
    let within = |i: usize| {
        times[i..]
            .iter()
            .take_while(|t| **t - times[i] <= UNISON)
            .count()
    };
    (0..times.len()).map(within).max().unwrap_or(0) as u32
}
