//! Reload on SIGHUP: reads the configuration and the operator file again, and applies what can change in a running
//! server. A file that is wrong changes nothing, and what only a restart can apply is logged.

use crate::operator_plan::{self, OperatorPlan};
use crate::server::Server;
use madderbay_server::support::config;

/// The section of the operator file that goes on or off at a restart only.
const ROUTES_SECTION: &str = "[routes]";

/// Reloads the configuration and then, where the fleet or the backends are on, the operator file.
pub(crate) fn reload(server: &Server) {
    reload_config(server);
    if server.fleet().is_some() || server.backends().is_some() {
        reload_operator_file(server);
    }
}

/// Moves to the addresses of the configuration, and takes its time for a shutdown.
fn reload_config(server: &Server) {
    let fresh = match config::load() {
        Ok(fresh) => fresh,
        Err(error) => return log::warn!("reload: refused, error={error}"),
    };
    for member in server.config().restart_only_differences(&fresh) {
        log::warn!("reload: restart required, changed={member}");
    }
    server.reloadable().update(&fresh);
    let catalogue = fresh.catalogue.map(|address| address.to_string());
    log::info!(
        "reload: applied, engine={}, registry={}, catalogue={}",
        fresh.engine,
        fresh.registry,
        catalogue.as_deref().unwrap_or("none")
    );
}

/// Applies the sizes and weights of quotas, and the backends, of the operator file.
fn reload_operator_file(server: &Server) {
    let plan = operator_plan::read(server.operator_file())
        .and_then(|operator| OperatorPlan::new(&operator, server.config()));
    let plan = match plan {
        Ok(plan) => plan,
        Err(error) => {
            return error
                .lines()
                .iter()
                .for_each(|l| log::warn!("reload: operator file refused, error={l}"));
        }
    };
    if let (Some(fleet), Some(sharing)) = (server.fleet(), plan.sharing) {
        fleet.reload(&sharing.settings.budgets);
    }
    match (server.backends(), plan.routing) {
        (Some(backends), Some(routing)) => backends.reload(routing),
        (None, None) => {}
        _ => log::warn!("reload: restart required, changed={ROUTES_SECTION}"),
    }
}
