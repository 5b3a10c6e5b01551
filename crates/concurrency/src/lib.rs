//! ConcurrencyLimiter of handlers: how many runs and calls each may have now, given the runs that the module allows, what
//! lies below is bearing, the weights of the pools and the reserve. What is let in, in which order, and what
//! is turned away is decided elsewhere, by [`madderbay::decide`], which heeds the ceilings made here.
//!
//! No I/O, no clock: told what becomes of each req, and asked now and then for the [`Ceiling`]s.
//!
//! ```
//! use madderbay::time::Timestamp;
//! use madderbay_concurrency::{CallRequirement, HandlerProfile, ConcurrencyConfig, PoolConfig, ConcurrencyLimiter, RequestStage};
//! let pool = |name: &str, handlers| PoolConfig { name: name.into(), handlers, ..PoolConfig::default() };
//! let kind = |calls| HandlerProfile { calls };
//! let plan = ConcurrencyConfig { pools: vec![pool("a", vec![0]), pool("b", vec![1])], ..ConcurrencyConfig::default() };
//! let mut pools = ConcurrencyLimiter::new(Timestamp::from_micros(0), 7, plan, &[kind(CallRequirement::Never), kind(CallRequirement::Never)]);
//! // Nobody wants b's places: a may have all four.
//! pools.set_stage(Timestamp::from_micros(1), 1, 0, RequestStage::Queued);
//! assert_eq!(pools.ceilings(Timestamp::from_micros(1), 4.0)[1].runs, 4);
//! ```

pub mod fair_share;
pub mod limit;

pub use limit::{AdjustmentCause, Completion, LimitChange};

use fair_share::Demand;
use limit::{AdaptiveLimit, Permit};
use madderbay::interface::Ceiling;
use madderbay::time::{Duration, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Weight of the newest run in a handler's mean: the last ten or so.
const RUN_ALPHA: f64 = 0.1;
/// The cheapest handlers are told anew this often, and another takes the reserve when it is cheaper by this.
const CHEAPEST_EVERY: Duration = Duration::from_millis(1_000);
const CHEAPER: f64 = 0.8;
/// What is not in the reserve may use it while its runs are no longer than this many of the reserve's own: so
/// it is had back within about one run's time.
const AS_SHORT: f64 = 1.5;
/// Span over which a pool's runs are averaged: several runs, and shorter than any trouble.
const USUAL_OVER: Duration = Duration::from_millis(300);
/// Ceilings are made anew this often though nothing has changed: much finer than any judgement.
const MADE_FOR: Duration = Duration::from_millis(20);
/// A turn is never told longer than this: what is that slow may be over by then.
const TURN_MOST: Duration = Duration::from_millis(2_000);
/// A refused call counts as wanted for this long: its pool has a share in the calls meanwhile.
const WANTED_FOR: Duration = Duration::from_millis(500);
/// A run whose req is answered and that stands at a call has its place for so long: its engine ends it at once,
/// if it ever does.
const PLACE_FOR: Duration = Duration::from_millis(2_000);
/// Changes of a limit kept for the log until they are fetched.
const TOLD_MOST: usize = 64;
/// The least ceiling on calls where this server's share of what lies below is under this: quick calls may go
/// together, and the module's account of seconds keeps the mean within the share.
const SHARE_SMALL: f64 = 4.0;

/// Whether a handler's runs make calls, and whether they can do without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRequirement {
    Never,
    Optional,
    Required,
}

#[derive(Clone, Copy, Debug)]
pub struct HandlerProfile {
    pub calls: CallRequirement,
}

/// One pool as the operator set it.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    pub name: String,
    pub handlers: Vec<usize>,
    pub weight: f64,
    /// Its weight among those that want calls.
    pub call_weight: f64,
    /// The most runs and calls, whatever is free.
    pub max_runs: Option<usize>,
    pub max_calls: Option<usize>,
}

impl Default for PoolConfig {
    fn default() -> PoolConfig {
        PoolConfig {
            name: String::new(),
            handlers: vec![],
            weight: 1.0,
            call_weight: 1.0,
            max_runs: None,
            max_calls: None,
        }
    }
}

/// Places kept for some handlers.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// None named: the one that costs least.
    pub handlers: Vec<usize>,
    /// The part of all runs and calls.
    pub fraction: f64,
}

