//! Reads the operator file and resolves it against the platform's settings: names of handlers become indices.
//!
//! It reads one file and has no other effect. Startup, reload and `check` all use it.

use madderbay_concurrency::ConcurrencyConfig;
use madderbay_operator_config::{OperatorConfig, OperatorFileErrors};
use madderbay_server::core::concurrency_limits;
use madderbay_server::core::handler_names::UnknownHandlers;
use madderbay_server::fleet::quota_plan::{self, QuotaPlan};
use madderbay_server::fleet::routing_plan::{self, RoutingPlan};
use madderbay_server::support::config::Config;
use std::path::Path;

/// Why an operator file can't be applied.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        file: String,
        source: std::io::Error,
    },
    /// The file has errors: all that were found, one line each with file, line and key.
    #[error(transparent)]
    Malformed(#[from] OperatorFileErrors),
    /// Some sections name handlers that are not in the platform's settings.
    #[error("{}", handler_lines(.0).join("\n"))]
    UnknownHandlers(Vec<UnknownHandlers>),
}

impl OperatorError {
    /// Returns one line for each error.
    pub(crate) fn lines(&self) -> Vec<String> {
        match self {
            OperatorError::Unreadable { .. } => vec![self.to_string()],
            OperatorError::Malformed(errors) => errors.lines(),
            OperatorError::UnknownHandlers(sections) => handler_lines(sections),
        }
    }
}

/// Returns the lines of all sections, in their order.
fn handler_lines(sections: &[UnknownHandlers]) -> Vec<String> {
    sections.iter().flat_map(UnknownHandlers::lines).collect()
}

/// Reads the operator file. Without a file, every section is off.
pub(crate) fn read(file: Option<&Path>) -> Result<OperatorConfig, OperatorError> {
    let Some(path) = file else {
        return Ok(OperatorConfig::default());
    };
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(source) => return Err(OperatorError::Unreadable { file, source }),
    };
    Ok(madderbay_operator_config::read(&file, &text)?)
}

/// Returns the sections that differ between two operator files and whose changes require a restart.
pub(crate) fn restart_only_differences(
    at_start: &OperatorConfig,
    reloaded: &OperatorConfig,
) -> Vec<&'static str> {
    let sections = [
        ("[pools]", at_start.concurrency != reloaded.concurrency),
        (
            "[kept-results]",
            at_start.idempotency_store != reloaded.idempotency_store,
        ),
        ("[members]", at_start.membership != reloaded.membership),
        (
            "[control]",
            at_start.control_socket != reloaded.control_socket,
        ),
        // A reload applies the contents of these sections, but can't enable or disable them.
        (
            "[shared]",
            at_start.quota.is_some() != reloaded.quota.is_some(),
        ),
        (
            "[routes]",
            at_start.upstream.is_some() != reloaded.upstream.is_some(),
        ),
    ];
    let differing = sections.into_iter().filter(|(_, differs)| *differs);
    differing.map(|(section, _)| section).collect()
}

/// The parts of the operator file that depend on the platform's settings. A part that is off is `None`.
pub(crate) struct OperatorPlan {
    /// `[pools]` and `[reserve]`: concurrency limits by pool.
    pub(crate) concurrency: Option<ConcurrencyConfig>,
    /// `[shared]`: quotas and counters of the fleet.
    pub(crate) quota: Option<QuotaPlan>,
    /// `[routes]`: the backends.
    pub(crate) routing: Option<RoutingPlan>,
}

impl OperatorPlan {
    /// Resolves all parts. The errors of all parts are reported together.
    pub(crate) fn new(
        operator: &OperatorConfig,
        config: &Config,
    ) -> Result<OperatorPlan, OperatorError> {
        let settings = &config.settings;
        let concurrency = operator
            .concurrency
            .as_ref()
            .map(|section| concurrency_limits::plan(section, settings));
        let quota = operator
            .quota
            .as_ref()
            .map(|section| quota_plan::plan(section, config));
        let routing = operator
            .upstream
            .as_ref()
            .map(|section| routing_plan::plan(section, settings));
        match (
            concurrency.transpose(),
            quota.transpose(),
            routing.transpose(),
        ) {
            (Ok(concurrency), Ok(quota), Ok(routing)) => Ok(OperatorPlan {
                concurrency: with_upstream_groups(concurrency, routing.as_ref()),
                quota,
                routing,
            }),
            (concurrency, quota, routing) => {
                let unknown = [concurrency.err(), quota.err(), routing.err()];
                let sections = unknown.into_iter().flatten().collect();
                Err(OperatorError::UnknownHandlers(sections))
            }
        }
    }
}

/// Adds the groups of handlers that share backends to the concurrency limits, if there are both.
fn with_upstream_groups(
    concurrency: Option<ConcurrencyConfig>,
    routing: Option<&RoutingPlan>,
) -> Option<ConcurrencyConfig> {
    let mut concurrency = concurrency?;
    if let Some(routing) = routing {
        concurrency.upstream_groups = routing.groups();
    }
    Some(concurrency)
}
