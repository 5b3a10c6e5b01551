//! The operator file, read and planned over the platform's settings: names of handlers become indices here.
//!
//! It reads one file and starts nothing; a start, a reload and `check` share it.

use madderbay_concurrency::ConcurrencyConfig;
use madderbay_operator_config::Operator;
use madderbay_server::core::concurrency_limits;
use madderbay_server::fleet::backends::{self, RoutingPlan};
use madderbay_server::fleet::quota_plan::{self, QuotaPlan};
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
    /// The file is wrong: everything found, one line each with file, line and key.
    #[error("{}", lines.join("\n"))]
    Invalid { lines: Vec<String> },
}

impl OperatorError {
    /// One line for each thing that is wrong.
    pub(crate) fn lines(&self) -> Vec<String> {
        match self {
            OperatorError::Unreadable { .. } => vec![self.to_string()],
            OperatorError::Invalid { lines } => lines.clone(),
        }
    }
}

/// Reads the operator file; without one, everything is off.
pub(crate) fn read(file: Option<&Path>) -> Result<Operator, OperatorError> {
    let Some(path) = file else {
        return Ok(Operator::default());
    };
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(source) => return Err(OperatorError::Unreadable { file, source }),
    };
    madderbay_operator_config::read(&file, &text).map_err(|errors| OperatorError::Invalid {
        lines: errors.lines(),
    })
}

/// The parts of the operator file that depend on the platform's settings; what is off is `None`.
pub(crate) struct OperatorPlan {
    /// `[pools]` and `[reserve]`: concurrency limits by pool.
    pub(crate) concurrency: Option<ConcurrencyConfig>,
    /// `[shared]`: quotas and counters of the fleet.
    pub(crate) sharing: Option<QuotaPlan>,
    /// `[routes]`: the backends.
    pub(crate) routing: Option<RoutingPlan>,
}

impl OperatorPlan {
    /// Plans all parts; what is wrong in any of them is reported together.
    pub(crate) fn new(operator: &Operator, config: &Config) -> Result<OperatorPlan, OperatorError> {
        let settings = &config.settings;
        let routing = operator.routes.as_ref().map(|r| backends::of(r, settings));
        let concurrency = operator
            .pools
            .as_ref()
            .map(|p| concurrency_limits::plan(p, settings));
        let sharing = operator.shared.as_ref().map(|s| quota_plan::of(s, config));
        match (
            concurrency.transpose(),
            sharing.transpose(),
            routing.transpose(),
        ) {
            (Ok(mut concurrency), Ok(sharing), Ok(routing)) => {
                if let (Some(concurrency), Some(routing)) = (&mut concurrency, &routing) {
                    concurrency.upstream_groups = routing.groups();
                }
                Ok(OperatorPlan {
                    concurrency,
                    sharing,
                    routing,
                })
            }
            (concurrency, sharing, routing) => {
                let wrong = [concurrency.err(), sharing.err(), routing.err()];
                let lines = wrong.into_iter().flatten().flatten().collect();
                Err(OperatorError::Invalid { lines })
            }
        }
    }
}
