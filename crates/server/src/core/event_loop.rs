//! The core: owns the decisions, tells them what came and settles each moment. It knows no socket and no
//! clock: what came is told by calls with the time, what goes out is put into outboxes.

use crate::core::in_flight::{Due, Hands};
use crate::core::quota_gate::{Group, Lends, Lent};
use madderbay::decide::Decider;
use madderbay::interface::{Gauges, Outcome};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::{ConcurrencyConfig, ConcurrencyLimiter};
use madderbay_settings::Settings;
use std::cell::RefCell;
use std::rc::Rc;

/// Where nothing can be promised, keyed reqs are told to come back after that.
pub(super) const KEEP_AWAY: Duration = Duration::from_millis(1_000);
/// Time between two looks for catalogue connections that stand idle and table entries whose term is over:
/// much finer than either's span.
const TIDY: Duration = Duration::from_millis(1_000);

pub type Shared = Rc<RefCell<Serve>>;

pub struct Serve {
    pub(super) decider: Option<Decider>,
    pub(super) settings: Settings,
    pub(super) seed: u64,
    pub(super) on_cores: Option<usize>,
    pub(super) gauges: Gauges,
    /// Descriptors that balancers' connections and calls may take together.
    pub(super) descriptors: usize,
    pub hands: Hands,
}

impl Serve {
    /// `results`: the bytes that kept results may take.
    pub fn new(now: Timestamp, seed: u64, settings: Settings, results: usize) -> Serve {
        let hands = Hands::new(now, &settings, results);
        let on_cores = settings.meter("on_cores");
        let gauges = Gauges::default();
        Serve {
            decider: None,
            settings,
            seed,
            on_cores,
            gauges,
            descriptors: usize::MAX,
            hands,
        }
    }

    /// No more descriptors than that are taken by balancers' connections and calls together.
    pub fn limit(&mut self, descriptors: usize) {
        self.descriptors = descriptors;
    }

    /// Sets pools up; without, nothing binds but the module's own limits.
    pub fn pool(&mut self, now: Timestamp, plan: ConcurrencyConfig) {
        self.hands.pools = Some(ConcurrencyLimiter::new(
            now,
            self.seed,
            plan,
            &crate::core::concurrency_limits::kinds(&self.settings),
        ));
    }

    /// Sets budgets of the fleet up: what may be used of them is asked of `to`.
    pub fn share(&mut self, to: Rc<dyn Lends>, groups: Vec<Group>) {
        let kinds = crate::core::concurrency_limits::kinds(&self.settings);
        self.hands.lent = Some(Lent::new(to, groups, &kinds, &self.settings.below));
    }

    /// Sets backends up: calls of their handlers go where `to` says.
    pub fn lead(&mut self, to: Rc<dyn crate::core::dispatch::Leads>) {
        self.hands.leads = Some(to);
    }

    /// Lets the module decide; what that ends at once is told to it as well.
    pub(super) fn decide(&mut self, now: Timestamp, act: impl FnOnce(&mut Decider, &mut Hands)) {
        self.consider(now, act);
        self.hands.changed.notify_one();
    }

    pub(super) fn consider(&mut self, now: Timestamp, act: impl FnOnce(&mut Decider, &mut Hands)) {
        let Some(decider) = &mut self.decider else {
            return;
        };
        self.hands.now = now;
        act(decider, &mut self.hands);
        loop {
            if let Some((id, how)) = self.hands.over.pop_front() {
                decider.on_run_ended(now, id, how, Duration::ZERO);
            } else if let Some(id) = self.hands.unmade.pop_front() {
                decider.on_call_finished(
                    now,
                    id,
                    Outcome::Unreachable,
                    Duration::ZERO,
                    &mut self.hands,
                );
            } else if let Some(id) = self.hands.unrun.pop_front() {
                self.hands
                    .never_ran(id, KEEP_AWAY.min(self.settings.callers.max_retry_after));
            } else {
                return;
            }
        }
    }

    /// When the next turn is due at the latest.
    pub fn next(&self) -> Option<Timestamp> {
        let due = self.hands.due.first().map(|d| d.0);
        [self.hands.wake, due].into_iter().flatten().min()
    }

