//! Many servers before many backends in simulated time, every fault from one seed: the machine of the program, and
//! plain ways beside it.

use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{
    AttemptOutcome, BackendEvent, BackendSettings, RetryKind, Settings, State, UpstreamAttempt,
    UpstreamManager,
};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// The way between a server and a backend, each way; and between two servers.
const WAY: Duration = Duration::from_millis(1);
const WORD: Duration = Duration::from_millis(2);
/// Time between two turns of a server's machine, and between two rows of what is seen.
const TURN: Duration = Duration::from_millis(20);
pub const ROW: Duration = Duration::from_millis(100);

/// How a backend fares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// Its calls take so many times the usual.
    Slow(f64),
    /// Answers at once that it failed.
    Fails,
    /// Takes calls and never answers.
    Silent,
    /// Nothing listens there.
    Down,
}

/// How servers choose and try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The machine of the program, with words of others and without.
    Shared,
    Alone,
    /// One after the other, no repeats, nobody left out.
    RoundRobin,
    /// The one with the least in hand; up to two repeats of whatever failed and may be repeated.
    LeastInHand,
}

#[derive(Clone, Debug)]
pub struct BackendFleetSetup {
    pub servers: usize,
    pub backends: usize,
    pub zones: usize,
    /// Calls a second of each server, and the mean time of one.
    pub rate: f64,
    pub call: Duration,
    /// Calls that a backend works on at a time; others wait there.
    pub slots: usize,
    pub patience: Duration,
    /// Whether a call may run twice.
    pub replayable: bool,
    pub way: RoutingPolicy,
    pub settings: Settings,
}

impl BackendFleetSetup {
    pub fn of(servers: usize, backends: usize) -> BackendFleetSetup {
        BackendFleetSetup {
            servers,
            backends,
            zones: 1,
            rate: 20.0,
            call: Duration::from_millis(20),
            slots: 1_000,
            patience: Duration::from_millis(1_000),
            replayable: true,
            way: RoutingPolicy::Shared,
            settings: Settings::default(),
        }
    }

    /// What a server of a zone is set to.
    fn own(&self, of: usize) -> Settings {
        let zone = if self.zones > 1 {
            zone(of)
        } else {
            Default::default()
        };
        Settings {
            zone,
            gossip: self.way == RoutingPolicy::Shared,
            ..self.settings.clone()
        }
    }

    fn all(&self) -> Vec<BackendSettings> {
        (0..self.backends).map(|b| backend(b, self.zones)).collect()
    }
}

struct Node {
    zone: usize,
    routes: UpstreamManager,
    /// Of the plain ways: calls in hand by backend, and whose turn it is.
    in_hand: Vec<u32>,
    turn: usize,
    /// Nothing of this server reaches any backend.
    cut_off: bool,
    /// Tells of these backends that all their calls fail.
    lies: Vec<usize>,
    life: u64,
}

struct Backend {
    mode: BackendFault,
    queue: VecDeque<u64>,
    busy: usize,
}

struct Attempt {
    call: u64,
    server: usize,
    backend: usize,
    ticket: Option<UpstreamAttempt>,
}

struct Call {
    server: usize,
    began: Timestamp,
    out: Vec<u64>,
    again: u32,
}

enum Event {
    Arrival(usize),
    Reaches(u64),
    Worked(u64, usize),
    Replied(u64, AttemptOutcome),
    Patience(u64),
    Hedge(u64),
    Turn(usize),
    Word(usize, usize, u64, Vec<u8>),
}

/// What was seen in a tenth of a second.
#[derive(Clone, Debug, Default)]
pub struct Row {
    pub calls: u32,
    pub good: u32,
    pub firsts: u32,
    pub again: u32,
    /// Attempts that reached each backend.
    pub at: Vec<u32>,
    /// Servers that left each backend out.
    pub out: Vec<u32>,
}

