//! Budgets of the fleet as the core meets them: which reqs have calls in hand under which budget, which will
//! want one, and the ceilings that come of it. What may be used is asked of the [`QuotaSource`].

use crate::core::request_observer::RequestObserver;
use madderbay::interface::{Ceiling, Upstream};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{CallRequirement, HandlerProfile, RequestStage};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Weight of the newest call in the mean time of one.
const CALL_ALPHA: f64 = 0.1;
/// Calls left out for want of room are wanted for about so long.
const SKIPS_FADE: Duration = Duration::from_millis(500);
/// Runs beyond the calls there are, where all must call: those that are on their way to a call.
const RUNS_MORE: usize = 2;
/// A turn is never told longer than this: what is short now may be had by then.
const TURN_MOST: Duration = Duration::from_millis(5_000);
/// Between two looks at the parts of tenants' allowances.
const ALLOWANCES: Duration = Duration::from_millis(1_000);

/// Whoever knows what this server may use of what the fleet shares. Times are its own.
pub trait QuotaSource {
    /// Calls that may be in hand now, by budget.
    fn usable(&self, budget: usize) -> usize;
    /// One more call, if it may be.
    fn start(&self, budget: usize) -> bool;
    fn ended(&self, budget: usize);
    /// Calls that wait for a place, or surely will.
    fn waits(&self, budget: usize, calls: usize);
    /// How long there may be no room yet, where there is none.
    fn until_room(&self, budget: usize) -> Duration;
    /// A req of a tenant has been read.
    fn counted(&self, handler: usize, tenant: usize);
    /// The reqs a second that this server may take of tenants' allowances, as far as they are counted.
    fn allowances(&self) -> Vec<(usize, f64)>;
}

/// One budget as it is set here.
#[derive(Clone, Debug)]
pub struct QuotaGroup {
    pub handlers: Vec<usize>,
    /// No call under it is waited for any longer.
    pub longest: Duration,
}

#[derive(Default)]
struct Load {
    held: usize,
    running: usize,
    at_call: usize,
    calling: usize,
    /// Calls left out of late, fading.
    skips: f64,
    skipped: Timestamp,
    call: f64,
    told: usize,
}

pub struct QuotaGate {
    to: Rc<dyn QuotaSource>,
    groups: Vec<QuotaGroup>,
    /// By handler: its budget, and whether its runs must call.
    of: Vec<Option<usize>>,
    must: Vec<bool>,
    loads: Vec<Load>,
    reqs: HashMap<u64, (usize, RequestStage, Timestamp)>,
    /// Calls given up on may go on below for that long.
    linger: Duration,
    lingering: VecDeque<(Timestamp, usize)>,
    usable: Vec<usize>,
    looked: Timestamp,
    /// The share of calls that are under no budget: what the settings give this server, if there are any.
    rest: f64,
}

impl QuotaGate {
    pub fn new(
        to: Rc<dyn QuotaSource>,
        groups: Vec<QuotaGroup>,
        kinds: &[HandlerProfile],
        below: &Upstream,
    ) -> QuotaGate {
        let of: Vec<Option<usize>> = (0..kinds.len())
            .map(|h| groups.iter().position(|g| g.handlers.contains(&h)))
            .collect();
        let covers = kinds
            .iter()
            .zip(&of)
            .all(|(k, of)| k.calls == CallRequirement::Never || of.is_some());
        let rest = if covers { 0.0 } else { below.quota };
        QuotaGate {
            to,
            of,
            must: kinds
                .iter()
                .map(|k| k.calls == CallRequirement::Required)
                .collect(),
            loads: groups.iter().map(|_| Load::default()).collect(),
            usable: vec![usize::MAX; groups.len()],
            groups,
            reqs: HashMap::new(),
            linger: below.abandoned_call_lifetime,
            lingering: VecDeque::new(),
            looked: Timestamp::default(),
            rest,
        }
    }

    /// The longest that a call of a handler may be waited for.
    pub fn patience(&self, handler: usize, patience: Duration) -> Duration {
        self.of[handler].map_or(patience, |b| patience.min(self.groups[b].longest))
    }

    /// One more call of a req, if its budget has room; whoever is told no makes none.
    pub fn may_call(&mut self, handler: usize) -> bool {
        self.of[handler].is_none_or(|b| self.to.start(b))
    }

    pub fn counted(&self, handler: usize, tenant: usize) {
        self.to.counted(handler, tenant);
    }

    /// Time passes: what lingered is over, what waits is told. Whether the ceilings are other ones now.
    pub fn look(&mut self, now: Timestamp) -> bool {
        while let Some((_, budget)) = self.lingering.pop_front_if(|l| l.0 <= now) {
            self.to.ended(budget);
        }
        let mut changed = false;
        for (b, load) in self.loads.iter_mut().enumerate() {
            load.skips *= (-(now - load.skipped).as_secs_f64() / SKIPS_FADE.as_secs_f64()).exp();
            load.skipped = now;
            let left_out = load.skips / SKIPS_FADE.as_secs_f64() * load.call;
            let waits = load.held + load.running + load.at_call + left_out.round() as usize;
            if load.told != waits {
                load.told = waits;
                self.to.waits(b, waits);
            }
            let usable = self.to.usable(b);
            changed |= std::mem::replace(&mut self.usable[b], usable) != usable;
        }
        changed
    }

