//! Graceful shutdown, in the order of [`run`]: the fleet and the load balancers are notified, new connections are
//! accepted for a grace period, what is in flight is answered, all connections end, and the process ends before it
//! would be killed.
//!
//! It owns the progress of the drain. What a draining server decides about requests is the core's.

use crate::server::Server;
use crate::signals::OperatorSignals;
use madderbay::time::{Duration, Timestamp};
use std::time::Duration as StdDuration;

/// The process ends this long before it would be killed.
const KILL_MARGIN: StdDuration = StdDuration::from_millis(100);
/// How often the progress of a drain is looked at.
const POLL_INTERVAL: StdDuration = StdDuration::from_millis(10);
/// The server must have been at rest for this long, after the grace period, before the connections are ended.
const QUIESCENCE_BEFORE_CLOSE: StdDuration = StdDuration::from_millis(60);
/// Listening ends this long before the stop at the latest. Connections that are still open then have that long for
/// their last answers.
const LAST_ANSWERS_TIME: StdDuration = StdDuration::from_millis(500);
/// Ended connections that are at rest are waited for this long, for their peers to see the end.
const PEER_CLOSE_TIMEOUT: StdDuration = StdDuration::from_millis(250);

/// Drains the server and takes it out of the fleet; operators' signals are served meanwhile.
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
    /// New connections are accepted for this long.
    accept_for: StdDuration,
    /// For how long the server has been at rest, in steps of [`POLL_INTERVAL`].
    quiescent_for: StdDuration,
    /// Connections that owe nothing have been ended.
    is_closing: bool,
}

impl DrainProgress {
    /// Notifies the fleet, and the load balancers through the core.
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
        // The decision module's last answers leave before the stop that it is given; the process outlasts them.
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

    /// Waits until nothing is owed, or there is no time left. New connections are accepted for the grace period, in
    /// which requests may still arrive. Then all connections end, each once what came on it is read and answered. A
    /// request that crosses the end of its connection is sent again by its load balancer.
    async fn finish(&mut self, server: &Server) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.step(server) {
                return;
            }
        }
    }

    /// Looks at the server once; says whether the drain is over.
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

    /// Ends the connections once, and counts the rest anew from there.
    fn close_connections_once_quiescent(&mut self, server: &Server) {
        if self.quiescent_for >= QUIESCENCE_BEFORE_CLOSE && !self.is_closing {
            self.is_closing = true;
            server.core().borrow_mut().close_connections();
            self.quiescent_for = POLL_INTERVAL;
        }
    }

    /// At rest, and either without connections or with peers that do not close theirs.
    fn is_complete(&self, server: &Server) -> bool {
        let is_quiescent = self.quiescent_for > StdDuration::ZERO;
        let has_no_connection = server.core().borrow().has_no_connections();
        let has_waited_for_peers = self.is_closing && self.quiescent_for >= PEER_CLOSE_TIMEOUT;
        is_quiescent && has_no_connection || has_waited_for_peers
    }
}