pub struct BackendSimulation {
    pub setup: BackendFleetSetup,
    now: Timestamp,
    chance: Rand64,
    nodes: Vec<Node>,
    backends: Vec<Backend>,
    attempts: HashMap<u64, Attempt>,
    calls: HashMap<u64, Call>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    numbered: u64,
    /// Zones that do not reach a backend.
    pub cuts: Vec<(usize, usize)>,
    /// Servers of the first half hear none of the other.
    pub split: bool,
    pub deaf: bool,
    pub rows: Vec<Row>,
    /// Times of calls that went well, since that was last cleared, in milliseconds.
    pub times: Vec<f64>,
    pub ejections: u64,
    pub log: Vec<String>,
}

fn named(server: usize) -> compact_str::CompactString {
    compact_str::CompactString::from(format!("n{}", server + 1))
}

fn zone(of: usize) -> compact_str::CompactString {
    compact_str::CompactString::from(format!("z{of}"))
}

fn backend(at: usize, zones: usize) -> BackendSettings {
    BackendSettings {
        name: format!("b{at}").as_str().into(),
        address: ([127, 2, (at / 250) as u8, (at % 250) as u8], 7_700).into(),
        zone: zone(at % zones),
        weight: 1.0,
        handlers: vec![0],
    }
}

/// Which backend has an address.
fn at_address(address: std::net::SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}

