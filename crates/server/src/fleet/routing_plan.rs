//! Derives the upstream backends from the operator file and from the platform's handlers. The module keeps no state.

use crate::core::handler_names::{HandlerResolver, UnknownHandlers};
use madderbay::interface::HandlerId;
use madderbay_concurrency::UpstreamGroup;
use madderbay_operator_config::upstream as operator;
use madderbay_settings::Settings as PlatformSettings;
use madderbay_upstream::{BackendSettings, Settings};

/// Lower bound on the total weight, so that dividing by it is defined if all weights are 0.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// The backends and the settings by which calls are distributed among them.
#[derive(Clone)]
pub struct RoutingPlan {
    /// Settings of selection, ejection, retries and hedging.
    pub settings: Settings,
    /// The backends in the order of the file.
    pub backends: Vec<BackendSettings>,
}

/// Creates the plan from the section `[routes]` of the operator file.
///
/// # Errors
/// Returns the unknown names if a backend names a handler that the platform does not have.
pub fn plan(
    section: &operator::RoutingConfig,
    platform: &PlatformSettings,
) -> Result<RoutingPlan, UnknownHandlers> {
    let mut handlers = HandlerResolver::new(&platform.handler_names);
    let backends = section.backends.iter().map(|backend| BackendSettings {
        name: backend.name.as_str().into(),
        address: backend.address,
        zone: backend.zone.as_str().into(),
        weight: backend.weight,
        handlers: sorted(handlers.resolve(&backend.handlers)),
    });
    let plan = RoutingPlan {
        backends: backends.collect(),
        settings: Settings {
            zone: section.zone.as_str().into(),
            max_ejected_fraction: section.max_ejected_fraction,
            min_local_fraction: section.min_local_fraction,
            retry_ratio: section.retry_ratio,
            hedging: section.hedging,
            gossip: section.gossip,
        },
    };
    handlers.finish(plan)
}

/// Sorts the handlers, so that two lists of the same handlers compare equal whatever their order in the file.
fn sorted(mut handlers: Vec<HandlerId>) -> Vec<HandlerId> {
    handlers.sort_unstable();
    handlers
}

impl RoutingPlan {
    /// Returns the groups of handlers that have the same backends, each with its fraction of all backends' weight.
    pub fn groups(&self) -> Vec<UpstreamGroup> {
        let mut groups: Vec<UpstreamGroup> = vec![];
        for backend in &self.backends {
            match groups.iter_mut().find(|g| g.handlers == backend.handlers) {
                Some(group) => group.quota_fraction += backend.weight,
                None => groups.push(UpstreamGroup {
                    handlers: backend.handlers.clone(),
                    quota_fraction: backend.weight,
                }),
            }
        }
        let total_weight: f64 = groups.iter().map(|g| g.quota_fraction).sum();
        for group in &mut groups {
            group.quota_fraction /= total_weight.max(MIN_TOTAL_WEIGHT);
        }
        groups
    }
}