    /// One moment: all that was ready has been taken in; due times, the module's timer, its settling.
    pub fn turn(&mut self, now: Timestamp) {
        self.hands.now = now;
        while let Some(&(at, what)) = self.hands.due.first().filter(|d| d.0 <= now) {
            self.hands.due.remove(&(at, what));
            match what {
                Due::Call(id) => self.patience_over(now, id),
                Due::Hedge(id) => self.hands.hedge(now, id),
                Due::Idle(no) => {
                    let again = self.hands.conns.idle_deadline_reached(now, no);
                    self.hands.due.extend(again.map(|at| (at, Due::Idle(no))));
                }
                Due::First(no) => {
                    let again = self.hands.conns.first_request_deadline_reached(now, no);
                    self.hands.due.extend(again.map(|at| (at, Due::First(no))));
                }
                // The disk is too slow for the caller: its answer can't be a result that may not last.
                Due::Settle(id) => self.hands.answer_run(id, None),
                Due::Tidy => {
                    if let Some(keep) = &mut self.hands.keep {
                        keep.book.expire(now);
                    }
                    self.hands.calls.tidy(now);
                    self.hands.door.expire(now);
                    self.hands.conns.cut_stalled(now);
                    self.hands.due.insert((now + TIDY, Due::Tidy));
                }
            }
        }
        if let Some(wake) = self.hands.wake.filter(|w| *w <= now) {
            self.hands.wake = None;
            self.hands.rang = wake;
            self.hands.counters.tick(now - wake);
            let gauges = self.gauges;
            self.consider(now, |d, hands| d.on_tick(now, &gauges, hands));
            self.hands.engine.rang();
        }
        self.ceilings(now);
        self.consider(now, |d, hands| d.settle(now, hands));
        if let Some(keep) = &mut self.hands.keep {
            keep.flush();
        }
    }

    /// What pools and budgets may have now is handed to the module before it settles.
    pub(super) fn ceilings(&mut self, now: Timestamp) {
        let Some(decider) = &mut self.decider else {
            return;
        };
        let (pools, lent) = (&mut self.hands.pools, &mut self.hands.lent);
        let mut changed = false;
        if let Some(lent) = lent {
            changed = lent.look(now);
            if changed {
                decider.set_upstream_quota(now, lent.share());
                pools
                    .iter_mut()
                    .for_each(|p| p.set_call_quota(lent.share()));
            }
            let parts = lent.allowances(now);
            parts
                .into_iter()
                .for_each(|(tenant, per_second)| decider.set_tenant_rate(tenant, per_second));
        }
        if !changed && !pools.as_ref().is_some_and(|p| p.is_stale(now)) {
            return;
        }
        let workers = decider.status().concurrency_limit;
        let mut all = pools
            .as_mut()
            .map_or(vec![], |p| p.ceilings(now, workers).to_vec());
        all.extend(lent.iter().flat_map(Lent::ceilings));
        decider.set_ceilings(&all);
        let Some(pools) = pools else { return };
        let limit_changes = pools.take_limit_changes();
        for change in limit_changes.changes {
            log::info!(
                "pools: calls {:.1} to {:.1}: {}",
                change.from,
                change.to,
                change.cause
            );
        }
        let dropped = limit_changes.dropped;
        if dropped > 0 {
            log::info!("pools: {dropped} changes more");
        }
    }

    pub fn leave(&mut self, now: Timestamp, left: Duration) {
        self.hands.leaving = true;
        self.hands.report.notify_one();
        self.hands.conns.drain();
        self.decide(now, |d, _| d.drain(now, left));
    }

    /// All connections end that owe nothing.
    pub fn end(&mut self) {
        self.hands.conns.close_all();
    }

    /// Nothing is owed and nothing waits to be written.
    pub fn at_rest(&self) -> bool {
        self.hands.conns.is_quiescent()
    }

    pub fn unconnected(&self) -> bool {
        self.hands.conns.is_empty()
    }

    /// What the registry is told: whether this server takes work.
    pub fn ready(&self) -> bool {
        !self.hands.leaving && (self.hands.good || !self.settings.lists_follow_health)
    }

    pub fn counters(&self) -> String {
        let h = &self.hands;
        let open = h.reqs.values().filter(|r| !r.answered).count();
        let own = h.counters.lines(
            open,
            h.reqs.len(),
            h.conns.len(),
            h.calls.out(),
            h.door.len(),
        );
        let pools = h
            .pools
            .as_ref()
            .map_or(String::new(), crate::core::concurrency_limits::counters);
        let routes = h.leads.as_ref().map_or(String::new(), |l| l.counters());
        own + &pools
            + &routes
            + &h.keep
                .as_ref()
                .map_or(String::new(), crate::core::durability::Keep::counters)
    }
}