impl BackendSimulation {
    pub fn new(setup: BackendFleetSetup, seed: u64) -> BackendSimulation {
        let now = Timestamp::from_micros(10_000_000);
        let mut chance = Rand64::new(u128::from(seed) + 1);
        let nodes = (0..setup.servers).map(|s| {
            let zone = s % setup.zones;
            Node {
                zone,
                routes: UpstreamManager::new(now, chance.rand_u64(), setup.own(zone), setup.all()),
                in_hand: vec![0; setup.backends],
                turn: s,
                cut_off: false,
                lies: vec![],
                life: 1,
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        let modes = (0..setup.backends).map(|_| Backend {
            mode: BackendFault::Slow(1.0),
            queue: VecDeque::new(),
            busy: 0,
        });
        let mut world = BackendSimulation {
            now,
            nodes,
            backends: modes.collect(),
            attempts: HashMap::new(),
            calls: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            numbered: 0,
            cuts: vec![],
            split: false,
            deaf: false,
            rows: vec![],
            times: vec![],
            ejections: 0,
            log: vec![],
            chance,
            setup,
        };
        for s in 0..world.setup.servers {
            world.meet(s);
            let first = world.draw(1.0 / world.setup.rate);
            world.push(now + Duration::from_secs_f64(first), Event::Arrival(s));
            let turn = world.chance.rand_float();
            world.push(now + TURN.mul_f64(turn), Event::Turn(s));
        }
        world.row();
        world
    }

    /// Everyone holds a server to be in, in its present life.
    fn meet(&mut self, who: usize) {
        let (life, its) = (self.nodes[who].life, zone(self.nodes[who].zone));
        for (_, node) in self.nodes.iter_mut().enumerate().filter(|n| n.0 != who) {
            node.routes.update_peer(&named(who), life, &its, true);
        }
    }

    fn draw(&mut self, mean: f64) -> f64 {
        -(1.0 - self.chance.rand_float()).ln() * mean
    }

    fn push(&mut self, at: Timestamp, event: Event) -> u64 {
        self.numbered += 1;
        self.queue.push(Reverse((at, self.numbered)));
        self.events.insert(self.numbered, event);
        self.numbered
    }

    pub fn mode(&mut self, backend: usize, mode: BackendFault) {
        self.backends[backend].mode = mode;
        if matches!(mode, BackendFault::Down | BackendFault::Fails) {
            // What is in hand there is lost.
            let lost: Vec<u64> = self
                .attempts
                .iter()
                .filter(|a| a.1.backend == backend)
                .map(|a| *a.0)
                .collect();
            let mut lost = lost;
            lost.sort_unstable();
            for attempt in lost {
                self.push(
                    self.now + WAY,
                    Event::Replied(attempt, AttemptOutcome::Disconnected),
                );
            }
            self.backends[backend].queue.clear();
            self.backends[backend].busy = 0;
        }
    }

    pub fn cut_off(&mut self, server: usize, cut: bool) {
        self.nodes[server].cut_off = cut;
    }

    pub fn lies(&mut self, server: usize, of: Vec<usize>) {
        self.nodes[server].lies = of;
    }

    /// A server begins another life, knowing nothing.
    pub fn restart(&mut self, who: usize) {
        let seed = self.chance.rand_u64();
        let (life, now) = (self.nodes[who].life + 1, self.now);
        let settings = self.setup.own(self.nodes[who].zone);
        self.nodes[who].routes = UpstreamManager::new(now, seed, settings, self.setup.all());
        self.nodes[who].life = life;
        for s in (0..self.nodes.len()).filter(|s| *s != who) {
            let (life, its) = (self.nodes[s].life, zone(self.nodes[s].zone));
            self.nodes[who]
                .routes
                .update_peer(&named(s), life, &its, true);
        }
        self.meet(who);
    }

    /// Other backends from here on, at all servers.
    pub fn reload(&mut self, which: &[usize]) {
        let (zones, now) = (self.setup.zones, self.now);
        for s in 0..self.nodes.len() {
            let settings = self.setup.own(self.nodes[s].zone);
            let backends = which.iter().map(|b| backend(*b, zones)).collect();
            self.nodes[s].routes.reload(now, settings, backends);
        }
    }

    pub fn rate(&mut self, rate: f64) {
        self.setup.rate = rate;
    }

    fn row(&mut self) {
        let mut row = Row {
            at: vec![0; self.setup.backends],
            ..Row::default()
        };
        row.out = vec![0; self.setup.backends];
        for node in &self.nodes {
            for (out, state) in row.out.iter_mut().zip(node.routes.backend_states()) {
                *out += u32::from(matches!(state, State::Ejected | State::Probing));
            }
        }
        self.rows.push(row);
    }

    /// Simulated time passes.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&Reverse((at, n))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            while self.now
                >= Timestamp::from_micros(10_000_000) + ROW.mul_f64(self.rows.len() as f64)
            {
                self.row();
            }
            if let Some(event) = self.events.remove(&n) {
                self.event(event);
            }
        }
        self.now = end;
    }

    pub fn at(&self) -> Duration {
        self.now - Timestamp::from_micros(10_000_000)
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Arrival(s) => {
                let next = self.draw(1.0 / self.setup.rate);
                self.push(self.now + Duration::from_secs_f64(next), Event::Arrival(s));
                self.arrival(s);
            }
            Event::Reaches(a) => self.reaches(a),
            Event::Worked(a, b) => self.worked(a, b),
            Event::Replied(a, end) => self.replied(a, end),
            Event::Patience(c) => self.patience(c),
            Event::Hedge(c) => self.hedge(c),
            Event::Turn(s) => {
                self.push(self.now + TURN, Event::Turn(s));
                self.turn(s);
            }
            Event::Word(from, to, life, words) => {
                if self.nodes[from].life == life {
                    self.nodes[to]
                        .routes
                        .handle_datagram(self.now, &named(from), &words);
                }
            }
        }
    }

