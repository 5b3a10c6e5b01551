//! The settings as written in the JSON: one struct for each object, one field for each key.
//!
//! Renaming a struct or reordering its fields changes error messages: the JSON parser's errors
//! contain the names of the structs, and the parser accepts an array of the fields' values in place
//! of an object.

use serde::Deserialize;

/// The whole text.
#[derive(Deserialize)]
pub(crate) struct Raw {
    /// The handlers.
    pub(crate) classes: Vec<RawClass>,
    /// The tenants; may be absent.
    #[serde(default)]
    pub(crate) tenants: Vec<RawTenant>,
    /// The machine, its upstream and its clients.
    pub(crate) family_info: RawInfo,
    /// What answers may advertise.
    pub(crate) permissions: RawPermissions,
    /// Rules of the platform.
    pub(crate) rules: RawRules,
    /// Behaviour of the clients.
    #[serde(default)]
    pub(crate) callers: RawCallers,
    /// Number of servers in the fleet.
    pub(crate) servers: u32,
    /// Tier of this server; 0 is the one that clients reach.
    #[serde(default)]
    pub(crate) tier: u32,
    /// `work` if weights count per unit of work.
    #[serde(default)]
    pub(crate) value_by: String,
    /// Factor applied to the weight of requests that exceed their tenant's quota.
    #[serde(default)]
    pub(crate) over_share_worth: f64,
}

/// One entry of `classes`: a handler.
#[derive(Deserialize)]
pub(crate) struct RawClass {
    /// Name of the handler; may be empty.
    #[serde(default)]
    pub(crate) name: String,
    /// Latency objective, in microseconds.
    pub(crate) aim_us: u64,
    /// The latency objective grows by this multiple of the request's own work.
    #[serde(default)]
    pub(crate) aim_stretch: f64,
    /// Timeout of the clients, in microseconds.
    pub(crate) hard_limit_us: u64,
    /// Priority weight of an answer within the latency objective.
    pub(crate) importance: f64,
    /// Priority weight of a later answer.
    #[serde(default)]
    pub(crate) late_worth: f64,
    /// The word for the retry safety of the handler.
    pub(crate) effect: String,
    /// Time for which an idempotency key is stored, in microseconds.
    #[serde(default)]
    pub(crate) repeat_window_us: u64,
}

/// One entry of `tenants`.
#[derive(Deserialize)]
pub(crate) struct RawTenant {
    /// Name of the tenant; may be empty.
    #[serde(default)]
    pub(crate) name: String,
    /// Tenant quota, in requests per second over the whole fleet.
    pub(crate) allowance_per_s: f64,
}

/// `callers`: behaviour of the clients.
#[derive(Deserialize, Default)]
pub(crate) struct RawCallers {
    /// Whether clients mark retries.
    #[serde(default)]
    pub(crate) marks_retry: bool,
}

/// `permissions`: what answers may advertise.
#[derive(Deserialize)]
pub(crate) struct RawPermissions {
    /// Whether a Retry-After may be advertised.
    #[serde(default)]
    pub(crate) retry_after: bool,
    /// Longest Retry-After, in microseconds.
    #[serde(default)]
    pub(crate) max_retry_after_us: u64,
}

/// `rules`: rules of the platform.
#[derive(Deserialize)]
pub(crate) struct RawRules {
    /// Runs per core beyond which the machine collapses.
    pub(crate) tip_multiple: f64,
    /// Time for which arrivals are still served after the start of a graceful shutdown, in
    /// microseconds.
    #[serde(default)]
    pub(crate) drain_grace_us: u64,
    /// Speed of a cold machine as a fraction of its full speed.
    #[serde(default)]
    pub(crate) cold_from: f64,
    /// Time until a cold machine reaches its full speed, in microseconds.
    #[serde(default)]
    pub(crate) cold_us: u64,
}

/// `family_info`: the machine, its upstream and its clients.
#[derive(Deserialize)]
pub(crate) struct RawInfo {
    /// Number of cores of the machine.
    pub(crate) n_cores: u32,
    /// Memory for requests, runs and idempotency keys, in kB.
    pub(crate) memory_kb: f64,
    /// Memory of a run as a multiple of the request's memory while queued.
    pub(crate) blowup: f64,
    /// Memory of one stored idempotency key, in kB.
    #[serde(default)]
    pub(crate) key_kb: f64,
    /// The word for what a cancellation does to a run.
    #[serde(default)]
    pub(crate) preemption: String,
    /// Whether the machine starts with cold caches.
    #[serde(default)]
    pub(crate) cold: bool,
    /// The word for the kind of the upstream.
    #[serde(default, rename = "below")]
    pub(crate) upstream_kind: String,
    /// Mean number of calls that this server may have in flight.
    #[serde(default)]
    pub(crate) dep_share: f64,
    /// Time for which an abandoned call may still run upstream, in microseconds.
    #[serde(default)]
    pub(crate) linger_us: u64,
    /// Time over which the calls in flight are averaged, in microseconds.
    #[serde(default)]
    pub(crate) share_span_us: u64,
    /// Idle time after which clients close a connection, in microseconds.
    #[serde(default)]
    pub(crate) keepalive_max_us: u64,
    /// Whether runs call the upstream, by class; absent if none do.
    #[serde(default)]
    pub(crate) class_calls: Vec<bool>,
    /// Fraction of the weight that a partial answer is worth, by class; absent if there are no
    /// partial answers.
    #[serde(default)]
    pub(crate) class_skip_worth: Vec<f64>,
    /// The word for what the load report means to clients.
    #[serde(default)]
    pub(crate) say: String,
    /// Number of clients that connect to this server.
    #[serde(default)]
    pub(crate) upstreams: u32,
    /// Whether requests carry the timeouts of their clients.
    #[serde(default)]
    pub(crate) passes_deadline: bool,
    /// Names of the gauges that the engine sends, in the order in which it sends them.
    #[serde(default)]
    pub(crate) meters: Vec<String>,
    /// Whether the clients' endpoint lists leave out a server that reports itself unhealthy.
    #[serde(default)]
    pub(crate) readiness: bool,
}
