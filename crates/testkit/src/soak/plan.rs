//! The plan of a soak run: requests, faults and signals with their times, drawn from a seed. A soak run has three
//! phases: one with faults, one without faults, and a shutdown under load.

use oorandom::Rand64;
use std::time::Duration;

/// Length of the phase with faults.
const FAULT_PHASE: Duration = Duration::from_secs(5);
/// Time after the phase with faults in which no requests are sent, so that the requests in flight can end.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
/// Length of the phase without faults, which follows the quiet period. The server must serve every request in it.
const FAULT_FREE_PHASE: Duration = Duration::from_secs(4);
/// Interval between two requests for the same handler in the phase without faults.
const FAULT_FREE_INTERVAL: Duration = Duration::from_secs(1);
/// Time from the beginning of the soak run, when its load also begins, to the first fault.
const WARM_UP: Duration = Duration::from_millis(300);
/// Minimum and maximum rate of the requests, in requests per second.
const REQUEST_RATES: (f64, f64) = (120.0, 240.0);
/// Maximum fraction of the requests that are withdrawn: their clients stop waiting for the answer.
const MAX_WITHDRAWN_FRACTION: f64 = 0.6;
/// Maximum time after which a client withdraws its request.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_millis(60);
/// Mean rate at which the link between the server and the engine is broken, in breaks per second.
const LINK_BREAKS_PER_SECOND: f64 = 8.0;
/// Probability that the engine stops reading for a while before a break.
const UNREAD_BREAK_FRACTION: f64 = 0.6;
/// Maximum time for which the engine does not read before a break.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(40);

/// Probability that a plan has a time at which all engine runs in progress hang, so that they never end.
const HUNG_RUNS_PROBABILITY: f64 = 0.34;
/// Earliest and latest time at which the engine runs hang, in seconds. The latest time is early enough that the clients
/// waiting for these runs are answered before the phase without faults.
const HANG_TIME_SECS: (f64, f64) = (0.5, 1.5);

/// Time from SIGTERM to SIGKILL, in milliseconds. The server's configuration has the same value.
pub(super) const SHUTDOWN_MS: u64 = 1_500;
/// Time for which load runs before SIGTERM. The load then continues until SIGKILL.
const LOAD_BEFORE_SHUTDOWN: Duration = Duration::from_millis(500);
/// Probability that a plan has a surge of load around the shutdown.
const SURGE_PROBABILITY: f64 = 0.34;
/// Rate of the requests in a surge, in requests per second.
const SURGE_RATE: f64 = 900.0;
/// Number of connections that a surge opens at once, half of what the server may have.
const SURGE_CONNECTIONS: usize = 50;
/// Maximum number of signals besides the first SIGTERM.
const MAX_FURTHER_SIGNALS: u64 = 6;
/// Span around SIGTERM in which the first half of these signals is sent. The others are sent until SIGKILL.
const SIGNAL_BURST: Duration = Duration::from_millis(20);

/// The handlers of the settings, in order.
pub(super) const HANDLERS: [&str; 3] = ["search", "quote", "book"];
/// Index of the handler whose requests have idempotency keys.
pub(super) const IDEMPOTENCY_KEY_HANDLER: usize = 2;

/// A request that a plan sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Index of the handler in the settings.
    pub handler: usize,
    /// Time from sending until the client withdraws the request; `None` if the client waits for the answer.
    pub withdraw_after: Option<Duration>,
    /// Whether the request is sent in the phase without faults, so that the server must serve it.
    pub must_be_served: bool,
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client sends a request.
    Send(PlannedRequest),
    /// The engine stops reading from its current link to the server.
    StopReading,
    /// The engine closes its current link to the server.
    BreakLink,
    /// The engine runs that are in progress hang and never end.
    HangRuns,
    /// The clients open this many new connections and then use them like the others.
    OpenConnections(usize),
    /// A signal is sent to the server.
    Signal(Signal),
}

/// A signal to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP with an unchanged configuration.
    Reload,
    /// SIGHUP with a configuration file truncated to half its length.
    ReloadTruncated,
    /// SIGUSR1: the server prints its counters.
    PrintCounters,
    /// SIGTERM: the server shuts down.
    Shutdown,
}

/// A step with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// Time since the beginning of the soak run.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

/// All steps of one soak run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed from which the plan was drawn.
    pub seed: u64,
    /// The steps in order of time.
    pub steps: Vec<TimedStep>,
    /// End of the phase without faults, when load begins again.
    pub fault_free_end: Duration,
    /// Time of the first SIGTERM.
    pub shutdown: Duration,
    /// Time at which the server is killed if it has not exited: the earliest time that the protocol allows.
    pub kill: Duration,
}

impl Plan {
    /// Draws a plan. The same seed always gives the same plan.
    pub fn draw(seed: u64) -> Plan {
        let mut random = Rand64::new(u128::from(seed));
        let mut steps = draw_load(&mut random);
        steps.extend(draw_link_breaks(&mut random));
        steps.extend(draw_hung_runs(&mut random));
        let fault_free_start = FAULT_PHASE + QUIET_PERIOD;
        steps.extend(fault_free_requests(fault_free_start));
        let fault_free_end = fault_free_start + FAULT_FREE_PHASE;
        let shutdown = fault_free_end + LOAD_BEFORE_SHUTDOWN;
        let kill = shutdown + Duration::from_millis(SHUTDOWN_MS);
        steps.extend(draw_shutdown_load(&mut random, fault_free_end, kill));
        steps.extend(draw_signals(&mut random, shutdown, kill));
        steps.sort_by_key(|step| step.at);
        Plan {
            seed,
            steps,
            fault_free_end,
            shutdown,
            kill,
        }
    }
}