    fn turn(&mut self, s: usize) {
        let now = self.now;
        let node = &mut self.nodes[s];
        node.routes.handle_timeout(now);
        let (out, life) = (node.routes.take_datagrams(), node.life);
        let changes = node.routes.take_events();
        for change in changes {
            self.ejections += u64::from(matches!(change, BackendEvent::Ejected { .. }));
            if self.log.len() < 10_000 {
                self.log.push(format!(
                    "{:8.2} {}: {change}",
                    self.at().as_secs_f64(),
                    named(s)
                ));
            }
        }
        let middle = self.setup.servers / 2;
        let half = |s: usize| s < middle;
        let mut words: Vec<(usize, Vec<u8>)> = vec![];
        for (to, bytes) in out {
            let to: usize = to.trim_start_matches('n').parse().unwrap_or(1);
            words.push((to - 1, bytes));
        }
        if !self.nodes[s].lies.is_empty() && self.chance.rand_float() < 0.1 {
            let lines = self.nodes[s]
                .lies
                .iter()
                .map(|b| madderbay_upstream::BackendReport {
                    name_hash: madderbay_upstream::name_hash(&format!("b{b}")),
                    successes: 0,
                    failures: 8_000,
                    age_ms: 0,
                });
            let lines: Vec<madderbay_upstream::BackendReport> = lines.collect();
            let lie = madderbay_upstream::GossipMessage {
                stalled: false,
                backends_seen: 1_000,
                backends_failing: lines.len() as u16,
                first_attempts: 1,
                retries: 0,
                reports: lines,
            };
            let bytes = lie.encode();
            words.extend(
                (0..self.nodes.len())
                    .filter(|to| *to != s)
                    .map(|to| (to, bytes.clone())),
            );
        }
        for (to, bytes) in words {
            let cut = self.deaf || self.split && half(s) != half(to);
            if to < self.nodes.len() && !cut {
                self.push(self.now + WORD, Event::Word(s, to, life, bytes));
            }
        }
    }

    fn last_row(&mut self) -> &mut Row {
        self.rows.last_mut().expect("one at the start")
    }

    fn arrival(&mut self, s: usize) {
        self.numbered += 1;
        let (id, now) = (self.numbered, self.now);
        self.calls.insert(
            id,
            Call {
                server: s,
                began: now,
                out: vec![],
                again: 0,
            },
        );
        self.last_row().firsts += 1;
        self.push(now + self.setup.patience, Event::Patience(id));
        match self.setup.way {
            RoutingPolicy::Shared | RoutingPolicy::Alone => {
                let node = &mut self.nodes[s];
                let ticket = node.routes.pick(now, 0).expect("there are backends");
                let hedge = node
                    .routes
                    .hedge_delay(now, &ticket)
                    .filter(|_| self.setup.replayable);
                self.attempt(id, ticket.backend, Some(ticket));
                if let Some(after) = hedge.filter(|a| *a < self.setup.patience) {
                    self.push(now + after, Event::Hedge(id));
                }
            }
            _ => {
                let to = self.plain(s, None);
                self.attempt(id, to, None);
            }
        }
    }

    /// The choice of a plain way.
    fn plain(&mut self, s: usize, avoid: Option<usize>) -> usize {
        let n = self.setup.backends;
        let node = &mut self.nodes[s];
        if self.setup.way == RoutingPolicy::RoundRobin {
            node.turn = (node.turn + 1) % n;
            return node.turn;
        }
        let start = (self.chance.rand_float() * n as f64) as usize;
        let round = (0..n)
            .map(|i| (start + i) % n)
            .filter(|b| Some(*b) != avoid);
        round.min_by_key(|b| node.in_hand[*b]).unwrap_or(0)
    }

    fn attempt(&mut self, call: u64, backend: usize, ticket: Option<UpstreamAttempt>) {
        self.numbered += 1;
        let (id, server) = (self.numbered, self.calls[&call].server);
        let backend = ticket.as_ref().map_or(backend, |t| at_address(t.address));
        self.nodes[server].in_hand[backend] += 1;
        let attempt = Attempt {
            call,
            server,
            backend,
            ticket,
        };
        self.attempts.insert(id, attempt);
        self.calls.get_mut(&call).expect("in hand").out.push(id);
        self.push(self.now + WAY, Event::Reaches(id));
    }

