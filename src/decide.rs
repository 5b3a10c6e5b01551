//! Every decision of madderbay. The adapter makes one [`Decider`] a server life, calls it for each event and,
//! after the last of a batch, calls `settle`. Its interface, [`crate::interface`], holds settings, req facts and
//! results. A req passes the stages of `CHAIN`, then start and the calls below; what comes back passes them
//! in reverse (`ended`). Constants come first, the parts next, the chain last.

use crate::interface::*;
use crate::request::{Book, Due, KeyBook, KeyNo, No, Req, Stage};
use crate::time::{Duration, Timestamp};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::ops::ControlFlow::{self, Break, Continue};
use std::{array::from_fn, cmp::Ordering::Equal};

/// Weight of the newest response in a handler's MRT; the paper's.
const MRT_ALPHA: f64 = 0.05;
/// Share of the response target that MRT is steered to: with a mean at the target half would be late.
const SETPOINT: f64 = 0.8;
/// Integral gain, in mean run times of budget for an error of one whole target (the paper's 1), and the most
/// error that a step takes: one very late completion must not empty the budget.
const K_I: f64 = 1.0;
const STEP_MOST: f64 = 2.0;
/// Past points in the fit, and completions between two LQ resets; the paper's Bing settings.
const ORDER: usize = 10;
const REFIT_EVERY: u32 = 10;
/// Weights of the LQ cost on the error and on the change; the paper's.
const LQ_W: f64 = 0.5;
const LQ_Q: f64 = 0.5;
/// Forgetting factor of the fit: about 100 refits, so that a server's cold start fades.
const FORGET: f64 = 0.99;
/// Weight of the newest run in the mean run times: about the last 30; the guess before any, in targets.
const RUN_ALPHA: f64 = 0.03;
const RUN_GUESS: f64 = 0.1;
/// What the largest run keeps at each completion: halved after 700, so that one odd run fades.
const LARGEST_KEEPS: f64 = 0.999;
/// Cut of the admitted share a second for a latency one target over, and its slower regain.
const SHARE_CUT: f64 = 0.5;
const SHARE_REGAIN: f64 = 0.2;
/// Least share admitted: the loop needs completions to see that it may recover.
const SHARE_LEAST: f64 = 0.3;
/// Recent arrivals whose value ranks a new one: a few seconds of one server's traffic.
const RECENT: usize = 64;
/// Run queue a core under which the worker limit grows, and over which it falls back: crowded cores do less.
const ROOM: f64 = 1.1;
const CROWDED: f64 = 1.4;
/// Change of the worker limit a tick: the whole way from the cores to twice the cores in a quarter second.
const LIMIT_STEP: f64 = 0.25;
/// Weight of the newest reading of the run queue: about the last 50 ms.
const QUEUE_ALPHA: f64 = 0.2;
/// Part of the runs a server survives that may be started: a stall can put all of them on the cores at once.
const SURVIVE_PART: f64 = 0.85;
/// Parts of the memory up to which runs start, and past which held reqs are shed.
const MEMORY_START: f64 = 0.90;
const MEMORY_HOLD: f64 = 0.96;
/// Least and most part of this server's share below that calls may hold: it slows well before the whole.
const CALLS_LEAST: f64 = 0.27;
const CALLS_MOST: f64 = 0.9;
/// Mean call time, in bests, from which the number in hand shrinks; weight of the newest call in such means.
const CALLS_SLOW: f64 = 1.2;
const CALL_ALPHA: f64 = 0.1;
/// The first wait before a call that provably did not run is repeated; it doubles each time.
const CALL_WAIT: Duration = Duration::from_millis(40);
/// Mean call times after which a call is stuck; share of calls shed from which second tries only crowd more.
const CALL_STUCK: f64 = 8.0;
const CALLS_SHED: f64 = 0.25;
/// Share of the response target that a tier below gets of the whole.
const TIER_PART: f64 = 0.4;
/// Weight of the newest run in the share of errored ones, what that keeps a tick (halved in 7 s, so that a
/// server that can't try tries again), and the share from which arrivals go elsewhere.
const ERR_ALPHA: f64 = 0.08;
const ERR_KEEPS: f64 = 0.999;
const ERRING: f64 = 0.25;
/// Weight of the newest arrival in the share that comes again; from where on and how steeply sheds are last.
const AGAIN_ALPHA: f64 = 0.05;
const LAST_FROM: f64 = 0.05;
const LAST_GAIN: f64 = 6.0;
/// Mean run in best means, for the crowd, over which a server is slow by itself; that best's drift up a run.
const SLOW_HERE: f64 = 1.6;
const BEST_DRIFT: f64 = 1.0005;
/// Period of the one timer: finer than any answer's slack, coarse enough to cost little.
const TICK: Duration = Duration::from_millis(10);
/// A timer later than this was held up by a pause of the whole process.
const PAUSE: Duration = Duration::from_millis(40);
/// Answers leave this long before they fall due: three ticks.
const MARGIN: Duration = Duration::from_millis(30);
/// Time without a completion after which the age of the oldest run stands for one, and between two stops.
const STALLED: Duration = Duration::from_millis(300);
/// Time in which a run at a call whose req is answered ends, if its engine ends it at all.
const PLACE_FOR: Duration = Duration::from_millis(2_000);
/// Mean age of the runs on the cores, in mean runs (about 1 while they end as ever), past which longer ones
/// are expected; that expectation, in means, of a hung server; how many usual ages count beside those seen
/// where the server itself is judged: one long run of two says little.
const PACE_AGE: f64 = 1.5;
const PACE_PRIOR: f64 = 3.0;
const HUNG: f64 = 4.0;
/// What an idle handler's MRT keeps a tick: halved in about a second and a half.
const IDLE_KEEPS: f64 = 0.995;
/// Span over which tenants' rates are counted: a handful of the smallest tenant's reqs.
const TENANT_SPAN: f64 = 5.0;
/// A key's entry outlasts its window by this much, for the way from the machine to the module.
const KEY_SLACK: Duration = Duration::from_millis(50);
/// Time between two load reports, the one that means no limit on reqs, and the room for unlike callers.
const REPORT_EVERY: Duration = Duration::from_millis(100);
const REPORT_OPEN: f64 = 1000.0;
const REPORT_SKEW: f64 = 4.0;
/// Time that a connection may idle for what a new one costs, the limit where most would idle longer, and the
/// share of arrivals that come again from which, down to half of it, all are kept.
const LINK_WORTH: Duration = Duration::from_millis(5000);
const LINK_LEAST: Duration = Duration::from_millis(200);
const FLOOD: f64 = 0.7;
/// Advice to stay away, in waits expected at the back of the queue.
const STAY_AWAY: f64 = 2.0;

