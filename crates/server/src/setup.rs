//! The input of a start: the configuration, the operator file and the store, read and checked in this order. This
//! module opens no socket and starts no task, so that a start that fails here has changed nothing.

use crate::operator_plan::{self, OperatorPlan};
use crate::start_error::StartError;
use madderbay_operator_config::OperatorConfig;
use madderbay_operator_config::idempotency_store::IdempotencyStoreConfig;
use madderbay_server::core::durability;
use madderbay_server::support::config::{self, Config, ConfigError};
use std::path::{Path, PathBuf};
use std::time::{Duration as StdDuration, Instant};

/// How long to wait for a configuration that is missing or incomplete.
const CONFIG_WAIT: StdDuration = StdDuration::from_secs(5);
/// Pause between two attempts to read the configuration.
const CONFIG_POLL_INTERVAL: StdDuration = StdDuration::from_millis(50);

/// The input of a start, read and checked.
pub(crate) struct Setup {
    /// The configuration.
    pub(crate) config: Config,
    /// Path of the operator file, for reloads.
    pub(crate) operator_file: Option<PathBuf>,
    /// The contents of the operator file.
    pub(crate) operator: OperatorConfig,
    /// The parts of the operator file that were resolved against the platform's settings.
    pub(crate) plan: OperatorPlan,
    /// The store of durable results, if `[kept-results]` is enabled.
    pub(crate) store: Option<durability::OpenedStore>,
    /// Milliseconds added to the Unix time from which the incarnation number is taken.
    pub(crate) incarnation_offset_ms: i64,
}

impl Setup {
    /// Reads and checks all input; returns the first error. Waits for a configuration that is still being written.
    /// `incarnation_offset_ms` is added to the Unix time from which the incarnation number is taken.
    pub(crate) fn read(
        operator_file: Option<&Path>,
        incarnation_offset_ms: i64,
    ) -> Result<Setup, StartError> {
        let operator = operator_plan::read(operator_file)?;
        let config = wait_for_config()?;
        let plan = OperatorPlan::new(&operator, &config)?;
        let store = open_store(operator.idempotency_store.as_ref(), &config)?;
        Ok(Setup {
            config,
            operator_file: operator_file.map(Path::to_path_buf),
            operator,
            plan,
            store,
            incarnation_offset_ms,
        })
    }
}

/// Reads the configuration. If it is missing or incomplete, another process may still be writing it; the function then
/// waits for up to [`CONFIG_WAIT`].
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

/// Opens the store of durable results and reads the results of earlier incarnations.
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
