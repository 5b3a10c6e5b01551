//! What the decision module is told and what it answers through. Nothing is decided here.

use crate::time::Duration;

/// What may be done with a req that comes a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Replayable,
    Keyed,
    NonReplayable,
}

/// One kind of req, as the settings describe it.
#[derive(Clone, Debug)]
pub struct Handler {
    pub target: Duration,
    /// The response target grows by this multiple of the req's own work.
    pub target_stretch: f64,
    pub timeout: Duration,
    pub value: f64,
    pub late_value: f64,
    pub repeats: Repeats,
    pub window: Duration,
    pub calls: bool,
    /// The part of the value left when a call is skipped; 0 where none may be.
    pub partial_value: f64,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Reqs a second within its share, over the whole fleet.
    pub per_second: f64,
}

/// What a stop does to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopping {
    Never,
    Discards,
    Pauses,
}

/// The machine and what it survives.
#[derive(Clone, Debug)]
pub struct Machine {
    pub cores: u32,
    pub memory_kb: f64,
    pub running_factor: f64,
    pub key_kb: f64,
    pub stopping: Stopping,
    pub survives_per_core: f64,
    pub cold: bool,
    pub cold_from: f64,
    pub cold_for: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BelowKind {
    Nothing,
    Shared,
    Tier,
}

/// What lies below this server.
#[derive(Clone, Debug)]
pub struct Below {
    pub kind: BelowKind,
    pub share: f64,
    pub linger: Duration,
    /// The span over which the calls in hand are averaged.
    pub span: Duration,
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
pub struct Callers {
    pub count: u32,
    pub load_report: LoadReport,
    /// The longest advice to stay away that is heeded; nothing where none may be given.
    pub come_back_max: Duration,
    pub mark_retries: bool,
    /// After that long callers close idle connections by themselves.
    pub idle_max: Duration,
}

/// This server's place in the fleet.
#[derive(Clone, Debug)]
pub struct Place {
    pub servers: u32,
    /// 0 is the tier that clients reach.
    pub tier: u32,
    pub value_by_work: bool,
    pub over_share_value: f64,
}

/// The figures of the rules that bind answers and drains.
#[derive(Clone, Debug)]
pub struct Rules {
    pub drain_grace: Duration,
    /// Whether reqs bring the time that their callers will wait.
    pub says_wait: bool,
}

/// A req as it was read.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub id: u64,
    /// The caller's number.
    pub from: u16,
    pub handler: usize,
    pub tenant: usize,
    pub subject: u64,
    pub wait: Duration,
    pub hint: Option<Duration>,
    pub held_kb: f64,
    pub rank: f64,
    pub retry: bool,
    pub unread_for: Duration,
    pub repeats: u64,
}

/// How much a group of handlers may have in hand now. A handler may be in several groups; each binds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ceiling {
    pub handlers: Vec<usize>,
    pub runs: usize,
    pub calls: usize,
    /// The time between two starts of the group, while its ceilings are what holds its reqs up.
    pub turn: Duration,
}

/// How a run or a call came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    Errored,
    Shed,
    TimedOut,
    Unreached,
    CutOff,
    Stopped,
    Moot,
}

/// The server's own gauges, as far as they were sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub on_cores: Option<f64>,
}

/// Where the module's results go; each call takes effect in the order made.
pub trait Results {
    fn start(&mut self, id: u64);
    fn stop(&mut self, id: u64);
    fn shed(&mut self, id: u64, come_back: Duration, last: bool);
    fn errored(&mut self, id: u64);
    fn call(&mut self, id: u64, patience: Duration);
    fn skip(&mut self, id: u64);
    fn keep_key(&mut self, id: u64, term: Duration);
    fn drop_key(&mut self, id: u64);
    fn join(&mut self, id: u64);
    fn health(&mut self, good: bool);
    fn load_report(&mut self, value: f64);
    /// Connections that have carried nothing for that long are closed.
    fn idle_limit(&mut self, limit: Duration);
    fn wake(&mut self, after: Duration);
}
