//! What is done to the server, drawn from a seed.

use oorandom::Rand64;
use std::time::Duration;

/// For how long the troubles last.
const FAULT_PHASE: Duration = Duration::from_secs(5);
/// Time after the troubles in which nothing is sent, for what was begun to end.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
/// For how long the server is asked afterwards whether it serves.
const FAULT_FREE_PHASE: Duration = Duration::from_secs(4);
/// Time between two requests of one handler while all is calm.
const FAULT_FREE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between the first request and the first trouble.
const WARM_UP: Duration = Duration::from_millis(300);
/// Requests a second, at least and at most.
const REQUEST_RATES: (f64, f64) = (120.0, 240.0);
/// The part of the requests whose clients stop waiting, at most.
const MAX_WITHDRAWN_FRACTION: f64 = 0.6;
/// Time after which a client stops waiting, at most.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_millis(60);
/// Mean number of breaks of the engine's link in a second.
const LINK_BREAKS_PER_SECOND: f64 = 8.0;
/// The part of these breaks before which the engine reads nothing for a time.
const UNREAD_BREAK_FRACTION: f64 = 0.6;
/// Time for which it reads nothing, at most.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(40);

/// The part of the plays in which the runs of a moment never end.
const HUNG_RUNS_PROBABILITY: f64 = 0.34;
/// When these runs hang: so early that those whose clients wait are answered before the calm.
const HANG_TIME_SECS: (f64, f64) = (0.5, 1.5);

/// Time from SIGTERM to SIGKILL, in milliseconds, as the configuration has it.
pub(super) const SHUTDOWN_MS: u64 = 1_500;
/// Time for which load runs before the program is told to leave; it goes on until the kill.
const LOAD_BEFORE_SHUTDOWN: Duration = Duration::from_millis(500);
/// The part of the plays in which a crowd comes when the program is told to leave.
const SURGE_PROBABILITY: f64 = 0.34;
/// Requests a second of a crowd, and new connections that it opens.
const SURGE_RATE: f64 = 900.0;
/// Connections that a crowd opens at once, half of what the server may have.
const SURGE_CONNECTIONS: usize = 50;
/// Signals beside SIGTERM, at most.
const MAX_FURTHER_SIGNALS: u64 = 6;
/// Span around SIGTERM in which the first half of them comes; the others come until the kill.
const SIGNAL_BURST: Duration = Duration::from_millis(20);

/// The handlers of the settings, in their order.
pub(super) const HANDLERS: [&str; 3] = ["search", "quote", "book"];
/// The handler whose requests have idempotency keys.
pub(super) const IDEMPOTENCY_KEY_HANDLER: usize = 2;

/// A request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// The index of its handler among those of the settings.
    pub handler: usize,
    /// When its client stops waiting, after it was sent; nothing where it waits for the answer.
    pub withdraw_after: Option<Duration>,
    /// Whether it is sent when all is calm, and so has to be served.
    pub must_be_served: bool,
}

/// One thing that is done to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client sends a request.
    Send(PlannedRequest),
    /// The engine reads nothing more on the link of the moment.
    StopReading,
    /// The engine ends the link.
    BreakLink,
    /// The runs that go on never end.
    HangRuns,
    /// New connections are opened, and are used like the others.
    OpenConnections(usize),
    /// The program gets a signal.
    Signal(Signal),
}

/// A signal to the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Reload; the configuration is as it was.
    Reload,
    /// Reload of a configuration that was cut in half.
    ReloadTruncated,
    /// Print the counters.
    PrintCounters,
    /// Leave.
    Shutdown,
}

/// A step and its time since the beginning of the play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedStep {
    /// The time since the beginning.
    pub at: Duration,
    /// What is done.
    pub step: Step,
}

/// All that is done to a server in one play.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The steps in the order of their times.
    pub steps: Vec<TimedStep>,
    /// When all is calm no more, and load begins again.
    pub fault_free_end: Duration,
    /// When the program gets its first SIGTERM.
    pub shutdown: Duration,
    /// When the program is killed, if it has not ended: the protocol's earliest moment.
    pub kill: Duration,
}

impl Plan {
    /// Draws a plan.
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
    /// The steps up to the end of the calm, and those after it.
    pub(super) fn steps_around_fault_free_end(&self) -> (&[TimedStep], &[TimedStep]) {
        let first = self
            .steps
            .partition_point(|step| step.at < self.fault_free_end);
        self.steps.split_at(first)
    }
}

/// A number between two others.
fn uniform(random: &mut Rand64, (least, most): (f64, f64)) -> f64 {
    least + (most - least) * random.rand_float()
}

/// A part of a time.
fn random_part_of(random: &mut Rand64, whole: Duration) -> Duration {
    whole.mul_f64(random.rand_float())
}

/// Time to the next of events that come at random, so many a second.
fn exponential_gap(random: &mut Rand64, per_second: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.rand_float()).ln() / per_second)
}

/// The requests of the troubled time.
fn draw_load(random: &mut Rand64) -> Vec<TimedStep> {
    let rate = uniform(random, REQUEST_RATES);
    draw_requests(random, rate, Duration::ZERO, FAULT_PHASE)
}

/// The requests from the end of the calm to the kill, perhaps of a crowd.
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

/// The first SIGTERM, and other signals around it and until the kill.
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
        // The first SIGTERM is the one whose time counts.
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

/// Requests at random times with this mean rate, some of which are withdrawn.
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

/// The breaks of the engine's link, some after a time in which the engine reads nothing.
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

/// The moment whose runs never end, if there is one.
fn draw_hung_runs(random: &mut Rand64) -> Option<TimedStep> {
    let is_drawn = random.rand_float() < HUNG_RUNS_PROBABILITY;
    let at = Duration::from_secs_f64(uniform(random, HANG_TIME_SECS));
    let step = Step::HangRuns;
    is_drawn.then_some(TimedStep { at, step })
}

/// One request of each handler at a time from `calm` on.
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