/// All that is set. Handlers in no pool form one of their own, of weight 1.
#[derive(Clone, Debug)]
pub struct ConcurrencyConfig {
    pub pools: Vec<PoolConfig>,
    pub reserve: Option<Reserve>,
    /// Whether the limit on calls follows what lies below, or stays at its most.
    pub adaptive: bool,
    /// This server's share of what lies below, in calls in hand; nothing where calls need no limit.
    pub call_quota: Option<f64>,
    /// What is given up on may go on below for that long.
    pub abandoned_call_lifetime: Duration,
    pub cores: usize,
    /// Where what lies below is several, by the handlers that call each: a limit for each, which begins at that
    /// part of the share. The handlers in none have one limit of their own, of the whole share.
    pub upstream_groups: Vec<(Vec<usize>, f64)>,
}

impl Default for ConcurrencyConfig {
    fn default() -> ConcurrencyConfig {
        let (pools, groups) = (vec![], vec![]);
        ConcurrencyConfig {
            pools,
            reserve: None,
            adaptive: true,
            call_quota: None,
            abandoned_call_lifetime: Duration::ZERO,
            cores: 1,
            upstream_groups: groups,
        }
    }
}

/// Where a req stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    Queued,
    Running,
    /// Its run waits for a call that was not made yet.
    AwaitingCall,
    Calling,
}

struct Req {
    handler: usize,
    stage: RequestStage,
    started: Timestamp,
    ticket: Option<Permit>,
    /// It was answered long ago, stands at a call, and the engine does not end it: it takes no place.
    hung: bool,
}

/// What the reqs of one handler have in hand.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    held: usize,
    running: usize,
    at_call: usize,
    calling: usize,
    hung: usize,
    /// Mean time from start to end; nothing before the first.
    run: Option<f64>,
    /// When a call of it was last refused.
    refused: Option<Timestamp>,
}

impl Load {
    fn of(&mut self, stage: RequestStage) -> &mut usize {
        match stage {
            RequestStage::Queued => &mut self.held,
            RequestStage::Running => &mut self.running,
            RequestStage::AwaitingCall => &mut self.at_call,
            RequestStage::Calling => &mut self.calling,
        }
    }

    fn runs(&self) -> usize {
        self.running + self.at_call + self.calling
    }

    /// A run takes a place, or no longer does.
    fn count(&mut self, req: &Req, more: bool) {
        let slot = if req.hung {
            &mut self.hung
        } else {
            self.of(req.stage)
        };
        *slot = if more {
            *slot + 1
        } else {
            slot.saturating_sub(1)
        };
    }
}

/// The limit on the calls of some handlers.
struct Below {
    handlers: Vec<usize>,
    /// Of the share of all.
    part: f64,
    limit: AdaptiveLimit,
}

pub struct ConcurrencyLimiter {
    plan: ConcurrencyConfig,
    kinds: Vec<HandlerProfile>,
    loads: Vec<Load>,
    reqs: HashMap<u64, Req>,
    /// Runs whose reqs are answered, with when their places are free at the latest.
    answered: VecDeque<(Timestamp, u64)>,
    /// One for each of what lies below, by the handlers that call it; none where calls need none.
    limits: Vec<Below>,
    /// The runs that each pool had of late, and when that was last followed.
    usual: Vec<f64>,
    followed: Timestamp,
    reserved: Vec<usize>,
    chosen: Timestamp,
    held_up: Option<Timestamp>,
    ceilings: Vec<Ceiling>,
    /// Something has changed since the ceilings were made, and when that was.
    changed: bool,
    made: Timestamp,
    told: Vec<LimitChange>,
    untold: u64,
    /// Times that a limit changed.
    pub changes: u64,
}

