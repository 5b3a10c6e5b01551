//! Many servers' views in simulated time: the machines of the program over a simulated network, every fault
//! from one seed.

use super::network::SimulatedNetwork;
use super::script::{
    Action, ActionError, Condition, Fleet, FleetSetup, load_scripts, name, run_script,
};
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::{AllowedNetworks, MemberState, Membership, MembershipEvent, Settings};
use madderbay_quota::{BudgetSettings, CountEstimate, CounterSettings, FleetQuotas, LeaseTerms};
use madderbay_upstream::FleetStack;
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::path::Path;

/// Simulated time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);
/// Datagrams that wait for a server that is stopped, as a socket would hold.
const WAITING: usize = 200;
/// Unix time at the start.
const UNIX_MS: u64 = 1_764_576_000_000;

/// Calls that a server makes: so many it has work for, so many are in hand.
#[derive(Default)]
struct HandlerWork {
    demand: u32,
    /// What the operator set last, where it is not as in the beginning.
    whole: Option<u32>,
    /// Ended while it was stopped.
    unheard: u32,
    /// Reqs a second of each key, and how far each is towards its next.
    rates: Vec<(u32, f64, f64)>,
}

/// What was truly counted by one life of a server: when its clock began, and by key and slot.
struct Truth {
    who: usize,
    began: Timestamp,
    counted: HashMap<(u32, u64), u32>,
}

struct Node {
    life: Option<FleetStack>,
    name: usize,
    stopped: bool,
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    /// Its monotonic clock is ahead of the world's by this, and runs so much faster.
    ahead: Duration,
    rate: f64,
    wakes: Option<Timestamp>,
    lives: u32,
    work: HandlerWork,
}

impl Node {
    fn clock(&self, now: Timestamp) -> Timestamp {
        Timestamp::default() + self.ahead + (now - Timestamp::default()).mul_f64(self.rate)
    }

    /// The point in the world's time at which its clock shows this.
    fn outside(&self, own: Timestamp) -> Timestamp {
        Timestamp::from_micros(1)
            + (own.saturating_sub(self.ahead) - Timestamp::default()).mul_f64(1.0 / self.rate)
    }
}

enum Event {
    Wake(usize, u32),
    Datagram(usize, SocketAddr, Vec<u8>),
    /// A call of that life of a server ends.
    Over(usize, u32),
    /// Reqs come, of which counts are kept.
    Reqs,
}

pub struct SimulatedFleet {
    setup: FleetSetup,
    now: Timestamp,
    chance: Rand64,
    nodes: Vec<Node>,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: HashMap<u64, Event>,
    numbered: u64,
    net: SimulatedNetwork,
    /// Servers that were declared down by one that could hear them, while they ran.
    pub wrongly_down: usize,
    pub log: Option<Vec<String>>,
    /// When a cut, a stop or a crash last could have made a down right.
    excused: Vec<Timestamp>,
    /// Calls in hand below, of all, the most there were, and the sum over time.
    pub in_hand: u32,
    pub peak: u32,
    used: (f64, Timestamp),
    truths: Vec<Truth>,
    /// Counts that were told outside of their bounds, and those looked at.
    pub out_of_bounds: (u64, u64),
}

/// Between two arrivals of counted reqs, all servers at once.
const REQS: Duration = Duration::from_millis(20);
/// The budget's and the count's name.
const NAME: &str = "below";
/// A server is taken to read no more reqs of a key a second.
const READ_MOST: f64 = 200.0;
/// Clocks run that much apart at the most, each from the true one.
const DRIFT: f64 = 0.005;

/// Without faults datagrams take this long.
const CALM: (Duration, Duration) = (Duration::from_micros(200), Duration::from_micros(2_000));

fn address(server: usize) -> SocketAddr {
    let (a, b) = (server / 250, server % 250);
    ([127, 1, a as u8, b as u8 + 1], 7_946).into()
}

