//! Replays histories of three servers with fixed seeds and times, and compares them with the record
//! of an earlier version: decisions, estimates and datagrams must be the same, byte for byte. See
//! `data/README.md`.

use madderbay::time::{Duration, Timestamp};
use madderbay_quota::{
    BudgetEvent, BudgetId, BudgetSettings, BudgetView, ChangeCause, CounterId, CounterSettings,
    FleetQuotas, LeaseTerms, Peer, Settings, name_hash,
};

const SERVERS: usize = 3;
const NAMES: [&str; SERVERS] = ["north-1", "north-2", "south-1"];
const END_MS: u64 = 12_000;
const PHASE_MS: u64 = 2_000;
/// Calls that each server has in flight or wants to start, by phase and budget.
const DEMAND: [[[u32; SERVERS]; 2]; 6] = [
    [[0, 0, 0], [0, 0, 0]],
    [[30, 0, 2], [5, 5, 5]],
    [[30, 25, 2], [9, 0, 0]],
    [[3, 25, 25], [0, 1, 0]],
    [[12, 12, 12], [3, 3, 3]],
    [[0, 0, 40], [0, 7, 0]],
];
/// Number of different keys that each server counts: few on the first server, more than a snapshot
/// lists on the second, and more than a time slot lists on the third.
const KEYS: [u64; SERVERS] = [6, 40, 2_000];
/// Counts of each server per millisecond.
const COUNTS_PER_MS: [usize; SERVERS] = [1, 2, 6];
const KEY: &str = "tenant-3";

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

fn settings(server: usize, incarnation: u64, with_slots: bool) -> Settings {
    let ms = Duration::from_millis;
    let budget = |name: &str, capacity, weight| BudgetSettings {
        name: name.into(),
        capacity,
        max_servers: if with_slots { 3 } else { 2 },
        slot: with_slots.then_some(server as u32 + 1),
        weight,
        terms: LeaseTerms {
            lease: ms(1_000),
            max_call: ms(500),
            guard: ms(50),
        },
    };
    let weight = [1.0, 2.0, 0.5][server];
    let (name, window) = ("tenants".into(), ms(1_000));
    Settings {
        name: NAMES[server].into(),
        incarnation: 0x1234_5678_9abc_0000 + incarnation,
        budgets: vec![budget("trip-book", 32, weight), budget("fares", 7, 1.0)],
        counters: vec![CounterSettings {
            name,
            window,
            max_per_second: 1_000.0,
        }],
    }
}

struct Call {
    ends_at: u64,
    server: usize,
    budget: BudgetId,
    /// Incarnation number of the caller in the view.
    incarnation: u64,
}

struct InTransit {
    arrives_at: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct History {
    with_slots: bool,
    now: u64,
    servers: Vec<FleetQuotas>,
    /// Incarnation numbers of the servers in the view.
    incarnations: [u64; SERVERS],
    random: oorandom::Rand64,
    calls: Vec<Call>,
    in_transit: Vec<InTransit>,
    lines: Vec<String>,
    /// All datagrams that were sent, each preceded by the indices of its sender and receiver.
    sent: Vec<Vec<u8>>,
}

impl History {
    fn new(with_slots: bool) -> History {
        let mut history = History {
            with_slots,
            now: 0,
            servers: vec![],
            incarnations: [40, 41, 42],
            random: oorandom::Rand64::new(11),
            calls: vec![],
            in_transit: vec![],
            lines: vec![],
            sent: vec![],
        };
        for server in 0..SERVERS {
            let quotas = history.start_server(server, server as u64);
            history.servers.push(quotas);
        }
        history
    }

    /// Returns a server that starts now, with a view of all other servers.
    fn start_server(&self, server: usize, incarnation: u64) -> FleetQuotas {
        let settings = settings(server, incarnation, self.with_slots);
        let mut quotas = FleetQuotas::new(at(self.now), 7 + incarnation, settings);
        let others = (0..SERVERS).filter(|other| *other != server);
        let peers = others.map(|other| self.peer(other, true)).collect();
        quotas.set_view(at(self.now), self.incarnations[server], peers);
        quotas
    }

