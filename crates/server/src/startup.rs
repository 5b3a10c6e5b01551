//! The life of a server: [`run`] has everything read and checked, starts the server, and serves until a signal stops
//! it. Nothing is listened on before the configuration, the operator file and the directory of durable results are
//! valid.
//!
//! Each step is in a file of its own, and none of them knows this one: [`Setup`] reads and checks, [`Server::start`]
//! opens the sockets and starts the tasks, [`signals`](crate::signals) serves, [`shutdown`] ends it.

use crate::server::Server;
use crate::setup::Setup;
use crate::shutdown;
use crate::signals::Signals;
use crate::start_error::StartError;
use std::path::Path;
use tokio::task::LocalSet;

/// Starts a server and serves until a signal stops it. `incarnation_offset_ms` is added to the clock that distinguishes
/// incarnations.
pub(crate) fn run(
    operator_file: Option<&Path>,
    incarnation_offset_ms: i64,
) -> Result<(), StartError> {
    let setup = Setup::read(operator_file, incarnation_offset_ms)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    // All tasks are on this set. It is dropped, and they with it, after `serve` has returned.
    let task_set = LocalSet::new();
    task_set.block_on(&runtime, serve(setup))
}

/// The life of a server, from its first socket to its last line in the log.
async fn serve(setup: Setup) -> Result<(), StartError> {
    let mut signals = Signals::install()?;
    let server = Server::start(setup).await?;
    signals.stop.wait(&mut signals.operator, &server).await;
    shutdown::run(&server, &mut signals.operator).await;
    Ok(())
}
