//! Graceful shutdown: [`run`] notifies the fleet and the load balancers, accepts new connections for a grace period,
//! waits until all requests are answered, closes all connections, and ends the process before it would be killed.
//!
//! [`DrainProgress`] decides when each of these is done. The core decides about requests that arrive while draining.

use crate::drain_progress::{
    CHECK_INTERVAL, DrainActions, DrainOutcome, DrainProgress, DrainStatus,
};
use crate::server::Server;
use crate::signals::OperatorSignals;
use madderbay::time::Duration;
use std::time::Duration as StdDuration;

/// Drains the server and leaves the fleet. Operators' signals are handled meanwhile.
pub(crate) async fn run(server: &Server, signals: &mut OperatorSignals) {
    let progress = begin(server);
    tokio::select! {
        () = finish(server, progress) => {}
        () = signals.serve(server) => {}
    }
    server.leave_fleet();
    server.log_counters();
    log::info!("server: stopped");
}

/// Begins the drain: notifies the fleet, and through the core the load balancers.
fn begin(server: &Server) -> DrainProgress {
    let now = server.clock().now();
    let stop_timeout = server.reloadable().stop_timeout();
    log::info!(
        "server: draining, remaining_ms={}",
        stop_timeout.as_millis()
    );
    if let Some(fleet) = server.fleet() {
        fleet.drain();
    }
    let stop_timeout = Duration::from_micros(stop_timeout.as_micros() as u64);
    let grace = server.config().settings.rules.drain_grace;
    let progress = DrainProgress::start(now, stop_timeout, grace);
    // The decision module is given a shorter time, so that its last answers are sent before the process ends.
    server.core().borrow_mut().drain(now, progress.time_limit());
    progress
}

/// Checks the progress at intervals and acts on it, until the drain has ended.
async fn finish(server: &Server, mut progress: DrainProgress) {
    let interval = StdDuration::from_micros(CHECK_INTERVAL.as_micros());
    loop {
        tokio::time::sleep(interval).await;
        let now = server.clock().now();
        let actions = progress.check(now, status(server));
        carry_out(server, actions);
        if let Some(outcome) = actions.outcome {
            return log_outcome(server, outcome, progress.elapsed(now));
        }
    }
}

/// Returns what the drain's progress depends on.
fn status(server: &Server) -> DrainStatus {
    let core = server.core().borrow();
    DrainStatus {
        is_quiescent: core.is_quiescent(),
        has_no_connections: core.has_no_connections(),
    }
}

/// Stops listening or closes the connections, if that is due.
fn carry_out(server: &Server, actions: DrainActions) {
    if actions.stop_listening {
        server.stop_listening();
    }
    if actions.close_connections {
        server.core().borrow_mut().close_connections();
    }
}

/// Logs how the drain has ended.
fn log_outcome(server: &Server, outcome: DrainOutcome, elapsed: Duration) {
    let elapsed_ms = elapsed.as_micros() / 1_000;
    let unanswered = server.core().borrow().unanswered_count();
    match outcome {
        DrainOutcome::Answered => log::info!("server: drained, elapsed_ms={elapsed_ms}"),
        DrainOutcome::TimedOut => {
            log::warn!("server: drain timed out, elapsed_ms={elapsed_ms}, unanswered={unanswered}");
        }
    }
}