impl Plan {
    /// Splits the steps into those before the end of the phase without faults and the rest.
    pub(super) fn steps_around_fault_free_end(&self) -> (&[TimedStep], &[TimedStep]) {
        let first = self
            .steps
            .partition_point(|step| step.at < self.fault_free_end);
        self.steps.split_at(first)
    }
}

/// Draws a number from a uniform distribution between `least` and `most`.
fn uniform(random: &mut Rand64, (least, most): (f64, f64)) -> f64 {
    least + (most - least) * random.rand_float()
}

/// Draws a duration from a uniform distribution between 0 and `whole`.
fn random_part_of(random: &mut Rand64, whole: Duration) -> Duration {
    whole.mul_f64(random.rand_float())
}

/// Draws the time to the next event of a Poisson process with this rate, in events per second.
fn exponential_gap(random: &mut Rand64, per_second: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.rand_float()).ln() / per_second)
}

/// Draws the requests of the phase with faults.
fn draw_load(random: &mut Rand64) -> Vec<TimedStep> {
    let rate = uniform(random, REQUEST_RATES);
    draw_requests(random, rate, Duration::ZERO, FAULT_PHASE)
}

/// Draws the requests from the end of the phase without faults to SIGKILL. They may form a surge.
fn draw_shutdown_load(random: &mut Rand64, from: Duration, until: Duration) -> Vec<TimedStep> {
    let has_surge = random.rand_float() < SURGE_PROBABILITY;
    if !has_surge {
        let rate = uniform(random, REQUEST_RATES);
        return draw_requests(random, rate, from, until);
    }
    let step = Step::OpenConnections(SURGE_CONNECTIONS);
    let mut steps = vec![TimedStep { at: from, step }];
    steps.extend(draw_requests(random, SURGE_RATE, from, until));
    steps
}

/// Returns the first SIGTERM and further signals, which are drawn around it and until SIGKILL.
fn draw_signals(random: &mut Rand64, shutdown: Duration, kill: Duration) -> Vec<TimedStep> {
    let signal = |at, signal| TimedStep {
        at,
        step: Step::Signal(signal),
    };
    let mut steps = vec![signal(shutdown, Signal::Shutdown)];
    for number in 0..random.rand_range(0..MAX_FURTHER_SIGNALS + 1) {
        let drawn = match random.rand_range(0..4) {
            0 => Signal::Reload,
            1 => Signal::ReloadTruncated,
            2 => Signal::PrintCounters,
            _ => Signal::Shutdown,
        };
        // The server's shutdown timeout starts at the first SIGTERM, so no further SIGTERM may be sent before it.
        let at = if number % 2 == 1 {
            shutdown + random_part_of(random, kill - shutdown)
        } else if drawn == Signal::Shutdown {
            shutdown + random_part_of(random, SIGNAL_BURST)
        } else {
            shutdown - SIGNAL_BURST + random_part_of(random, SIGNAL_BURST * 2)
        };
        steps.push(signal(at, drawn));
    }
    steps
}

/// Draws requests at random times with this mean rate, in requests per second. Some of them are withdrawn.
fn draw_requests(
    random: &mut Rand64,
    rate: f64,
    from: Duration,
    until: Duration,
) -> Vec<TimedStep> {
    let withdrawn = uniform(random, (0.0, MAX_WITHDRAWN_FRACTION));
    let mut steps = vec![];
    let mut at = from + exponential_gap(random, rate);
    while at < until {
        let is_withdrawn = random.rand_float() < withdrawn;
        let request = PlannedRequest {
            handler: random.rand_range(0..HANDLERS.len() as u64) as usize,
            withdraw_after: is_withdrawn.then(|| random_part_of(random, MAX_WITHDRAWAL_DELAY)),
            must_be_served: false,
        };
        let step = Step::Send(request);
        steps.push(TimedStep { at, step });
        at += exponential_gap(random, rate);
    }
    steps
}

/// Draws the times at which the engine breaks its link. Before some breaks the engine stops reading for a while.
fn draw_link_breaks(random: &mut Rand64) -> Vec<TimedStep> {
    let mut steps = vec![];
    let mut at = WARM_UP;
    while at < FAULT_PHASE {
        if random.rand_float() < UNREAD_BREAK_FRACTION {
            let step = Step::StopReading;
            steps.push(TimedStep { at, step });
            at += random_part_of(random, MAX_UNREAD_TIME);
        }
        let step = Step::BreakLink;
        steps.push(TimedStep { at, step });
        at += exponential_gap(random, LINK_BREAKS_PER_SECOND);
    }
    steps
}

/// Draws whether and when the engine runs in progress hang.
fn draw_hung_runs(random: &mut Rand64) -> Option<TimedStep> {
    let is_drawn = random.rand_float() < HUNG_RUNS_PROBABILITY;
    let at = Duration::from_secs_f64(uniform(random, HANG_TIME_SECS));
    let step = Step::HangRuns;
    is_drawn.then_some(TimedStep { at, step })
}

/// Returns the requests of the phase without faults: one for each handler per interval.
fn fault_free_requests(fault_free_start: Duration) -> Vec<TimedStep> {
    let mut steps = vec![];
    let mut at = fault_free_start;
    while at + FAULT_FREE_INTERVAL <= fault_free_start + FAULT_FREE_PHASE {
        steps.extend((0..HANDLERS.len()).map(|handler| TimedStep {
            at,
            step: Step::Send(PlannedRequest {
                handler,
                withdraw_after: None,
                must_be_served: true,
            }),
        }));
        at += FAULT_FREE_INTERVAL;
    }
    steps
}