    /// What this server may have in hand below altogether.
    pub fn share(&self) -> f64 {
        self.usable.iter().sum::<usize>() as f64 + self.rest
    }

    pub fn ceilings(&self) -> impl Iterator<Item = Ceiling> {
        self.groups.iter().enumerate().map(|(b, group)| {
            let (usable, load) = (self.usable[b], &self.loads[b]);
            let must = group.handlers.iter().all(|h| self.must[*h]);
            let runs = if must {
                usable.saturating_add(RUNS_MORE)
            } else {
                usize::MAX
            };
            let short = load.held > 0 && load.running + load.at_call + load.calling >= runs;
            let turn = match usable {
                0 => self.to.until_room(b),
                _ if short => Duration::from_secs_f64(load.call / usable as f64),
                _ => Duration::ZERO,
            };
            Ceiling {
                handlers: group.handlers.clone(),
                runs,
                calls: usable,
                start_interval: turn.min(TURN_MOST),
            }
        })
    }

    /// Parts of tenants' allowances, now and then.
    pub fn allowances(&mut self, now: Timestamp) -> Vec<(usize, f64)> {
        if now - self.looked < ALLOWANCES && now >= self.looked {
            return vec![];
        }
        self.looked = now;
        self.to.allowances()
    }

    fn shift(&mut self, budget: usize, handler: usize, stage: RequestStage, by: isize) {
        let must = self.must[handler];
        let load = &mut self.loads[budget];
        let slot = match stage {
            // Runs that may go without a call are no demand before they stand at one.
            RequestStage::Queued if must => &mut load.held,
            RequestStage::Running if must => &mut load.running,
            RequestStage::Queued | RequestStage::Running => return,
            RequestStage::AwaitingCall => &mut load.at_call,
            RequestStage::Calling => &mut load.calling,
        };
        *slot = slot.saturating_add_signed(by);
    }

    /// A call is no longer waited for; whether it may go on below.
    fn call_ends(&mut self, now: Timestamp, budget: usize, lingers: bool) {
        if lingers && self.linger > Duration::ZERO {
            self.lingering.push_back((now + self.linger, budget));
        } else {
            self.to.ended(budget);
        }
    }
}

impl RequestObserver for QuotaGate {
    fn set_stage(&mut self, now: Timestamp, id: u64, handler: usize, stage: RequestStage) {
        let Some(budget) = self.of.get(handler).copied().flatten() else {
            return;
        };
        if let Some((_, before, _)) = self.reqs.insert(id, (handler, stage, now)) {
            self.shift(budget, handler, before, -1);
            if before == RequestStage::Calling {
                self.call_ends(now, budget, true);
            }
        }
        self.shift(budget, handler, stage, 1);
    }

    fn call_finished(&mut self, now: Timestamp, id: u64, end: Completion) {
        let Some((handler, stage, since)) = self
            .reqs
            .get_mut(&id)
            .filter(|r| r.1 == RequestStage::Calling)
        else {
            return;
        };
        let (handler, took) = (*handler, (now - *since).as_secs_f64());
        *stage = if end == Completion::Success {
            RequestStage::Running
        } else {
            RequestStage::AwaitingCall
        };
        let (stage, Some(budget)) = (*stage, self.of[handler]) else {
            return;
        };
        self.shift(budget, handler, RequestStage::Calling, -1);
        self.shift(budget, handler, stage, 1);
        let load = &mut self.loads[budget];
        if end == Completion::Success {
            load.call += if load.call == 0.0 {
                took
            } else {
                CALL_ALPHA * (took - load.call)
            };
        }
        self.call_ends(
            now,
            budget,
            matches!(end, Completion::TimedOut | Completion::Cancelled),
        );
    }

    fn call_skipped(&mut self, now: Timestamp, id: u64) {
        let Some((handler, ..)) = self.reqs.get(&id).copied() else {
            return;
        };
        if let Some(budget) = self.of[handler] {
            self.loads[budget].skips += 1.0;
        }
        self.set_stage(now, id, handler, RequestStage::Running);
    }

    fn request_answered(&mut self, now: Timestamp, id: u64) {
        // It wants no call any more.
        self.request_finished(now, id);
    }

    fn request_finished(&mut self, now: Timestamp, id: u64) {
        self.call_finished(now, id, Completion::Cancelled);
        if let Some((handler, stage, _)) = self.reqs.remove(&id)
            && let Some(budget) = self.of[handler]
        {
            self.shift(budget, handler, stage, -1);
        }
    }
}
