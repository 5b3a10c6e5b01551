//! A running server. [`Server::start`] opens the sockets and starts the tasks, in the order of its statements; signals
//! act on the [`Server`] that it returns.
//!
//! The server owns the control socket's file, the reloadable values and the handle of the listener. The core,
//! the backends and the fleet are shared with the tasks on this thread; they are never borrowed across an await.

use crate::fleet_endpoint::{FleetEndpoint, FleetSetup};
use crate::reloadable_values::ReloadableValues;
use crate::setup::Setup;
use crate::start_error::StartError;
use crate::tasks::{self, ListenerTask};
use madderbay_operator_config::OperatorConfig;
use madderbay_operator_config::control::ControlSocket;
use madderbay_server::core::durability;
use madderbay_server::core::event_loop::{EventLoop, SharedEventLoop};
use madderbay_server::downstream::listener;
use madderbay_server::fleet::backends::Backends;
use madderbay_server::fleet::control_socket::{self, SocketFile, Sources};
use madderbay_server::fleet::gossip::Fleet;
use madderbay_server::fleet::routing_plan::RoutingPlan;
use madderbay_server::support::clock::{self, Clock, MonotonicClock};
use madderbay_server::support::config::Config;
use madderbay_server::support::logging;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;

/// Cached results of requests with an idempotency key may take up to a quarter of the configured memory.
const RESULTS_MEMORY_DIVISOR: usize = 4;

/// A running server. The tasks hold their own references to the state that they use.
///
/// The fields are dropped in this order: the control socket's file is removed before the state that queries read.
pub(crate) struct Server {
    listener: ListenerTask,
    reloadable: ReloadableValues,
    _control_socket: Option<SocketFile>,
    fleet: Option<FleetEndpoint>,
    backends: Option<Rc<Backends>>,
    core: SharedEventLoop,
    clock: Rc<Clock>,
    config: Config,
    operator_file: Option<PathBuf>,
    /// The operator file as read at the start.
    operator: OperatorConfig,
}

impl Server {
    /// Opens all sockets and starts all tasks; returns the first error.
    pub(crate) async fn start(setup: Setup) -> Result<Server, StartError> {
        let config = setup.config;
        let operator = setup.operator;
        let plan = setup.plan;
        let limits = DescriptorLimits::new(&config)?;
        let (listener, address) = listen(config.listen).await?;
        let clock = Rc::new(Clock::default());
        let core = build_core(&config, &clock, &limits);
        start_store(setup.store, &operator, &clock, &core)?;
        if let Some(concurrency) = plan.concurrency {
            core.borrow_mut()
                .set_concurrency_limits(clock.now(), concurrency);
        }
        let fleet_clock = clock::monotonic_since(Instant::now());
        let backends = build_backends(plan.routing, &config, &fleet_clock, &core);
        let fleet_setup = operator.membership.as_ref().map(|members| FleetSetup {
            config: &config,
            members,
            quota: plan.quota,
            backends: backends.clone(),
            clock: fleet_clock,
            incarnation_offset_ms: setup.incarnation_offset_ms,
        });
        let fleet = join_fleet(fleet_setup, &backends, &core).await?;
        let control_socket =
            open_control_socket(operator.control_socket.clone(), fleet.as_ref(), &backends)?;
        log::info!("server: listening, name={}, address={address}", config.name);
        let reloadable = ReloadableValues::new(&config);
        tasks::spawn_drivers(&config.name, &reloadable, &clock, &core);
        let listener = tasks::spawn_listener(listener, limits.max_connections, &clock, &core);
        Ok(Server {
            listener,
            reloadable,
            _control_socket: control_socket,
            fleet,
            backends,
            core,
            clock,
            config,
            operator_file: setup.operator_file,
            operator,
        })
    }

    /// Returns the clock that requests are timed with.
    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns the core, which owns the decision module.
    pub(crate) fn core(&self) -> &SharedEventLoop {
        &self.core
    }

    /// Returns the configuration as read at the start.
    pub(crate) fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the path of the operator file, if there is one.
    pub(crate) fn operator_file(&self) -> Option<&Path> {
        self.operator_file.as_deref()
    }

    /// The operator file as read at the start.
    pub(crate) fn operator(&self) -> &OperatorConfig {
        &self.operator
    }

    /// Returns the values that a reload can change.
    pub(crate) fn reloadable(&self) -> &ReloadableValues {
        &self.reloadable
    }

    /// Returns the fleet, if `[members]` is enabled.
    pub(crate) fn fleet(&self) -> Option<&Fleet> {
        self.fleet.as_ref().map(|endpoint| &**endpoint.fleet())
    }

    /// Returns the backends, if `[routes]` is enabled.
    pub(crate) fn backends(&self) -> Option<&Backends> {
        self.backends.as_deref()
    }

