//! Many servers' views in simulated time: the machines of the program over a simulated network, every fault
//! from one seed.

use super::net::Net;
use super::script::{Act, Condition, Fleet, Setup, name};
use madderbay::time::{At, Span};
use madderbay_members::{Change, Members, Networks, Settings, State};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

/// Simulated time between two looks at a condition.
const LOOK: Span = Span::millis(50);
/// Datagrams that wait for a server that is stopped, as a socket would hold.
const WAITING: usize = 200;
/// Unix time at the start.
const UNIX_MS: u64 = 1_764_576_000_000;

struct Node {
    members: Option<Members>,
    name: usize,
    stopped: bool,
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    /// Its monotonic clock is ahead of the world's by this.
    ahead: Span,
    wakes: Option<At>,
    life: u32,
}

enum Event {
    Wake(usize, u32),
    Datagram(usize, SocketAddr, Vec<u8>),
}

pub struct Sim {
    setup: Setup,
    now: At,
    chance: Rand64,
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    events: HashMap<u64, Event>,
    numbered: u64,
    net: Net,
    /// Servers that were declared down by one that could hear them, while they ran.
    pub wrongly_down: usize,
    pub log: Option<Vec<String>>,
    /// When a cut, a stop or a crash last could have made a down right.
    excused: Vec<At>,
}

/// Without faults datagrams take this long.
const CALM: (Span, Span) = (Span::micros(200), Span::micros(2_000));

fn address(server: usize) -> SocketAddr {
    let (a, b) = (server / 250, server % 250);
    ([127, 1, a as u8, b as u8 + 1], 7_946).into()
}

impl Sim {
    pub fn new(setup: Setup, seed: u64) -> Sim {
        let mut chance = Rand64::new(u128::from(seed) + 1);
        let nodes = (0..setup.servers).map(|s| Node {
            members: None,
            name: s,
            stopped: false,
            waiting: vec![],
            ahead: Span::secs(chance.rand_float() * 1e4),
            wakes: None,
            life: 0,
        });
        let nodes: Vec<Node> = nodes.collect();
        Sim {
            now: At::micros(1_000_000),
            by_address: (0..setup.servers).map(|s| (address(s), s)).collect(),
            net: Net::new(setup.servers, seed + 2, CALM),
            excused: vec![At::default(); setup.servers],
            setup,
            chance,
            nodes,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            numbered: 0,
            wrongly_down: 0,
            log: None,
        }
    }

    pub fn members(&self, server: usize) -> Option<&Members> {
        self.nodes[server].members.as_ref()
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Members)> {
        self.nodes.iter().enumerate().filter_map(|(s, n)| Some((s, n.members.as_ref()?)))
    }

    fn push(&mut self, at: At, event: Event) {
        self.numbered += 1;
        self.queue.push(Reverse((at, self.numbered)));
        self.events.insert(self.numbered, event);
    }

    fn start(&mut self, who: usize, named: usize, clock: Span, back: bool) {
        let unix = UNIX_MS + (self.now - At::default()).as_micros() / 1_000;
        let clock = clock.as_micros() / 1_000;
        let unix = if back { unix - clock } else { unix + clock };
        let setup = &self.setup;
        let settings = Settings {
            name: name(named).into(),
            advertise: address(who),
            zone: setup.zones[who].as_str().into(),
            fleet: "fleet".into(),
            join: setup.join.iter().map(|j| address(*j)).collect(),
            networks: Networks::of(["127.0.0.0/8".parse().expect("a network")]),
            most: setup.most,
            probe: setup.probe,
            answer: setup.probe.times(0.4),
            suspicion: setup.suspicion,
            memory: setup.memory,
            minds_itself: setup.minds_itself,
        };
        let seed = self.chance.rand_u64();
        let node = &mut self.nodes[who];
        let now = self.now + node.ahead;
        node.members = Some(Members::new(now, unix, seed, settings));
        (node.name, node.stopped, node.wakes) = (named, false, None);
        node.life += 1;
        node.waiting.clear();
        self.excused[who] = self.now;
        self.drive(who, |members, now| members.turn(now));
    }

    /// Lets a server do something, and takes what comes of it.
    fn drive(&mut self, who: usize, act: impl FnOnce(&mut Members, At)) {
        let node = &mut self.nodes[who];
        let Some(members) = node.members.as_mut().filter(|_| !node.stopped) else { return };
        let own = self.now + node.ahead;
        act(members, own);
        let (out, changes, due) = (members.outgoing(), members.changes(), members.due());
        let due = due.max(own).before(node.ahead);
        let wake = node.wakes.is_none_or(|w| due < w || w < self.now);
        if wake {
            node.wakes = Some(due);
            let life = node.life;
            self.push(due, Event::Wake(who, life));
        }
        for (to, bytes) in out {
            self.carry(who, to, bytes);
        }
        for change in changes {
            self.changed(who, &change);
        }
    }

    fn changed(&mut self, who: usize, change: &Change) {
        if let Some(log) = &mut self.log {
            log.push(format!("{:9.3} {}: {change}", (self.now - At::default()).as_secs(), name(who)));
        }
        let Change::Member { address, to: State::Down, .. } = change else { return };
        let Some(of) = self.by_address.get(address).copied() else { return };
        let long = self.setup.suspicion.times(2.0) + Span::millis(2_000);
        let excused = |s: usize| self.now - self.excused[s] < long;
        let hears = self.net.group[who] == self.net.group[of] && self.net.one_way.is_empty();
        let node = &self.nodes[of];
        if node.members.is_some() && !node.stopped && hears && !excused(of) && !excused(who) {
            self.wrongly_down += 1;
        }
    }

