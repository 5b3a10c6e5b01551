//! The program `madderbay`: runs one server, or a command that inspects a server or its files.
//!
//! - [`cli`] parses the command line, and [`commands`] runs the command and determines the exit status;
//!   [`store_inspection`] formats the output of `kept`.
//! - [`operator_plan`] reads the operator file and resolves it against the platform's settings.
//! - [`startup`] runs the server from start to shutdown. [`setup`] reads and checks all input; [`server`] opens the
//!   sockets in a fixed order, [`fleet_endpoint`] opens the socket between servers, and [`tasks`] starts the server's
//!   tasks. The errors of all these steps are in [`start_error`].
//! - [`signals`] handles signals: SIGUSR1 logs the counters, SIGHUP runs the [`reload`] of the [`reloadable_values`],
//!   and SIGTERM and SIGINT start the [`shutdown`], which [`drain_progress`] tells when each of its steps is due.
//!
//! Each of these modules depends only on those after it in this order: `commands`, `startup`, `shutdown`, `signals`,
//! `reload`, `server`, then `fleet_endpoint`, `setup` and `tasks`, then `operator_plan`, `reloadable_values`,
//! `start_error` and `drain_progress`.

mod cli;
mod commands;
mod drain_progress;
mod fleet_endpoint;
mod operator_plan;
mod reload;
mod reloadable_values;
mod server;
mod setup;
mod shutdown;
mod signals;
mod start_error;
mod startup;
mod store_inspection;
mod tasks;

use madderbay_server::support::logging;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = match cli::parse() {
        Ok(arguments) => arguments,
        Err(status) => return status,
    };
    logging::start(std::env::var("MADDERBAY_LOG").ok().as_deref());
    // A panic ends only one connection or one turn of the decision module. It is reported through the logger, so that
    // the thread never blocks on standard error.
    std::panic::set_hook(Box::new(|panic| {
        log::error!("server: panic, error={panic}");
    }));
    let result = commands::execute(arguments);
    logging::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for line in error.lines() {
                eprintln!("madderbay: {line}");
            }
            error.exit_status()
        }
    }
}