impl SimulatedFleet {
    pub fn new(setup: FleetSetup, seed: u64) -> SimulatedFleet {
        let mut chance = Rand64::new(u128::from(seed) + 1);
        let nodes = (0..setup.servers).map(|s| Node {
            life: None,
            name: s,
            stopped: false,
            waiting: vec![],
            ahead: Duration::from_secs_f64(chance.rand_float() * 1e4),
            rate: 1.0 + DRIFT * (2.0 * chance.rand_float() - 1.0),
            wakes: None,
            lives: 0,
            work: HandlerWork::default(),
        });
        let nodes: Vec<Node> = nodes.collect();
        SimulatedFleet {
            now: Timestamp::from_micros(1_000_000),
            by_address: (0..setup.servers).map(|s| (address(s), s)).collect(),
            net: SimulatedNetwork::new(setup.servers, seed + 2, CALM),
            excused: vec![Timestamp::default(); setup.servers],
            setup,
            chance,
            nodes,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            numbered: 0,
            wrongly_down: 0,
            log: None,
            in_hand: 0,
            peak: 0,
            used: (0.0, Timestamp::from_micros(1_000_000)),
            truths: vec![],
            out_of_bounds: (0, 0),
        }
    }

    pub fn members(&self, server: usize) -> Option<&Membership> {
        self.nodes[server].life.as_ref().map(|t| &t.members)
    }

    pub fn shared(&self, server: usize) -> Option<&FleetQuotas> {
        self.nodes[server].life.as_ref()?.shared.as_ref()
    }