    fn peer(&self, server: usize, active: bool) -> Peer {
        Peer {
            name: NAMES[server].into(),
            incarnation: self.incarnations[server],
            active,
        }
    }

    fn replay(mut self) -> String {
        while self.now < END_MS {
            self.change_view();
            self.end_calls();
            self.deliver();
            for server in 0..SERVERS {
                self.start_calls(server);
                self.count(server);
                let now = at(self.now);
                if self.servers[server].next_timeout() <= now {
                    self.servers[server].handle_timeout(now);
                }
                self.send(server);
                self.record_events(server);
                if self.now % 500 == 499 {
                    self.record_state(server);
                }
            }
            self.now += 1;
        }
        (0..SERVERS).for_each(|server| self.record_totals(server));
        self.record_hash();
        self.lines.join("\n") + "\n"
    }

    fn change_view(&mut self) {
        let now = at(self.now);
        match self.now {
            5_000 => {
                // A server restarts. The calls of its former incarnation stay in flight.
                self.incarnations[1] = 50;
                self.servers[1] = self.start_server(1, 10);
                let peer = self.peer(1, true);
                self.servers[0].update_peer(at(self.now + 40), peer.clone());
                self.servers[2].update_peer(at(self.now + 60), peer);
            }
            7_300 => {
                let peer = self.peer(2, false);
                self.servers[0].update_peer(now, peer);
                self.servers[1].remove_peer(now, &NAMES[0].into());
            }
            9_100 => {
                let (first, third) = (self.peer(0, true), self.peer(2, true));
                self.servers[0].update_peer(now, third);
                self.servers[1].update_peer(now, first);
                self.servers[2].set_incarnation(now, self.incarnations[2]);
            }
            10_400 => {
                let mut budgets = settings(0, 0, self.with_slots).budgets;
                budgets[0].capacity = 20;
                self.servers
                    .iter_mut()
                    .for_each(|server| server.reload(now, &budgets));
            }
            _ => {}
        }
    }

