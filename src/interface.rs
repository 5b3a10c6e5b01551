//! What the decision module is given, and the `Actions` through which it answers. Plain data, no decisions.

pub use crate::ids::{HandlerId, TenantId};
use crate::time::Duration;

/// What may be done with a request that arrives a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run again, here or on another server.
    Idempotent,
    /// It carries an idempotency key: it runs once, and its retries share the answer.
    Keyed,
    /// It must not run again unless it provably did not run.
    NonIdempotent,
}

/// Whether the runs of a handler make an upstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRequirement {
    /// Runs make no call.
    Never,
    /// Runs make a call, but can complete without it, for a partial answer.
    Optional,
    /// Runs cannot complete without a call.
    Required,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Handler {
    /// Response time that answers are to meet, counted from the arrival at the machine.
    pub latency_objective: Duration,
    /// The latency objective grows by this multiple of the request's own work.
    pub objective_stretch: f64,
    /// Time after which a client gives up, counted from the arrival at the machine.
    pub timeout: Duration,
    /// Priority weight of an answer within the latency objective.
    pub weight: f64,
    /// Priority weight of a later answer.
    pub late_weight: f64,
    /// What may be done with a retry.
    pub retry_safety: RetrySafety,
    /// Time for which a keyed request's retries share its answer, counted from its arrival.
    pub idempotency_window: Duration,
    /// Whether its runs call the upstream.
    pub makes_calls: bool,
    /// Fraction of the weight left when a call is skipped; 0 where none may be skipped.
    pub partial_weight: f64,
}

impl Handler {
    /// Whether its runs make a call, and whether they can do without it.
    pub fn call_requirement(&self) -> CallRequirement {
        match (self.makes_calls, self.has_partial_answer()) {
            (false, _) => CallRequirement::Never,
            (true, true) => CallRequirement::Optional,
            (true, false) => CallRequirement::Required,
        }
    }

    /// Whether an answer without its calls has a weight.
    pub fn has_partial_answer(&self) -> bool {
        self.partial_weight > 0.0
    }

    /// Whether its requests and their calls may run twice.
    pub fn is_idempotent(&self) -> bool {
        self.retry_safety == RetrySafety::Idempotent
    }
}

/// One tenant of the fleet.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its quota, over the whole fleet.
    pub requests_per_second: f64,
}

/// What a cancellation does to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Runs cannot be cancelled.
    Unsupported,
    /// The work done is lost.
    Discards,
    /// The work done is kept.
    Pauses,
}

/// The machine and what it supports.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Cores that runs share.
    pub cores: u32,
    /// Memory for requests, runs and idempotency keys, in kB.
    pub memory_kb: f64,
    /// Memory of a run as a multiple of the request's memory while queued.
    pub running_memory_factor: f64,
    /// Memory of one stored idempotency key, in kB.
    pub key_memory_kb: f64,
    /// What a cancellation does.
    pub cancellation: Cancellation,
    /// Runs per core beyond which the machine collapses.
    pub max_concurrency_per_core: f64,
    /// Whether the incarnation starts with cold caches.
    pub starts_cold: bool,
    /// Speed of a cold machine as a fraction of its full speed.
    pub cold_speed: f64,
    /// Time until a cold machine has its full speed.
    pub warm_up: Duration,
}

/// The kind of the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamKind {
    /// Runs make no calls.
    #[default]
    None,
    /// One dependency that all servers share.
    Shared,
    /// A tier of servers of the same kind.
    Tier,
}

/// What this server calls.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// The kind of the upstream.
    pub kind: UpstreamKind,
    /// Mean calls in flight that this server may have, as its part of the fleet's limit.
    pub quota: f64,
    /// Time for which an abandoned call may still run.
    pub abandoned_call_lifetime: Duration,
    /// Time over which the calls in flight are averaged.
    pub averaging_window: Duration,
}

/// What the load report on answers means to the clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReport {
    /// Clients take no report.
    #[default]
    Unused,
    /// The least priority, 0 to 1, that is admitted.
    Floor,
    /// The requests that one client may have in flight.
    Allowance,
    /// The weight of this server in load balancing, 0 to 1.
    Weight,
}

/// The clients and what they understand.
#[derive(Clone, Debug, Default)]
pub struct Downstream {
    /// Clients that connect to this server; more may come.
    pub clients: u32,
    /// What the load report means to them.
    pub load_report: LoadReport,
    /// Longest Retry-After that they honour; zero where none may be advertised.
    pub max_retry_after: Duration,
    /// Whether they mark retries.
    pub marks_retries: bool,
    /// Idle time after which they close a connection by themselves.
    pub max_idle: Duration,
}