// --- Budget: MRT, integral step, fit and LQ ---------------------------------------------------------------

/// Recursive least squares over the last ORDER latencies and budgets, both as shares of their references.
struct Fit {
    theta: [f64; 2 * ORDER],
    cov: [[f64; 2 * ORDER]; 2 * ORDER],
    past: [f64; 2 * ORDER],
}

impl Fit {
    fn new() -> Fit {
        let cov = from_fn(|i| from_fn(|j| if i == j { 100.0 } else { 0.0 }));
        Fit { theta: [0.0; 2 * ORDER], cov, past: [0.0; 2 * ORDER] }
    }

    /// Learns that `y` followed, then gives the budget of least LQ cost, if the fit shows an effect.
    fn step(&mut self, y: f64, u: f64) -> Option<f64> {
        let n = 2 * ORDER;
        let px: Vec<f64> =
            self.cov.iter().map(|row| row.iter().zip(&self.past).map(|(p, x)| p * x).sum()).collect();
        let gain = FORGET + self.past.iter().zip(&px).map(|(x, p)| x * p).sum::<f64>();
        let miss = y - self.theta.iter().zip(&self.past).map(|(t, x)| t * x).sum::<f64>();
        for i in 0..n {
            self.theta[i] += px[i] / gain * miss;
            for j in 0..n {
                self.cov[i][j] = ((self.cov[i][j] - px[i] * px[j] / gain) / FORGET).clamp(-1e6, 1e6);
            }
        }
        self.past.copy_within(0..ORDER - 1, 1);
        self.past.copy_within(ORDER..n - 1, ORDER + 1);
        (self.past[0], self.past[ORDER]) = (y, 0.0);
        let rest: f64 = self.theta.iter().zip(&self.past).map(|(t, x)| t * x).sum();
        let effect = self.theta[ORDER];
        let (w, q) = (LQ_W * LQ_W, LQ_Q * LQ_Q);
        let best = (w * effect * (1.0 - rest) + q * u) / (w * effect * effect + q);
        let usable = effect > 0.0 && best.is_finite();
        self.past[ORDER] = if usable { best } else { u };
        usable.then_some(best)
    }
}

/// The one budget and what steers it.
struct Budget {
    secs: f64,
    cores: f64,
    targets: Vec<f64>,
    mrt: Vec<f64>,
    run: Vec<f64>,
    hint: Vec<f64>,
    spread: (f64, f64),
    mean_run: f64,
    best_run: f64,
    largest: f64,
    count: u32,
    fit: Fit,
    stepped: Timestamp,
}

impl Budget {
    fn new(now: Timestamp, cores: u32, handlers: &[Handler], part: f64) -> Budget {
        let targets: Vec<f64> =
            handlers.iter().map(|h| h.latency_objective.as_secs_f64() * part * SETPOINT).collect();
        let run: Vec<f64> =
            handlers.iter().map(|h| h.latency_objective.as_secs_f64() * part * RUN_GUESS).collect();
        let mean = run.iter().sum::<f64>() / run.len() as f64;
        let cores = f64::from(cores);
        Budget {
            secs: cores * mean,
            cores,
            targets,
            mrt: run.clone(),
            hint: run.clone(),
            spread: (0.0, 0.0),
            run,
            mean_run: mean,
            best_run: f64::MAX,
            largest: mean,
            count: 0,
            fit: Fit::new(),
            stepped: now,
        }
    }

    /// The worst handler's latency as a share of what it is steered to.
    fn worst(&self) -> f64 {
        self.mrt.iter().zip(&self.targets).map(|(m, t)| m / t).fold(0.0, f64::max)
    }

    fn floor(&self) -> f64 {
        self.cores * self.mean_run
    }

    fn measured(&mut self, handler: usize, hint: Option<Duration>, run: Duration) {
        let s = run.as_secs_f64();
        if let Some(w) = hint.map(|w| w.as_secs_f64()) {
            let (dw, ds) = (w - self.hint[handler], s - self.run[handler]);
            self.hint[handler] += RUN_ALPHA * dw;
            let (both, own) = self.spread;
            self.spread = (both + RUN_ALPHA * (dw * ds - both), own + RUN_ALPHA * (dw * dw - own));
        }
        self.run[handler] += RUN_ALPHA * (s - self.run[handler]);
        self.mean_run += RUN_ALPHA * (s - self.mean_run);
        self.best_run = (self.best_run * BEST_DRIFT).min(self.mean_run);
        self.largest = s.max(self.largest * LARGEST_KEEPS).max(self.mean_run);
    }

    /// One completion. What a pause releases together is one step: more would leave a cut that lasts.
    fn completed(&mut self, now: Timestamp, handler: usize, response: Duration, pending: usize) {
        self.mrt[handler] += MRT_ALPHA * (response.as_secs_f64() - self.mrt[handler]);
        let top = ((pending as f64 + self.cores) * self.largest).max(self.floor());
        if now > self.stepped {
            self.stepped = now;
            self.secs += K_I * (1.0 - self.worst()).max(-STEP_MOST) * self.mean_run;
        }
        self.secs = self.secs.clamp(self.floor(), top);
        self.count += 1;
        if self.count.is_multiple_of(REFIT_EVERY) {
            let unit = self.floor();
            if let Some(u) = self.fit.step(self.worst(), self.secs / unit) {
                self.secs = (u * unit).clamp(unit, top);
            }
        }
    }

    /// The run time expected of a req. Waits don't grow with the work, so a hint moves the handler's mean
    /// along the slope seen instead of scaling it: long reqs would be taken for hopeless.
    fn expected(&self, handler: usize, hint: Option<Duration>) -> f64 {
        let slope = self.spread.0 / self.spread.1.max(1e-9);
        let more = hint.map_or(0.0, |w| slope * (w.as_secs_f64() - self.hint[handler]));
        (self.run[handler] + more).max(0.0)
    }

    /// EqResv for the first of `held` reqs.
    fn allowance(&self, held: usize) -> Duration {
        let len = (held as f64 / self.cores).max(1.0);
        Duration::from_secs_f64((self.secs / len).max(self.secs - (len - 1.0) * self.mean_run))
    }
}

/// The integral share of arrivals admitted.
struct Share {
    admitted: f64,
    recent: VecDeque<f64>,
}

impl Share {
    /// One step. `over`: what the worst handler exceeds its target by; `cut`: would fewer arrivals help.
    fn step(&mut self, dt: Duration, over: f64, cut: bool) {
        let change = if cut && over > 0.0 { -SHARE_CUT * over.min(STEP_MOST) } else { SHARE_REGAIN };
        self.admitted = (self.admitted + dt.as_secs_f64() * change).clamp(SHARE_LEAST, 1.0);
    }