impl ConcurrencyLimiter {
    pub fn new(
        now: Timestamp,
        seed: u64,
        mut plan: ConcurrencyConfig,
        kinds: &[HandlerProfile],
    ) -> ConcurrencyLimiter {
        let known = |h: &usize| plan.pools.iter().any(|p| p.handlers.contains(h));
        let rest: Vec<usize> = (0..kinds.len()).filter(|h| !known(h)).collect();
        if !rest.is_empty() {
            plan.pools.push(PoolConfig {
                name: "rest".into(),
                handlers: rest,
                ..PoolConfig::default()
            });
        }
        let mut groups = plan.upstream_groups.clone();
        let grouped = |h: &usize| plan.upstream_groups.iter().any(|g| g.0.contains(h));
        let others: Vec<usize> = (0..kinds.len()).filter(|h| !grouped(h)).collect();
        if groups.is_empty()
            || others
                .iter()
                .any(|h| kinds[*h].calls != CallRequirement::Never)
        {
            groups.push((others, 1.0));
        }
        let of = |(at, (handlers, part)): (usize, (Vec<usize>, f64))| {
            let most = (plan.call_quota.unwrap_or(0.0) * part).max(SHARE_SMALL);
            let limit =
                AdaptiveLimit::new(now, seed + at as u64, most, plan.abandoned_call_lifetime);
            Below {
                handlers,
                part,
                limit,
            }
        };
        let limits = match plan.call_quota {
            Some(_) => groups.into_iter().enumerate().map(of).collect(),
            None => vec![],
        };
        let reserved = plan.reserve.as_ref().map_or(vec![], |r| r.handlers.clone());
        let usual = vec![1.0; plan.pools.len()];
        ConcurrencyLimiter {
            plan,
            usual,
            followed: now,
            kinds: kinds.to_vec(),
            loads: vec![Load::default(); kinds.len()],
            reqs: HashMap::new(),
            answered: VecDeque::new(),
            limits,
            reserved,
            chosen: now,
            held_up: None,
            ceilings: vec![],
            changed: true,
            made: now,
            told: vec![],
            untold: 0,
            changes: 0,
        }
    }

    /// A req stands at another stage than before; one that is new to the pools is taken in.
    pub fn set_stage(&mut self, now: Timestamp, id: u64, handler: usize, stage: RequestStage) {
        if handler >= self.loads.len() {
            return;
        }
        let fresh = Req {
            handler,
            stage,
            started: now,
            ticket: None,
            hung: false,
        };
        self.changed = true;
        let known = self.reqs.contains_key(&id);
        let req = self.reqs.entry(id).or_insert(fresh);
        let load = &mut self.loads[req.handler];
        if known {
            load.count(req, false);
        }
        req.hung = false;
        *load.of(stage) += 1;
        if known && req.stage == RequestStage::Queued {
            req.started = now;
        }
        // A call that was out and is not told of ended for reasons of this side's own.
        let mut limit = limit_of(&mut self.limits, req.handler);
        if let (Some(limit), Some(ticket)) = (&mut limit, req.ticket.take()) {
            limit.release(now, ticket, Completion::Cancelled, false);
        }
        req.stage = stage;
        match stage {
            RequestStage::Calling => req.ticket = limit.map(|l| l.acquire(now)),
            RequestStage::AwaitingCall => {
                if let Some(limit) = limit
                    && limit.in_flight() >= limit.allowed_in_flight()
                {
                    limit.record_saturation();
                }
            }
            RequestStage::Queued | RequestStage::Running => {}
        }
    }

    /// Another share of what lies below, in calls in hand.
    pub fn set_call_quota(&mut self, share: f64) {
        for below in &mut self.limits {
            below.limit.set_max((share * below.part).max(SHARE_SMALL));
            self.changed = true;
        }
    }

    /// This process was held up until now: the time of calls that are out tells nothing of what lies below.
    pub fn process_stalled(&mut self, now: Timestamp) {
        self.held_up = Some(now);
    }

    /// A call of this req ended: it runs on, or stands at the call again.
    pub fn call_finished(&mut self, now: Timestamp, id: u64, end: Completion) {
        let Some(req) = self
            .reqs
            .get_mut(&id)
            .filter(|r| r.stage == RequestStage::Calling)
        else {
            return;
        };
        self.changed = true;
        if let (Some(limit), Some(ticket)) =
            (limit_of(&mut self.limits, req.handler), req.ticket.take())
        {
            let held_up = self.held_up.is_some_and(|t| t >= ticket.started_at());
            limit.release(now, ticket, end, held_up);
        }
        let stage = if end == Completion::Success {
            RequestStage::Running
        } else {
            RequestStage::AwaitingCall
        };
        let load = &mut self.loads[req.handler];
        load.calling -= 1;
        *load.of(stage) += 1;
        req.stage = stage;
    }

    /// The run goes on without its call, for want of room below or of time.
    pub fn call_skipped(&mut self, now: Timestamp, id: u64) {
        let Some(req) = self.reqs.get(&id) else {
            return;
        };
        let handler = req.handler;
        self.loads[handler].refused = Some(now);
        self.set_stage(now, id, handler, RequestStage::Running);
    }

