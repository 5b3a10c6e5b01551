//! The signals that the process handles. The first SIGTERM or SIGINT stops it; SIGUSR1 and SIGHUP are handled while it
//! runs and while it drains.

use crate::reload;
use crate::server::Server;
use crate::start_error::StartError;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The streams of all signals, installed before anything else is started.
pub(crate) struct Signals {
    /// Signals that are handled while the process runs.
    pub(crate) operator: OperatorSignals,
    /// Signals that stop the process.
    pub(crate) stop: StopSignals,
}

/// SIGHUP and SIGUSR1.
pub(crate) struct OperatorSignals {
    hangup: Signal,
    user_defined1: Signal,
}

/// SIGTERM and SIGINT.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers that replace the system's default actions.
    pub(crate) fn install() -> Result<Signals, StartError> {
        let install = |kind| signal(kind).map_err(StartError::Signals);
        let hangup = install(SignalKind::hangup())?;
        let terminate = install(SignalKind::terminate())?;
        let interrupt = install(SignalKind::interrupt())?;
        let user_defined1 = install(SignalKind::user_defined1())?;
        Ok(Signals {
            operator: OperatorSignals {
                hangup,
                user_defined1,
            },
            stop: StopSignals {
                terminate,
                interrupt,
            },
        })
    }
}

impl OperatorSignals {
    /// Logs the counters on SIGUSR1 and reloads on SIGHUP. It never returns; callers await it together with a future
    /// that completes.
    pub(crate) async fn serve(&mut self, server: &Server) {
        loop {
            tokio::select! {
                _ = self.user_defined1.recv() => server.log_counters(),
                _ = self.hangup.recv() => reload::reload(server),
            }
        }
    }
}

impl StopSignals {
    /// Waits for the first signal to stop and handles the operator's signals meanwhile.
    pub(crate) async fn wait(&mut self, operator: &mut OperatorSignals, server: &Server) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            () = operator.serve(server) => {}
        }
    }
}