    /// Whether a req of this value is among those admitted, ranked with the latest arrivals.
    fn admits(&mut self, value: f64, chance: f64) -> bool {
        self.recent.push_back(value);
        if self.recent.len() > RECENT {
            self.recent.pop_front();
        }
        self.rank(value, chance) >= 1.0 - self.admitted
    }

    /// Where a value stands among the latest arrivals, 0 to 1.
    fn rank(&self, value: f64, chance: f64) -> f64 {
        let below = self.recent.iter().filter(|w| **w < value).count() as f64;
        let equal = self.recent.iter().filter(|w| **w == value).count() as f64;
        (below + chance * equal) / self.recent.len().max(1) as f64
    }
}

/// Two lines, for short and for long work, each by latest start.
#[derive(Default)]
struct Queue {
    lines: [Vec<(Timestamp, No)>; 2],
}

impl Queue {
    fn len(&self) -> usize {
        self.lines[0].len() + self.lines[1].len()
    }

    fn put(&mut self, long: bool, latest: Timestamp, r: No) {
        let line = &mut self.lines[usize::from(long)];
        let at = line.partition_point(|e| *e < (latest, r));
        line.insert(at, (latest, r));
    }

    fn remove(&mut self, r: No) {
        self.lines.iter_mut().for_each(|line| line.retain(|e| e.1 != r));
    }

    /// The first to start of those that may.
    fn first(&self, may: impl Fn(No) -> bool) -> Option<No> {
        self.lines.iter().filter_map(|l| l.iter().find(|e| may(e.1))).min().map(|e| e.1)
    }

    fn in_order(&self) -> Vec<No> {
        let mut all: Vec<_> = self.lines.iter().flatten().collect();
        all.sort();
        all.into_iter().map(|e| e.1).collect()
    }
}

/// The limit on concurrent runs and the run queue that steers it.
struct ConcurrencyLimit {
    limit: f64,
    run_queue: f64,
}

impl ConcurrencyLimit {
    /// Grows quickly while the run queue shows room and work waits; falls back to the cores when crowded.
    fn step(&mut self, cores: f64, on_cores: f64, full: bool, ceiling: f64) {
        self.run_queue += QUEUE_ALPHA * (on_cores - self.run_queue);
        if full && self.run_queue < ROOM * cores {
            self.limit += LIMIT_STEP;
        } else if self.run_queue > CROWDED * cores {
            self.limit -= LIMIT_STEP;
        }
        self.limit = self.limit.min(ceiling).max(cores.min(ceiling));
    }
}

/// The runs that a server still warming survives, as far as the rules promise.
fn ceiling(now: Timestamp, began: Timestamp, machine: &Machine) -> f64 {
    let warmed = (now - began).as_secs_f64() / machine.warm_up.as_secs_f64().max(1e-3);
    let speed = if machine.starts_cold {
        (machine.cold_speed + (1.0 - machine.cold_speed) * warmed).min(1.0)
    } else {
        1.0
    };
    let survived = f64::from(machine.cores) * (1.0 + (machine.max_concurrency_per_core - 1.0) * speed);
    (survived * SURVIVE_PART).max(1.0)
}

/// Calls in hand at what lies below, those given up on included until they can't linger any more.
#[derive(Default)]
struct Calls {
    out: usize,
    lingering: VecDeque<Timestamp>,
    /// Seconds in hand that this server has left over from its share of late, and when they were counted.
    credit: f64,
    counted: Timestamp,
    time: f64,
    best: f64,
    refused: f64,
    waiting: Vec<No>,
    /// Ceilings from outside tell a slow below from a crowded one: this account shrinks by itself no more.
    heeding: bool,
}

impl Calls {
    /// The part of this server's share that calls may hold: it shrinks as they slow, for any cause.
    fn part(&self) -> f64 {
        let least = if self.heeding { CALLS_MOST } else { CALLS_LEAST };
        (CALLS_MOST * CALLS_SLOW * self.best / self.time).clamp(least, CALLS_MOST)
    }

    /// Brings the account up to now; gives the number in hand and the most that the account may hold.
    fn count(&mut self, now: Timestamp, below: &Upstream) -> (f64, f64) {
        while self.lingering.front().is_some_and(|t| *t <= now) {
            self.lingering.pop_front();
        }
        let held = (self.out + self.lingering.len()) as f64;
        let most = below.quota * (1.0 - CALLS_MOST) * below.averaging_window.as_secs_f64();
        self.credit += (below.quota * self.part() - held) * (now - self.counted).as_secs_f64();
        (self.credit, self.counted) = (self.credit.min(most), now);
        (held, most)
    }

    /// Whether one more call keeps the mean in hand over the rule's span within this server's share: by the
    /// number in hand, or by what earlier calls left of it: a share under one lets quick calls go together.
    fn room(&mut self, now: Timestamp, below: &Upstream, part: f64) -> bool {
        let (held, most) = self.count(now, below);
        below.kind != UpstreamKind::Shared
            || held + 1.0 <= below.quota * self.part() * part
            || self.credit - held * self.time > most * (1.0 - part)
    }

    fn over(&mut self, now: Timestamp, outcome: Outcome, spent: Duration, below: &Upstream) {
        self.count(now, below);
        self.out = self.out.saturating_sub(1);
        self.refused += CALL_ALPHA * (f64::from(u8::from(outcome == Outcome::Rejected)) - self.refused);
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            self.lingering.push_back(now + below.abandoned_call_lifetime);
        }
        // One given up on tells the least it would have taken, except at a tier, where a machine went silent.
        if outcome == Outcome::Completed
            || (outcome == Outcome::TimedOut && below.kind == UpstreamKind::Shared)
        {
            self.time = (self.time + CALL_ALPHA * (spent.as_secs_f64() - self.time)).max(1e-6);
            self.best = (self.best * BEST_DRIFT).min(self.time);
        }
    }
}

/// Who called when, and how far the same callers come again while a connection to them is worth keeping.
struct Links {
    last: HashMap<u16, Timestamp>,
    soon: f64,
    limit: Duration,
}

