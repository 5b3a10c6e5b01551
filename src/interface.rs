//! Inputs of the decision module, and the [`Actions`](crate::interface::Actions) through which its decisions take
//! effect. The types are plain data.

pub use crate::ids::{HandlerId, TenantId};
use crate::time::Duration;

/// Whether a request may run again when it is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request may run again, here or on another server.
    Idempotent,
    /// The request carries an idempotency key: it runs once, and its retries share the answer.
    Keyed,
    /// The request must not be run again unless it provably did not run.
    NonIdempotent,
}

/// Whether the runs of a handler make an upstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRequirement {
    /// Runs make no call.
    Never,
    /// Runs make a call, but can complete without it and give a partial answer.
    Optional,
    /// Runs cannot complete without a call.
    Required,
}

/// Settings of one handler, a kind of request.
#[derive(Clone, Debug)]
pub struct Handler {
    /// Response time aimed at, counted from the arrival at the machine.
    pub latency_objective: Duration,
    /// Multiple of the request's own work by which its latency objective is extended.
    pub objective_stretch: f64,
    /// Time after which a client stops waiting, counted from the arrival at the machine.
    pub timeout: Duration,
    /// Priority weight of an answer within the latency objective.
    pub weight: f64,
    /// Priority weight of an answer after the latency objective.
    pub late_weight: f64,
    /// Whether a retry may run.
    pub retry_safety: RetrySafety,
    /// Time for which a keyed request's retries share its answer, counted from its arrival.
    pub idempotency_window: Duration,
    /// Whether runs of the handler make an upstream call.
    pub makes_calls: bool,
    /// Weight of a partial answer as a fraction of the full weight; 0 if calls must not be skipped.
    pub partial_weight: f64,
}

impl Handler {
    /// Returns whether runs of the handler make a call, and whether they can complete without it.
    pub fn call_requirement(&self) -> CallRequirement {
        match (self.makes_calls, self.has_partial_answer()) {
            (false, _) => CallRequirement::Never,
            (true, true) => CallRequirement::Optional,
            (true, false) => CallRequirement::Required,
        }
    }

    /// Reports whether an answer without its optional calls has a weight.
    pub fn has_partial_answer(&self) -> bool {
        self.partial_weight > 0.0
    }

    /// Reports whether the handler's requests and their calls may run twice.
    pub fn is_idempotent(&self) -> bool {
        self.retry_safety == RetrySafety::Idempotent
    }
}

/// One tenant of the fleet.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's quota in requests per second, over the whole fleet.
    pub requests_per_second: f64,
}

/// What a cancellation does to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Runs cannot be cancelled.
    Unsupported,
    /// Cancels the run; the work done is lost.
    Discards,
    /// Pauses the run; the work done is kept.
    Pauses,
}

/// The capacity and features of the machine.
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
    /// What a cancellation does to a run.
    pub cancellation: Cancellation,
    /// Concurrent runs per core above which the machine collapses.
    pub max_concurrency_per_core: f64,
    /// Whether this incarnation starts with cold caches.
    pub starts_cold: bool,
    /// Speed of a cold machine as a fraction of its full speed.
    pub cold_speed: f64,
    /// Time until a cold machine reaches full speed.
    pub warm_up: Duration,
}

/// The kind of upstream that runs call.
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

/// The upstream that this server calls.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// The kind of upstream.
    pub kind: UpstreamKind,
    /// Calls that this server may have in flight on average: its part of the fleet's limit.
    pub quota: f64,
    /// Time for which an abandoned call may still run at the upstream.
    pub abandoned_call_lifetime: Duration,
    /// Time over which the calls in flight are averaged.
    pub averaging_window: Duration,
}

/// How clients interpret the load report on answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReport {
    /// Clients do not use load reports.
    #[default]
    Unused,
    /// The lowest priority, 0 to 1, that is admitted.
    Floor,
    /// The number of requests that one client may have in flight.
    Allowance,
    /// The weight of this server in load balancing, 0 to 1.
    Weight,
}

/// The clients of this server and the signals that they support.
#[derive(Clone, Debug, Default)]
pub struct Downstream {
    /// Number of clients that are expected to connect to this server; there may be more.
    pub clients: u32,
    /// How the clients interpret the load report.
    pub load_report: LoadReport,
    /// Longest Retry-After that the clients honour; zero if none may be sent.
    pub max_retry_after: Duration,
    /// Whether the clients mark retries.
    pub marks_retries: bool,
    /// Idle time after which the clients close a connection themselves.
    pub max_idle: Duration,
}

/// This server's position in the fleet.
#[derive(Clone, Debug)]
pub struct FleetPosition {
    /// Number of servers that share the tenants' quotas.
    pub servers: u32,
    /// Index of this server's tier; clients connect to tier 0.
    pub tier: u32,
    /// Whether the handlers' weights are already per unit of work.
    pub weight_by_work: bool,
    /// Factor on the weight of requests that exceed their tenant's quota.
    pub over_quota_weight: f64,
}

