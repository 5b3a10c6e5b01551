//! Runs a server: [`run`] reads and checks all input, starts the server, and serves until a signal stops it. No socket
//! is opened before the configuration, the operator file and the directory of durable results are known to be valid.
//!
//! Each step has its own module, which does not depend on this one: [`Setup`] reads and checks the input,
//! [`Server::start`] opens the sockets and starts the tasks, [`signals`](crate::signals) handles signals, and
//! [`shutdown`] drains the server.

use crate::server::Server;
use crate::setup::Setup;
use crate::shutdown;
use crate::signals::Signals;
use crate::start_error::StartError;
use std::path::Path;
use tokio::task::LocalSet;

/// Starts a server and serves until a signal stops it. `incarnation_offset_ms` is added to the Unix time from which the
/// incarnation number is taken.
pub(crate) fn run(
    operator_file: Option<&Path>,
    incarnation_offset_ms: i64,
) -> Result<(), StartError> {
    let setup = Setup::read(operator_file, incarnation_offset_ms)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    // All tasks run on this set and are dropped with it after `serve` has returned.
    let task_set = LocalSet::new();
    task_set.block_on(&runtime, serve(setup))
}

/// Installs the signal handlers, starts the server, waits for a signal to stop, and shuts down.
async fn serve(setup: Setup) -> Result<(), StartError> {
    let mut signals = Signals::install()?;
    let server = Server::start(setup).await?;
    signals.stop.wait(&mut signals.operator, &server).await;
    shutdown::run(&server, &mut signals.operator).await;
    Ok(())
}
