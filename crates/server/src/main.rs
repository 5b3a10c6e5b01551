//! Start, signals and exit of one server.

use clap::{Parser, Subcommand};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::ConcurrencyConfig;
use madderbay_membership::{MAX_NAME_BYTES, is_valid_name};
use madderbay_operator_config::Operator;
use madderbay_operator_config::kept::KeptResults;
use madderbay_operator_config::members;
use madderbay_server::core::serve::{Serve, Shared};
use madderbay_server::core::{keep, pooled};
use madderbay_server::downstream::{listener, registration};
use madderbay_server::fleet::backends::{self, Backends, Routing};
use madderbay_server::fleet::control_client::{Format, Subject};
use madderbay_server::fleet::sharing::{self, Sharing};
use madderbay_server::fleet::{control_client, control_socket, lender, talk};
use madderbay_server::support::clock::{Clock, Ticks};
use madderbay_server::support::{clock, config, logging};
use madderbay_server::upstream::{calls, engine};
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration as StdDuration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};

/// The process ends this long before it would be killed.
const BEFORE_KILL: StdDuration = StdDuration::from_millis(100);
/// Pause between two queries with `--watch`.
const WATCH_INTERVAL: StdDuration = StdDuration::from_millis(1_000);
/// The part of the memory that the results of keyed reqs may take.
const RESULTS_PART: usize = 4;
/// How often a drain is looked at, and how long it must have been at rest once its grace is over.
const LOOK: StdDuration = StdDuration::from_millis(10);
const REST: StdDuration = StdDuration::from_millis(60);
/// Listening ends this long before the stop at the latest, and what is open then has that long for its last
/// answers; connections at rest are waited for half as long, for their peers to see the end.
const LAST: StdDuration = StdDuration::from_millis(500);
/// A configuration that is not there yet, or only in part, is waited for so long, and looked for so often.
const LATE_FILE: StdDuration = StdDuration::from_secs(5);
const LOOK_FILE: StdDuration = StdDuration::from_millis(50);

/// The process's own limit on descriptors, where the system tells it.
fn allowed_descriptors() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(usize::MAX)
}

/// One server before the engine that it shares a machine with, between balancers and what lies below.
#[derive(Parser)]
#[command(name = "madderbay", version)]
struct Args {
    /// The operator file: what this server does beyond its platform; without one all of that is off
    #[arg(long, value_name = "FILE", env = "MADDERBAY_OPERATOR", global = true)]
    operator: Option<PathBuf>,
    /// For tests of lives on unlike clocks: what the Unix clock is taken to be ahead by, for telling lives apart
    #[arg(
        long,
        hide = true,
        value_name = "MS",
        default_value_t = 0,
        allow_hyphen_values = true
    )]
    unix_ahead_ms: i64,
    #[command(subcommand)]
    order: Option<Order>,
}

#[derive(Subcommand)]
enum Order {
    /// Serve, as the file that RELAY_CONFIG names tells it; also without any order
    Run,
    /// Tell what is wrong with an operator file, a line each; with RELAY_CONFIG set its handlers are looked
    /// up too
    Check { file: PathBuf },
    /// Tell whom a running server holds to be in its fleet
    Members(Asking),
    /// Tell what a running server shares with its fleet: budgets and counts
    Shared(Asking),
    /// Tell how a running server holds its backends
    Routes(Asking),
    /// Tell what a folder of kept results holds, also while a server has it
    Kept {
        #[command(subcommand)]
        what: KeptOrder,
    },
}

/// A question to a running server.
#[derive(clap::Args)]
struct Asking {
    /// The control socket of the server, as its operator file names it
    #[arg(long, value_name = "PATH")]
    socket: PathBuf,
    /// One line, an object
    #[arg(long)]
    json: bool,
    /// Again each second, until it is ended
    #[arg(long)]
    watch: bool,
}

#[derive(Subcommand)]
enum KeptOrder {
    /// A line for each keyed req: its key, how it stands, until when it is known, the size of its result
    List { directory: PathBuf },
    /// A line for each thing that is no whole record; the status is 1 where there is any
    Verify { directory: PathBuf },
    /// A line of JSON for each keyed req, with its result
    Export { directory: PathBuf },
}

/// What keeps the program from its work: something that it can't have, or a configuration or an operator file that is
/// wrong.
enum Wrong {
    Start(String),
    Set(Vec<String>),
    /// What was asked for was found wrong, and is told.
    Found,
}

