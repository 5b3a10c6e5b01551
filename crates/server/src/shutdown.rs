//! Graceful shutdown: [`run`] notifies the fleet and the load balancers, accepts new connections for a grace period,
//! waits until all requests are answered, closes all connections, and ends the process before it would be killed.
//!
//! The process ends by itself even if requests are open, before the kill that follows SIGTERM after the stop time. For
//! that, only time counts for which the process ran: while it is stopped nothing can be answered, and a platform that
//! stops a machine does not count that time. A drain that was stopped until after its kill time still answers
//! everything: no kill has come, so nothing is gained by an early end.
//!
//! [`DrainProgress`] decides when each of these is done. The core decides about requests that arrive while draining.

use crate::drain_progress::{
    CHECK_INTERVAL, DrainActions, DrainOutcome, DrainProgress, DrainStatus,
};
use crate::server::Server;
use crate::signals::OperatorSignals;
use madderbay_server::support::clock::{self, MonotonicClock};
use std::time::{Duration as StdDuration, Instant};

/// Drains the server and leaves the fleet. Operators' signals are handled meanwhile.
pub(crate) async fn run(server: &Server, signals: &mut OperatorSignals) {
    let clock = clock::monotonic_since(Instant::now());
    let progress = begin(server, &clock);
    tokio::select! {
        () = finish(server, progress, &clock) => {}
        () = signals.serve(server) => {}
    }
    server.leave_fleet();
    server.log_counters();
    log::info!("server: stopped");
}

/// Begins the drain: notifies the fleet, and through the core the load balancers.
fn begin(server: &Server, clock: &MonotonicClock) -> DrainProgress {
    let stop_timeout = server.reloadable().stop_timeout();
    log::info!(
        "server: draining, remaining_ms={}",
        stop_timeout.as_millis()
    );
    if let Some(fleet) = server.fleet() {
        fleet.drain();
    }
    let grace = server.config().settings.rules.drain_grace;
    let progress = DrainProgress::start(clock(), stop_timeout, grace);
    // The decision module is given a shorter time, so that its last answers are sent before the process ends.
    let last_answers = progress.time_limit();
    server
        .core()
        .borrow_mut()
        .drain(server.clock().now(), last_answers);
    progress
}

/// Checks the progress at intervals and acts on it, until the drain has ended.
async fn finish(server: &Server, mut progress: DrainProgress, clock: &MonotonicClock) {
    let interval = StdDuration::from_micros(CHECK_INTERVAL.as_micros());
    loop {
        tokio::time::sleep(interval).await;
        let actions = progress.check(clock(), status(server));
        carry_out(server, actions);
        if let Some(outcome) = actions.outcome {
            return log_outcome(server, outcome, &progress);
        }
    }
}

/// Returns what the drain's progress depends on.
fn status(server: &Server) -> DrainStatus {
    let core = server.core().borrow();
    DrainStatus {
        is_listening: server.is_listening(),
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
fn log_outcome(server: &Server, outcome: DrainOutcome, progress: &DrainProgress) {
    let elapsed_ms = progress.elapsed().as_millis();
    let paused_ms = progress.paused().as_millis();
    match outcome {
        DrainOutcome::Answered => {
            log::info!("server: drained, elapsed_ms={elapsed_ms}, paused_ms={paused_ms}");
        }
        DrainOutcome::TimedOut => {
            let unanswered = server.core().borrow().unanswered_count();
            log::warn!(
                "server: drain timed out, elapsed_ms={elapsed_ms}, paused_ms={paused_ms}, unanswered={unanswered}"
            );
        }
    }
}
