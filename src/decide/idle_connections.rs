//! The limit on the idle time of client connections.
//!
//! [`IdleConnections`] keeps which clients were seen recently, and the limit that follows from the arrivals. It closes
//! no connections itself.

use crate::estimators::{Average, RecentClients};
use crate::time::{Duration, Timestamp};

/// Idle time up to which keeping a connection open costs no more than opening a new one.
const WORTHWHILE_IDLE_TIME: Duration = Duration::from_millis(5000);
/// Limit on the idle time if most connections would be idle for longer than is worthwhile.
const SHORT_IDLE_LIMIT: Duration = Duration::from_millis(200);
/// Weight of the newest arrival in the fraction of frequent clients, which covers about the last 30 arrivals.
const ARRIVAL_WEIGHT: f64 = 0.03;
/// Initial estimate of the fraction of arrivals from frequent clients.
const INITIAL_FREQUENT_FRACTION: f64 = 0.5;
/// Fraction of arrivals from frequent clients above which idle connections are kept open.
const MIN_FREQUENT_FRACTION: f64 = 0.5;
/// Fraction of retries among arrivals at which a retry storm begins.
const RETRY_STORM_START_FRACTION: f64 = 0.7;
/// Fraction of retries among arrivals at which a retry storm is over.
const RETRY_STORM_END_FRACTION: f64 = RETRY_STORM_START_FRACTION * 0.5;

/// Decides how long connections may stay idle.
pub(super) struct IdleConnections {
    /// The clients seen within `WORTHWHILE_IDLE_TIME`.
    clients: RecentClients,
    /// Fraction of arrivals whose client had been seen within `WORTHWHILE_IDLE_TIME`.
    frequent_fraction: Average,
    limit: Duration,
    max_idle: Duration,
}

impl IdleConnections {
    /// Starts with no limit set; clients close their connections by themselves after `max_idle`.
    pub(super) fn new(max_idle: Duration) -> IdleConnections {
        IdleConnections {
            clients: RecentClients::new(WORTHWHILE_IDLE_TIME),
            frequent_fraction: Average::new(INITIAL_FREQUENT_FRACTION, ARRIVAL_WEIGHT),
            limit: Duration::ZERO,
            max_idle,
        }
    }

    /// Returns the number of clients seen recently.
    pub(super) fn clients_seen(&self) -> usize {
        self.clients.count()
    }

    /// Forgets the clients that were not seen recently.
    pub(super) fn on_tick(&mut self, now: Timestamp) {
        self.clients.expire(now);
    }

    /// Counts an arrival, and returns the limit on the idle time if it changed.
    ///
    /// Many infrequent clients would fill the connection table, while a few frequent clients would pay for opening new
    /// connections. In a retry storm a full table turns clients away at low cost, so all connections are kept.
    pub(super) fn on_arrival(
        &mut self,
        now: Timestamp,
        client: u16,
        retry_fraction: f64,
    ) -> Option<Duration> {
        let is_frequent = self.clients.record(now, client);
        self.frequent_fraction.record(f64::from(is_frequent));
        let keeps_connections = self.frequent_fraction.value() > MIN_FREQUENT_FRACTION;
        let limit = if keeps_connections || self.is_retry_storm(retry_fraction) {
            self.max_idle
        } else {
            SHORT_IDLE_LIMIT.min(self.max_idle)
        };
        let has_changed = std::mem::replace(&mut self.limit, limit) != limit;
        has_changed.then_some(limit)
    }

    /// Reports whether so many arrivals are retries that opening connections for them would take most of the cores.
    /// While connections are kept, a lower fraction of retries is enough.
    fn is_retry_storm(&self, retry_fraction: f64) -> bool {
        let threshold = if self.limit == self.max_idle {
            RETRY_STORM_END_FRACTION
        } else {
            RETRY_STORM_START_FRACTION
        };
        retry_fraction > threshold
    }
}
