//! The limit on idle time of client connections. Owns which clients were seen of late; closes nothing itself.

use super::*;

const WORTHWHILE_IDLE: Duration = Duration::from_millis(5000); // Costs no more than a new connection (ours).
const MIN_LIMIT: Duration = Duration::from_millis(200); // Where most connections would idle longer (ours).
const RETRY_FLOOD: f64 = 0.7; // Fraction of retries from which, down to half of it, all are kept (ours).

/// The clients seen within `WORTHWHILE_IDLE` and the limit set for their idle connections.
pub(super) struct IdleConnections {
    pub(super) clients: RecentClients,
    /// Fraction of arrivals whose client had been seen within `WORTHWHILE_IDLE`.
    frequent: f64,
    limit: Duration,
    max_idle: Duration,
}

impl IdleConnections {
    /// Clients close their connections by themselves after `max_idle`.
    pub(super) fn new(max_idle: Duration) -> IdleConnections {
        let clients = RecentClients::new(WORTHWHILE_IDLE);
        IdleConnections {
            clients,
            frequent: 0.5,
            limit: Duration::ZERO,
            max_idle,
        }
    }

    /// Counts an arrival and sets the limit. Many infrequent clients would fill the table, few frequent ones
    /// would pay for new connections. In a flood of retries a full table turns clients off at low cost.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        client: u16,
        retries: f64,
        out: &mut dyn Actions,
    ) {
        let frequent = self.clients.record(now, client);
        self.frequent += SAMPLE_WEIGHT * (f64::from(frequent) - self.frequent);
        let flood = if self.limit == self.max_idle {
            RETRY_FLOOD * 0.5
        } else {
            RETRY_FLOOD
        };
        let keep_all = self.frequent > 0.5 || retries > flood;
        let limit = if keep_all {
            self.max_idle
        } else {
            MIN_LIMIT.min(self.max_idle)
        };
        if std::mem::replace(&mut self.limit, limit) != limit {
            out.set_idle_limit(limit);
        }
    }
}