    /// The req is over: its run ended, or it never started and was answered, or its caller left.
    pub fn request_finished(&mut self, now: Timestamp, id: u64) {
        self.call_finished(now, id, Completion::Cancelled);
        let Some(req) = self.reqs.remove(&id) else {
            return;
        };
        self.changed = true;
        let load = &mut self.loads[req.handler];
        load.count(&req, false);
        if req.stage != RequestStage::Queued {
            let secs = (now - req.started).as_secs_f64();
            let mean = load.run.unwrap_or(secs);
            load.run = Some(mean + RUN_ALPHA * (secs - mean));
        }
    }

    /// The req is answered, and its run goes on: one that stands at a call is to end at once.
    pub fn request_answered(&mut self, now: Timestamp, id: u64) {
        if self.reqs.contains_key(&id) {
            self.answered.push_back((now + PLACE_FOR, id));
        }
    }

    /// Runs that stand at a call long after their reqs were answered give their places up: what lies below an
    /// engine that does not end them would be shut off for good else.
    fn free_hung(&mut self, now: Timestamp) {
        while let Some((_, id)) = self.answered.pop_front_if(|a| a.0 <= now) {
            let Some(req) = self
                .reqs
                .get_mut(&id)
                .filter(|r| r.stage == RequestStage::AwaitingCall && !r.hung)
            else {
                continue;
            };
            let load = &mut self.loads[req.handler];
            load.count(req, false);
            req.hung = true;
            load.count(req, true);
            self.changed = true;
        }
    }

    /// Runs that take no place any more.
    pub fn hung(&self) -> usize {
        self.loads.iter().map(|l| l.hung).sum()
    }

    /// Reqs known here: no more than those in hand.
    pub fn len(&self) -> usize {
        self.reqs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.reqs.is_empty()
    }

    /// The limit on calls and how many are in hand; nothing where calls have none.
    pub fn calls(&self) -> Option<(f64, usize)> {
        let each = self
            .limits
            .iter()
            .map(|b| (b.limit.limit(), b.limit.in_flight()));
        each.reduce(|sum, l| (sum.0 + l.0, sum.1 + l.1))
    }

    /// The same for each of what lies below, with the handlers that call it.
    pub fn limits(&self) -> impl Iterator<Item = (&[usize], f64, usize)> {
        self.limits
            .iter()
            .map(|b| (b.handlers.as_slice(), b.limit.limit(), b.limit.in_flight()))
    }

    /// Each pool's name, reqs held, runs, calls out, and its ceilings of both.
    pub fn standing(&self) -> impl Iterator<Item = (&str, [usize; 5])> {
        let per_pool = self.ceilings.get(1..).unwrap_or_default();
        self.plan.pools.iter().zip(per_pool).map(|(p, c)| {
            let sum = |what: fn(&Load) -> usize| self.sum(&p.handlers, what);
            (
                p.name.as_str(),
                [
                    sum(|l| l.held),
                    sum(Load::runs),
                    sum(|l| l.calling),
                    c.runs,
                    c.calls,
                ],
            )
        })
    }

    /// The changes of limits since the last time, as far as they were kept, and how many were not.
    pub fn take_limit_changes(&mut self) -> (Vec<LimitChange>, u64) {
        (
            std::mem::take(&mut self.told),
            std::mem::take(&mut self.untold),
        )
    }

    /// The handlers that the reserve is kept for now.
    pub fn reserved(&self) -> &[usize] {
        &self.reserved
    }