/// The rules for answers and graceful shutdown.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Time after the start of a graceful shutdown during which arriving requests are still served.
    pub drain_grace: Duration,
    /// Whether requests carry their clients' timeout.
    pub requests_carry_timeout: bool,
}

impl Default for Rules {
    /// Returns rules without a grace period, under which requests carry their timeout.
    fn default() -> Rules {
        Rules {
            drain_grace: Duration::ZERO,
            requests_carry_timeout: true,
        }
    }
}

/// A request as it was read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Identifier, unique among the requests that have not ended.
    pub id: u64,
    /// Number of the client that sent it.
    pub client: u16,
    /// Handler of the request.
    pub handler: HandlerId,
    /// Tenant whose request it is.
    pub tenant: TenantId,
    /// Number of the object that the request concerns; requests that concern the same object have the same number.
    pub subject: u64,
    /// Time for which the client still waits, counted from when the request was read.
    pub timeout: Duration,
    /// The client's estimate of the request's work.
    pub work_hint: Option<Duration>,
    /// Memory that the request takes while queued, in kB.
    pub memory_kb: f64,
    /// Rank that the client gives to the request.
    pub rank: f64,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Time between the request's arrival at the machine and its reading.
    pub read_delay: Duration,
    /// Identifier of the attempt that this request retries; 0 for none.
    pub retry_of: u64,
}

/// Limits on what a group of handlers may have in flight. A handler may be in several groups and is bound by each.
#[derive(Clone, Debug, PartialEq)]
pub struct Ceiling {
    /// The handlers of the group.
    pub handlers: Vec<HandlerId>,
    /// Largest number of runs in flight.
    pub runs: usize,
    /// Largest number of upstream calls in flight.
    pub calls: usize,
    /// Time between two starts of the group while the ceiling delays its requests.
    pub start_interval: Duration,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Ended with a result.
    Completed,
    /// Ended with an error.
    Failed,
    /// Rejected: it has not run.
    Rejected,
    /// Given up on after its timeout; it may have run.
    TimedOut,
    /// Never sent for lack of a connection; it has not run.
    Unreachable,
    /// The connection ended; it may have run.
    Disconnected,
    /// Cancelled by this server.
    Cancelled,
    /// Had ended before an action on it arrived.
    AlreadyEnded,
}

impl Outcome {
    /// Reports whether the run or call may have run, wholly or in part. If so, it may be sent again only if it is
    /// idempotent. One that was rejected or never sent has certainly not run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::Unreachable)
    }
}

/// The server's gauges; each is `None` if it was not sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Number of runs that have a core or wait for one.
    pub run_queue: Option<f64>,
}

/// The state of the control loops.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// The budget: planned run time for all pending requests, in seconds.
    pub budget_seconds: f64,
    /// Fraction of arrivals admitted, 0 to 1.
    pub admitted_fraction: f64,
    /// Limit on the number of concurrent runs.
    pub concurrency_limit: f64,
    /// Number of clients seen recently.
    pub clients: usize,
}

/// Carries out the decisions of the decision module. Actions take effect in the order in which they are called.
/// Identifiers are those of [`Arrival::id`].
pub trait Actions {
    /// Starts a queued request.
    fn start(&mut self, id: u64);
    /// Cancels a run.
    fn cancel(&mut self, id: u64);
    /// Abandons a run that nobody waits for and that the engine does not end. The request is over.
    fn abandon(&mut self, id: u64);
    /// Answers that the request was not run. If `is_final`, a retry on another server would not help either.
    fn reject(&mut self, id: u64, retry_after: Duration, is_final: bool);
    /// Answers a request with an error.
    fn fail(&mut self, id: u64);
    /// Makes the upstream call that a run is waiting for, and gives it up after the timeout.
    fn call(&mut self, id: u64, timeout: Duration);
    /// Lets a run continue without the upstream call that it is waiting for.
    fn skip_call(&mut self, id: u64);
    /// Stores the request's idempotency key for `lifetime`.
    fn store_key(&mut self, id: u64, lifetime: Duration);
    /// Removes the request's stored idempotency key.
    fn remove_key(&mut self, id: u64);
    /// Answers a request with the result of the attempt that it retries, once there is one.
    fn join_attempt(&mut self, id: u64);
    /// Sets the answer to health checks.
    fn set_health(&mut self, healthy: bool);
    /// Sets the load report that answers carry; [`LoadReport`] says how clients interpret it.
    fn set_load_report(&mut self, value: f64);
    /// Sets the idle time after which client connections are closed.
    fn set_idle_limit(&mut self, limit: Duration);
    /// Sets the only timer, to fire after the given time.
    fn set_timer(&mut self, after: Duration);
}
