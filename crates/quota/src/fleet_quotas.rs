//! The state machine of a server's quotas: it routes messages between the budgets, the counters
//! and the peers.
//!
//! It owns the budgets, the counters, the view of the peers and the queue of outgoing messages.
//! Its inputs are the time, changes of the view and datagrams. Its outputs are datagrams, the time
//! of its next timeout and events for the log. It does no I/O, reads no clock and starts no calls.

mod counter_polls;
mod incarnations;
mod messaging;
mod peers;
mod slot_assignment;
mod status;

use crate::budget::{Budget, BudgetSettings, Outbox};
use crate::counter::{CountEstimate, CounterSettings, ReplicatedCounter};
use crate::ids::{BudgetId, CounterId};
use crate::message::Message;
use compact_str::CompactString;
use counter_polls::CounterPolls;
use incarnations::Incarnations;
use madderbay::time::{Duration, Timestamp};
pub use peers::Peer;
use peers::PeerTable;
pub use status::{BudgetEvent, BudgetView, Totals};
use std::collections::BTreeMap;

/// Interval of the periodic work on budgets and counters.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between a tick and an urgent one, which sends a message that a peer waits for.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of events that wait to be logged.
const MAX_PENDING_EVENTS: usize = 64;

/// Settings of a server's quotas.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this server.
    pub name: CompactString,
    /// Incarnation number of this server, different from that of any other incarnation of any
    /// server.
    pub incarnation: u64,
    /// Settings of the budgets.
    pub budgets: Vec<BudgetSettings>,
    /// Settings of the counters.
    pub counters: Vec<CounterSettings>,
}

/// Name of this server and its incarnation number in the membership view.
struct OwnIdentity {
    incarnation: u64,
    server: CompactString,
}

/// Budgets and counters of one server of a fleet.
pub struct FleetQuotas {
    settings: Settings,
    random: oorandom::Rand64,
    own: OwnIdentity,
    peers: PeerTable,
    incarnations: Incarnations,
    budgets: Vec<Budget>,
    counters: Vec<ReplicatedCounter>,
    is_surplus: bool,
    /// Whether the view has changed since the base quotas were assigned.
    view_changed: bool,
    ticked_at: Timestamp,
    next_tick: Timestamp,
    polls: CounterPolls,
    queued: BTreeMap<CompactString, Vec<Message>>,
    events: Vec<BudgetEvent>,
    totals: Totals,
}

impl FleetQuotas {
    /// Creates the quotas of a server that starts at `now`. `seed` initializes the random choices
    /// of peers and intervals.
    pub fn new(now: Timestamp, seed: u64, settings: Settings) -> FleetQuotas {
        let budgets = settings.budgets.iter().map(|b| {
            let startup_wait = b.terms.lessor_hold() + slot_assignment::settling_time(b);
            Budget::new(now, now + startup_wait, b.clone())
        });
        let counters = settings
            .counters
            .iter()
            .map(|c| ReplicatedCounter::new(now, c.clone()));
        FleetQuotas {
            random: oorandom::Rand64::new(u128::from(seed)),
            own: OwnIdentity {
                incarnation: 0,
                server: settings.name.clone(),
            },
            peers: PeerTable::default(),
            incarnations: Incarnations::default(),
            budgets: budgets.collect(),
            counters: counters.collect(),
            is_surplus: false,
            view_changed: true,
            ticked_at: Timestamp::default(),
            next_tick: now,
            polls: CounterPolls::new(now),
            queued: BTreeMap::new(),
            events: vec![],
            totals: Totals::default(),
            settings,
        }
    }

    /// Returns the budgets, in the order of the settings.
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// Returns the budgets mutably, to count the starts and ends of calls.
    pub fn budgets_mut(&mut self) -> &mut [Budget] {
        &mut self.budgets
    }

    /// Returns one budget.
    pub fn budget(&self, budget: BudgetId) -> &Budget {
        &self.budgets[budget.index()]
    }

    /// Returns one budget mutably, to count the starts and ends of its calls.
    pub fn budget_mut(&mut self, budget: BudgetId) -> &mut Budget {
        &mut self.budgets[budget.index()]
    }

    /// Returns one counter.
    pub fn counter(&self, counter: CounterId) -> &ReplicatedCounter {
        &self.counters[counter.index()]
    }

    /// Returns the counters, in the order of the settings.
    pub fn counters(&self) -> &[ReplicatedCounter] {
        &self.counters
    }

    /// Returns the counters mutably, to count keys.
    pub fn counters_mut(&mut self) -> &mut [ReplicatedCounter] {
        &mut self.counters
    }

    /// Returns the totals of datagrams and dropped events since the start.
    pub fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Replaces the view: this server's incarnation number in it, and all other servers.
    pub fn set_view(&mut self, now: Timestamp, incarnation: u64, peers: Vec<Peer>) {
        self.set_incarnation(now, incarnation);
        for name in self.peers.names_missing_from(&peers) {
            self.remove_peer(now, &name);
        }
        peers
            .into_iter()
            .for_each(|peer| self.update_peer(now, peer));
    }

    /// Sets this server's incarnation number in the view.
    pub fn set_incarnation(&mut self, now: Timestamp, incarnation: u64) {
        if std::mem::replace(&mut self.own.incarnation, incarnation) != incarnation {
            self.assign_base_quotas(now);
        }
    }

    /// Adds a server to the view, or updates its state there.
    pub fn update_peer(&mut self, now: Timestamp, peer: Peer) {
        self.counters
            .iter_mut()
            .for_each(|c| c.server_present(now, &peer.name));
        self.peers.update(peer, &mut self.random);
        self.schedule_assignment();
    }

