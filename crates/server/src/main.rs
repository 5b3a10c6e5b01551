//! The program `madderbay`: one server, and the commands around it.
//!
//! - [`cli`] parses the command line, [`commands`] runs what it names and says with which status the program exits;
//!   [`store_inspection`] forms what `kept` prints.
//! - [`operator_plan`] reads the operator file and plans its parts over the platform's settings.
//! - [`startup`] is the server's life, one step after the other. [`setup`] reads and checks all input; [`server`] opens
//!   the sockets in a fixed order, [`fleet_endpoint`] the one between servers, and [`tasks`] lists and starts the tasks
//!   that it consists of. What can go wrong up to here is in [`start_error`].
//! - [`signals`] reacts to signals: counters on SIGUSR1, [`reload`] of the [`reloadable_values`] on SIGHUP, and
//!   [`shutdown`] on SIGTERM and SIGINT.
//!
//! Each of these files uses those below it only: `commands`, `startup`, `shutdown`, `signals`, `reload`, `server`, then
//! `fleet_endpoint`, `setup` and `tasks`, then `operator_plan`, `reloadable_values` and `start_error`.

mod cli;
mod commands;
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
    // A panic ends one connection or one turn of the decisions. The logger reports it, so that it never waits for
    // standard error.
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