/// This server's position in the fleet.
#[derive(Clone, Debug)]
pub struct FleetPosition {
    /// Servers that share the tenants' quotas.
    pub servers: u32,
    /// 0 is the tier that clients reach.
    pub tier: u32,
    /// Whether weights already count per unit of work.
    pub weight_by_work: bool,
    /// Factor on the weight of requests over their tenant's quota.
    pub over_quota_weight: f64,
}

/// The rules for answers and graceful shutdown.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Time after the begin of a graceful shutdown within which arrivals are still served.
    pub drain_grace: Duration,
    /// Whether requests carry the time that their clients will wait.
    pub requests_carry_timeout: bool,
}

impl Default for Rules {
    /// No grace period; requests carry their timeout.
    fn default() -> Rules {
        Rules {
            drain_grace: Duration::ZERO,
            requests_carry_timeout: true,
        }
    }
}

/// A request as it was read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Identifier, unique among the requests that have not ended.
    pub id: u64,
    /// The client's number.
    pub client: u16,
    /// Index of its handler.
    pub handler: HandlerId,
    /// Index of its tenant.
    pub tenant: TenantId,
    /// What the request is about; requests about the same have the same number.
    pub subject: u64,
    /// Time that the client will wait from now on.
    pub timeout: Duration,
    /// The client's estimate of the work.
    pub work_hint: Option<Duration>,
    /// Memory while queued, in kB.
    pub memory_kb: f64,
    /// The client's own ranking of the request.
    pub rank: f64,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Time from its arrival at the machine until it was read.
    pub read_delay: Duration,
    /// Identifier of the attempt that it retries; 0 for none.
    pub retry_of: u64,
}

/// How much a group of handlers may have in flight. A handler may be in several groups; each binds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ceiling {
    /// Indices of the handlers.
    pub handlers: Vec<HandlerId>,
    /// Most runs in flight.
    pub runs: usize,
    /// Most upstream calls in flight.
    pub calls: usize,
    /// Time between two starts of the group while its ceilings delay its requests.
    pub start_interval: Duration,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a result.
    Completed,
    /// With an error.
    Failed,
    /// Rejected without having run.
    Rejected,
    /// Given up after its timeout; it may have run.
    TimedOut,
    /// Never sent: no connection, so it has not run.
    Unreachable,
    /// The connection ended; it may have run.
    Disconnected,
    /// Cancelled by this server.
    Cancelled,
    /// It had ended before the action on it arrived.
    AlreadyEnded,
}

impl Outcome {
    /// Whether the run or call may have run, wholly or in part. If so, only an idempotent one may be sent again;
    /// one that was rejected or never sent surely has not run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::Unreachable)
    }
}

/// The server's gauges, as far as they were sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Runs that have a core or wait for one.
    pub run_queue: Option<f64>,
}

/// The state of the control loops.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// The budget, in seconds of run time.
    pub budget_seconds: f64,
    /// Fraction of arrivals admitted, 0 to 1.
    pub admitted_fraction: f64,
    /// Limit on concurrent runs.
    pub concurrency_limit: f64,
    /// Clients seen of late.
    pub clients: usize,
}

/// Where the decisions go; calls take effect in the order made. Identifiers are those of [`Arrival::id`].
pub trait Actions {
    /// Starts a queued request.
    fn start(&mut self, id: u64);
    /// Cancels a run.
    fn cancel(&mut self, id: u64);
    /// Gives up a run that nobody waits for and that the engine does not end: the request is over.
    fn abandon(&mut self, id: u64);
    /// Answers that the request was not run. `is_final`: a retry on another server is of no use.
    fn reject(&mut self, id: u64, retry_after: Duration, is_final: bool);
    /// Answers with an error.
    fn fail(&mut self, id: u64);
    /// Makes the upstream call that a run waits at, and gives it up after the timeout.
    fn call(&mut self, id: u64, timeout: Duration);
    /// Lets a run go on without the upstream call that it waits at.
    fn skip_call(&mut self, id: u64);
    /// Stores the request's idempotency key for that time.
    fn store_key(&mut self, id: u64, lifetime: Duration);
    /// Removes the request's stored idempotency key.
    fn remove_key(&mut self, id: u64);
    /// Answers with the result of the attempt that the request names, once there is one.
    fn join_attempt(&mut self, id: u64);
    /// Sets the answer to health checks.
    fn set_health(&mut self, healthy: bool);
    /// Sets the load report on answers; its meaning is that of [`LoadReport`].
    fn set_load_report(&mut self, value: f64);
    /// Closes connections that have carried nothing for that long.
    fn set_idle_limit(&mut self, limit: Duration);
    /// Sets the one timer.
    fn set_timer(&mut self, after: Duration);
}