    /// Removes a server that has left or is no longer in the view.
    pub fn remove_peer(&mut self, now: Timestamp, name: &CompactString) {
        self.counters
            .iter_mut()
            .for_each(|c| c.server_gone(now, name));
        if self.peers.remove(now, name) {
            self.schedule_assignment();
        }
    }

    /// Applies changed settings, such as capacities and weights. Lease terms and slots do not
    /// change. Adding or removing a budget requires a restart.
    pub fn reload(&mut self, now: Timestamp, budgets: &[BudgetSettings]) {
        for budget in &mut self.budgets {
            let name = &budget.settings().name;
            if let Some(changed) = budgets.iter().find(|b| b.name == *name) {
                budget.reconfigure(changed);
            }
        }
        self.assign_base_quotas(now);
        self.settings.budgets = self.budgets.iter().map(|b| b.settings().clone()).collect();
    }

    /// Returns when [`FleetQuotas::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Timestamp {
        let urgent = self
            .is_urgent()
            .then(|| self.ticked_at + MIN_URGENT_INTERVAL);
        let regular = if self.counters.is_empty() {
            self.next_tick
        } else {
            self.next_tick.min(self.polls.next_poll())
        };
        urgent.map_or(regular, |urgent| regular.min(urgent))
    }

    /// Reports whether a peer waits for a message, which may bring [`FleetQuotas::next_timeout`]
    /// forward.
    pub fn is_urgent(&self) -> bool {
        self.budgets.iter().any(Budget::is_urgent)
    }

    /// Does the work that is due at `now`.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.ticked_at = now;
            self.tick(now);
        } else if self.is_urgent() && now >= self.ticked_at + MIN_URGENT_INTERVAL {
            self.ticked_at = now;
            let mut out = Outbox::new();
            self.budgets
                .iter_mut()
                .for_each(|b| b.send_urgent(now, &mut out));
            self.queue(out);
        }
        if now >= self.polls.next_poll() && !self.counters.is_empty() {
            let poll = self.polls.start(now, self.peers.active(), &mut self.random);
            if let Some((to, poll)) = poll {
                self.queued
                    .entry(to)
                    .or_default()
                    .push(Message::CounterPoll(poll));
            }
        }
    }

    fn tick(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.view_changed) || self.is_surplus || self.peers.has_lost() {
            self.forget_lost_peers(now);
            self.assign_base_quotas(now);
        }
        self.counters.iter_mut().for_each(|c| c.forget_expired(now));
        let incarnations = &mut self.incarnations;
        // Units are also requested from peers that have sent nothing yet. Their answer contains
        // their incarnation number.
        let active = self.peers.active().iter();
        let peers: Vec<_> = active.filter_map(|name| incarnations.id_of(name)).collect();
        let mut out = Outbox::new();
        for budget in &mut self.budgets {
            budget.tick(now, &peers, &mut out);
        }
        self.queue(out);
        self.forget_retired_incarnations(now);
        self.record_events(now);
    }

    /// Removes incarnations that have ended, or whose server is no longer in the view, once they
    /// have no outstanding grants or open leases.
    fn forget_retired_incarnations(&mut self, now: Timestamp) {
        let peers = &self.peers;
        self.incarnations
            .retire_servers(|name| !peers.contains(name));
        let retired = self.incarnations.retired();
        if retired.is_empty() {
            return;
        }
        self.budgets
            .iter_mut()
            .for_each(|b| b.forget(now, |id| retired.contains(&id)));
        let budgets = &self.budgets;
        self.incarnations
            .release_retired(|id| budgets.iter().any(|b| b.remembers(id)));
    }

    fn record_events(&mut self, now: Timestamp) {
        for budget in &mut self.budgets {
            let Some(change) = budget.take_change(now) else {
                continue;
            };
            if self.events.len() < MAX_PENDING_EVENTS {
                self.events.push(BudgetEvent::new(now, budget, change));
            } else {
                self.totals.events_dropped += 1;
            }
        }
    }

    /// Takes the events since the previous call of this function.
    pub fn take_events(&mut self) -> Vec<BudgetEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the state of each budget.
    pub fn budget_views(&self, now: Timestamp) -> Vec<BudgetView> {
        self.budgets
            .iter()
            .map(|b| BudgetView::new(now, b))
            .collect()
    }

    /// Returns the rate per second that this server may use of the fleet-wide rate `per_second`.
    ///
    /// While the fleet stays within that rate, this is all that the other servers leave unused;
    /// otherwise it is a fraction of the rate in proportion to this server's own count. `servers`
    /// is the number of servers that share the rate.
    pub fn allowance(
        &self,
        now: Timestamp,
        counter: CounterId,
        key: u32,
        per_second: f64,
        servers: u32,
    ) -> f64 {
        let counter = self.counter(counter);
        let window = counter.settings().window.as_secs_f64();
        let fair_rate = per_second / f64::from(servers.max(1));
        let own = counter.local_estimate(now, key).value / window;
        let all = counter.estimate(now, key, fair_rate).value / window;
        let others = (all - own).max(0.0);
        let fraction = if all > 0.0 {
            per_second * own / all
        } else {
            0.0
        };
        (per_second - others).max(fraction).max(0.0)
    }

    /// Estimates the count of a key over the whole fleet: see [`ReplicatedCounter::estimate`].
    pub fn estimate(
        &self,
        now: Timestamp,
        counter: CounterId,
        key: u32,
        fair_rate: f64,
    ) -> CountEstimate {
        self.counter(counter).estimate(now, key, fair_rate)
    }
}
