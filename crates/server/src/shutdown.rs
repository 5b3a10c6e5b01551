//! Graceful shutdown: [`run`] notifies the fleet and the load balancers, accepts new connections for a grace period,
//! waits until all requests are answered, closes all connections, and ends the process before it would be killed.
//!
//! This module tracks the progress of the drain. The core decides about requests that arrive while draining.

use crate::server::Server;
use crate::signals::OperatorSignals;
use madderbay::time::{Duration, Timestamp};
use std::time::Duration as StdDuration;

/// The process ends this long before it would be killed.
const KILL_MARGIN: StdDuration = StdDuration::from_millis(100);
/// Interval between two checks of the drain's progress.
const POLL_INTERVAL: StdDuration = StdDuration::from_millis(10);
/// Time for which the server has to be quiescent, after the grace period, before the connections are closed.
const QUIESCENCE_BEFORE_CLOSE: StdDuration = StdDuration::from_millis(60);
/// Minimum time between the end of listening and the kill, in which connections that are still open receive their last
/// answers.
const LAST_ANSWERS_TIME: StdDuration = StdDuration::from_millis(500);
/// Time that peers have to close their connections after this server has closed its side and is quiescent.
const PEER_CLOSE_TIMEOUT: StdDuration = StdDuration::from_millis(250);

/// Drains the server and leaves the fleet. Operators' signals are handled meanwhile.
pub(crate) async fn run(server: &Server, signals: &mut OperatorSignals) {
    let mut drain = DrainProgress::start(server);
    tokio::select! {
        () = drain.finish(server) => {}
        () = signals.serve(server) => {}
    }
    server.leave_fleet();
    server.log_counters();
    log::info!("server: stopped");
}

/// The progress of a drain.
struct DrainProgress {
    started_at: Timestamp,
    /// Time between the signal and the kill.
    stop_timeout: StdDuration,
    /// Time for which new connections are accepted.
    accept_for: StdDuration,
    /// Time for which the server has been quiescent, in steps of [`POLL_INTERVAL`].
    quiescent_for: StdDuration,
    /// Whether closing the connections has begun.
    is_closing: bool,
}

impl DrainProgress {
    /// Starts the drain: notifies the fleet, and through the core the load balancers.
    fn start(server: &Server) -> DrainProgress {
        let started_at = server.clock().now();
        let stop_timeout = server.reloadable().stop_timeout();
        log::info!(
            "server: draining, remaining_ms={}",
            stop_timeout.as_millis()
        );
        if let Some(fleet) = server.fleet() {
            fleet.drain();
        }
        // The decision module is given a shorter time, so that its last answers are sent before the process ends.
        let last_answer = stop_timeout.saturating_sub(KILL_MARGIN);
        let last_answer = Duration::from_micros(last_answer.as_micros() as u64);
        server.core().borrow_mut().drain(started_at, last_answer);
        let grace = server.config().settings.rules.drain_grace;
        let grace = StdDuration::from_micros(grace.as_micros());
        DrainProgress {
            started_at,
            stop_timeout,
            accept_for: grace.min(stop_timeout.saturating_sub(LAST_ANSWERS_TIME)),
            quiescent_for: StdDuration::ZERO,
            is_closing: false,
        }
    }

    /// Waits until every request is answered or no time is left. New connections are accepted during the grace period,
    /// in which requests may still arrive. Then all connections are closed, each once its requests are read and
    /// answered. A request that is sent while its connection is being closed is retried by its load balancer.
    async fn finish(&mut self, server: &Server) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.step(server) {
                return;
            }
        }
    }

    /// Checks the server's state once; returns whether the drain is complete or no time is left.
    fn step(&mut self, server: &Server) -> bool {
        let elapsed = server.clock().now() - self.started_at;
        let elapsed = StdDuration::from_micros(elapsed.as_micros());
        let is_grace_over = elapsed > self.accept_for;
        if is_grace_over {
            server.stop_listening();
        }
        let is_quiescent = server.core().borrow().is_quiescent();
        if is_quiescent && is_grace_over {
            self.quiescent_for += POLL_INTERVAL;
        } else {
            self.quiescent_for = StdDuration::ZERO;
        }
        self.close_connections_once_quiescent(server);
        self.is_complete(server) || elapsed + KILL_MARGIN > self.stop_timeout
    }

    /// Closes the connections once the server has been quiescent for long enough, and restarts the measurement.
    fn close_connections_once_quiescent(&mut self, server: &Server) {
        if self.quiescent_for >= QUIESCENCE_BEFORE_CLOSE && !self.is_closing {
            self.is_closing = true;
            server.core().borrow_mut().close_connections();
            self.quiescent_for = POLL_INTERVAL;
        }
    }

    /// Reports whether the server is quiescent and either has no connections left, or has waited long enough for its
    /// peers to close theirs.
    fn is_complete(&self, server: &Server) -> bool {
        let is_quiescent = self.quiescent_for > StdDuration::ZERO;
        let has_no_connection = server.core().borrow().has_no_connections();
        let has_waited_for_peers = self.is_closing && self.quiescent_for >= PEER_CLOSE_TIMEOUT;
        is_quiescent && has_no_connection || has_waited_for_peers
    }
}