    fn carry(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.by_address.get(&to).copied() else { return };
        for (after, bytes) in self.net.carry(from, to, &bytes) {
            self.push(self.now + after, Event::Datagram(to, address(from), bytes));
        }
    }

    /// Plays on for so long.
    pub fn run(&mut self, time: Span) {
        let until = self.now + time;
        while let Some(Reverse((at, no))) = self.queue.peek().copied().filter(|e| e.0.0 <= until) {
            self.queue.pop();
            self.now = at;
            match self.events.remove(&no) {
                Some(Event::Wake(who, life))
                    if self.nodes[who].life == life
                        && self.nodes[who].wakes.is_some_and(|w| w <= self.now) =>
                {
                    self.nodes[who].wakes = None;
                    self.drive(who, |members, now| members.turn(now));
                }
                Some(Event::Datagram(to, from, bytes)) => {
                    let node = &mut self.nodes[to];
                    if node.stopped {
                        if node.waiting.len() < WAITING {
                            node.waiting.push((from, bytes));
                        }
                    } else {
                        self.drive(to, |members, now| members.received(now, from, &bytes));
                    }
                }
                _ => {}
            }
        }
        self.now = until;
    }

    /// Those that run and are heard under their own names.
    fn truth(&self) -> Vec<usize> {
        let own = |m: &Members| m.state(&m.own().name) != Some(State::Down);
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| !n.stopped && n.members.as_ref().is_some_and(own))
            .map(|n| n.0)
            .collect()
    }

    fn unsettled(&self) -> Option<String> {
        let truth = self.truth();
        let mut digests: HashMap<usize, (usize, u64)> = HashMap::new();
        let mut sizes: HashMap<usize, usize> = HashMap::new();
        truth.iter().for_each(|s| *sizes.entry(self.net.group[*s]).or_default() += 1);
        for &s in &truth {
            let members = self.nodes[s].members.as_ref()?;
            let group = self.net.group[s];
            let (size, active) = (sizes[&group], members.active());
            if active + 1 != size {
                return Some(format!("{} holds {active} others in, not {}", name(s), size - 1));
            }
            let first = *digests.entry(group).or_insert((s, members.digest()));
            if first.1 != members.digest() {
                return Some(format!("{} and {} differ", name(first.0), name(s)));
            }
            if members.own().phase == madderbay_members::Phase::Joining {
                return Some(format!("{} is joining", name(s)));
            }
        }
        // Equal digests of as many as run tell that each holds the right ones; suspects are looked for in one.
        let doubtful = digests.values().find_map(|(s, _)| {
            let view = self.nodes[*s].members.as_ref()?.view();
            view.members.iter().find(|m| m.state == State::Suspect).map(|m| m.name.clone())
        });
        doubtful.map(|who| format!("{who} is suspect"))
    }
}

impl Fleet for Sim {
    fn act(&mut self, act: &Act) -> Result<(), String> {
        match act {
            Act::Start { who, name, clock, back } => self.start(*who, *name, *clock, *back),
            Act::Kill(s) => self.nodes[*s].members = None,
            Act::Stop(s) => self.nodes[*s].stopped = true,
            Act::Continue(s) => {
                self.nodes[*s].stopped = false;
                self.excused[*s] = self.now;
                // Its timer and its socket are ready at once; which it sees first is chance.
                if self.chance.rand_float() < 0.5 {
                    self.drive(*s, |members, now| members.turn(now));
                }
                for (from, bytes) in std::mem::take(&mut self.nodes[*s].waiting) {
                    self.drive(*s, |members, now| members.received(now, from, &bytes));
                }
                self.drive(*s, |members, now| members.turn(now));
            }
            Act::Drain(s) => {
                self.drive(*s, |members, now| members.drain(now));
                self.run(Span::millis(1_000));
                self.drive(*s, |members, now| members.leave(now));
                self.nodes[*s].members = None;
            }
            Act::Cut(_) | Act::Heal => {
                self.net.act(act);
                self.excused = vec![self.now; self.setup.servers];
            }
            Act::OneWay(..) | Act::Net { .. } => self.net.act(act),
            Act::Replay(s) => {
                for (from, bytes) in self.net.kept(*s) {
                    self.push(self.now, Event::Datagram(*s, address(from), bytes));
                }
            }
            Act::For(time) => self.run(*time),
            Act::Downs(most) if self.wrongly_down > *most => {
                return Err(format!("{} were declared down while they lived", self.wrongly_down));
            }
            Act::Downs(_) => {}
        }
        Ok(())
    }

    fn amiss(&mut self, what: &Condition) -> Option<String> {
        match what {
            Condition::Settled => self.unsettled(),
            Condition::Sees { who, of, state } => {
                who.iter().filter(|w| who.len() == 1 || *w != of).find_map(|w| {
                    let members = self.nodes[*w].members.as_ref().filter(|_| !self.nodes[*w].stopped)?;
                    let seen = members.state(&name(*of));
                    (seen != *state).then(|| format!("{} sees {} {seen:?}", name(*w), name(*of)))
                })
            }
            Condition::Hears { who, hears } => who.iter().find_map(|w| {
                let members = self.nodes[*w].members.as_ref().filter(|_| !self.nodes[*w].stopped)?;
                let heard = members.hears();
                (heard != *hears).then(|| format!("{} hears {heard}", name(*w)))
            }),
        }
    }

    fn pass(&mut self) {
        self.run(LOOK);
    }

    fn at(&self) -> Span {
        self.now - At::default()
    }
}