    fn reaches(&mut self, id: u64) {
        let Some(a) = self.attempts.get(&id) else {
            return;
        };
        let (backend, server) = (a.backend, a.server);
        let own = &self.nodes[server];
        if own.cut_off || self.cuts.contains(&(own.zone, backend)) {
            return;
        }
        self.last_row().at[backend] += 1;
        let b = &mut self.backends[backend];
        match b.mode {
            BackendFault::Silent => {}
            BackendFault::Down => {
                self.push(
                    self.now + WAY,
                    Event::Replied(id, AttemptOutcome::NotConnected),
                );
            }
            BackendFault::Fails => {
                self.push(self.now + WAY, Event::Replied(id, AttemptOutcome::Failed));
            }
            BackendFault::Slow(_) if b.busy >= self.setup.slots => b.queue.push_back(id),
            BackendFault::Slow(times) => {
                b.busy += 1;
                self.work(id, times);
            }
        }
    }

    fn work(&mut self, id: u64, times: f64) {
        let mean = self.setup.call.as_secs_f64() * times;
        let took = mean * 0.5 + self.draw(mean * 0.5);
        if let Some(backend) = self.attempts.get(&id).map(|a| a.backend) {
            self.push(
                self.now + Duration::from_secs_f64(took),
                Event::Worked(id, backend),
            );
        }
    }

    fn worked(&mut self, id: u64, backend: usize) {
        let BackendFault::Slow(times) = self.backends[backend].mode else {
            return;
        };
        if self.attempts.contains_key(&id) {
            self.push(self.now + WAY, Event::Replied(id, AttemptOutcome::Success));
        }
        self.next_in_line(backend, times);
    }

    fn next_in_line(&mut self, backend: usize, times: f64) {
        let b = &mut self.backends[backend];
        b.busy = b.busy.saturating_sub(1);
        while let Some(next) = b.queue.pop_front() {
            if self.attempts.contains_key(&next) {
                b.busy += 1;
                self.work(next, times);
                return;
            }
        }
    }

    /// The server lets go of an attempt; what the machine hears of it.
    fn ends(&mut self, id: u64, end: AttemptOutcome) -> Option<Attempt> {
        let a = self.attempts.remove(&id)?;
        let node = &mut self.nodes[a.server];
        node.in_hand[a.backend] = node.in_hand[a.backend].saturating_sub(1);
        if let Some(ticket) = &a.ticket {
            node.routes.finish(self.now, ticket, end);
        }
        if let Some(call) = self.calls.get_mut(&a.call) {
            call.out.retain(|o| *o != id);
        }
        Some(a)
    }

    /// A call that was given up goes on taking its slot below until it is worked off.
    fn replied(&mut self, id: u64, end: AttemptOutcome) {
        let Some(a) = self.ends(id, end) else { return };
        let Some(call) = self.calls.get(&a.call) else {
            return;
        };
        let (began, again) = (call.began, call.again);
        if end == AttemptOutcome::Success {
            let took = self.now - began;
            let row = self.row_of(began);
            self.rows[row].good += 1;
            self.times.push(took.as_secs_f64() * 1e3);
            // Those that began before it were outrun.
            let slower: Vec<u64> = call.out.iter().copied().filter(|o| *o < id).collect();
            for other in slower {
                self.ends(other, AttemptOutcome::LostToHedge);
            }
            return self.done(a.call);
        }
        if !call.out.is_empty() {
            return;
        }
        let left = (began + self.setup.patience) - self.now;
        let may = end.never_executed() || self.setup.replayable;
        if !may || left == Duration::ZERO {
            return self.done(a.call);
        }
        let next = match (self.setup.way, &a.ticket) {
            (RoutingPolicy::Shared | RoutingPolicy::Alone, Some(ticket)) => {
                let routes = &mut self.nodes[a.server].routes;
                let ticket = if left > routes.typical_latency(ticket) {
                    routes.retry(self.now, ticket, RetryKind::OtherBackend)
                } else {
                    None
                };
                ticket.map(|t| (t.backend, Some(t)))
            }
            (RoutingPolicy::LeastInHand, _) if again < 2 => {
                Some((self.plain(a.server, Some(a.backend)), None))
            }
            _ => None,
        };
        match next {
            Some((backend, ticket)) => {
                self.last_row().again += 1;
                self.calls.get_mut(&a.call).expect("in hand").again += 1;
                self.attempt(a.call, backend, ticket);
            }
            None => self.done(a.call),
        }
    }