    /// Whether the ceilings handed out last may have changed.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        self.changed || now >= self.made + MADE_FOR || now < self.made
    }

    /// The ceilings as of now, where the module allows `workers` runs: that on everything first, then one a
    /// pool, last what does not belong to the reserve.
    pub fn ceilings(&mut self, now: Timestamp, workers: f64) -> &[Ceiling] {
        self.free_hung(now);
        (self.changed, self.made) = (false, now);
        self.follow(now);
        self.judge(now);
        self.choose(now);
        let workers = (workers as usize).max(1);
        let each: Vec<(Vec<usize>, usize)> = self
            .limits
            .iter()
            .map(|b| (b.handlers.clone(), b.limit.allowed_in_flight()))
            .collect();
        let below = each
            .iter()
            .map(|b| b.1)
            .reduce(|a, b| a + b)
            .unwrap_or(usize::MAX);
        let calls = self.call_places(now, &each);
        let runs = self.run_places(workers, &calls);
        let all: Vec<usize> = (0..self.kinds.len()).collect();
        let mut found = vec![Ceiling {
            handlers: all,
            runs: usize::MAX,
            calls: below,
            start_interval: Duration::ZERO,
        }];
        for (at, ((pool, runs), calls)) in self.plan.pools.iter().zip(runs).zip(calls).enumerate() {
            let turn = self.turn(at, workers);
            found.push(Ceiling {
                handlers: pool.handlers.clone(),
                runs,
                calls,
                start_interval: turn,
            });
        }
        found.extend(self.outside(workers, below));
        if each.len() > 1 {
            let of = |(handlers, calls)| Ceiling {
                handlers,
                runs: usize::MAX,
                calls,
                start_interval: Duration::ZERO,
            };
            found.extend(each.into_iter().map(of));
        }
        self.ceilings = found;
        &self.ceilings
    }

    fn judge(&mut self, now: Timestamp) {
        for Below { limit, .. } in &mut self.limits {
            if !self.plan.adaptive {
                limit.expire_abandoned_calls(now);
            } else if let Some(change) = limit.tick(now) {
                self.changes += 1;
                if self.told.len() < TOLD_MOST {
                    self.told.push(change);
                } else {
                    self.untold += 1;
                }
            }
        }
    }

    /// Where the reserve names no handler it goes to the one whose runs are shortest.
    fn choose(&mut self, now: Timestamp) {
        let named = self
            .plan
            .reserve
            .as_ref()
            .is_none_or(|r| !r.handlers.is_empty());
        if named || (now < self.chosen + CHEAPEST_EVERY && !self.reserved.is_empty()) {
            return;
        }
        let cost = |h: usize| self.loads[h].run.unwrap_or(f64::MAX);
        let Some(best) = (0..self.kinds.len()).min_by(|a, b| cost(*a).total_cmp(&cost(*b))) else {
            return;
        };
        let before = self.reserved.first().map_or(f64::INFINITY, |h| cost(*h));
        if cost(best) < CHEAPER * before {
            self.reserved = vec![best];
        }
        self.chosen = now;
    }

    fn sum(&self, handlers: &[usize], what: impl Fn(&Load) -> usize) -> usize {
        handlers.iter().map(|h| what(&self.loads[*h])).sum()
    }

    /// The calls that each pool may have. Runs that must call will want one; of those that may skip it, a
    /// pool whose calls were refused just now wants more than it has.
    fn call_places(&self, now: Timestamp, below: &[(Vec<usize>, usize)]) -> Vec<usize> {
        if below.is_empty() {
            return self
                .call_wants(now, |_| true)
                .iter()
                .map(|w| w.max)
                .collect();
        }
        let mut places = vec![0usize; self.plan.pools.len()];
        for (handlers, allowed) in below {
            let wants = self.call_wants(now, |h| handlers.contains(h));
            let found = fair_share::ceilings(*allowed, &wants);
            places
                .iter_mut()
                .zip(found)
                .for_each(|(sum, n)| *sum = sum.saturating_add(n));
        }
        let most = self
            .plan
            .pools
            .iter()
            .map(|p| p.max_calls.unwrap_or(usize::MAX));
        places
            .into_iter()
            .zip(most)
            .map(|(n, most)| n.min(most))
            .collect()
    }

    /// What each pool wants of the calls of some handlers.
    fn call_wants(&self, now: Timestamp, of: impl Fn(&usize) -> bool) -> Vec<Demand> {
        self.plan
            .pools
            .iter()
            .map(|p| {
                let late = |l: &Load| {
                    l.refused
                        .is_some_and(|at| now < at + WANTED_FOR && now >= at)
                };
                let more = |h: &usize| {
                    let l = &self.loads[*h];
                    let soon = match self.kinds[*h].calls {
                        CallRequirement::Required => l.running + l.held,
                        CallRequirement::Optional if late(l) => l.running + 1,
                        _ => 0,
                    };
                    l.calling + l.at_call + soon
                };
                let more = p.handlers.iter().filter(|h| of(h)).map(more).sum();
                let calls = |h: &usize| of(h) && self.kinds[*h].calls != CallRequirement::Never;
                let callers = p.handlers.iter().any(calls);
                let most = if callers {
                    p.max_calls.unwrap_or(usize::MAX)
                } else {
                    0
                };
                Demand {
                    weight: p.call_weight,
                    wanted: more,
                    max: most,
                }
            })
            .collect()
    }

    /// The runs that each pool may have: those that stand at a call, which the calls' places bound, and its
    /// part by weight of the rest, which the cores work on. Runs that must call are no use beyond the calls
    /// there are and those that the cores work on meanwhile.
    fn run_places(&self, workers: usize, calls: &[usize]) -> Vec<usize> {
        let weights: f64 = self.plan.pools.iter().map(|p| p.weight).sum();
        let away = |p: &PoolConfig| self.sum(&p.handlers, |l| l.at_call + l.calling);
        let rest = workers
            .saturating_sub(self.plan.pools.iter().map(away).sum())
            .max(1);
        let wants: Vec<Demand> = self
            .plan
            .pools
            .iter()
            .zip(calls)
            .map(|(p, calls)| {
                let must = p
                    .handlers
                    .iter()
                    .all(|h| self.kinds[*h].calls == CallRequirement::Required);
                let own = (self.plan.cores as f64 * p.weight / weights.max(1e-9))
                    .ceil()
                    .max(1.0) as usize;
                let bound = if must {
                    calls.saturating_add(own)
                } else {
                    usize::MAX
                };
                let most = p
                    .max_runs
                    .unwrap_or(usize::MAX)
                    .min(bound)
                    .max(1)
                    .saturating_sub(away(p));
                Demand {
                    weight: p.weight,
                    wanted: self.sum(&p.handlers, |l| l.held + l.running),
                    max: most,
                }
            })
            .collect();
        let places = fair_share::ceilings(rest, &wants);
        self.plan
            .pools
            .iter()
            .zip(places)
            .map(|(p, n)| away(p) + n)
            .collect()
    }

    /// The time between two starts of a pool whose reqs are held though workers are free: its places, as many
    /// as it had of late, each held for the mean time of a run.
    fn turn(&self, at: usize, workers: usize) -> Duration {
        let handlers = &self.plan.pools[at].handlers;
        let all: usize = self.loads.iter().map(Load::runs).sum();
        let runs = self.sum(handlers, Load::runs);
        if self.sum(handlers, |l| l.held) == 0 || all + 1 > workers || runs == 0 {
            return Duration::ZERO;
        }
        let stay = handlers
            .iter()
            .map(|h| self.loads[*h].run.unwrap_or(0.0) * self.loads[*h].runs() as f64);
        let mean = stay.sum::<f64>() / runs as f64;
        Duration::from_secs_f64(mean / self.usual[at].max(1.0)).min(TURN_MOST)
    }

    /// Follows the runs that each pool has.
    fn follow(&mut self, now: Timestamp) {
        let keeps = (-((now - self.followed).as_secs_f64() / USUAL_OVER.as_secs_f64())).exp();
        self.followed = now;
        for (pool, usual) in self.plan.pools.iter().zip(&mut self.usual) {
            let runs: usize = pool.handlers.iter().map(|h| self.loads[*h].runs()).sum();
            *usual = runs as f64 + keeps * (*usual - runs as f64);
        }
    }

    /// What is not in the reserve leaves it free; but for handlers whose runs are as short as the reserve's,
    /// and which never wait for a call: they give it back within one run's time.
    fn outside(&self, workers: usize, below: usize) -> Option<Ceiling> {
        let part = self.plan.reserve.as_ref()?.fraction;
        let own = |h: &usize| self.reserved.contains(h);
        let kept =
            |total: usize| ((part * total as f64).ceil() as usize).min(total.saturating_sub(1));
        let shortest = self
            .reserved
            .iter()
            .filter_map(|h| self.loads[*h].run)
            .fold(f64::MAX, f64::min);
        let short = |h: &usize| {
            self.kinds[*h].calls == CallRequirement::Never
                && self.loads[*h].run.is_some_and(|r| r <= AS_SHORT * shortest)
        };
        let handlers: Vec<usize> = (0..self.kinds.len())
            .filter(|h| !own(h) && !short(h))
            .collect();
        let callers = self
            .reserved
            .iter()
            .any(|h| self.kinds[*h].calls != CallRequirement::Never);
        let calls = if below == usize::MAX || !callers {
            below
        } else {
            below - kept(below)
        };
        Some(Ceiling {
            handlers,
            runs: workers - kept(workers),
            calls,
            start_interval: Duration::ZERO,
        })
    }
}

/// The limit that a handler's calls are under.
fn limit_of(limits: &mut [Below], handler: usize) -> Option<&mut AdaptiveLimit> {
    limits
        .iter_mut()
        .find(|b| b.handlers.contains(&handler))
        .map(|b| &mut b.limit)
}