    /// Calls in hand, summed over time, in seconds.
    pub fn used(&self) -> f64 {
        self.used.0 + f64::from(self.in_hand) * (self.now - self.used.1).as_secs_f64()
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(s, n)| Some((s, &n.life.as_ref()?.members)))
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.numbered += 1;
        self.queue.push(Reverse((at, self.numbered)));
        self.events.insert(self.numbered, event);
    }

    fn start(&mut self, who: usize, named: usize, clock: Duration, back: bool) {
        let unix = UNIX_MS + (self.now - Timestamp::default()).as_micros() / 1_000;
        let clock = clock.as_micros() / 1_000;
        let unix = if back { unix - clock } else { unix + clock };
        let setup = &self.setup;
        let settings = Settings {
            name: name(named).into(),
            advertise: address(who),
            zone: setup.zones[who].as_str().into(),
            fleet: "fleet".into(),
            join: setup.join.iter().map(|j| address(*j)).collect(),
            allowed_networks: AllowedNetworks::new(["127.0.0.0/8".parse().expect("a network")]),
            max_members: setup.most,
            probe_interval: setup.probe,
            probe_timeout: setup.probe.mul_f64(0.4),
            suspicion_timeout: setup.suspicion,
            down_retention: setup.memory,
            local_health_aware: setup.minds_itself,
        };
        let seed = self.chance.rand_u64();
        let now = self.nodes[who].clock(self.now);
        let shared = self
            .shares(who, named)
            .map(|set| FleetQuotas::new(now, seed, set));
        let node = &mut self.nodes[who];
        if shared.as_ref().is_some_and(|s| !s.counters().is_empty()) {
            self.truths.push(Truth {
                who,
                began: now,
                counted: HashMap::new(),
            });
        }
        node.life = Some(FleetStack::new(
            Membership::new(now, unix, seed, settings),
            shared,
        ));
        (node.name, node.stopped, node.wakes) = (named, false, None);
        node.work.unheard = 0;
        node.lives += 1;
        node.waiting.clear();
        self.excused[who] = self.now;
        self.drive(who, |t, now| t.handle_timeout(now));
    }

    /// What a server is told of budgets and counts.
    fn shares(&self, who: usize, named: usize) -> Option<madderbay_quota::Settings> {
        let setup = &self.setup;
        let budget = setup.budget.as_ref().map(|b| BudgetSettings {
            name: NAME.into(),
            capacity: self.nodes[who].work.whole.unwrap_or(b.whole),
            max_servers: b.servers,
            slot: b.seats.then_some(named as u32 + 1),
            weight: 1.0,
            terms: LeaseTerms {
                lease: b.lease,
                max_call: b.longest,
                guard: Duration::from_millis(20),
            },
        });
        let count = setup.window.map(|window| CounterSettings {
            name: NAME.into(),
            window,
            max_per_second: READ_MOST,
        });
        (budget.is_some() || count.is_some()).then(|| madderbay_quota::Settings {
            name: name(named).into(),
            incarnation: (who as u64 + 1) << 32 | u64::from(self.nodes[who].lives + 1),
            budgets: budget.into_iter().collect(),
            counters: count.into_iter().collect(),
        })
    }

    /// Starts the calls that a server has work for, as far as it may.
    fn work(&mut self, who: usize) {
        let Some(b) = &self.setup.budget else { return };
        let (call, longest) = (b.call, b.longest);
        loop {
            let node = &mut self.nodes[who];
            let now = node.clock(self.now);
            let demand = node.work.demand;
            let Some(shared) = node
                .life
                .as_mut()
                .filter(|_| !node.stopped)
                .and_then(|t| t.shared.as_mut())
            else {
                return;
            };
            let budget = &mut shared.budgets_mut()[0];
            let (in_use, open) = (budget.in_use(), budget.may_start(now));
            if in_use >= demand || !open {
                return budget.set_waiting(now, demand.saturating_sub(in_use));
            }
            budget.call_started(now);
            let life = node.lives;
            let took = call.mul_f64(0.5 + self.chance.rand_float()).min(longest);
            self.push(self.now + took, Event::Over(who, life));
            self.count_use(1);
        }
    }

    fn count_use(&mut self, more: i64) {
        self.used.0 += f64::from(self.in_hand) * (self.now - self.used.1).as_secs_f64();
        self.used.1 = self.now;
        self.in_hand = (i64::from(self.in_hand) + more) as u32;
        self.peak = self.peak.max(self.in_hand);
    }

    fn over(&mut self, who: usize, life: u32) {
        self.count_use(-1);
        let node = &mut self.nodes[who];
        if node.lives != life || node.life.is_none() {
            return;
        }
        if node.stopped {
            node.work.unheard += 1;
            return;
        }
        let now = node.clock(self.now);
        if let Some(shared) = node.life.as_mut().and_then(|t| t.shared.as_mut()) {
            shared.budgets_mut()[0].call_ended(now);
        }
        self.work(who);
    }

    /// So many reqs of a key come to a server each second from here on, and are counted.
    pub fn reqs(&mut self, who: usize, key: u32, per_second: f64) {
        if self.nodes.iter().all(|n| n.work.rates.is_empty()) {
            self.push(self.now + REQS, Event::Reqs);
        }
        let rates = &mut self.nodes[who].work.rates;
        rates.retain(|r| r.0 != key);
        rates.push((key, per_second, 0.0));
    }

    fn reqs_come(&mut self) {
        for who in 0..self.nodes.len() {
            let node = &mut self.nodes[who];
            let now = node.clock(self.now);
            let Some(together) = node.life.as_mut().filter(|_| !node.stopped) else {
                continue;
            };
            let Some(count) = together
                .shared
                .as_mut()
                .and_then(|s| s.counters_mut().first_mut())
            else {
                continue;
            };
            let truth = self
                .truths
                .iter_mut()
                .rev()
                .find(|t| t.who == who)
                .expect("begun");
            let slot = count.settings().window.mul_f64(0.1);
            let number = (now - truth.began).as_micros() / slot.as_micros();
            for (key, rate, due) in &mut node.work.rates {
                *due += *rate * REQS.as_secs_f64() * 2.0 * self.chance.rand_float();
                let n = *due as u32;
                if n > 0 {
                    *due -= f64::from(n);
                    count.add(now, *key, n);
                    *truth.counted.entry((*key, number)).or_default() += n;
                }
            }
        }
        self.push(self.now + REQS, Event::Reqs);
    }

    /// How often a key truly came in the window that is told of now.
    pub fn truth(&self, key: u32) -> u32 {
        self.truth_at(key, |_| true)
    }

    fn truth_at(&self, key: u32, of: impl Fn(&Truth) -> bool) -> u32 {
        let Some(window) = self.setup.window else {
            return 0;
        };
        let slot = window.mul_f64(0.1);
        let (from, to) = (slot.mul_f64(3.0), slot.mul_f64(13.0));
        let mut sum = 0;
        for truth in self.truths.iter().filter(|t| of(t)) {
            let now = self.nodes[truth.who].clock(self.now);
            for ((_, number), n) in truth.counted.iter().filter(|c| c.0.0 == key) {
                let over = truth.began + Duration::from_micros((number + 1) * slot.as_micros());
                let age = now - over;
                if now >= over && age >= from && age < to {
                    sum += n;
                }
            }
        }
        sum
    }

    /// What a server tells of a key, looked at against the truth.
    pub fn told(&mut self, who: usize, key: u32, fair: f64) -> Option<CountEstimate> {
        let now = self.nodes[who].clock(self.now);
        let told = self.shared(who)?.estimate(now, 0, key, fair);
        // A bound is about the servers in the view and this life: one that has just begun on one side of a cut
        // knows neither the others nor what its former life had counted and nobody heard.
        let view = self.members(who)?;
        let began = self.truths.iter().rev().find(|t| t.who == who)?.began;
        let known = |t: &Truth| {
            let own = t.who == who && t.began == began;
            own || t.who != who && view.member(&name(self.nodes[t.who].name)).is_some()
        };
        let (truth, least) = (
            f64::from(self.truth(key)),
            f64::from(self.truth_at(key, known)),
        );
        self.out_of_bounds.1 += 1;
        let out = truth < told.low || least > told.high;
        if let Some(log) = self.log.as_mut().filter(|_| out) {
            let now = (self.now - Timestamp::default()).as_secs_f64();
            log.push(format!("{now:9.3} {} tells {told:?} of {truth}", name(who)));
        }
        self.out_of_bounds.0 += u64::from(out);
        Some(told)
    }

    /// Lets a server do something, and takes what comes of it.
    fn drive(&mut self, who: usize, act: impl FnOnce(&mut FleetStack, Timestamp)) {
        let node = &mut self.nodes[who];
        let own = node.clock(self.now);
        let Some(together) = node.life.as_mut().filter(|_| !node.stopped) else {
            return;
        };
        act(together, own);
        let (out, changes) = (together.take_datagrams(), together.members.take_events());
        let due = together.next_timeout().max(own);
        let lent = together
            .shared
            .as_mut()
            .map_or(vec![], FleetQuotas::take_events);
        let due = node.outside(due).max(self.now);
        let wake = node.wakes.is_none_or(|w| due < w || w < self.now);
        if wake {
            node.wakes = Some(due);
            let life = node.lives;
            self.push(due, Event::Wake(who, life));
        }
        if let Some(log) = &mut self.log {
            let now = (self.now - Timestamp::default()).as_secs_f64();
            log.extend(
                lent.iter()
                    .map(|change| format!("{now:9.3} {}: {change}", name(who))),
            );
        }
        self.work(who);
        for (to, bytes) in out {
            self.carry(who, to, bytes);
        }
        for change in changes {
            self.changed(who, &change);
        }
    }

    fn changed(&mut self, who: usize, change: &MembershipEvent) {
        if let Some(log) = &mut self.log {
            log.push(format!(
                "{:9.3} {}: {change}",
                (self.now - Timestamp::default()).as_secs_f64(),
                name(who)
            ));
        }
        let MembershipEvent::StateChanged {
            address,
            to: MemberState::Down,
            ..
        } = change
        else {
            return;
        };
        let Some(of) = self.by_address.get(address).copied() else {
            return;
        };
        let long = self.setup.suspicion.mul_f64(2.0) + Duration::from_millis(2_000);
        let excused = |s: usize| self.now - self.excused[s] < long;
        let hears = self.net.group[who] == self.net.group[of] && self.net.one_way.is_empty();
        let node = &self.nodes[of];
        if node.life.is_some() && !node.stopped && hears && !excused(of) && !excused(who) {
            self.wrongly_down += 1;
        }
    }

    fn carry(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        for (after, bytes) in self.net.carry(from, to, &bytes) {
            self.push(self.now + after, Event::Datagram(to, address(from), bytes));
        }
    }

    /// Plays on for so long.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(Reverse((at, no))) = self.queue.peek().copied().filter(|e| e.0.0 <= until) {
            self.queue.pop();
            self.now = at;
            match self.events.remove(&no) {
                Some(Event::Wake(who, life))
                    if self.nodes[who].lives == life
                        && self.nodes[who].wakes.is_some_and(|w| w <= self.now) =>
                {
                    self.nodes[who].wakes = None;
                    self.drive(who, |t, now| t.handle_timeout(now));
                }
                Some(Event::Over(who, life)) => self.over(who, life),
                Some(Event::Reqs) => self.reqs_come(),
                Some(Event::Datagram(to, from, bytes)) => {
                    let node = &mut self.nodes[to];
                    if node.stopped {
                        if node.waiting.len() < WAITING {
                            node.waiting.push((from, bytes));
                        }
                    } else {
                        self.drive(to, |t, now| t.handle_datagram(now, from, &bytes));
                    }
                }
                _ => {}
            }
        }
        self.now = until;
    }

    /// Those that run and are heard under their own names.
    fn present(&self) -> Vec<usize> {
        let own =
            |m: &Membership| m.member_state(&m.local_identity().name) != Some(MemberState::Down);
        self.nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| !n.stopped && n.life.as_ref().is_some_and(|t| own(&t.members)))
            .map(|n| n.0)
            .collect()
    }

    fn unsettled(&self) -> Option<String> {
        let truth = self.present();
        let mut digests: HashMap<usize, (usize, u64)> = HashMap::new();
        let mut sizes: HashMap<usize, usize> = HashMap::new();
        truth
            .iter()
            .for_each(|s| *sizes.entry(self.net.group[*s]).or_default() += 1);
        for &s in &truth {
            let members = self.members(s)?;
            let group = self.net.group[s];
            let (size, active) = (sizes[&group], members.active_count());
            if active + 1 != size {
                return Some(format!(
                    "{} holds {active} others in, not {}",
                    name(s),
                    size - 1
                ));
            }
            let first = *digests.entry(group).or_insert((s, members.digest()));
            if first.1 != members.digest() {
                return Some(format!("{} and {} differ", name(first.0), name(s)));
            }
            if members.local_identity().phase == madderbay_membership::Phase::Joining {
                return Some(format!("{} is joining", name(s)));
            }
        }
        // Equal digests of as many as run tell that each holds the right ones; suspects are looked for in one.
        let doubtful = digests.values().find_map(|(s, _)| {
            let view = self.members(*s)?.view();
            view.members
                .iter()
                .find(|m| m.state == MemberState::Suspect)
                .map(|m| m.name.clone())
        });
        doubtful.map(|who| format!("{who} is suspect"))
    }
}

