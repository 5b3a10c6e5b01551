//! The operator file, read and planned over the platform's settings: names of handlers become indices here.
//!
//! It reads one file and starts nothing; a start, a reload and `check` share it.

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
    /// The file's form is wrong: everything found, one line each with file, line and key.
    #[error(transparent)]
    Malformed(#[from] OperatorFileErrors),
    /// Sections name handlers that the platform's settings don't have.
    #[error("{}", handler_lines(.0).join("\n"))]
    UnknownHandlers(Vec<UnknownHandlers>),
}

impl OperatorError {
    /// One line for each thing that is wrong.
    pub(crate) fn lines(&self) -> Vec<String> {
        match self {
            OperatorError::Unreadable { .. } => vec![self.to_string()],
            OperatorError::Malformed(errors) => errors.lines(),
            OperatorError::UnknownHandlers(sections) => handler_lines(sections),
        }
    }
}

/// The lines of all sections, in their order.
fn handler_lines(sections: &[UnknownHandlers]) -> Vec<String> {
    sections.iter().flat_map(UnknownHandlers::lines).collect()
}

/// Reads the operator file; without one, everything is off.
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

/// The sections that differ between two operator files and that only a restart applies.
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
        // Of these a reload applies what is in them, and not whether they are on.
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

/// The parts of the operator file that depend on the platform's settings; what is off is `None`.
pub(crate) struct OperatorPlan {
    /// `[pools]` and `[reserve]`: concurrency limits by pool.
    pub(crate) concurrency: Option<ConcurrencyConfig>,
    /// `[shared]`: quotas and counters of the fleet.
    pub(crate) quota: Option<QuotaPlan>,
    /// `[routes]`: the backends.
    pub(crate) routing: Option<RoutingPlan>,
}

impl OperatorPlan {
    /// Plans all parts; what is wrong in any of them is reported together.
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

/// With both, the concurrency limits know which handlers share backends.
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