impl From<String> for Wrong {
    fn from(what: String) -> Wrong {
        Wrong::Start(what)
    }
}

/// Exit status of a wrong command line, configuration or operator file.
const WRONGLY_SET: u8 = 2;

fn operator(path: Option<&Path>) -> Result<Operator, Wrong> {
    let Some(path) = path else {
        return Ok(Operator::default());
    };
    let name = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|e| Wrong::Set(vec![format!("{name}: {e}")]))?;
    madderbay_operator_config::read(&name, &text).map_err(Wrong::Set)
}

/// What of the operator file depends on the settings.
fn planned(operator: &Operator, config: &config::Config) -> Result<Planned, Wrong> {
    let routing = operator
        .routes
        .as_ref()
        .map(|set| backends::of(set, &config.settings))
        .transpose();
    let plan = operator
        .pools
        .as_ref()
        .map(|pools| pooled::plan(pools, &config.settings));
    let plan = plan.transpose();
    let sharing = operator
        .shared
        .as_ref()
        .map(|set| sharing::of(set, config))
        .transpose();
    match (plan, sharing, routing) {
        (Ok(mut plan), Ok(sharing), Ok(routing)) => {
            if let (Some(plan), Some(routing)) = (&mut plan, &routing) {
                plan.upstream_groups = routing.groups();
            }
            Ok(Planned {
                plan,
                sharing,
                routing,
            })
        }
        (plan, sharing, routing) => {
            let wrong = [plan.err(), sharing.err(), routing.err()];
            Err(Wrong::Set(wrong.into_iter().flatten().flatten().collect()))
        }
    }
}

struct Planned {
    plan: Option<ConcurrencyConfig>,
    sharing: Option<Sharing>,
    routing: Option<Routing>,
}

/// The configuration at the start: one that is not there, or breaks off, may still be being written.
fn set_up_late() -> Result<config::Config, Wrong> {
    let began = Instant::now();
    loop {
        match config::load() {
            Err(error) if error.is_incomplete_file() && began.elapsed() < LATE_FILE => {
                log::debug!("{error}; waited for");
                std::thread::sleep(LOOK_FILE);
            }
            found => return found.map_err(|error| Wrong::Set(vec![error.to_string()])),
        }
    }
}