impl Links {
    /// Counts an arrival; tells the limit on idling when it changes. Many that come seldom fill the table;
    /// few that come often would pay for new ones. In a flood of repeats a full table turns them off cheaply.
    fn came(&mut self, now: Timestamp, from: u16, again: f64, most: Duration, out: &mut dyn Actions) {
        let soon = self.last.insert(from, now).is_some_and(|t| now - t < LINK_WORTH);
        self.soon += RUN_ALPHA * (f64::from(u8::from(soon)) - self.soon);
        let flood = if self.limit == most { FLOOD * 0.5 } else { FLOOD };
        let limit = if self.soon > 0.5 || again > flood { most } else { LINK_LEAST.min(most) };
        if std::mem::replace(&mut self.limit, limit) != limit {
            out.set_idle_limit(limit);
        }
    }
}

struct Tenants {
    /// The rate allowed here, the late rate, and when it was last counted.
    each: Vec<(f64, f64, Timestamp)>,
    over_value: f64,
}

impl Tenants {
    fn new(now: Timestamp, tenants: &[Tenant], place: &FleetPosition) -> Tenants {
        let servers = f64::from(place.servers.max(1));
        let each = tenants.iter().map(|t| (t.requests_per_second / servers, 0.0, now)).collect();
        Tenants { each, over_value: place.over_quota_weight }
    }

    /// Counts an arrival; the mean value of this tenant's reqs: those past its share count for little.
    fn value(&mut self, now: Timestamp, tenant: usize) -> f64 {
        let Some((allowed, rate, seen)) = self.each.get_mut(tenant) else { return 1.0 };
        *rate = *rate * (-(now - *seen).as_secs_f64() / TENANT_SPAN).exp() + 1.0 / TENANT_SPAN;
        *seen = now;
        let within = (*allowed / *rate).min(1.0);
        within + (1.0 - within) * self.over_value
    }
}

// --- The module -------------------------------------------------------------------------------------------

/// A stage: `Continue` passes the req on, `Break` keeps or ends it.
type Link = fn(&mut Decider, Timestamp, No, &mut dyn Actions) -> ControlFlow<()>;

/// The stages that an arriving req passes, in order.
const CHAIN: [Link; 5] =
    [Decider::repeats, Decider::draining, Decider::tenant_share, Decider::admission, Decider::queue_stage];

/// The decisions of one server in one life.
pub struct Decider {
    chance: oorandom::Rand64,
    began: Timestamp,
    ticked: Timestamp,
    completed: Timestamp,
    machine: Machine,
    handlers: Vec<Handler>,
    below: Upstream,
    callers: Downstream,
    rules: Rules,
    part: f64,
    by_work: bool,
    book: Book,
    keys: KeyBook,
    due: BTreeSet<(Timestamp, Due)>,
    budget: Budget,
    share: Share,
    queue: Queue,
    concurrency: ConcurrencyLimit,
    calls: Calls,
    links: Links,
    tenants: Tenants,
    ceilings: Vec<Ceiling>,
    pace: f64,
    slow: f64,
    good: bool,
    erring: f64,
    again: f64,
    leaving: Option<(Timestamp, Timestamp)>,
    reported: (f64, Timestamp),
}