/// Plays every script of a folder over so many seeds; what failed, and the first failing play's log where one
/// script was asked for.
pub fn run_all_scripts(folder: &Path, seeds: u64) -> (usize, Vec<String>) {
    let scripts = load_scripts(folder);
    let mut failed = vec![];
    for (name, script) in &scripts {
        for seed in 0..seeds {
            let mut sim = SimulatedFleet::new(script.setup.clone(), seed);
            sim.log = Some(vec![]);
            if let Err(what) = run_script(script, &mut sim) {
                if failed.is_empty() && scripts.len() == 1 {
                    sim.log.iter().flatten().for_each(|l| println!("{l}"));
                }
                failed.push(format!("{name}, seed {seed}: {what}"));
            }
        }
    }
    (scripts.len(), failed)
}

impl Fleet for SimulatedFleet {
    fn act(&mut self, act: &Action) -> Result<(), ActionError> {
        match act {
            Action::Start {
                who,
                name,
                clock,
                back,
            } => self.start(*who, *name, *clock, *back),
            Action::Kill(s) => self.nodes[*s].life = None,
            Action::Stop(s) => self.nodes[*s].stopped = true,
            Action::Continue(s) => {
                self.nodes[*s].stopped = false;
                self.excused[*s] = self.now;
                // Its timer and its socket are ready at once; which it sees first is chance.
                let (unheard, now) = (std::mem::take(&mut self.nodes[*s].work.unheard), self.now);
                let now = self.nodes[*s].clock(now);
                let shared = self.nodes[*s].life.as_mut().and_then(|t| t.shared.as_mut());
                if let Some(budget) = shared.and_then(|s| s.budgets_mut().first_mut()) {
                    (0..unheard).for_each(|_| budget.call_ended(now));
                }
                if self.chance.rand_float() < 0.5 {
                    self.drive(*s, |t, now| t.handle_timeout(now));
                }
                for (from, bytes) in std::mem::take(&mut self.nodes[*s].waiting) {
                    self.drive(*s, |t, now| t.handle_datagram(now, from, &bytes));
                }
                self.drive(*s, |t, now| t.handle_timeout(now));
            }
            Action::Demand(s, n) => {
                self.nodes[*s].work.demand = *n;
                self.work(*s);
            }
            Action::Budget {
                server: s,
                capacity: whole,
            } => {
                self.nodes[*s].work.whole = Some(*whole);
                let named = self.nodes[*s].name;
                let set = self.shares(*s, named).map_or(vec![], |s| s.budgets);
                self.drive(*s, |t, now| {
                    t.shared.iter_mut().for_each(|s| s.reload(now, &set))
                });
            }
            Action::Peak(most) => {
                let peak = std::mem::replace(&mut self.peak, self.in_hand);
                if peak > *most {
                    return Err(ActionError::TooManyCalls {
                        peak: u64::from(peak),
                        most: *most,
                    });
                }
            }
            Action::Drain(s) => {
                self.drive(*s, |t, now| t.members.drain(now));
                self.run(Duration::from_millis(1_000));
                self.drive(*s, |t, now| t.members.leave(now));
                self.nodes[*s].life = None;
            }
            Action::Cut(_) | Action::Heal => {
                self.net.act(act);
                self.excused = vec![self.now; self.setup.servers];
            }
            Action::OneWay(..) | Action::Network { .. } => self.net.act(act),
            Action::Replay(s) => {
                for (from, bytes) in self.net.kept(*s) {
                    self.push(self.now, Event::Datagram(*s, address(from), bytes));
                }
            }
            Action::For(time) => self.run(*time),
            Action::Downs(most) if self.wrongly_down > *most => {
                return Err(ActionError::WronglyDown {
                    count: self.wrongly_down,
                });
            }
            Action::Downs(_) => {}
        }
        Ok(())
    }