    fn hedge(&mut self, call: u64) {
        let Some(c) = self.calls.get(&call).filter(|c| c.out.len() == 1) else {
            return;
        };
        let (server, id) = (c.server, c.out[0]);
        let Some(ticket) = self.attempts.get(&id).and_then(|a| a.ticket.clone()) else {
            return;
        };
        if let Some(second) = self.nodes[server]
            .routes
            .retry(self.now, &ticket, RetryKind::Hedge)
        {
            self.last_row().again += 1;
            self.attempt(call, second.backend, Some(second));
        }
    }

    fn patience(&mut self, call: u64) {
        let Some(c) = self.calls.get(&call) else {
            return;
        };
        for id in c.out.clone() {
            self.ends(id, AttemptOutcome::TimedOut);
        }
        self.done(call);
    }

    fn row_of(&self, at: Timestamp) -> usize {
        let passed = (at - Timestamp::from_micros(10_000_000)).as_micros() / ROW.as_micros();
        (passed as usize).min(self.rows.len() - 1)
    }

    /// A call counts where it began.
    fn done(&mut self, call: u64) {
        let Some(c) = self.calls.remove(&call) else {
            return;
        };
        let row = self.row_of(c.began);
        self.rows[row].calls += 1;
        for id in c.out {
            self.ends(id, AttemptOutcome::Cancelled);
        }
    }

    // --- what was seen

    /// Rows from one moment to another, in milliseconds since the start.
    pub fn between(&self, from: u64, to: u64) -> &[Row] {
        let each = ROW.as_micros() / 1_000;
        &self.rows[(from / each) as usize..((to / each) as usize).min(self.rows.len())]
    }

    /// The part of the calls between two moments that went well.
    pub fn kept(&self, from: u64, to: u64) -> f64 {
        let rows = self.between(from, to);
        let sum = |of: fn(&Row) -> u32| f64::from(rows.iter().map(of).sum::<u32>());
        sum(|r| r.good) / sum(|r| r.calls).max(1.0)
    }

    /// Attempts for each first try.
    pub fn load(&self, from: u64, to: u64) -> f64 {
        let rows = self.between(from, to);
        let sum = |of: fn(&Row) -> u32| f64::from(rows.iter().map(of).sum::<u32>());
        (sum(|r| r.firsts) + sum(|r| r.again)) / sum(|r| r.firsts).max(1.0)
    }

    /// A backend's part of all attempts that reached any.
    pub fn part(&self, backend: usize, from: u64, to: u64) -> f64 {
        let rows = self.between(from, to);
        let all: u32 = rows.iter().flat_map(|r| &r.at).sum();
        let its: u32 = rows.iter().map(|r| r.at[backend]).sum();
        f64::from(its) / f64::from(all.max(1))
    }

    /// After how many milliseconds from a moment on a backend's part of a second's attempts stays under, or over,
    /// a bound for that second.
    pub fn until(&self, backend: usize, from: u64, under: bool, bound: f64) -> Option<u64> {
        let last = self.rows.len() as u64 * 100;
        (from..last.saturating_sub(900))
            .step_by(100)
            .find_map(|ms| {
                let part = self.part(backend, ms, ms + 1_000);
                ((part < bound) == under).then_some(ms - from)
            })
    }

    /// Seconds, summed over servers, in which a backend was left out.
    pub fn out(&self, backend: usize, from: u64, to: u64) -> f64 {
        self.between(from, to)
            .iter()
            .map(|r| f64::from(r.out[backend]))
            .sum::<f64>()
            * ROW.as_secs_f64()
    }

    /// The time, in milliseconds, within which 99 of 100 calls went well.
    pub fn slowest(&mut self) -> f64 {
        self.times.sort_by(f64::total_cmp);
        let at = (self.times.len() as f64 * 0.99) as usize;
        self.times
            .get(at.min(self.times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(f64::NAN)
    }
}