    fn end_calls(&mut self) {
        let now = self.now;
        for call in self.calls.extract_if(.., |call| call.ends_at <= now) {
            if call.incarnation == self.incarnations[call.server] {
                self.servers[call.server]
                    .budget_mut(call.budget)
                    .call_ended(at(now));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for datagram in self
            .in_transit
            .extract_if(.., |datagram| datagram.arrives_at <= now)
        {
            let from = NAMES[datagram.from].into();
            self.servers[datagram.to].handle_datagram(at(now), &from, &datagram.bytes);
        }
    }

    fn start_calls(&mut self, server: usize) {
        let now = at(self.now);
        let demands = &DEMAND[(self.now / PHASE_MS) as usize];
        for (id, demand) in BudgetId::first(demands.len()).zip(demands) {
            let demand = demand[server];
            let budget = self.servers[server].budget_mut(id);
            while budget.in_use() < demand && budget.may_start(now) {
                budget.call_started(now);
                self.calls.push(Call {
                    ends_at: self.now + 20 + self.random.rand_range(0..200),
                    server,
                    budget: id,
                    incarnation: self.incarnations[server],
                });
            }
            budget.set_waiting(now, demand.saturating_sub(budget.in_use()));
        }
    }

    fn count(&mut self, server: usize) {
        for _ in 0..COUNTS_PER_MS[server] {
            let tenant = self.random.rand_range(0..KEYS[server]);
            let key = name_hash(&format!("tenant-{tenant}"));
            self.servers[server].counters_mut()[0].add(at(self.now), key, 1);
        }
    }

    /// Sends the datagrams of a server. Of twenty datagrams, one on average is lost, one is
    /// duplicated with a late second copy, and one is truncated.
    fn send(&mut self, from: usize) {
        for (to, mut bytes) in self.servers[from].take_datagrams() {
            let to = NAMES.iter().position(|name| *name == to).expect("a server");
            self.sent
                .push([&[from as u8, to as u8], bytes.as_slice()].concat());
            let fault = self.random.rand_range(0..20);
            if fault == 1 {
                let (arrives_at, bytes) = (self.now + 300, bytes.clone());
                self.in_transit.push(InTransit {
                    arrives_at,
                    from,
                    to,
                    bytes,
                });
            }
            if fault == 2 {
                bytes.truncate(9);
            }
            if fault > 0 {
                let arrives_at = self.now + 1 + self.random.rand_range(0..4);
                self.in_transit.push(InTransit {
                    arrives_at,
                    from,
                    to,
                    bytes,
                });
            }
        }
    }

    fn record(&mut self, server: usize, line: &str) {
        self.lines
            .push(format!("{} {}: {line}", self.now, NAMES[server]));
    }

    fn record_events(&mut self, server: usize) {
        for event in self.servers[server].take_events() {
            self.record(server, &recorded_event(&event));
        }
    }

    fn record_state(&mut self, server: usize) {
        let (now, quotas) = (at(self.now), &self.servers[server]);
        let estimate = quotas.estimate(now, CounterId::default(), name_hash(KEY), 2.0);
        let allowance = quotas.allowance(now, CounterId::default(), name_hash(KEY), 50.0, 3);
        let views = quotas.budget_views(now);
        let line = format!(
            "{KEY} {} of {} to {}, {} stale, allowance {allowance}",
            estimate.value, estimate.low, estimate.high, estimate.stale_servers
        );
        self.record(server, &line);
        views
            .iter()
            .for_each(|view| self.record(server, &describe_budget(view)));
    }

    fn record_totals(&mut self, server: usize) {
        let quotas = &self.servers[server];
        let (totals, counter) = (quotas.totals(), &quotas.counters()[0]);
        self.lines.push(format!(
            "{}: received {} rejected {} misdirected {} sent {} bytes {} surplus {} remote {} \
             refused {} urgent {} heaviest {:?}",
            NAMES[server],
            totals.datagrams_received,
            totals.datagrams_rejected,
            totals.misdirected,
            totals.datagrams_sent,
            totals.bytes_sent,
            quotas.is_surplus(),
            counter.tracked_incarnations(),
            counter.rejected(),
            quotas.is_urgent(),
            counter.heaviest_keys(5)
        ));
    }

    fn record_hash(&mut self) {
        let bytes = self.sent.concat();
        let hash = xxhash_rust::xxh3::xxh3_64(&bytes);
        let (datagrams, bytes) = (self.sent.len(), bytes.len());
        self.lines.push(format!(
            "{datagrams} datagrams, {bytes} bytes, hash {hash:016x}"
        ));
    }
}

fn describe_budget(view: &BudgetView) -> String {
    format!(
        "{} capacity {} base {} granted {} leased {} usable {} in use {} demand {} contact {} \
         wait {}",
        view.name,
        view.capacity,
        view.base_quota,
        view.granted,
        view.leased,
        view.usable,
        view.in_use,
        view.demand,
        view.since_contact
            .map_or(-1, |since| since.as_micros() as i64),
        view.until_usable.as_micros()
    )
}

/// Formats an event in the wording of the log at the time of the record.
fn recorded_event(event: &BudgetEvent) -> String {
    let cause = match event.cause {
        ChangeCause::Leased => "borrowed",
        ChangeCause::Granted => "lent",
        ChangeCause::Returned => "given back",
        ChangeCause::Expired => "a lease is over",
        ChangeCause::StartupWaitOver => "all that a former life lent is over",
        ChangeCause::Reconfigured => "set anew",
    };
    format!(
        "{}: {} to {} calls, {} lent, {} borrowed: {cause}",
        event.budget, event.usable_before, event.usable_after, event.granted, event.leased
    )
}

/// Compares line by line, so that a failure reports the first difference.
fn assert_same_lines(replayed: &str, recorded: &str) {
    for (number, (replayed, recorded)) in replayed.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(replayed, recorded, "line {}", number + 1);
    }
    assert_eq!(replayed.lines().count(), recorded.lines().count());
}

#[test]
fn fleet_with_slots_reproduces_the_recorded_history() {
    assert_same_lines(
        &History::new(true).replay(),
        include_str!("data/history-with-slots.txt"),
    );
}

#[test]
fn fleet_without_slots_reproduces_the_recorded_history() {
    assert_same_lines(
        &History::new(false).replay(),
        include_str!("data/history-without-slots.txt"),
    );
}