    fn unmet(&mut self, what: &Condition) -> Option<String> {
        match what {
            Condition::Settled => self.unsettled(),
            Condition::Sees { who, of, state } => who
                .iter()
                .filter(|w| who.len() == 1 || *w != of)
                .find_map(|w| {
                    let members = self.members(*w).filter(|_| !self.nodes[*w].stopped)?;
                    let seen = members.member_state(&name(*of));
                    (seen != *state).then(|| format!("{} sees {} {seen:?}", name(*w), name(*of)))
                }),
            Condition::Hears { who, hears } => who.iter().find_map(|w| {
                let members = self.members(*w).filter(|_| !self.nodes[*w].stopped)?;
                let heard = members.connectivity();
                (heard != *hears).then(|| format!("{} hears {heard}", name(*w)))
            }),
            Condition::Has { who, least, most } => who.iter().find_map(|w| {
                let now = self.nodes[*w].clock(self.now);
                let usable = self.shared(*w)?.budgets().first()?.usable(now);
                let wrong = usable < *least || usable > *most;
                wrong.then(|| format!("{} may use {usable}, of at least {least}", name(*w)))
            }),
            Condition::Uses { who, least } => {
                let budgets = who
                    .iter()
                    .filter_map(|w| self.shared(*w)?.budgets().first());
                let used: u32 = budgets.map(|b| b.in_use()).sum();
                (used < *least).then(|| format!("{used} calls are in hand, not {least}"))
            }
        }
    }

    fn pass(&mut self) {
        self.run(LOOK);
    }

    fn at(&self) -> Duration {
        self.now - Timestamp::default()
    }
}
