//! Reserved capacity: selects the handlers that own the reserve, and computes the ceiling of all
//! handlers that may not use it.
//!
//! The ceiling is handed out with the others; the decision module applies it.

use crate::UNLIMITED;
use crate::config::Reserve;
use crate::handlers::HandlerTable;
use madderbay::interface::{Ceiling, HandlerId};
use madderbay::time::{Duration, Timestamp};

/// Interval at which the handler with the shortest runs is determined.
const OWNER_SELECTION_INTERVAL: Duration = Duration::from_millis(1_000);
/// Mean run duration of a handler, as a fraction of the owner's, below which the handler takes over
/// the reserve.
const TAKEOVER_FRACTION: f64 = 0.8;
/// Mean run duration of a handler, as a multiple of the owners' shortest, up to which the handler
/// may borrow the reserve. The owners then get it back within about one run.
const MAX_BORROWER_RUN_FACTOR: f64 = 1.5;

pub(crate) struct ReserveState {
    fraction: f64,
    /// Whether the owner is the handler with the shortest runs, because no owner is configured.
    selects_owner_by_run_duration: bool,
    owners: Vec<HandlerId>,
    chosen_at: Timestamp,
}

impl ReserveState {
    pub(crate) fn new(now: Timestamp, config: &Reserve) -> ReserveState {
        ReserveState {
            fraction: config.fraction,
            selects_owner_by_run_duration: config.handlers.is_empty(),
            owners: config.handlers.clone(),
            chosen_at: now,
        }
    }

    pub(crate) fn owners(&self) -> &[HandlerId] {
        &self.owners
    }

    /// Selects the handler with the shortest runs as the owner, if no owner is configured. Keeps
    /// the current owner for [`OWNER_SELECTION_INTERVAL`] after each selection.
    pub(crate) fn choose_owner(&mut self, now: Timestamp, handlers: &HandlerTable) {
        let is_recent = now < self.chosen_at + OWNER_SELECTION_INTERVAL && !self.owners.is_empty();
        if !self.selects_owner_by_run_duration || is_recent {
            return;
        }
        let mean_secs =
            |handler: HandlerId| handlers.get(handler).mean_run_secs.unwrap_or(f64::MAX);
        let shortest = handlers
            .ids()
            .min_by(|a, b| mean_secs(*a).total_cmp(&mean_secs(*b)));
        let Some(shortest) = shortest else { return };
        let owner_secs = self.owners.first().map_or(f64::INFINITY, |h| mean_secs(*h));
        if mean_secs(shortest) < TAKEOVER_FRACTION * owner_secs {
            self.owners = vec![shortest];
        }
        self.chosen_at = now;
    }

    /// Returns the ceiling that keeps other handlers out of the reserve, except those that may
    /// borrow it because they return it within about one run.
    pub(crate) fn ceiling_outside_reserve(
        &self,
        handlers: &HandlerTable,
        workers: usize,
        calls: usize,
    ) -> Ceiling {
        let is_restricted =
            |h: &HandlerId| !self.owners.contains(h) && !self.may_borrow(handlers, *h);
        let restricted: Vec<HandlerId> = handlers.ids().filter(is_restricted).collect();
        let owners_call = self.owners.iter().any(|h| handlers.get(*h).makes_calls());
        let calls = if calls == UNLIMITED || !owners_call {
            calls
        } else {
            calls - self.reserved_part_of(calls)
        };
        Ceiling {
            handlers: restricted,
            runs: workers - self.reserved_part_of(workers),
            calls,
            start_interval: Duration::ZERO,
        }
    }

    /// Returns the reserved part of a total: rounded up, but never all of it.
    fn reserved_part_of(&self, total: usize) -> usize {
        let reserved = (self.fraction * total as f64).ceil() as usize;
        reserved.min(total.saturating_sub(1))
    }

    /// Reports whether a handler may use the reserve without owning it: its runs never wait for a
    /// call and are about as short as the owners' shortest.
    fn may_borrow(&self, handlers: &HandlerTable, handler: HandlerId) -> bool {
        let owners = self.owners.iter();
        let owner_runs = owners.filter_map(|h| handlers.get(*h).mean_run_secs);
        let shortest = owner_runs.fold(f64::MAX, f64::min);
        let load = handlers.get(handler);
        let is_short = |secs: f64| secs <= MAX_BORROWER_RUN_FACTOR * shortest;
        !load.makes_calls() && load.mean_run_secs.is_some_and(is_short)
    }
}