impl Decider {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        now: Timestamp, seed: u64, machine: &Machine, handlers: &[Handler], tenants: &[Tenant],
        below: &Upstream, callers: &Downstream, place: &FleetPosition, rules: &Rules,
    ) -> Decider {
        let part = if place.tier == 0 { 1.0 } else { TIER_PART };
        let time = handlers.iter().map(|h| h.latency_objective.as_secs_f64()).fold(f64::MAX, f64::min)
            * part
            * RUN_GUESS;
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        // Servers that begin together earn their first call at unlike times, later the smaller their share.
        let credit = -chance.rand_float() * time;
        Decider {
            chance,
            began: now,
            ticked: now,
            completed: now,
            machine: machine.clone(),
            handlers: handlers.to_vec(),
            below: below.clone(),
            callers: callers.clone(),
            rules: rules.clone(),
            part,
            by_work: place.weight_by_work,
            book: Book::of(handlers.len()),
            keys: KeyBook::default(),
            due: BTreeSet::new(),
            budget: Budget::new(now, machine.cores, handlers, part),
            share: Share { admitted: 1.0, recent: VecDeque::new() },
            queue: Queue::default(),
            concurrency: ConcurrencyLimit { limit: f64::from(machine.cores), run_queue: 0.0 },
            calls: Calls { credit, counted: now, time, best: time * 0.5, ..Calls::default() },
            links: Links { last: HashMap::new(), soon: 0.5, limit: Duration::ZERO },
            tenants: Tenants::new(now, tenants, place),
            ceilings: vec![],
            pace: 1.0,
            slow: 1.0,
            good: true,
            erring: 0.0,
            again: 0.0,
            leaving: None,
            reported: (REPORT_OPEN, now),
        }
    }

    pub fn contains(&self, id: u64) -> bool {
        self.book.find(id, |_| true).is_some()
    }

    /// Budget in seconds, share admitted, limit on concurrent runs, callers remembered.
    pub fn vitals(&self) -> [f64; 4] {
        [self.budget.secs, self.share.admitted, self.concurrency.limit, self.links.last.len() as f64]
    }

    /// How much groups of handlers may have in hand from now on. They bind starts and calls, and tell how
    /// long a held req waits for its group; none bind nothing.
    pub fn set_ceilings(&mut self, ceilings: &[Ceiling]) {
        self.ceilings.clear();
        self.ceilings.extend_from_slice(ceilings);
        self.calls.heeding = !ceilings.is_empty();
    }

    /// Another share of what lies below: so many calls may be in hand from now on. All of it may be used:
    /// whoever shares it out keeps to the limit below.
    pub fn set_upstream_quota(&mut self, now: Timestamp, calls: f64) {
        self.calls.count(now, &self.below);
        self.below.quota = calls / CALLS_MOST;
    }

    /// The reqs a second that this server may take of a tenant's allowance over the fleet.
    pub fn set_tenant_rate(&mut self, tenant: usize, per_second: f64) {
        if let Some(t) = self.tenants.each.get_mut(tenant) {
            t.0 = per_second;
        }
    }

    /// Whether one more run, or one more call, of a handler is within all its ceilings.
    fn fits(&self, handler: usize, call: bool) -> bool {
        self.ceilings.iter().filter(|c| c.handlers.contains(&handler)).all(|c| {
            let [runs, calls] = self.book.load(&c.handlers);
            if call { calls < c.calls } else { runs < c.runs }
        })
    }

    /// The longest wait that the ceilings over a handler make after so many of each group, and whose it is.
    fn turn(&self, handler: usize, queued: &[f64]) -> (f64, Option<usize>) {
        let over = self.ceilings.iter().enumerate().filter(|(_, c)| c.handlers.contains(&handler));
        let waits = over.map(|(i, c)| (queued[i] * c.start_interval.as_secs_f64(), Some(i)));
        waits.fold((0.0, None), |most, w| if w.0 > most.0 { w } else { most })
    }

    /// First words of a new life: checks are answered from store, since each real one costs work.
    pub fn on_start(&mut self, out: &mut dyn Actions) {
        out.set_health(true);
        out.set_timer(TICK);
        self.reported.0 = self.ramp(self.began);
        if self.callers.load_report == LoadReport::Allowance && self.reported.0 < REPORT_OPEN {
            out.set_load_report(self.reported.0);
        }
    }

    /// A req has been read.
    pub fn on_arrival(&mut self, now: Timestamp, a: &Arrival, out: &mut dyn Actions) {
        self.comes_again(true, a.is_retry);
        self.links.came(now, a.client, self.again, self.callers.max_idle, out);
        let h = &self.handlers[a.handler];
        let reached = now.saturating_sub(a.read_delay);
        let stretch = a.work_hint.map_or(Duration::ZERO, |w| w.mul_f64(h.objective_stretch));
        let target = reached + (h.latency_objective.mul_f64(self.part) + stretch).min(h.timeout);
        let due =
            if self.rules.requests_carry_timeout { now + a.timeout } else { (reached + h.timeout).max(now) };
        let due = self.leaving.map_or(due, |(_, stop)| due.min(stop));
        let target = target.min(due.saturating_sub(MARGIN));
        let r = self.book.add(Req::read(a, reached, target, due, h.weight));
        self.due.insert((due.saturating_sub(MARGIN), Due::Answer(r)));
        self.pass(now, r, 0, out);
    }

    fn pass(&mut self, now: Timestamp, r: No, from: usize, out: &mut dyn Actions) {
        let _ = CHAIN[from..].iter().try_for_each(|stage| stage(self, now, r, out));
    }

    // Stage 1: a keyed req runs once; its further tries wait for that run and share its answer.
    fn repeats(&mut self, now: Timestamp, r: No, out: &mut dyn Actions) -> ControlFlow<()> {
        let req = &self.book.reqs[r];
        if self.handlers[req.handler].retry_safety != RetrySafety::Keyed {
            return Continue(());
        }
        // Tries read in one batch may name each other before the other is known: the name alone binds them.
        let key =
            if req.repeats == 0 { self.keys.bind(&[req.id]) } else { self.keys.bind(&[req.id, req.repeats]) };
        self.book.reqs[r].key = Some(key);
        let k = &mut self.keys.keys[key];
        if k.ran {
            self.join(r, out);
            return Break(());
        }
        if k.leader.is_some_and(|l| self.book.reqs.contains_key(l)) {
            k.followers.push(r);
            self.book.reqs[r].stage = Stage::Following;
            return Break(());
        }
        k.leader = Some(r);
        // No run whose key can't be kept: a repeat could not be told from a new req.
        if self.memory() + self.machine.key_memory_kb > self.machine.memory_kb * MEMORY_HOLD {
            self.shed(now, r, out);
            return Break(());
        }
        self.keep(now, key, r, out);
        Continue(())
    }

    /// Enters a try in the server's table until its window, counted from its arrival, is over.
    fn keep(&mut self, now: Timestamp, key: KeyNo, r: No, out: &mut dyn Actions) {
        let req = &self.book.reqs[r];
        let until = req.reached + self.handlers[req.handler].idempotency_window + KEY_SLACK;
        self.keys.entries += usize::from(self.keys.keys[key].entry.replace(until).is_none());
        self.due.insert((until, Due::Lapse(key)));
        out.store_key(req.id, until - now);
    }

    fn join(&mut self, r: No, out: &mut dyn Actions) {
        let req = &mut self.book.reqs[r];
        req.stage = Stage::Joined;
        if req.repeats == 0 {
            // The wire joins a try to the one it names; one that names none can only be told that it errored.
            self.give_error(r, out);
        } else {
            out.join_attempt(req.id);
        }
    }

    // Stage 2: nothing that reached the machine after the drain's grace is run.
    fn draining(&mut self, now: Timestamp, r: No, out: &mut dyn Actions) -> ControlFlow<()> {
        let late = |since| self.book.reqs[r].reached > since + self.rules.drain_grace.saturating_sub(MARGIN);
        if self.leaving.is_some_and(|(since, _)| late(since)) {
            self.shed(now, r, out);
            return Break(());
        }
        Continue(())
    }

    // Stage 3: the value of a req: its value, less what its tenant sends past its share, for its work.
    fn tenant_share(&mut self, now: Timestamp, r: No, _out: &mut dyn Actions) -> ControlFlow<()> {
        let req = &mut self.book.reqs[r];
        let within = self.tenants.value(now, req.tenant);
        let work = if self.by_work { 1.0 } else { self.budget.run[req.handler] / self.budget.mean_run };
        req.value = self.handlers[req.handler].weight * within / work.max(1e-3);
        Continue(())
    }

    // Stage 4: the admitted share; the rest is shed early, the least valuable first. One that errors its runs
    // draws traffic: it sheds as large a share as errors, and tries only with reqs that may run again.
    fn admission(&mut self, now: Timestamp, r: No, out: &mut dyn Actions) -> ControlFlow<()> {
        let (value, chance) = (self.book.reqs[r].value, self.chance.rand_float());
        let again = self.handlers[self.book.reqs[r].handler].retry_safety == RetrySafety::Idempotent;
        let probe = again && (self.chance.rand_float() > self.erring || self.book.running == 0);
        let erring = self.erring > ERRING && !probe;
        if erring || !self.share.admits(value, chance) {
            self.shed(now, r, out);
            return Break(());
        }
        Continue(())
    }

    // Stage 5: the queue.
    fn queue_stage(&mut self, _now: Timestamp, r: No, _out: &mut dyn Actions) -> ControlFlow<()> {
        let run = self.expected(r);
        self.queue.put(
            run.as_secs_f64() > self.budget.mean_run,
            self.book.reqs[r].target.saturating_sub(run),
            r,
        );
        Break(())
    }

    fn expected(&self, r: No) -> Duration {
        let req = &self.book.reqs[r];
        Duration::from_secs_f64(self.budget.expected(req.handler, req.hint) * self.pace)
    }

    fn memory(&self) -> f64 {
        let keys = self.keys.entries as f64 * self.machine.key_memory_kb;
        self.book.held_kb + self.book.run_kb * self.machine.running_memory_factor + keys
    }

    /// Counts signs of a crowded fleet: marked repeats where repeats are marked, own sheds elsewhere.
    fn comes_again(&mut self, marked: bool, yes: bool) {
        let step = if marked == self.callers.marks_retries { AGAIN_ALPHA } else { 0.0 };
        self.again += step * (f64::from(u8::from(yes)) - self.again);
    }

    /// Whether a shed req is better not tried elsewhere: it is past its target, or many that come again tell
    /// that others shed too; where repeats bear no mark the share shed here, unless this server is slow by
    /// itself (warming, or runs far over their best). One that errors its runs or leaves sends its reqs on.
    fn all_crowded(&mut self, now: Timestamp, r: No) -> bool {
        let warming = self.machine.starts_cold && now - self.began < self.machine.warm_up;
        let crowd = (self.concurrency.run_queue / self.budget.cores).max(1.0);
        let alone = warming || self.slow * self.budget.mean_run > SLOW_HERE * crowd * self.budget.best_run;
        let likely = self.chance.rand_float() < LAST_GAIN * (self.again - LAST_FROM);
        let sends_on = self.erring > ERRING || self.leaving.is_some();
        !sends_on && (now > self.book.reqs[r].target || (likely && (self.callers.marks_retries || !alone)))
    }

    /// Final answer: not run, may be taken elsewhere. Only for reqs that never started.
    fn shed(&mut self, now: Timestamp, r: No, out: &mut dyn Actions) {
        let held = self.queue.lines.iter().flatten().map(|e| self.expected(e.1).as_secs_f64());
        let wait = (held.sum::<f64>() + self.started()) / self.concurrency.limit;
        let before = |c: &Ceiling| {
            let lines = self.queue.lines.iter().flatten();
            lines.filter(|e| c.handlers.contains(&self.book.reqs[e.1].handler)).count() as f64
        };
        let queued: Vec<f64> = self.ceilings.iter().map(before).collect();
        let wait = wait.max(self.turn(self.book.reqs[r].handler, &queued).0);
        let away = Duration::from_secs_f64(STAY_AWAY * wait * (0.5 + self.chance.rand_float()));
        let last = self.all_crowded(now, r);
        out.reject(self.book.reqs[r].id, away.min(self.callers.max_retry_after), last);
        self.comes_again(false, true);
        self.drop_held(now, r, true, out);
    }

    /// Final answer: errored. Work on the cores is stopped where it can be; a run at a call ends itself.
    fn give_error(&mut self, r: No, out: &mut dyn Actions) {
        out.fail(self.book.reqs[r].id);
        if self.book.reqs[r].stage.started() {
            self.abandon(r, out);
        } else {
            self.book.remove(r);
        }
    }

    fn abandon(&mut self, r: No, out: &mut dyn Actions) {
        let req = &mut self.book.reqs[r];
        req.answered = true;
        if req.stage == Stage::Running && self.machine.cancellation != Cancellation::Unsupported {
            out.cancel(req.id); // Lost while the cores are frozen.
            self.due.insert((self.ticked + STALLED, Due::Stop(r)));
        } else if req.stage != Stage::Running {
            // A run at a call ends itself; an engine that does not end it must not keep its places for good.
            self.due.insert((self.ticked + PLACE_FOR, Due::Stop(r)));
        }
    }

    /// Takes a req that never started off the books; what waited for its run moves up, or is shed with it.
    fn drop_held(&mut self, now: Timestamp, r: No, shed: bool, out: &mut dyn Actions) {
        self.queue.remove(r);
        let (id, key) = (self.book.reqs[r].id, self.book.reqs[r].key);
        self.book.remove(r);
        let Some(key) = key else { return };
        let k = &mut self.keys.keys[key];
        k.followers.retain(|f| *f != r);
        if k.leader != Some(r) || k.ran {
            return;
        }
        let mut followers = std::mem::take(&mut k.followers);
        if shed || followers.is_empty() {
            if k.entry.is_some() {
                out.remove_key(id);
            }
            self.keys.remove(key);
            for f in followers {
                self.book.reqs[f].key = None;
                self.shed(now, f, out);
            }
            return;
        }
        let next = followers.remove(0);
        (k.leader, k.followers) = (Some(next), followers);
        self.book.reqs[next].stage = Stage::Held;
        self.keep(now, key, next, out);
        self.pass(now, next, 1, out);
    }

    // Stage 6: start, under the worker limit, the crowd and the memory, with its EqResv allowance.
    fn start(&mut self, now: Timestamp, out: &mut dyn Actions) {
        // A run that can't skip its call would only join those that wait for room; ceilings allow for them.
        let bound = |h: &Handler| h.makes_calls && h.partial_weight == 0.0;
        let may = |d: &Self, r: No| {
            let h = d.book.reqs[r].handler;
            let room = d.calls.waiting.is_empty() || !d.ceilings.is_empty();
            (room || !bound(&d.handlers[h])) && d.fits(h, false)
        };
        while let Some(r) = self.queue.first(|r| may(self, r)) {
            let grown = self.memory() + self.book.reqs[r].kb * (self.machine.running_memory_factor - 1.0);
            let limit = self.concurrency.limit.min(ceiling(now, self.began, &self.machine)).max(1.0);
            if (self.book.running + 1) as f64 > limit || grown > self.machine.memory_kb * MEMORY_START {
                return;
            }
            let allowance = self.budget.allowance(self.queue.len());
            self.comes_again(false, false);
            self.queue.remove(r);
            self.book.start(r);
            let req = &mut self.book.reqs[r];
            (req.started, req.allowance) = (now, allowance);
            out.start(req.id);
            if let Some(key) = req.key {
                let k = &mut self.keys.keys[key];
                k.ran = true;
                for f in std::mem::take(&mut k.followers) {
                    self.join(f, out);
                }
            }
        }
    }

    /// A run stands at a call below.
    pub fn on_call_needed(&mut self, now: Timestamp, id: u64, out: &mut dyn Actions) {
        let Some(r) = self.book.find(id, |q| q.stage == Stage::Running && !q.answered) else { return };
        self.book.reqs[r].stage = Stage::AtCall;
        self.call_stage(now, r, out);
    }

    // Stage 7: calls below. An optional one is skipped once the allowance is spent while a handler exceeds
    // its target, and where it would make the answer late or this server's part is taken: others go first.
    fn call_stage(&mut self, now: Timestamp, r: No, out: &mut dyn Actions) {
        let rank = self.share.rank(self.book.reqs[r].value, 1.0);
        let fits = self.fits(self.book.reqs[r].handler, true);
        // What must call goes first where places are few.
        let after = !self.ceilings.is_empty() && !self.calls.waiting.is_empty();
        let req = &mut self.book.reqs[r];
        let optional = self.handlers[req.handler].partial_weight > 0.0;
        let spent = now - req.started > req.allowance && self.budget.worst() > 1.0;
        let late = now + Duration::from_secs_f64(self.calls.time) > req.target;
        let late_is_nothing = self.handlers[req.handler].late_weight == 0.0;
        if late && !optional && late_is_nothing && self.calls.out > 0 {
            // Nothing is gained by the time its call is back: another run has better use for the call.
            self.give_error(r, out);
        } else if optional && (spent || late || after || !fits || !self.calls.room(now, &self.below, rank)) {
            req.skip(out);
        } else if !fits || !self.calls.room(now, &self.below, 1.0) {
            self.calls.waiting.push(r);
        } else {
            // A call far past the usual time is stuck and holds a run; none may hold over a span's share.
            let usual = Duration::from_secs_f64(CALL_STUCK * self.calls.time) + CALL_WAIT;
            let bears = self.below.averaging_window.mul_f64(self.below.quota * CALLS_MOST);
            let stuck = now + if self.below.kind == UpstreamKind::Shared { usual.min(bears) } else { usual };
            let until = if optional || late_is_nothing { req.target } else { req.due.saturating_sub(MARGIN) };
            out.call(req.id, (until.min(stuck) - now).max(Duration::from_millis(1)));
            self.calls.out += 1;
            self.book.calling(r, Stage::Calling);
        }
    }

    /// A call came back.
    pub fn on_call_finished(
        &mut self, now: Timestamp, id: u64, outcome: Outcome, spent: Duration, out: &mut dyn Actions,
    ) {
        let Some(r) = self.book.find(id, |q| q.stage == Stage::Calling) else { return };
        self.calls.over(now, outcome, spent, &self.below);
        self.book.calling(r, if outcome == Outcome::Completed { Stage::Running } else { Stage::AtCall });
        if outcome == Outcome::Completed {
            return;
        }
        let req = &mut self.book.reqs[r];
        req.tries += 1;
        if req.answered {
            return;
        }
        let h = &self.handlers[req.handler];
        let unproven = !matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
        let wait = CALL_WAIT.mul_f64(f64::from(1u32 << req.tries.min(6)));
        let late = now + wait + Duration::from_secs_f64(self.calls.time) > req.target;
        if h.partial_weight > 0.0 && (late || req.tries > 1 || self.calls.refused > CALLS_SHED) {
            req.skip(out);
        } else if (unproven && h.retry_safety != RetrySafety::Idempotent) || late {
            self.give_error(r, out);
        } else {
            self.due.insert((now + wait, Due::Call(r)));
        }
    }

    /// A run ended: the outcome goes back through the chain, calls first and keys last.
    pub fn on_run_ended(&mut self, now: Timestamp, id: u64, outcome: Outcome, spent: Duration) {
        let Some(r) = self.book.find(id, |q| q.stage != Stage::Held && q.stage != Stage::Following) else {
            return;
        };
        let req = self.book.reqs[r].clone();
        if req.stage == Stage::Calling {
            self.calls.over(now, Outcome::Cancelled, now - req.started, &self.below);
        }
        self.calls.waiting.retain(|w| *w != r);
        if req.stage.started() && !req.answered && matches!(outcome, Outcome::Completed | Outcome::Failed) {
            self.erring += ERR_ALPHA * (f64::from(u8::from(outcome != Outcome::Completed)) - self.erring);
            self.completed = now;
            if outcome == Outcome::Completed {
                if !req.trimmed {
                    self.budget.measured(req.handler, req.hint, spent);
                }
                let pending = self.queue.len() + self.book.running;
                self.budget.completed(now, req.handler, now - req.reached, pending);
            }
        }
        self.book.remove(r);
        if let Some(key) = req.key {
            let h = &self.handlers[req.handler];
            self.due.insert((now + h.idempotency_window + h.timeout, Due::Forget(key)));
        }
    }

    /// Nobody waits any more: held work is dropped, running work stopped.
    pub fn on_client_gone(&mut self, now: Timestamp, id: u64, out: &mut dyn Actions) {
        let Some(r) = self.book.find(id, |_| true) else { return };
        if self.book.reqs[r].stage.started() {
            self.abandon(r, out);
        } else {
            self.drop_held(now, r, false, out);
        }
    }

    /// Notice to leave: the process is stopped in `left`.
    pub fn drain(&mut self, now: Timestamp, left: Duration) {
        let stop = (now + left).saturating_sub(MARGIN);
        self.leaving = Some((now, stop));
        for (r, req) in &mut self.book.reqs {
            req.due = req.due.min(stop);
            req.target = req.target.min(stop.saturating_sub(MARGIN));
            self.due.insert((req.due.saturating_sub(MARGIN), Due::Answer(r)));
        }
    }

    /// The periodic timer.
    pub fn on_tick(&mut self, now: Timestamp, gauges: &Gauges, out: &mut dyn Actions) {
        let gap = now - self.ticked;
        self.ticked = now;
        let ceiling = ceiling(now, self.began, &self.machine);
        // Ceilings follow the limit and bind before it: where they hold a req up the limit may be the cause.
        let running = self.book.running as f64;
        let full = running + 1.0 > self.concurrency.limit || !self.ceilings.is_empty();
        let (full, on_cores) = (full && self.queue.len() > 0, gauges.run_queue.unwrap_or(running));
        self.concurrency.step(self.budget.cores, on_cores, full, ceiling);
        self.calls.count(now, &self.below);
        self.erring *= ERR_KEEPS;
        self.links.last.retain(|_, t| now - *t < LINK_WORTH);
        if gap < PAUSE {
            self.unfreeze(now);
            let floored = self.budget.secs <= self.budget.floor();
            // While the cores have room the cause lies elsewhere, most often below; a cut doesn't help.
            let busy = self.concurrency.run_queue > self.budget.cores;
            self.share.step(gap, self.budget.worst() - 1.0, floored && busy);
        }
        // A hung server tells callers that look at its health; where all hang nothing is lost by it.
        let good = self.leaving.is_none() && self.slow < HUNG;
        if std::mem::replace(&mut self.good, good) != good {
            out.set_health(good);
        }
        self.say_load(now, out);
        out.set_timer(TICK);
    }

    /// The loop lives on completions. Where none come though work runs, the age of the oldest stands for one;
    /// a handler with nothing in hand drifts back to its run time, or the cut lasts. Harm: a long run cuts B.
    fn unfreeze(&mut self, now: Timestamp) {
        let on_core = self.book.reqs.values().filter(|q| q.stage == Stage::Running);
        let (runs, secs) =
            on_core.fold((0.0, 0.0), |(n, s), q| (n + 1.0, s + (now - q.started).as_secs_f64()));
        let usual = PACE_AGE * self.budget.mean_run;
        self.slow = ((secs + PACE_PRIOR * usual) / (usual * (runs + PACE_PRIOR))).max(1.0);
        self.pace = (secs / (usual * f64::max(runs, 1.0))).max(1.0);
        let pending = self.queue.len() + self.book.running;
        let started = self.book.reqs.values().filter(|q| q.stage.started());
        if let Some(q) = started.min_by_key(|q| q.reached).filter(|_| now - self.completed > STALLED) {
            let age = now - q.reached;
            if age.as_secs_f64() > self.budget.mrt[q.handler] {
                self.budget.completed(now, q.handler, age, pending);
            }
        }
        for h in 0..self.handlers.len() {
            if self.book.reqs.values().all(|q| q.handler != h) {
                let rest = self.budget.run[h].min(self.budget.targets[h] * 0.5);
                self.budget.mrt[h] = rest + (self.budget.mrt[h] - rest) * IDLE_KEEPS;
                self.budget.run[h] = self.budget.run[h].min(self.budget.targets[h] / SETPOINT);
            }
        }
    }

    /// The load report: open while all is well, else some of its limit for each caller.
    fn say_load(&mut self, now: Timestamp, out: &mut dyn Actions) {
        if self.callers.load_report == LoadReport::Unused || now - self.reported.1 < REPORT_EVERY {
            return;
        }
        let callers = f64::from(self.callers.clients.max(1));
        let value = match self.callers.load_report {
            LoadReport::Allowance if self.share.admitted >= 1.0 && self.queue.len() == 0 => self.ramp(now),
            LoadReport::Allowance => self.ramp(now).min(REPORT_SKEW * self.concurrency.limit / callers),
            LoadReport::Floor => 1.0 - self.share.admitted,
            _ => self.share.admitted * (1.0 - self.erring),
        };
        if std::mem::replace(&mut self.reported, (value, now)).0 != value {
            out.set_load_report(value);
        }
    }

    /// What each caller may be told while this server warms: over all that there may be, what it survives.
    fn ramp(&self, now: Timestamp) -> f64 {
        let warming = self.machine.starts_cold && now - self.began < self.machine.warm_up;
        let callers = self.links.last.len().max(self.callers.clients as usize).max(1) as f64;
        if warming { ceiling(now, self.began, &self.machine) / callers } else { REPORT_OPEN }
    }

    /// Run time still expected of what has started, in worker seconds: half a mean run each.
    fn started(&self) -> f64 {
        self.book.running as f64 * self.budget.mean_run * self.pace * 0.5
    }

    /// The batch is over: due times, memory, hopeless reqs, calls that wait, the last come first, starts.
    pub fn settle(&mut self, now: Timestamp, out: &mut dyn Actions) {
        while let Some(&(at, what)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(at, what));
            self.fall_due(now, what, out);
        }
        self.make_room(now, out);
        self.give_up(now, out);
        for r in std::mem::take(&mut self.calls.waiting).into_iter().rev() {
            self.fall_due(now, Due::Call(r), out);
        }
        self.calls.waiting.reverse();
        self.start(now, out);
    }

    fn fall_due(&mut self, now: Timestamp, what: Due, out: &mut dyn Actions) {
        match what {
            Due::Lapse(key) => self.keys.lapse(now, key),
            Due::Forget(key) => self.keys.remove(key),
            Due::Answer(r) | Due::Call(r) | Due::Stop(r) => {
                let Some(req) = self.book.reqs.get(r) else { return };
                match (what, req.stage, req.answered) {
                    (Due::Answer(_), Stage::Held | Stage::Following, _) => self.shed(now, r, out),
                    (Due::Answer(_), _, false) => self.give_error(r, out),
                    (Due::Call(_), Stage::AtCall, false) => self.call_stage(now, r, out),
                    (Due::Stop(_), Stage::Running, true) => self.abandon(r, out),
                    (Due::Stop(_), Stage::AtCall | Stage::Calling, true) => {
                        if req.stage == Stage::Calling {
                            self.calls.over(now, Outcome::Cancelled, now - req.started, &self.below);
                        }
                        self.book.hang(r);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Memory guard: held reqs are shed, the least valuable first, before the machine needs more than it has.
    fn make_room(&mut self, now: Timestamp, out: &mut dyn Actions) {
        while self.memory() > self.machine.memory_kb * MEMORY_HOLD {
            let value = |r: &No| self.book.reqs[*r].value;
            let least = self.queue.in_order().into_iter().min_by(|a, b| value(a).total_cmp(&value(b)));
            let Some(r) = least else { return };
            self.shed(now, r, out);
        }
    }

    /// A queued req that can't make its target is given up on at once; in its place the least valuable of
    /// those before it goes (after Moore and Hodgson). The first stays while nothing runs and it is in time.
    fn give_up(&mut self, now: Timestamp, out: &mut dyn Actions) {
        let mut ahead = self.started();
        let mut taken: Vec<(No, f64)> = vec![];
        let mut lost: Vec<No> = vec![];
        let mut queued = vec![0.0; self.ceilings.len()];
        let value = |r: No| self.book.reqs[r].value;
        let under = |r: No, i: usize| self.ceilings[i].handlers.contains(&self.book.reqs[r].handler);
        for r in self.queue.in_order() {
            let run = self.expected(r).as_secs_f64();
            taken.push((r, run));
            queued.iter_mut().enumerate().for_each(|(i, q)| *q += f64::from(u8::from(under(r, i))));
            let (turn, whose) = self.turn(self.book.reqs[r].handler, &queued);
            let wait = ahead / self.concurrency.limit;
            if now + Duration::from_secs_f64(wait.max(turn) + run) > self.book.reqs[r].target {
                let rank = |i: usize| (value(taken[i].0), -taken[i].1);
                let least = |a: &usize, b: &usize| rank(*a).partial_cmp(&rank(*b)).unwrap_or(Equal);
                // Where its group is what it waits for, only one of the group makes it wait less.
                let same = |i: &usize| turn <= wait || whose.is_none_or(|w| under(taken[*i].0, w));
                let place = (0..taken.len()).rev().filter(same).min_by(least).unwrap_or(0);
                let (victim, freed) = taken.remove(place);
                queued.iter_mut().enumerate().for_each(|(i, q)| *q -= f64::from(u8::from(under(victim, i))));
                lost.push(victim);
                ahead -= freed;
            }
            ahead += run;
        }
        let idle = self.book.running == 0 && taken.is_empty();
        let spare = usize::from(lost.first().is_some_and(|r| idle && now < self.book.reqs[*r].target));
        lost.into_iter().skip(spare).for_each(|r| self.shed(now, r, out));
    }
}
