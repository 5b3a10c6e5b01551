//! Reload on SIGHUP: reads the configuration and the operator file again, and applies the changes that a running
//! server can apply. An invalid file changes nothing. Changes that require a restart are logged.

use crate::operator_plan::{self, OperatorPlan};
use crate::server::Server;
use madderbay_server::support::config;

/// Reloads the configuration and then the operator file, if there is one.
pub(crate) fn reload(server: &Server) {
    reload_config(server);
    if server.operator_file().is_some() {
        reload_operator_file(server);
    }
}

/// Applies the addresses and the shutdown timeout of the configuration.
fn reload_config(server: &Server) {
    let reloaded = match config::load() {
        Ok(reloaded) => reloaded,
        Err(error) => return log::warn!("reload: refused, error={error}"),
    };
    for member in server.config().restart_only_differences(&reloaded) {
        log::warn!("reload: restart required, changed={member}");
    }
    server.reloadable().update(&reloaded);
    let catalogue = reloaded.catalogue.map(|address| address.to_string());
    log::info!(
        "reload: applied, engine={}, registry={}, catalogue={}",
        reloaded.engine,
        reloaded.registry,
        catalogue.as_deref().unwrap_or("none")
    );
}

/// Applies the sizes and weights of the quotas, and the backends, from the operator file.
fn reload_operator_file(server: &Server) {
    let read = operator_plan::read(server.operator_file()).and_then(|operator| {
        let plan = OperatorPlan::new(&operator, server.config())?;
        Ok((operator, plan))
    });
    let (operator, plan) = match read {
        Ok(read) => read,
        Err(error) => {
            return error
                .lines()
                .iter()
                .for_each(|l| log::warn!("reload: operator file refused, error={l}"));
        }
    };
    if let (Some(fleet), Some(quota)) = (server.fleet(), plan.quota) {
        fleet.reload(&quota.settings.budgets);
    }
    if let (Some(backends), Some(routing)) = (server.backends(), plan.routing) {
        backends.reload(routing);
    }
    for section in operator_plan::restart_only_differences(server.operator(), &operator) {
        log::warn!("reload: restart required, changed={section}");
    }
}
