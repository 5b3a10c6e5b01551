//! The start of a server: [`run`] reads and checks everything, then [`serve`] is the server's life from its first
//! socket to its last line in the log. Nothing is listened on before the configuration, the operator file and the
//! directory of durable results are valid.
//!
//! It owns the errors of a start. The order in which sockets are opened and tasks are started is in
//! [`Server::start`].

use crate::operator_plan::{self, OperatorError, OperatorPlan};
use crate::server::Server;
use crate::shutdown;
use crate::signals::Signals;
use madderbay_idempotency_store::StoreError;
use madderbay_membership::MAX_NAME_BYTES;
use madderbay_operator_config::OperatorConfig;
use madderbay_operator_config::idempotency_store::IdempotencyStoreConfig;
use madderbay_server::core::durability;
use madderbay_server::fleet::control_socket::ControlSocketError;
use madderbay_server::support::config::{self, Config, ConfigError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration as StdDuration, Instant};
use tokio::task::LocalSet;

/// How long a configuration that is missing or incomplete is waited for.
const CONFIG_WAIT: StdDuration = StdDuration::from_secs(5);
/// How often it is read meanwhile.
const CONFIG_POLL_INTERVAL: StdDuration = StdDuration::from_millis(50);

/// Why a server can't start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    #[error(transparent)]
    Operator(#[from] OperatorError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The directory of durable results can't be opened or read.
    #[error("kept-results: {0}")]
    Store(#[source] StoreError),
    #[error("kept-results: {0}")]
    StoreThread(#[source] std::io::Error),
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error("signals: {0}")]
    Signals(#[source] std::io::Error),
    #[error("limits.sockets {configured}: {available} descriptors are too few to serve")]
    TooFewDescriptors { configured: usize, available: usize },
    #[error("listen {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("members: {address}: {source}")]
    MembersSocket {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[error("members: name '{name}' is longer than {MAX_NAME_BYTES} bytes")]
    MemberName { name: String },
    #[error(transparent)]
    ControlSocket(#[from] ControlSocketError),
}

impl StartError {
    /// The lines for standard error: one, or as many as there are faults in the operator file.
    pub(crate) fn lines(&self) -> Vec<String> {
        match self {
            StartError::Operator(error) => error.lines(),
            other => vec![other.to_string()],
        }
    }

    /// Whether the cause is the operator's input and not a resource that the system refused.
    pub(crate) fn is_invalid_input(&self) -> bool {
        matches!(
            self,
            StartError::Operator(_) | StartError::Config(_) | StartError::Store(_)
        )
    }
}

/// Starts a server and serves until a signal stops it. `unix_ahead_ms` is added to the clock that distinguishes
/// incarnations.
pub(crate) fn run(operator_file: Option<&Path>, unix_ahead_ms: i64) -> Result<(), StartError> {
    let operator = operator_plan::read(operator_file)?;
    let config = wait_for_config()?;
    let plan = OperatorPlan::new(&operator, &config)?;
    let store = open_store(operator.idempotency_store.as_ref(), &config)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    let setup = Setup {
        config,
        operator_file: operator_file.map(Path::to_path_buf),
        operator,
        plan,
        store,
        unix_ahead_ms,
    };
    // All tasks are on this set. It is dropped, and they with it, after `serve` has returned.
    let task_set = LocalSet::new();
    task_set.block_on(&runtime, serve(setup))
}

/// The life of a server, from its first socket to its last line in the log.
async fn serve(setup: Setup) -> Result<(), StartError> {
    let mut signals = Signals::install()?;
    let server = Server::start(setup).await?;
    signals.stop.wait(&mut signals.operator, &server).await;
    shutdown::run(&server, &mut signals.operator).await;
    Ok(())
}

/// Reads the configuration. One that is missing or incomplete may still be being written, and is waited for.
fn wait_for_config() -> Result<Config, ConfigError> {
    let start = Instant::now();
    loop {
        match config::load() {
            Err(error) if error.is_incomplete_file() && start.elapsed() < CONFIG_WAIT => {
                log::debug!("server: waiting for the configuration, error={error}");
                std::thread::sleep(CONFIG_POLL_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Opens the store of durable results and reads what earlier incarnations left in it.
fn open_store(
    settings: Option<&IdempotencyStoreConfig>,
    config: &Config,
) -> Result<Option<durability::OpenedStore>, StartError> {
    let handlers = config.settings.handlers.iter();
    let longest_window = handlers.map(|h| h.idempotency_window).max();
    let window_micros = longest_window.unwrap_or_default().as_micros();
    let store = settings.map(|settings| durability::open(settings, window_micros));
    store.transpose().map_err(StartError::Store)
}

/// Everything that a start is given, read and checked.
pub(crate) struct Setup {
    /// The configuration.
    pub(crate) config: Config,
    /// Where the operator file is, for a reload.
    pub(crate) operator_file: Option<PathBuf>,
    /// The operator file as it was read.
    pub(crate) operator: OperatorConfig,
    /// Its parts, planned over the settings.
    pub(crate) plan: OperatorPlan,
    /// The store of durable results, where `[kept-results]` is on.
    pub(crate) store: Option<durability::OpenedStore>,
    /// Added to the clock that distinguishes incarnations, in milliseconds.
    pub(crate) unix_ahead_ms: i64,
}