    /// Stops the listener. Connections that are already in the backlog are still accepted.
    pub(crate) fn stop_listening(&self) {
        self.listener.stop();
    }

    /// Reports whether connections may still be accepted: the listener is open, or its backlog is not yet taken.
    pub(crate) fn is_listening(&self) -> bool {
        self.listener.is_running()
    }

    /// Notifies the fleet that this server is leaving, and sends the last datagrams at once.
    pub(crate) fn leave_fleet(&self) {
        if let Some(endpoint) = &self.fleet {
            endpoint.leave();
        }
    }

    /// Writes all counters to the log.
    pub(crate) fn log_counters(&self) {
        let fleet_counters = self.fleet().map(Fleet::counters).unwrap_or_default();
        logging::plain(self.core.borrow().counter_lines() + &fleet_counters);
    }
}

/// The limits on file descriptors.
struct DescriptorLimits {
    /// Number of descriptors that both the configuration and the system allow.
    total: usize,
    /// Maximum number of simultaneous downstream connections.
    max_connections: usize,
}

impl DescriptorLimits {
    /// Derives the limits from the configuration and the system; fails if they are too low to serve.
    fn new(config: &Config) -> Result<DescriptorLimits, StartError> {
        let configured = config.max_descriptors;
        let total = configured.min(system_descriptor_limit());
        match listener::max_connections(total) {
            Some(max_connections) => Ok(DescriptorLimits {
                total,
                max_connections,
            }),
            None => Err(StartError::TooFewDescriptors {
                configured,
                available: total,
            }),
        }
    }
}

/// Returns the process's limit on open files, or `usize::MAX` if the system does not report one.
fn system_descriptor_limit() -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(usize::MAX)
}

/// Binds the socket for load balancers. Also returns its address, since the configured port may be 0.
async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |source| StartError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Creates the core without connections and without any of its optional parts.
fn build_core(config: &Config, clock: &Clock, limits: &DescriptorLimits) -> SharedEventLoop {
    let results_bytes = (config.memory_mb << 20) / RESULTS_MEMORY_DIVISOR;
    let settings = config.settings.clone();
    let mut core = EventLoop::new(clock.now(), config.seed, settings, results_bytes);
    core.limit_descriptors(listener::usable_descriptors(limits.total));
    Rc::new(RefCell::new(core))
}

/// Starts the thread that writes durable results, and the task that passes its events to the core, if
/// `[kept-results]` is enabled.
fn start_store(
    store: Option<durability::OpenedStore>,
    operator: &OperatorConfig,
    clock: &Rc<Clock>,
    core: &SharedEventLoop,
) -> Result<(), StartError> {
    let (Some(store), Some(settings)) = (store, &operator.idempotency_store) else {
        return Ok(());
    };
    let (store, events) = durability::start(store, settings).map_err(StartError::StoreThread)?;
    core.borrow_mut().set_durability(store);
    tasks::spawn_store_events(events, clock, core);
    Ok(())
}

/// Creates the backends, among which the core selects the one for each call.
fn build_backends(
    routing: Option<RoutingPlan>,
    config: &Config,
    clock: &MonotonicClock,
    core: &SharedEventLoop,
) -> Option<Rc<Backends>> {
    let backends = Rc::new(Backends::new(config.seed, clock.clone(), routing?));
    core.borrow_mut().set_backend_selector(backends.clone());
    Some(backends)
}

/// Joins the fleet and connects the core to its shared quotas. Without a fleet, the backends are driven by a task of
/// their own instead of the gossip task.
async fn join_fleet(
    setup: Option<FleetSetup<'_>>,
    backends: &Option<Rc<Backends>>,
    core: &SharedEventLoop,
) -> Result<Option<FleetEndpoint>, StartError> {
    let Some(setup) = setup else {
        backends.iter().for_each(tasks::spawn_backends);
        return Ok(None);
    };
    let quota_groups = setup.quota.as_ref().map(|s| s.groups.clone());
    let endpoint = FleetEndpoint::join(setup).await?;
    if let Some(groups) = quota_groups {
        let source = endpoint.fleet().quota_source().clone();
        core.borrow_mut().set_quota_source(source, groups);
    }
    Ok(Some(endpoint))
}

/// Opens the control socket, if `[control]` is set. Dropping the returned value removes the socket's file.
fn open_control_socket(
    control: Option<ControlSocket>,
    fleet: Option<&FleetEndpoint>,
    backends: &Option<Rc<Backends>>,
) -> Result<Option<SocketFile>, StartError> {
    let Some(control) = control else {
        return Ok(None);
    };
    let listener = control_socket::listen(&control.socket)?;
    let sources = Sources {
        fleet: fleet.map(|endpoint| endpoint.fleet().clone()),
        backends: backends.clone(),
    };
    tasks::spawn_control_socket(listener, sources);
    Ok(Some(SocketFile::new(control.socket)))
}
