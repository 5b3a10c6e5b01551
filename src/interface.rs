//! What the decision module is told and what it answers through. Nothing is decided here.

use crate::time::Duration;

/// What may be done with a req that comes a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// One kind of req, as the settings describe it.
#[derive(Clone, Debug)]
pub struct Handler {
    pub latency_objective: Duration,
    /// The response target grows by this multiple of the req's own work.
    pub objective_stretch: f64,
    pub timeout: Duration,
    pub weight: f64,
    pub late_weight: f64,
    pub retry_safety: RetrySafety,
    pub idempotency_window: Duration,
    pub makes_calls: bool,
    /// The part of the value left when a call is skipped; 0 where none may be.
    pub partial_weight: f64,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Reqs a second within its share, over the whole fleet.
    pub requests_per_second: f64,
}

/// What a stop does to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    Unsupported,
    Discards,
    Pauses,
}

/// The machine and what it survives.
#[derive(Clone, Debug)]
pub struct Machine {
    pub cores: u32,
    pub memory_kb: f64,
    pub running_memory_factor: f64,
    pub key_memory_kb: f64,
    pub cancellation: Cancellation,
    pub max_concurrency_per_core: f64,
    pub starts_cold: bool,
    pub cold_speed: f64,
    pub warm_up: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    None,
    Shared,
    Tier,
}

/// What lies below this server.
#[derive(Clone, Debug)]
pub struct Upstream {
    pub kind: UpstreamKind,
    pub quota: f64,
    pub abandoned_call_lifetime: Duration,
    /// The span over which the calls in hand are averaged.
    pub averaging_window: Duration,
}

/// What the load report on answers means to the callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReport {
    Unused,
    Floor,
    Allowance,
    Weight,
}

/// What callers can be told.
#[derive(Clone, Debug)]
pub struct Downstream {
    pub clients: u32,
    pub load_report: LoadReport,
    /// The longest advice to stay away that is heeded; nothing where none may be given.
    pub max_retry_after: Duration,
    pub marks_retries: bool,
    /// After that long callers close idle connections by themselves.
    pub max_idle: Duration,
}

/// This server's place in the fleet.
#[derive(Clone, Debug)]
pub struct FleetPosition {
    pub servers: u32,
    /// 0 is the tier that clients reach.
    pub tier: u32,
    pub weight_by_work: bool,
    pub over_quota_weight: f64,
}

/// The figures of the rules that bind answers and drains.
#[derive(Clone, Debug)]
pub struct Rules {
    pub drain_grace: Duration,
    /// Whether reqs bring the time that their callers will wait.
    pub requests_carry_timeout: bool,
}

/// A req as it was read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub id: u64,
    /// The caller's number.
    pub client: u16,
    pub handler: usize,
    pub tenant: usize,
    pub subject: u64,
    pub timeout: Duration,
    pub work_hint: Option<Duration>,
    pub memory_kb: f64,
    pub rank: f64,
    pub is_retry: bool,
    pub read_delay: Duration,
    pub retry_of: u64,
}

/// How much a group of handlers may have in hand now. A handler may be in several groups; each binds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ceiling {
    pub handlers: Vec<usize>,
    pub runs: usize,
    pub calls: usize,
    /// The time between two starts of the group, while its ceilings are what holds its reqs up.
    pub start_interval: Duration,
}

/// How a run or a call came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Failed,
    Rejected,
    TimedOut,
    Unreachable,
    Disconnected,
    Cancelled,
    AlreadyEnded,
}

/// The server's own gauges, as far as they were sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub run_queue: Option<f64>,
}

/// Where the module's results go; each call takes effect in the order made.
pub trait Actions {
    fn start(&mut self, id: u64);
    fn cancel(&mut self, id: u64);
    fn reject(&mut self, id: u64, come_back: Duration, last: bool);
    fn fail(&mut self, id: u64);
    fn call(&mut self, id: u64, patience: Duration);
    fn skip_call(&mut self, id: u64);
    fn store_key(&mut self, id: u64, term: Duration);
    fn remove_key(&mut self, id: u64);
    fn join_attempt(&mut self, id: u64);
    fn set_health(&mut self, good: bool);
    fn set_load_report(&mut self, value: f64);
    /// Connections that have carried nothing for that long are closed.
    fn set_idle_limit(&mut self, limit: Duration);
    fn set_timer(&mut self, after: Duration);
}