fn run(path: Option<&Path>, unix_ahead_ms: i64) -> Result<(), Wrong> {
    let operator = operator(path)?;
    let config = set_up_late()?;
    let Planned {
        plan,
        sharing,
        routing,
    } = planned(&operator, &config)?;
    let window = config
        .settings
        .handlers
        .iter()
        .map(|h| h.idempotency_window)
        .max()
        .unwrap_or_default();
    let opened = operator
        .kept
        .as_ref()
        .map(|set| keep::open(set, window.as_micros()))
        .transpose();
    let opened = opened.map_err(|what| Wrong::Set(vec![what]))?;
    let kept = opened.zip(operator.kept);
    let path = path.map(Path::to_path_buf);
    let (members, control) = (operator.members, operator.control);
    let beside = Beside {
        members,
        control,
        sharing,
        routing,
        path,
        unix_ahead_ms,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    Ok(LocalSet::new().block_on(&runtime, serve(config, plan, kept, beside))?)
}

fn kept(what: &KeptOrder) -> Result<(), Wrong> {
    let told = match what {
        KeptOrder::List { directory } => keep::list(directory),
        KeptOrder::Export { directory } => keep::export(directory),
        KeptOrder::Verify { directory } => {
            let wrong = keep::verify(directory)?;
            wrong.iter().for_each(|line| println!("{line}"));
            return if wrong.is_empty() {
                Ok(())
            } else {
                Err(Wrong::Found)
            };
        }
    };
    told?.iter().for_each(|line| println!("{line}"));
    Ok(())
}

/// Asks a running server and tells its answer, once or again and again.
fn asked(subject: Subject, of: &Asking) -> Result<(), Wrong> {
    let format = if of.json { Format::Json } else { Format::Text };
    let mut out = std::io::stdout();
    loop {
        let answer = control_client::query(&of.socket, subject, format);
        let answer = answer.map_err(|error| error.to_string())?;
        // A reader that has gone away wants no more.
        if writeln!(out, "{answer}").is_err() || !of.watch {
            return Ok(());
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn check(path: &Path) -> Result<(), Wrong> {
    let operator = operator(Some(path))?;
    if std::env::var_os("RELAY_CONFIG").is_some() {
        planned(
            &operator,
            &config::load().map_err(|error| error.to_string())?,
        )?;
    }
    println!("{}: good", path.display());
    Ok(())
}

fn main() -> ExitCode {
    let args = match Args::try_parse() {
        Ok(args) => args,
        Err(e) if e.use_stderr() => {
            eprintln!(
                "madderbay: {}",
                e.to_string().lines().next().unwrap_or_default()
            );
            return ExitCode::from(WRONGLY_SET);
        }
        Err(e) => {
            let _ = e.print();
            return ExitCode::SUCCESS;
        }
    };
    logging::start(std::env::var("MADDERBAY_LOG").ok().as_deref());
    // A panic ends at its connection or turn; told by the logger, it never waits for standard error.
    std::panic::set_hook(Box::new(|what| log::error!("panic: {what}")));
    let done = match args.order {
        None | Some(Order::Run) => run(args.operator.as_deref(), args.unix_ahead_ms),
        Some(Order::Check { file }) => check(&file),
        Some(Order::Kept { what }) => kept(&what),
        Some(Order::Members(of)) => asked(Subject::Members, &of),
        Some(Order::Shared(of)) => asked(Subject::Quotas, &of),
        Some(Order::Routes(of)) => asked(Subject::Backends, &of),
    };
    logging::flush();
    let (lines, status) = match done {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Wrong::Start(what)) => (vec![what], ExitCode::FAILURE),
        Err(Wrong::Found) => (vec![], ExitCode::FAILURE),
        Err(Wrong::Set(lines)) => (lines, ExitCode::from(WRONGLY_SET)),
    };
    lines.iter().for_each(|line| eprintln!("madderbay: {line}"));
    status
}

/// What a reload can change: where the drivers learn of new addresses, and the time that a drain has.
struct Moves {
    stop_ms: Cell<u64>,
    engine: watch::Sender<SocketAddr>,
    registry: watch::Sender<SocketAddr>,
    catalogue: watch::Sender<Option<SocketAddr>>,
}

fn moves<T: PartialEq>(to: &watch::Sender<T>, address: T) {
    to.send_if_modified(|old| std::mem::replace(old, address) != *old);
}

/// Reads the configuration again and moves to its addresses; one that can't be read changes nothing.
fn reload(config: &config::Config, to: &Moves) {
    let fresh = match config::load() {
        Ok(fresh) => fresh,
        Err(error) => return log::warn!("reload: {error}; nothing is changed"),
    };
    for what in config.restart_only_differences(&fresh) {
        log::warn!("reload: {what} has changed, which only a restart can take");
    }
    to.stop_ms.set(fresh.stop_ms);
    moves(&to.engine, fresh.engine);
    moves(&to.registry, fresh.registry);
    moves(&to.catalogue, fresh.catalogue);
    log::info!(
        "reload: engine {}, registry {}, catalogue {:?}",
        fresh.engine,
        fresh.registry,
        fresh.catalogue
    );
}

/// Reads the operator file again for the sizes and weights of budgets, and for backends; one that is wrong
/// changes nothing.
fn reload_operator(
    config: &config::Config,
    path: Option<&Path>,
    fleet: Option<&talk::Fleet>,
    backends: Option<&Backends>,
) {
    match operator(path).and_then(|o| planned(&o, config)) {
        Ok(fresh) => {
            if let (Some(fleet), Some(sharing)) = (fleet, fresh.sharing) {
                fleet.reload(&sharing.settings.budgets);
            }
            match (backends, fresh.routing) {
                (Some(backends), Some(routing)) => backends.reload(routing),
                (None, None) => {}
                _ => log::warn!("reload: [routes] goes on or off at a restart only"),
            }
        }
        Err(Wrong::Set(lines)) => lines
            .iter()
            .for_each(|l| log::warn!("reload: {l}; budgets and backends stay as they are")),
        Err(_) => {}
    }
}

/// What the operator sets up beside the core.
struct Beside {
    members: Option<members::Members>,
    control: Option<members::Control>,
    sharing: Option<Sharing>,
    routing: Option<Routing>,
    /// The operator file, which is read again for the sizes of budgets, and for backends.
    path: Option<PathBuf>,
    unix_ahead_ms: i64,
}

/// The view of the fleet, where one is kept, with its socket.
async fn join(
    config: &config::Config,
    set: Option<members::Members>,
    sharing: Option<Sharing>,
    ahead_ms: i64,
    ticks: Ticks,
    backends: Option<Rc<Backends>>,
) -> Result<Option<(Rc<talk::Fleet>, Rc<UdpSocket>)>, String> {
    let Some(set) = set else { return Ok(None) };
    let socket = UdpSocket::bind(set.listen)
        .await
        .map_err(|e| format!("members: {}: {e}", set.listen))?;
    let (socket, settings) = (Rc::new(socket), talk::settings(&set, &config.name));
    if !is_valid_name(&config.name) {
        return Err(format!(
            "members: name '{}' is longer than {MAX_NAME_BYTES} bytes",
            config.name
        ));
    }
    let life = (clock::unix_micros() / 1_000).saturating_add_signed(ahead_ms);
    let (shared, counted) = sharing.map_or((None, lender::Counted::default()), |s| {
        (Some(s.settings), s.counted)
    });
    let fleet = talk::Fleet::new(
        ticks,
        config.seed,
        life,
        settings,
        shared,
        counted,
        backends,
    );
    let fleet = Rc::new(fleet);
    spawn_local(talk::run(socket.clone(), fleet.clone()));
    let heard = socket
        .local_addr()
        .map_err(|e| format!("members: {}: {e}", set.listen))?;
    log::info!("members: heard at {heard}, told as {}", set.advertise);
    Ok(Some((fleet, socket)))
}

async fn serve(
    config: config::Config,
    pools: Option<ConcurrencyConfig>,
    kept: Option<(keep::Opened, KeptResults)>,
    beside: Beside,
) -> Result<(), String> {
    let hear = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (mut hup, mut term) = (hear(SignalKind::hangup())?, hear(SignalKind::terminate())?);
    let (mut int, mut usr1) = (
        hear(SignalKind::interrupt())?,
        hear(SignalKind::user_defined1())?,
    );
    let descriptors = config.max_descriptors.min(allowed_descriptors());
    let room = listener::room(descriptors).ok_or_else(|| {
        let asked = config.max_descriptors;
        format!("limits.sockets {asked}: {descriptors} descriptors are too few to serve")
    })?;
    let listen = |e| format!("listen {}: {e}", config.listen);
    let listener = TcpListener::bind(config.listen).await.map_err(listen)?;
    let address = listener.local_addr().map_err(listen)?;
    let clock = Rc::new(Clock::default());
    let grace = config.settings.rules.drain_grace;
    let results = (config.memory_mb << 20) / RESULTS_PART;
    let mut serve = Serve::new(clock.now(), config.seed, config.settings.clone(), results);
    serve.limit(listener::others(descriptors));
    let serve = Rc::new(RefCell::new(serve));
    if let Some((opened, set)) = kept {
        let (keep, mut told) =
            keep::start(opened, &set).map_err(|e| format!("kept-results: {e}"))?;
        serve.borrow_mut().hands.keep = Some(keep);
        let (clock, serve) = (clock.clone(), serve.clone());
        spawn_local(async move {
            while let Some(said) = told.recv().await {
                serve.borrow_mut().told(clock.now(), said);
            }
        });
    }
    if let Some(plan) = pools {
        serve.borrow_mut().pool(clock.now(), plan);
    }
    let groups = beside.sharing.as_ref().map(|s| s.groups.clone());
    let ticks = clock::monotonic_since(Instant::now());
    let backends = beside
        .routing
        .map(|set| Rc::new(Backends::new(config.seed, ticks.clone(), set)));
    if let Some(backends) = &backends {
        serve.borrow_mut().lead(backends.clone());
    }
    let (ahead, below) = (beside.unix_ahead_ms, backends.clone());
    let fleet = join(&config, beside.members, beside.sharing, ahead, ticks, below).await?;
    if let (None, Some(backends)) = (&fleet, &backends) {
        spawn_local(backends.clone().run());
    }
    if let (Some((fleet, _)), Some(groups)) = (&fleet, groups) {
        serve.borrow_mut().share(fleet.lender.clone(), groups);
    }
    let _ends = match beside.control {
        Some(set) => {
            let listener =
                control_socket::listen(&set.socket).map_err(|error| error.to_string())?;
            let told = control_socket::Sources {
                fleet: fleet.as_ref().map(|f| f.0.clone()),
                backends: backends.clone(),
            };
            spawn_local(control_socket::run(listener, told));
            Some(control_socket::SocketFile::new(set.socket))
        }
        None => None,
    };
    let counters = || {
        let of_fleet = fleet.as_ref().map(|f| f.0.counters()).unwrap_or_default();
        logging::plain(serve.borrow().counters() + &of_fleet);
    };
    log::info!("{} listens on {address}", config.name);
    let (engine, engine_at) = watch::channel(config.engine);
    let (registry, registry_at) = watch::channel(config.registry);
    let (catalogue, catalogue_at) = watch::channel(config.catalogue);
    let to = Moves {
        stop_ms: Cell::new(config.stop_ms),
        engine,
        registry,
        catalogue,
    };
    spawn_local(engine::run(engine_at, clock.clone(), serve.clone()));
    spawn_local(calls::run(catalogue_at, clock.clone(), serve.clone()));
    spawn_local(registration::run(
        registry_at,
        config.name.clone(),
        serve.clone(),
    ));
    spawn_local(beat(clock.clone(), serve.clone()));
    let deaf = Rc::new(Notify::new());
    spawn_local(listener::run(
        listener,
        room,
        clock.clone(),
        serve.clone(),
        deaf.clone(),
    ));
    let mut orders = async || loop {
        tokio::select! {
            _ = usr1.recv() => counters(),
            _ = hup.recv() => {
                reload(&config, &to);
                let (path, fleet) = (beside.path.as_deref(), fleet.as_ref().map(|f| &*f.0));
                if fleet.is_some() || backends.is_some() {
                    reload_operator(&config, path, fleet, backends.as_deref());
                }
            }
        }
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        () = orders() => {}
    }
    let began = clock.now();
    let stop = StdDuration::from_millis(to.stop_ms.get());
    log::info!("draining, {} ms left", stop.as_millis());
    // The module's last answers leave shortly before the stop that it knows of; the process outlasts them.
    let last = stop.saturating_sub(BEFORE_KILL);
    if let Some((fleet, _)) = &fleet {
        fleet.drain();
    }
    serve
        .borrow_mut()
        .leave(began, Duration::from_micros(last.as_micros() as u64));
    tokio::select! {
        () = drain(began, grace, stop, &clock, &serve, || deaf.notify_one()) => {}
        () = orders() => {}
    }
    if let Some((fleet, socket)) = &fleet {
        fleet.leave(socket);
    }
    counters();
    log::info!("stopped");
    Ok(())
}

/// Waits until nothing is owed. New connections are taken for the grace, in which arrivals may still run, as far
/// as the stop leaves time for it; then all end, each once what had come on it is read and answered. A req that
/// crosses the end of a connection is sent again by its balancer.
async fn drain(
    began: Timestamp,
    grace: Duration,
    stop: StdDuration,
    clock: &Clock,
    serve: &Shared,
    deafen: impl Fn(),
) {
    let listens = StdDuration::from_micros(grace.as_micros()).min(stop.saturating_sub(LAST));
    let mut resting = StdDuration::ZERO;
    let mut ending = false;
    loop {
        tokio::time::sleep(LOOK).await;
        let passed = StdDuration::from_micros((clock.now() - began).as_micros());
        let over = passed > listens;
        if over {
            deafen();
        }
        let rest = serve.borrow().at_rest();
        resting = if rest && over {
            resting + LOOK
        } else {
            StdDuration::ZERO
        };
        if resting >= REST && !std::mem::replace(&mut ending, true) {
            serve.borrow_mut().end();
            resting = LOOK;
        }
        let alone = serve.borrow().unconnected();
        let left = ending && resting >= LAST / 2;
        if (resting > StdDuration::ZERO && alone) || left || passed + BEFORE_KILL > stop {
            return;
        }
    }
}

/// The one timer, and the settling of what came: everything that is ready is taken in before.
async fn beat(clock: Rc<Clock>, serve: Shared) {
    let changed = serve.borrow().hands.changed.clone();
    loop {
        let next = serve.borrow().next();
        let now = clock.now();
        let wait = next.map_or(StdDuration::from_secs(1), |at| {
            StdDuration::from_micros((at - now).as_micros())
        });
        tokio::select! {
            biased;
            () = changed.notified() => {}
            () = tokio::time::sleep(wait) => {}
        }
        tokio::task::yield_now().await;
        let turn = || serve.borrow_mut().turn(clock.now());
        if catch_unwind(AssertUnwindSafe(turn)).is_err() {
            log::error!("a turn of the decisions failed");
        }
    }
}
